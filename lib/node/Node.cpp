// The parts of Node that handle settings, the host list, probe results, ticks, pauses and the
// planned stop.
#include "node/Node.h"

#include "base/Address.h"
#include "base/Hash.h"
#include "mapping/Assignment.h"

#include <algorithm>

namespace tamarack::node {

namespace {

using admission::Mode;
using mapping::Bucket;

std::vector<Bucket>
initialBuckets(const settings::Settings& aSettings, const settings::Service& aService)
{
  std::vector<UpstreamId> upstreams;
  for (const settings::Upstream& upstream : aService.m_upstreams) {
    if (!upstream.m_draining && !aSettings.isDataCentreOut(upstream.m_dataCentre)) {
      upstreams.push_back(upstream.m_id);
    }
  }
  std::ranges::sort(upstreams);
  std::vector<Bucket> buckets(aService.m_buckets);
  const auto assigned = mapping::assignInitial(aService.m_id, upstreams, buckets.size());
  for (size_t index = 0; index < buckets.size(); ++index) {
    buckets[index].m_base = assigned[index];
    buckets[index].m_current = assigned[index];
  }
  return buckets;
}

} // namespace

Node::Node(NodeOptions aOptions, TimePoint aNow)
  : m_context(std::move(aOptions))
  , m_owner(m_context)
  , m_mapUpdater(m_owner)
  , m_coordinator(m_context, m_mapUpdater)
  , m_path(m_context)
  , m_startedAt(aNow)
  , m_lastTickAt(aNow)
{
  m_context.m_events.add(
    aNow, EventId::ProcessStarted, "host " + formatHost(m_context.m_membership.self()));
}

void
Node::onSettings(TimePoint aNow, settings::SettingsPtr aSettings, Millis aAge)
{
  const settings::SettingsPtr before = m_context.m_settings;
  if (before && aSettings->m_revision <= before->m_revision) {
    return;
  }
  m_context.m_settings = std::move(aSettings);
  m_context.m_events.add(aNow,
                         EventId::SettingsAccepted,
                         "revision " + std::to_string(m_context.m_settings->m_revision));
  logDataCentreChanges(aNow, before);
  std::erase_if(m_context.m_services, [&](const auto& aEntry) {
    return std::ranges::none_of(
      m_context.m_settings->m_services,
      [&](const settings::Service& aService) { return aService.m_id == aEntry.first; });
  });
  for (const settings::Service& service : m_context.m_settings->m_services) {
    if (ServiceState* state = m_context.findService(service.m_id); state != nullptr) {
      const auto cold = updateUpstreams(before, service, *state, aNow - aAge);
      markCold(aNow, *state, cold);
    }
  }
  if (m_context.m_membership.hasCompleteMap()) {
    computeMissingMaps(aNow);
  }
  m_path.rebuildIndex();
}

void
Node::logDataCentreChanges(TimePoint aNow, const settings::SettingsPtr& aBefore)
{
  if (!aBefore) {
    return;
  }
  for (const auto& [name, dataCentre] : m_context.m_settings->m_dataCentres) {
    const auto former = aBefore->m_dataCentres.find(name);
    const bool wasOut = former != aBefore->m_dataCentres.end() && former->second.m_out;
    if (dataCentre.m_out != wasOut) {
      m_context.m_events.add(
        aNow, wasOut ? EventId::DataCentreBack : EventId::DataCentreOut, "data centre " + name);
    }
  }
}

std::vector<UpstreamId>
Node::updateUpstreams(const settings::SettingsPtr& aBefore,
                      const settings::Service& aService,
                      ServiceState& aState,
                      TimePoint aSeenAt)
{
  std::vector<UpstreamId> cold;
  const uint32_t buckets = aState.m_settings.m_buckets;
  aState.m_settings = aService;
  // The number of buckets determines the bucket of every flow, so it stays as it was first
  // accepted.
  aState.m_settings.m_buckets = buckets;
  std::unordered_map<UpstreamId, UpstreamInfo> upstreams;
  for (const settings::Upstream& upstream : aService.m_upstreams) {
    const bool isOut = m_context.m_settings->isDataCentreOut(upstream.m_dataCentre);
    const UpstreamInfo* former = aState.find(upstream.m_id);
    const bool wasDraining = former != nullptr && former->m_draining;
    upstreams[upstream.m_id] = { .m_address = upstream.m_address,
                                 .m_name = upstream.m_name,
                                 .m_dataCentre = upstream.m_dataCentre,
                                 .m_dataCentreOut = isOut,
                                 .m_draining = upstream.m_draining,
                                 .m_drainingSince =
                                   wasDraining ? former->m_drainingSince : aSeenAt };
    const bool isNew = aBefore && former == nullptr;
    const bool isBack = former != nullptr && former->m_dataCentreOut && !isOut;
    if (isNew || isBack) {
      cold.push_back(upstream.m_id);
    }
  }
  aState.m_upstreams = std::move(upstreams);
  std::erase_if(aState.m_modes,
                [&](const auto& aEntry) { return aState.find(aEntry.first) == nullptr; });
  return cold;
}

void
Node::markCold(TimePoint aNow, ServiceState& aState, std::span<const UpstreamId> aUpstreams)
{
  const settings::Revision revision = m_context.m_settings->m_revision;
  for (const UpstreamId upstream : aUpstreams) {
    admission::ModeUpdate& mode = aState.m_modes[upstream];
    if (mode.m_coordinator && mode.m_settingsRevision >= revision) {
      continue;
    }
    mode = { .m_service = aState.id(),
             .m_upstream = upstream,
             .m_mode = Mode::Metered,
             .m_cold = true,
             .m_counter = mode.m_counter,
             .m_settingsRevision = revision };
  }
  m_coordinator.startColdStarts(aNow, aState.id(), aUpstreams);
}

void
Node::onSettingsConfirmed(TimePoint aAt)
{
  m_context.m_settingsConfirmedAt = std::max(m_context.m_settingsConfirmedAt, aAt);
}

void
Node::onHostList(TimePoint aNow, std::span<const membership::ListedHost> aHosts)
{
  m_context.m_membership.onHostList(aNow, aHosts);
}

void
Node::onProbeResult(TimePoint aNow, const admission::UpstreamReport& aReport)
{
  ServiceState* service = m_context.findService(aReport.m_service);
  if (service == nullptr || service->find(aReport.m_upstream) == nullptr) {
    return;
  }
  if (aReport.m_answered && aReport.m_identityMatches) {
    service->m_identityConfirmedAt[aReport.m_upstream] = aNow;
  } else if (aReport.m_answered) {
    // The upstream at this address belongs to another generation or service.
    service->m_identityConfirmedAt.erase(aReport.m_upstream);
  }
  auto& [sent, sentAt] = service->m_lastReports[aReport.m_upstream];
  admission::UpstreamReport comparable = aReport;
  comparable.m_connections = sent.m_connections;
  comparable.m_busySlots = sent.m_busySlots;
  if (comparable == sent && aNow - sentAt < kUnchangedReportInterval) {
    return;
  }
  if (const HostId coordinator = m_context.m_membership.coordinatorOf(aReport.m_service)) {
    sent = aReport;
    sentAt = aNow;
    m_context.send(coordinator, aReport);
    deliverLoopback(aNow);
  }
}

void
Node::tick(TimePoint aNow)
{
  detectPause(aNow);
  m_lastTickAt = aNow;
  m_areHeartbeatsDue = true;
  for (const HostId lost : m_context.m_membership.expirePeers(aNow)) {
    onPeerLost(lost);
  }
  if (!m_context.m_membership.allListedHostsAlive()) {
    m_context.m_allHostsAliveSince = TimePoint::max();
  } else if (m_context.m_allHostsAliveSince == TimePoint::max()) {
    m_context.m_allHostsAliveSince = aNow;
  }
  if (m_path.areDecisionsHeld()) {
    if (aNow - m_heldSince >= kMaxHoldTime) {
      resumeDecisions(aNow, "no peer was heard after the pause");
    }
    return;
  }
  if (!m_context.m_membership.hasCompleteMap()) {
    tryBootstrap(aNow);
    return;
  }
  m_context.m_membership.setViewStable(aNow - m_viewUninterruptedSince >= kMembershipSettleTime);
  m_coordinator.tick(aNow);
  m_owner.tick(aNow);
  deliverLoopback(aNow);
  reconcileMaps(aNow);
  tryCompleteLeave(aNow);
}

Decision
Node::decide(TimePoint aNow, const PacketArrival& aArrival)
{
  detectPause(aNow);
  const Decision decision = m_path.decide(aNow, aArrival);
  switch (decision.m_verdict) {
    case Verdict::Forward:
      ++m_counters.m_forwarded;
      break;
    case Verdict::Relay:
      ++m_counters.m_relayed;
      break;
    case Verdict::Retry:
      ++m_counters.m_retried;
      break;
    case Verdict::Refuse:
      ++m_counters.m_errors[static_cast<size_t>(decision.m_error)];
      break;
  }
  return decision;
}

void
Node::tryBootstrap(TimePoint aNow)
{
  if (!m_context.m_settings) {
    return;
  }
  std::vector<HostId> established;
  bool allHeard = true;
  for (const auto& [host, peer] : m_context.m_membership.peers()) {
    allHeard = allHeard && (peer.m_alive || !peer.m_listed);
    if (peer.m_alive && peer.m_hasCompleteMap) {
      established.push_back(host);
    }
  }
  if (!established.empty()) {
    if (aNow - m_mapRequestedAt >= Millis(1000)) {
      m_mapRequestedAt = aNow;
      const auto rotation = static_cast<size_t>(aNow.time_since_epoch().count() / 1000);
      m_context.send(established[rotation % established.size()], mapping::MapRequest{});
    }
    return;
  }
  const Millis waited = aNow - m_startedAt;
  if (waited < kBootstrapWait || (!allHeard && waited < 2 * kBootstrapWait)) {
    return;
  }
  computeMissingMaps(aNow);
  for (auto& [id, service] : m_context.m_services) {
    m_coordinator.assumeWarm(*service);
  }
  m_context.m_membership.setHasCompleteMap();
  m_viewUninterruptedSince = aNow;
  m_context.m_events.add(aNow, EventId::MapAdopted, "computed from the settings; no host had one");
}

void
Node::computeMissingMaps(TimePoint aNow)
{
  for (const settings::Service& service : m_context.m_settings->m_services) {
    if (m_context.findService(service.m_id) != nullptr) {
      continue;
    }
    addService(service, initialBuckets(*m_context.m_settings, service));
    m_context.m_events.add(aNow, EventId::MapAdopted, "computed for service " + service.m_name);
  }
  m_path.rebuildIndex();
}

void
Node::addService(const settings::Service& aService, std::vector<Bucket> aBuckets)
{
  auto state = std::make_unique<ServiceState>(aService, std::move(aBuckets));
  state->m_settings.m_buckets = static_cast<uint32_t>(state->m_map.size());
  updateUpstreams(nullptr, aService, *state, {});
  m_context.m_services[aService.m_id] = std::move(state);
}

void
Node::detectPause(TimePoint aNow)
{
  if (aNow - m_lastTickAt <= kPauseThreshold || m_path.areDecisionsHeld()) {
    return;
  }
  m_path.setDecisionsHeld(true);
  m_heldSince = aNow;
  m_context.m_membership.setViewStable(false);
  m_syncedPeers.clear();
  m_context.m_events.add(aNow,
                         EventId::DecisionsHeld,
                         "no tick for " + std::to_string((aNow - m_lastTickAt).count()) + " ms");
}

void
Node::resumeDecisions(TimePoint aNow, std::string_view aCause)
{
  m_path.setDecisionsHeld(false);
  m_viewUninterruptedSince = aNow;
  m_context.m_events.add(aNow, EventId::DecisionsResumed, std::string(aCause));
}

void
Node::startLeaving(TimePoint aNow)
{
  if (m_context.m_membership.isLeaving()) {
    return;
  }
  m_leavingSince = aNow;
  m_context.m_membership.setLeaving();
  m_context.m_events.add(aNow, EventId::ProcessStopping, "a planned stop was asked for");
}

void
Node::tryCompleteLeave(TimePoint aNow)
{
  if (!m_context.m_membership.isLeaving() || m_left || aNow - m_leavingSince < kMinLeaveTime) {
    return;
  }
  const auto isWaiting = [&](const auto& aEntry) {
    return m_context.m_membership.isAlive(aEntry.first) && aEntry.second.unackedCount() > 0;
  };
  const bool isDelivered = std::ranges::none_of(m_context.m_channels, isWaiting);
  const bool isAlone = m_context.m_membership.isAlone();
  m_left = isAlone || (m_owner.ownsNoBuckets() && isDelivered);
}

std::vector<ProbeTarget>
Node::probeTargets(TimePoint aNow) const
{
  const membership::Membership& members = m_context.m_membership;
  const bool isFresh = m_context.areSettingsFresh(aNow);
  std::vector<ProbeTarget> targets;
  for (const auto& [id, service] : m_context.m_services) {
    for (const auto& [upstream, info] : service->m_upstreams) {
      std::vector<HostId> localHosts;
      for (const HostId host : members.candidates()) {
        if (members.dataCentreOf(host) == info.m_dataCentre) {
          localHosts.push_back(host);
        }
      }
      std::vector<HostId> proberCandidates = localHosts.empty() ? members.candidates() : localHosts;
      bool isMine = !isFresh;
      for (size_t rank = 0; rank < kProbersPerUpstream && !proberCandidates.empty() && !isMine;
           ++rank) {
        const HostId prober = pickByRendezvous(upstream.m_value, proberCandidates);
        isMine = prober == members.self();
        std::erase(proberCandidates, prober);
      }
      if (isMine && !info.m_dataCentreOut) {
        targets.push_back({ .m_service = id,
                            .m_upstream = upstream,
                            .m_address = info.m_address,
                            .m_serviceName = service->m_settings.m_name,
                            .m_upstreamName = info.m_name });
      }
    }
  }
  std::ranges::sort(targets, {}, &ProbeTarget::m_upstream);
  return targets;
}

std::pair<HostId, settings::Revision>
Node::peerWithNewerSettings() const
{
  const HostId host = m_context.peerWithNewerSettings();
  const membership::Peer* peer = m_context.m_membership.find(host);
  return { host, peer == nullptr ? 0 : peer->m_settingsRevision };
}

uint64_t
Node::mapDigest() const
{
  uint64_t digest = 0;
  for (const auto& [id, service] : m_context.m_services) {
    digest ^= mixHash(id.m_value, service->m_map.digest());
  }
  return digest;
}

} // namespace tamarack::node
