// Packet decisions, from the most frequent and cheapest case to the rare ones.
#include "node/PacketPath.h"

#include "base/Hash.h"

#include <algorithm>

namespace tamarack::node {

namespace {

using admission::Mode;
using mapping::Bucket;
using mapping::Phase;
using mapping::Pin;

/// After the coordinator refused a grant, new flows do not wait for another one for this long.
constexpr Millis kGrantDenialLifetime{ 1000 };

uint64_t
indexKey(Ipv4 aAddress, uint16_t aPort, packet::Protocol aProtocol)
{
  return (uint64_t{ aAddress.m_value } << 32U) | (uint64_t{ aPort } << 8U) |
         static_cast<uint64_t>(aProtocol);
}

} // namespace

void
PacketPath::rebuildIndex()
{
  m_index.clear();
  for (const auto& [id, service] : m_context.m_services) {
    const settings::Service& serviceSettings = service->m_settings;
    for (const uint16_t port : serviceSettings.m_ports) {
      m_index[indexKey(serviceSettings.m_address, port, serviceSettings.m_protocol)] =
        service.get();
    }
  }
}

const ServiceState*
PacketPath::serviceOf(const packet::FlowKey& aFlow) const
{
  const auto found =
    m_index.find(indexKey(aFlow.m_destination, aFlow.m_destinationPort, aFlow.m_protocol));
  return found == m_index.end() ? nullptr : found->second;
}

Decision
PacketPath::decide(TimePoint aNow, const PacketArrival& aArrival)
{
  const packet::PacketMeta& meta = aArrival.m_meta;
  const auto found = m_index.find(
    indexKey(meta.m_flow.m_destination, meta.m_flow.m_destinationPort, meta.m_flow.m_protocol));
  if (m_areDecisionsHeld) {
    return { .m_error = ErrorKind::DecisionsHeld };
  }
  if (found == m_index.end()) {
    return { .m_error = ErrorKind::NoSuchService };
  }
  ServiceState& service = *found->second;
  Flow flow{ .m_id = packet::flowId(meta.m_flow, m_context.m_settings->m_seed),
             .m_opens = meta.m_opensFlow,
             .m_ends = meta.m_endsFlow };
  flow.m_bucket = service.m_map.indexOf(flow.m_id);
  if (aArrival.m_relayedService && aArrival.m_relayedService != service.id()) {
    return refuse(service, flow, ErrorKind::ServiceMismatch);
  }
  if (aArrival.m_hops > kMaxHops) {
    return refuse(service, flow, ErrorKind::PacketLooping);
  }
  if (!m_context.m_membership.hasCompleteMap()) {
    const HostId relayHost = pickRelayHost(flow.m_bucket);
    return relayHost && aArrival.m_hops == 0 ? relay(service, flow, relayHost)
                                             : refuse(service, flow, ErrorKind::DecisionsHeld);
  }
  const Bucket& bucket = service.m_map[flow.m_bucket];
  if (!m_context.m_peersPendingMerge.empty() && mustWaitForMerge(aNow, service, flow)) {
    return refuse(service, flow, ErrorKind::MapsMerging);
  }
  if (bucket.m_phase == Phase::Stable) {
    return decideStable(aNow, aArrival, service, flow);
  }
  if (bucket.m_owner == m_context.m_membership.self()) {
    return decideAsOwner(aNow, aArrival, service, flow);
  }
  return relayToOwner(aNow, aArrival, service, flow);
}

bool
PacketPath::mustWaitForMerge(TimePoint aNow, ServiceState& aService, Flow aFlow) const
{
  const bool isUnknown = !aFlow.m_opens && aService.m_pins.find(aFlow.m_id) == nullptr;
  return isUnknown && m_context.isMergingMaps(aNow);
}

Decision
PacketPath::decideStable(TimePoint aNow,
                         const PacketArrival& aArrival,
                         ServiceState& aService,
                         Flow aFlow)
{
  const membership::Membership& members = m_context.m_membership;
  if (aArrival.m_hops == 0 && !members.hasLease(members.coordinatorOf(aService.id()), aNow)) {
    const HostId relayHost = pickRelayHost(aFlow.m_bucket);
    if (relayHost) {
      return relay(aService, aFlow, relayHost);
    }
  }
  const UpstreamId base = aService.m_map[aFlow.m_bucket].m_base;
  if (!aService.isLive(base) && !m_context.areSettingsOutdated()) {
    // The bucket is about to move, or it has moved and this host has not received the change yet.
    // Only the owner can distinguish a flow of the former base upstream, which has ended, from one
    // that was opened after the move.
    return retryOrRefuse(aArrival, aService, aFlow, ErrorKind::MovePending);
  }
  if (aFlow.m_opens && aService.isDrainGraceOver(base, aNow)) {
    return retryOrRefuse(aArrival, aService, aFlow, ErrorKind::MovePending);
  }
  return forward(aNow, aService, aFlow, base);
}

Decision
PacketPath::relayToOwner(TimePoint aNow,
                         const PacketArrival& aArrival,
                         ServiceState& aService,
                         Flow aFlow)
{
  const Bucket& bucket = aService.m_map[aFlow.m_bucket];
  const membership::Membership& members = m_context.m_membership;
  for (const HostId host : { bucket.m_owner, bucket.m_replica }) {
    if (host != members.self() && members.isReachable(host)) {
      return relay(aService, aFlow, host);
    }
    if (host == members.self()) {
      break;
    }
  }
  // The owner is not reachable and not replaced yet; the replica is this host or not reachable.
  Pin* pin = aService.m_pins.find(aFlow.m_id);
  if (pin != nullptr && !aFlow.m_opens) {
    return forward(aNow, aService, aFlow, pin->m_upstream);
  }
  if (aFlow.m_opens && bucket.m_phase != Phase::Pinned) {
    return retryOrRefuse(aArrival, aService, aFlow, ErrorKind::OwnerUnknown);
  }
  return forward(aNow, aService, aFlow, bucket.m_base);
}

Decision
PacketPath::decideAsOwner(TimePoint aNow,
                          const PacketArrival& aArrival,
                          ServiceState& aService,
                          Flow aFlow)
{
  const Bucket& bucket = aService.m_map[aFlow.m_bucket];
  const OwnedBucket& owned = aService.m_owned[aFlow.m_bucket];
  Pin* pin = aService.m_pins.find(aFlow.m_id);
  const bool isReopened =
    pin != nullptr && aFlow.m_opens && aNow - pin->m_lastSeen > kFlowReopenDelay;
  const bool isUpstreamUnresponsive =
    pin != nullptr && aFlow.m_opens && !aService.isResponsive(pin->m_upstream);
  if (pin != nullptr && !isReopened && !isUpstreamUnresponsive) {
    return decidePinned(aNow, aService, aFlow, *pin);
  }
  const membership::Membership& members = m_context.m_membership;
  const bool hasLease = members.hasLease(members.coordinatorOf(aService.id()), aNow);
  // Without a lease another host may own the bucket by now, so only flows with a pin can be decided
  // safely.
  const bool mayHaveLostOwnership = !hasLease && !members.isAlone();
  if (mayHaveLostOwnership || aNow < owned.m_handoverDeadline) {
    return aFlow.m_opens ? retryOrRefuse(aArrival, aService, aFlow, ErrorKind::OwnerUnknown)
                         : refuse(aService, aFlow, ErrorKind::OwnerUnknown);
  }
  // A UDP flow has no opening packet. Once all running flows have been learned, a flow without a
  // pin is a new one.
  const bool isDatagram = aService.m_settings.m_protocol == packet::Protocol::Udp;
  const bool allKnown = !owned.m_hasUnlearnedFlows &&
                        aNow - aService.m_settings.m_idleTimeout > m_context.learningStart(owned);
  if (isDatagram && allKnown) {
    aFlow.m_opens = true;
  }
  if (!aFlow.m_opens) {
    return decideUnpinned(aNow, aService, aFlow);
  }
  if (bucket.m_phase == Phase::Pinned) {
    aService.m_pins.erase(aFlow.m_id);
    return forward(aNow, aService, aFlow, bucket.m_base);
  }
  return admitNewFlow(aNow, aArrival, aService, aFlow);
}

Decision
PacketPath::decidePinned(TimePoint aNow, ServiceState& aService, Flow aFlow, Pin& aPin)
{
  aPin.m_lastSeen = aNow;
  if (aFlow.m_ends) {
    aPin.m_lastSeen = aNow - aService.m_settings.m_idleTimeout + kClosedFlowLinger;
  }
  return forward(aNow, aService, aFlow, aPin.m_upstream);
}

Decision
PacketPath::decideUnpinned(TimePoint aNow, ServiceState& aService, Flow aFlow)
{
  const Bucket& bucket = aService.m_map[aFlow.m_bucket];
  const bool learns = bucket.m_phase != Phase::Pinned && !aFlow.m_ends;
  if (learns && aService.isLive(bucket.m_base)) {
    const size_t maxLearned = aService.m_pins.capacity() * kMaxLearnedPinsPercent / 100;
    const Pin pin{ .m_upstream = bucket.m_base,
                   .m_lastSeen = aNow,
                   .m_bucket = aFlow.m_bucket,
                   .m_observedOnly = true };
    const bool isStored = aService.m_pins.size() < maxLearned &&
                          aService.m_pins.insertOrAssign(aFlow.m_id, pin) != nullptr;
    aService.m_owned[aFlow.m_bucket].m_hasUnlearnedFlows |= !isStored;
    if (isStored && aService.m_owned[aFlow.m_bucket].m_settling) {
      aService.m_unreplicatedPins.push_back(aFlow.m_id);
    }
  }
  return forward(aNow, aService, aFlow, bucket.m_base);
}

Decision
PacketPath::admitNewFlow(TimePoint aNow,
                         const PacketArrival& aArrival,
                         ServiceState& aService,
                         Flow aFlow)
{
  const Bucket& bucket = aService.m_map[aFlow.m_bucket];
  if (bucket.m_phase == Phase::Prepare && aService.isDrainGraceOver(bucket.m_base, aNow)) {
    return retryOrRefuse(aArrival, aService, aFlow, ErrorKind::MovePending);
  }
  if (bucket.m_phase == Phase::Prepare) {
    // Hosts that have not received the prepared move yet would forward the rest of the flow to the
    // base upstream.
    pinFlow(aNow, aService, aFlow, bucket.m_base);
    return forward(aNow, aService, aFlow, bucket.m_base);
  }
  const UpstreamId upstream = chooseUpstream(aNow, aService, aFlow);
  if (!upstream) {
    return refuseForCapacity(aNow, aArrival, aService, aFlow);
  }
  if (!pinFlow(aNow, aService, aFlow, upstream)) {
    // Without a pin the later packets of the flow go to the base upstream.
    if (aService.admissionModeOf(bucket.m_base) != Mode::Open) {
      return refuse(aService, aFlow, ErrorKind::NoCapacity);
    }
    return forward(aNow, aService, aFlow, bucket.m_base);
  }
  return forward(aNow, aService, aFlow, upstream);
}

Decision
PacketPath::refuseForCapacity(TimePoint aNow,
                              const PacketArrival& aArrival,
                              const ServiceState& aService,
                              Flow aFlow) const
{
  const UpstreamId current = aService.m_map[aFlow.m_bucket].m_current;
  const auto denied = aService.m_grantDeniedAt.find(current);
  const bool isDenied =
    denied != aService.m_grantDeniedAt.end() && aNow - denied->second < kGrantDenialLifetime;
  if (aService.admissionModeOf(current) == Mode::Metered && !isDenied) {
    return retryOrRefuse(aArrival, aService, aFlow, ErrorKind::GrantPending);
  }
  if (aNow - aService.m_owned[aFlow.m_bucket].m_ownedSince < kRefusalGrace) {
    return refuse(aService, aFlow, ErrorKind::GrantPending);
  }
  return refuse(aService, aFlow, ErrorKind::NoCapacity);
}

UpstreamId
PacketPath::chooseUpstream(TimePoint aNow, ServiceState& aService, Flow aFlow)
{
  const Bucket& bucket = aService.m_map[aFlow.m_bucket];
  if (tryAdmit(aNow, aService, bucket.m_current)) {
    return bucket.m_current;
  }
  if (bucket.m_base != bucket.m_current && aService.admissionModeOf(bucket.m_base) == Mode::Open) {
    return bucket.m_base;
  }
  std::vector<UpstreamId> openUpstreams;
  for (const settings::Upstream& upstream : aService.m_settings.m_upstreams) {
    if (aService.admissionModeOf(upstream.m_id) == Mode::Open) {
      openUpstreams.push_back(upstream.m_id);
    }
  }
  if (!openUpstreams.empty()) {
    return pickByRendezvous(aFlow.m_id.m_value, openUpstreams);
  }
  for (const settings::Upstream& upstream : aService.m_settings.m_upstreams) {
    if (upstream.m_id != bucket.m_current && tryAdmit(aNow, aService, upstream.m_id)) {
      return upstream.m_id;
    }
  }
  return {};
}

bool
PacketPath::tryAdmit(TimePoint aNow, ServiceState& aService, UpstreamId aUpstream)
{
  switch (aService.admissionModeOf(aUpstream)) {
    case Mode::Open:
      return true;
    case Mode::Metered:
      return aService.m_grants[aUpstream].tryConsume(aNow);
    case Mode::Closed:
      return false;
  }
  return false;
}

bool
PacketPath::pinFlow(TimePoint aNow, ServiceState& aService, Flow aFlow, UpstreamId aUpstream)
{
  const Pin pin{ .m_upstream = aUpstream, .m_lastSeen = aNow, .m_bucket = aFlow.m_bucket };
  const bool isStored = aService.m_pins.insertOrAssign(aFlow.m_id, pin) != nullptr;
  if (isStored) {
    aService.m_unreplicatedPins.push_back(aFlow.m_id);
    return true;
  }
  if (!aService.m_owned[aFlow.m_bucket].m_hasUnlearnedFlows) {
    aService.m_owned[aFlow.m_bucket].m_hasUnlearnedFlows = true;
    m_context.m_events.add(aNow, EventId::PinTableFull, "service " + aService.m_settings.m_name);
  }
  return false;
}

Decision
PacketPath::forward(TimePoint aNow, ServiceState& aService, Flow aFlow, UpstreamId aUpstream)
{
  const UpstreamInfo* info = aService.find(aUpstream);
  if (info == nullptr) {
    return refuse(aService,
                  aFlow,
                  m_context.areSettingsOutdated() ? ErrorKind::UpstreamUnconfirmed
                                                  : ErrorKind::UpstreamGone);
  }
  if (info->m_dataCentreOut) {
    return refuse(aService, aFlow, ErrorKind::DataCentreOut);
  }
  if (!m_context.areSettingsFresh(aNow)) {
    const auto confirmed = aService.m_identityConfirmedAt.find(aUpstream);
    if (confirmed == aService.m_identityConfirmedAt.end() ||
        aNow - confirmed->second > kIdentityConfirmationLifetime) {
      return refuse(aService, aFlow, ErrorKind::UpstreamUnconfirmed);
    }
  }
  return { .m_verdict = Verdict::Forward,
           .m_service = aService.id(),
           .m_bucket = aFlow.m_bucket,
           .m_upstream = aUpstream,
           .m_address = info->m_address };
}

Decision
PacketPath::relay(const ServiceState& aService, Flow aFlow, HostId aHost) const
{
  return { .m_verdict = Verdict::Relay,
           .m_service = aService.id(),
           .m_bucket = aFlow.m_bucket,
           .m_relayTo = aHost };
}

Decision
PacketPath::refuse(const ServiceState& aService, Flow aFlow, ErrorKind aKind) const
{
  return { .m_verdict = Verdict::Refuse,
           .m_error = aKind,
           .m_service = aService.id(),
           .m_bucket = aFlow.m_bucket };
}

Decision
PacketPath::retryOrRefuse(const PacketArrival& aArrival,
                          const ServiceState& aService,
                          Flow aFlow,
                          ErrorKind aKind) const
{
  Decision decision = refuse(aService, aFlow, aKind);
  if (aArrival.m_attempts < kMaxRetries) {
    decision.m_verdict = Verdict::Retry;
  }
  return decision;
}

HostId
PacketPath::pickRelayHost(uint16_t aBucket) const
{
  std::vector<HostId> reachable;
  for (const auto& [host, peer] : m_context.m_membership.peers()) {
    if (peer.m_alive && peer.m_hasCompleteMap) {
      reachable.push_back(host);
    }
  }
  return pickByRendezvous(aBucket, reachable);
}

} // namespace tamarack::node
