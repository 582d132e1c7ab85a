// The parts of Node that receive and send frames: leases, handling of each message type, map
// synchronisation between peers and the schedule of heartbeats.
#include "base/Address.h"
#include "node/Node.h"

#include <algorithm>
#include <bit>
#include <tuple>
#include <utility>

namespace tamarack::node {

namespace {

/// Interval of heartbeats to peers that are not alive.
constexpr Millis kDeadPeerHeartbeatInterval{ 500 };
/// The map digests of two hosts must differ for this long before maps are exchanged.
constexpr Millis kReconcileDelay{ 1500 };
/// Minimum interval between two exchanges of maps because of differing digests.
constexpr Millis kReconcileInterval{ 1000 };
/// A synchronisation that has not completed is requested again after this time.
constexpr Millis kSyncRetryInterval{ 2000 };

} // namespace

void
Node::onFrame(TimePoint aNow, Frame aFrame)
{
  detectPause(aNow);
  const membership::Heartbeat& heartbeat = aFrame.m_heartbeat;
  const HostId from = heartbeat.m_from;
  if (from == m_context.m_membership.self() || !from) {
    return;
  }
  const auto outcome = m_context.m_membership.onHeartbeat(aNow, heartbeat);
  if (!outcome.m_accepted) {
    return;
  }
  Channel& channel = m_context.m_channels[from];
  onHeartbeatOutcome(from, outcome, aNow);
  const bool isNewEpoch = heartbeat.m_channelEpoch > channel.peerEpoch();
  if (isNewEpoch) {
    m_syncedPeers.erase(from);
  }
  channel.onAck(heartbeat.m_ackEpoch, heartbeat.m_ack);
  deliver(aNow, from, channel.receive(heartbeat.m_channelEpoch, std::move(aFrame.m_bodies)));
  deliverLoopback(aNow);
  const membership::Peer* peer = m_context.m_membership.find(from);
  const bool isNewest = peer != nullptr && peer->m_peerSentAt == heartbeat.m_sentAt;
  if (isNewest) {
    renewLease(aNow, heartbeat, channel);
  }
  const settings::SettingsPtr& settings = m_context.m_settings;
  if (settings && heartbeat.m_settingsRevision <= settings->m_revision) {
    onSettingsConfirmed(aNow - heartbeat.m_settingsAge);
  }
}

void
Node::deliver(TimePoint aNow, HostId aFrom, std::span<const Body> aBodies)
{
  for (const Body& body : aBodies) {
    std::visit([&](const auto& aBody) { receive(aNow, aFrom, aBody); }, body);
  }
}

void
Node::deliverLoopback(TimePoint aNow)
{
  while (!m_context.m_loopbackQueue.empty()) {
    const std::vector<Body> bodies = std::exchange(m_context.m_loopbackQueue, {});
    deliver(aNow, m_context.m_membership.self(), bodies);
  }
}

void
Node::onHeartbeatOutcome(HostId aPeer, const membership::HeartbeatOutcome& aOutcome, TimePoint aNow)
{
  if (aOutcome.m_newIncarnation) {
    m_syncedPeers.erase(aPeer);
    m_context.m_channels[aPeer].startNewEpoch();
    m_context.m_channels[aPeer].resetReceiveState();
    m_owner.onReplicaReset(aPeer);
  }
  if (aOutcome.m_recovered) {
    m_syncedPeers.erase(aPeer);
    if (!m_path.areDecisionsHeld()) {
      m_context.m_peersPendingMerge[aPeer] = aNow;
    }
    requestSync(aNow, aPeer);
  }
  if (aOutcome.m_newPeer) {
    introduceHost(aPeer);
  }
}

void
Node::onPeerLost(HostId aPeer)
{
  m_syncedPeers.erase(aPeer);
  m_context.m_channels[aPeer].startNewEpoch();
  m_owner.onReplicaReset(aPeer);
}

void
Node::renewLease(TimePoint aNow, const membership::Heartbeat& aHeartbeat, const Channel& aChannel)
{
  if (!aHeartbeat.m_hasCompleteMap ||
      !aChannel.hasReceivedAll(aHeartbeat.m_channelEpoch, aHeartbeat.m_leaseBarrier)) {
    return;
  }
  const HostId from = aHeartbeat.m_from;
  if (aHeartbeat.m_mapDigest == mapDigest()) {
    markSynced(from);
  }
  if (!m_syncedPeers.contains(from)) {
    requestSync(aNow, from);
    return;
  }
  m_context.m_membership.renewLease(from);
  if (m_path.areDecisionsHeld() && aHeartbeat.m_echo >= m_heldSince) {
    resumeDecisions(aNow, "host " + formatHost(from) + " was heard");
  }
}

void
Node::requestSync(TimePoint aNow, HostId aPeer)
{
  TimePoint& askedAt = m_syncRequestedAt[aPeer];
  if (m_context.m_membership.hasCompleteMap() && aNow - askedAt >= kSyncRetryInterval) {
    askedAt = aNow;
    m_context.send(aPeer, makeMapSummary(false));
  }
}

void
Node::introduceHost(HostId aNewcomer)
{
  membership::PeerExchange introduction;
  for (const auto& [host, peer] : m_context.m_membership.peers()) {
    if (host != aNewcomer && peer.m_alive) {
      introduction.m_hosts.push_back({ host, peer.m_dataCentre });
      m_context.send(
        host,
        membership::PeerExchange{
          .m_hosts = {
            { aNewcomer, std::string(m_context.m_membership.dataCentreOf(aNewcomer)) } } });
    }
  }
  if (!introduction.m_hosts.empty()) {
    m_context.send(aNewcomer, std::move(introduction));
  }
}

void
Node::receive(TimePoint aNow, HostId, const mapping::MapDelta& aDelta)
{
  ServiceState* service = m_context.findService(aDelta.m_service);
  if (service != nullptr) {
    m_mapUpdater.merge(aNow, *service, aDelta.m_groups);
    return;
  }
  if (!aDelta.m_isSnapshot || !m_context.m_settings) {
    return;
  }
  for (const settings::Service& known : m_context.m_settings->m_services) {
    if (known.m_id != aDelta.m_service) {
      continue;
    }
    // The size is taken from the map, because the settings may have changed since the map was
    // created.
    size_t buckets = 0;
    for (const mapping::BucketGroup& group : aDelta.m_groups) {
      buckets += group.m_buckets.size();
    }
    std::vector<mapping::Bucket> expanded = mapping::expandSnapshot(aDelta, buckets);
    if (std::has_single_bit(expanded.size())) {
      addService(known, std::move(expanded));
      m_path.rebuildIndex();
    }
  }
}

void
Node::receive(TimePoint, HostId aFrom, const mapping::MapRequest& aRequest)
{
  if (!m_context.m_membership.hasCompleteMap()) {
    return;
  }
  for (const auto& [id, service] : m_context.m_services) {
    const bool isRequested =
      aRequest.m_services.empty() ||
      std::ranges::find(aRequest.m_services, id) != aRequest.m_services.end();
    if (isRequested) {
      sendMap(aFrom, *service);
    }
  }
  m_context.send(aFrom, makeMapSummary(true));
}

void
Node::sendMap(HostId aTo, const ServiceState& aService)
{
  m_context.send(aTo, mapping::makeSnapshot(aService.id(), aService.m_map));
  for (const auto& [upstream, mode] : aService.m_modes) {
    m_context.send(aTo, mode);
  }
}

void
Node::receive(TimePoint aNow, HostId aFrom, const mapping::MapDigests& aSummary)
{
  if (!m_context.m_membership.hasCompleteMap()) {
    if (!m_context.m_settings || !aSummary.m_completesSync) {
      return;
    }
    // This summary ends the answer to the MapRequest of this host.
    computeMissingMaps(aNow);
    m_context.m_membership.setHasCompleteMap();
    m_viewUninterruptedSince = aNow;
    m_context.m_events.add(aNow, EventId::MapAdopted, "from host " + formatHost(aFrom));
    markSynced(aFrom);
    return;
  }
  if (aSummary.m_completesSync) {
    markSynced(aFrom);
    return;
  }
  // After this answer the sender holds all maps of this host. The maps that this host lacks are
  // requested by its own summary.
  for (const mapping::MapDigests::Entry& entry : aSummary.m_entries) {
    const ServiceState* service = m_context.findService(entry.m_service);
    if (service != nullptr && service->m_map.digest() != entry.m_digest) {
      sendMap(aFrom, *service);
    }
  }
  m_context.send(aFrom, makeMapSummary(true));
}

void
Node::markSynced(HostId aPeer)
{
  m_syncedPeers.insert(aPeer);
  m_context.m_peersPendingMerge.erase(aPeer);
}

void
Node::receive(TimePoint aNow, HostId, const mapping::PinBatch& aBatch)
{
  m_owner.onPinBatch(aNow, aBatch);
}

void
Node::receive(TimePoint aNow, HostId, const mapping::BucketReport& aReport)
{
  m_coordinator.onBucketReport(aNow, aReport);
}

void
Node::receive(TimePoint aNow, HostId, const admission::UpstreamReport& aReport)
{
  m_coordinator.onUpstreamReport(aNow, aReport);
}

void
Node::receive(TimePoint, HostId, const admission::ModeUpdate& aUpdate)
{
  ServiceState* service = m_context.findService(aUpdate.m_service);
  if (service == nullptr || service->find(aUpdate.m_upstream) == nullptr) {
    return;
  }
  admission::ModeUpdate& current = service->m_modes[aUpdate.m_upstream];
  const bool setBySettings = current.m_cold && !current.m_coordinator;
  if (setBySettings && aUpdate.m_settingsRevision < current.m_settingsRevision) {
    return;
  }
  if (std::tie(aUpdate.m_counter, aUpdate.m_coordinator) >
      std::tie(current.m_counter, current.m_coordinator)) {
    current = aUpdate;
  }
}

void
Node::receive(TimePoint aNow, HostId aFrom, const admission::GrantRequest& aRequest)
{
  m_coordinator.onGrantRequest(aNow, aFrom, aRequest);
}

void
Node::receive(TimePoint aNow, HostId, const admission::Grant& aGrant)
{
  m_owner.onGrant(aNow, aGrant);
}

void
Node::receive(TimePoint, HostId, const membership::PeerExchange& aIntroduction)
{
  m_context.m_membership.addDiscoveredPeers(aIntroduction.m_hosts);
}

std::vector<OutgoingFrame>
Node::takeFrames(TimePoint aNow)
{
  std::vector<OutgoingFrame> frames;
  const bool isTick = std::exchange(m_areHeartbeatsDue, false);
  std::vector<HostId> due;
  for (const auto& [host, peer] : m_context.m_membership.peers()) {
    const Channel& channel = m_context.m_channels[host];
    const Millis interval =
      peer.m_alive ? membership::kHeartbeatInterval : kDeadPeerHeartbeatInterval;
    const bool isDue = isTick && aNow - m_lastFrameAt[host] >= interval;
    const bool needsAck = isTick && channel.needsAck();
    if (isDue || needsAck || (peer.m_alive && channel.hasUnsent())) {
      due.push_back(host);
    }
  }
  for (const HostId host : due) {
    frames.push_back(makeFrame(aNow, host));
  }
  return frames;
}

OutgoingFrame
Node::makeFrame(TimePoint aNow, HostId aPeer)
{
  Channel& channel = m_context.m_channels[aPeer];
  OutgoingFrame outgoing{ .m_to = aPeer };
  membership::Heartbeat& heartbeat = outgoing.m_frame.m_heartbeat;
  heartbeat = m_context.m_membership.makeHeartbeat(aNow, aPeer);
  heartbeat.m_left = m_left;
  if (m_context.m_settings) {
    heartbeat.m_settingsRevision = m_context.m_settings->m_revision;
  }
  heartbeat.m_settingsAge = aNow - m_context.m_settingsConfirmedAt;
  heartbeat.m_mapDigest = mapDigest();
  if (!m_path.areDecisionsHeld()) {
    for (const auto& [id, service] : m_context.m_services) {
      const bool isCoordinator = m_context.m_membership.coordinatorOf(id) == aPeer;
      if (isCoordinator && m_context.m_membership.castVote(aNow, id, aPeer)) {
        heartbeat.m_votes.push_back(id);
      }
    }
  }
  outgoing.m_frame.m_bodies = channel.takeDue(aNow);
  heartbeat.m_channelEpoch = channel.epoch();
  heartbeat.m_leaseBarrier = channel.leaseBarrier();
  heartbeat.m_ackEpoch = channel.peerEpoch();
  heartbeat.m_ack = channel.lastDelivered();
  channel.onAckSent();
  m_lastFrameAt[aPeer] = aNow;
  return outgoing;
}

mapping::MapDigests
Node::makeMapSummary(bool aEndsAnswer) const
{
  mapping::MapDigests summary{ .m_completesSync = aEndsAnswer };
  for (const auto& [id, service] : m_context.m_services) {
    summary.m_entries.push_back({ id, service->m_map.digest() });
  }
  return summary;
}

void
Node::reconcileMaps(TimePoint aNow)
{
  const uint64_t digest = mapDigest();
  if (digest != m_lastDigest) {
    m_lastDigest = digest;
    m_digestUnchangedSince = aNow;
  }
  if (aNow - m_reconciledAt < kReconcileInterval ||
      aNow - m_digestUnchangedSince < kReconcileDelay) {
    return;
  }
  m_reconciledAt = aNow;
  for (const auto& [host, peer] : m_context.m_membership.peers()) {
    const bool differs = peer.m_alive && peer.m_hasCompleteMap && peer.m_mapDigest != digest;
    if (differs && aNow - peer.m_digestChangedAt >= kReconcileDelay) {
      m_context.send(host, makeMapSummary(false));
    }
  }
}

} // namespace tamarack::node
