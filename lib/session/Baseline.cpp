// Rendezvous hashing with a flow table per host.
#include "session/Baseline.h"

#include "base/Hash.h"

#include <algorithm>

namespace tamarack::session {

namespace {

/// Flow table entries expire after this idle time, the same as the pools' idle time-out in the
/// simulated settings.
constexpr Millis kIdleTimeout{ 20'000 };
/// Interval between removals of expired flow table entries.
constexpr Millis kSweepInterval{ 1000 };
/// An upstream counts as unhealthy for this long after its last failed probe.
constexpr Millis kFailureHoldTime{ 1500 };

} // namespace

BaselineNode::BaselineNode(const node::NodeOptions&, TimePoint aNow)
  : m_lastSweepAt(aNow)
{
}

void
BaselineNode::onSettings(TimePoint aNow, settings::SettingsPtr aSettings, Millis)
{
  m_settings = std::move(aSettings);
  m_events.add(
    aNow, EventId::SettingsAccepted, "revision " + std::to_string(m_settings->m_revision));
}

void
BaselineNode::onProbeResult(TimePoint aNow, const admission::UpstreamReport& aReport)
{
  if (!aReport.m_answered || !aReport.m_identityMatches) {
    m_failedAt[aReport.m_upstream] = aNow;
  }
}

void
BaselineNode::tick(TimePoint aNow)
{
  std::erase_if(m_failedAt,
                [&](const auto& aEntry) { return aNow - aEntry.second > kFailureHoldTime; });
  if (aNow - m_lastSweepAt < kSweepInterval) {
    return;
  }
  m_lastSweepAt = aNow;
  boost::unordered::erase_if(
    m_flows, [&](const auto& aEntry) { return aNow - aEntry.second.m_lastSeen > kIdleTimeout; });
}

const settings::Service*
BaselineNode::findService(const packet::FlowKey& aFlow) const
{
  if (!m_settings) {
    return nullptr;
  }
  const auto found = std::ranges::find_if(m_settings->m_services, [&](const auto& aService) {
    return aService.m_address == aFlow.m_destination && aService.m_protocol == aFlow.m_protocol &&
           std::ranges::find(aService.m_ports, aFlow.m_destinationPort) != aService.m_ports.end();
  });
  return found == m_settings->m_services.end() ? nullptr : &*found;
}

const settings::Upstream*
BaselineNode::findUpstream(const settings::Service& aService, UpstreamId aId) const
{
  const auto found = std::ranges::find(aService.m_upstreams, aId, &settings::Upstream::m_id);
  return found == aService.m_upstreams.end() ? nullptr : &*found;
}

UpstreamId
BaselineNode::hashToUpstream(const settings::Service& aService, FlowId aFlow) const
{
  std::vector<UpstreamId> healthy;
  for (const settings::Upstream& upstream : aService.m_upstreams) {
    const bool isUsable =
      !upstream.m_draining && !m_settings->isDataCentreOut(upstream.m_dataCentre);
    if (isUsable && !m_failedAt.contains(upstream.m_id)) {
      healthy.push_back(upstream.m_id);
    }
  }
  return pickByRendezvous(aFlow.m_value, healthy);
}

node::Decision
BaselineNode::decide(TimePoint aNow, const node::PacketArrival& aArrival)
{
  const settings::Service* service = findService(aArrival.m_meta.m_flow);
  if (service == nullptr) {
    return { .m_error = ErrorKind::NoSuchService };
  }
  const FlowId flow = packet::flowId(aArrival.m_meta.m_flow, m_settings->m_seed);
  const auto entry = m_flows.find(flow.m_value);
  const bool hasEntry = entry != m_flows.end() && !aArrival.m_meta.m_opensFlow;
  const UpstreamId chosen = hasEntry ? entry->second.m_upstream : hashToUpstream(*service, flow);
  const settings::Upstream* upstream = findUpstream(*service, chosen);
  if (upstream == nullptr) {
    return { .m_error = hasEntry ? ErrorKind::UpstreamGone : ErrorKind::NoCapacity,
             .m_service = service->m_id };
  }
  if (m_settings->isDataCentreOut(upstream->m_dataCentre)) {
    return { .m_error = ErrorKind::DataCentreOut, .m_service = service->m_id };
  }
  m_flows[flow.m_value] = { chosen, aNow };
  return { .m_verdict = node::Verdict::Forward,
           .m_service = service->m_id,
           .m_upstream = chosen,
           .m_address = upstream->m_address };
}

std::vector<node::ProbeTarget>
BaselineNode::probeTargets(TimePoint) const
{
  std::vector<node::ProbeTarget> targets;
  if (!m_settings) {
    return targets;
  }
  for (const settings::Service& service : m_settings->m_services) {
    for (const settings::Upstream& upstream : service.m_upstreams) {
      targets.push_back(
        { service.m_id, upstream.m_id, upstream.m_address, service.m_name, upstream.m_name });
    }
  }
  return targets;
}

} // namespace tamarack::session
