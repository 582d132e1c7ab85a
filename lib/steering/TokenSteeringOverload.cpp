// Overload control on the packet path: measures the load of governed services, decides on their new
// flows and resets the idle flows of their upstreams that have ended.
#include "steering/TokenSteering.h"

namespace tamarack::steering {

overload::Admission
TokenSteering::admit(TimePoint aNow,
                     const FlowPacket& aPacket,
                     const Route& aRoute,
                     const Service& aService,
                     uint64_t aFlowHash)
{
  if (!aService.m_isGoverned) {
    return overload::Admission::Admit;
  }
  if (m_overloadControl.m_meter != nullptr && aPacket.m_synRetransmissions == 0) {
    m_overloadControl.m_meter->onNewFlow(aNow, aService.m_id, aRoute.m_id);
  }
  if (m_overloadControl.m_controller == nullptr) {
    return overload::Admission::Admit;
  }
  return m_overloadControl.m_controller->decide(
    { .m_service = aService.m_id,
      .m_route = aRoute.m_id,
      .m_flowHash = aFlowHash,
      .m_synRetransmissions = aPacket.m_synRetransmissions });
}

ForwardingDecision
TokenSteering::refuse(TimePoint aNow,
                      const FlowPacket& aPacket,
                      overload::Admission aAdmission,
                      FlowState* aKnown)
{
  if (aKnown != nullptr) {
    // A copy of this SYN would otherwise be taken for one that was forwarded.
    *aKnown = {};
  }
  const bool isDeferred = aAdmission == overload::Admission::Defer;
  return reject(aNow,
                aPacket,
                isDeferred ? ErrorKind::LoadDeferred : ErrorKind::LoadShed,
                EventId::FlowRefused);
}

const Route*
TokenSteering::findMeasuredRoute(const FlowPacket& aPacket, const Upstream& aUpstream) const
{
  return isMeasured(aUpstream)
           ? m_directory.findRoute(aPacket.m_flow.m_destination, aPacket.m_flow.m_destinationPort)
           : nullptr;
}

void
TokenSteering::measureHandshake(TimePoint aNow, const FlowState& aFlow, const Upstream& aUpstream)
{
  // With more than one SYN, the answered one is unknown.
  if (aFlow.retransmissions() == 0 && !m_isProcessingBacklog && isMeasured(aUpstream)) {
    aUpstream.m_service->m_roundTripTimes.add(aUpstream.m_dataCentre->m_index,
                                              aFlow.idleTime(aNow));
  }
}

void
TokenSteering::measureFurtherRequest(TimePoint aNow,
                                     const FlowPacket& aPacket,
                                     const Upstream& aUpstream)
{
  if (const Route* const route = findMeasuredRoute(aPacket, aUpstream)) {
    m_overloadControl.m_meter->onFurtherRequest(aNow, aUpstream.m_service->m_id, route->m_id);
  }
}

void
TokenSteering::measureResponse(TimePoint aNow,
                               const FlowPacket& aPacket,
                               const Upstream& aUpstream,
                               Millis aResponseTime)
{
  if (const Route* const route = findMeasuredRoute(aPacket, aUpstream)) {
    const Service& service = *aUpstream.m_service;
    const DataCentre& dataCentre = *aUpstream.m_dataCentre;
    m_overloadControl.m_meter->onResponse(
      aNow,
      service.m_id,
      route->m_id,
      dataCentre.m_id,
      service.m_roundTripTimes.excludeRoundTrip(dataCentre.m_index, aResponseTime));
  }
}

void
TokenSteering::scheduleIdleScan(Upstream& aUpstream)
{
  if (!aUpstream.hasEnded() || !aUpstream.m_service->m_isGoverned) {
    aUpstream.m_idleScanEnd = 0;
    return;
  }
  if (aUpstream.m_idleScanEnd == 0) {
    // One cycle over the table from here on visits each flow of the upstream once.
    aUpstream.m_idleScanEnd = m_idleScanPosition + m_flowTable.entries().size();
    m_idleScanEnd = aUpstream.m_idleScanEnd;
  }
}

void
TokenSteering::resetIdleFlows(TimePoint aNow, std::vector<FlowPacket>& aResets)
{
  if (m_idleScanPosition == m_idleScanEnd) {
    return;
  }
  const std::span<FlowState> entries = m_flowTable.entries();
  size_t index = m_idleScanPosition % entries.size();
  size_t resets = 0;
  for (; m_idleScanPosition < m_idleScanEnd && resets < kMaxIdleResetsPerTick;
       ++m_idleScanPosition) {
    FlowState& flow = entries[index];
    index = index + 1 == entries.size() ? 0 : index + 1;
    if (!flow.hasCompleteMap() || flow.isClosed() || flow.pendingTime(aNow) ||
        flow.idleTime(aNow) > kMaxFlowIdleTime) {
      // The reset of a flow that is over could reach a later flow from the same port.
      continue;
    }
    const Upstream* const upstream = m_directory.findUpstream(flow.m_token);
    if (upstream == nullptr || m_idleScanPosition >= upstream->m_idleScanEnd) {
      continue;
    }
    const FlowPacket packet{ .m_flow = flow.flow(),
                             .m_acknowledged = flow.m_acknowledged,
                             .m_token = flow.m_token };
    (void)resetFlow(aNow, packet, flow, ErrorKind::UpstreamGone);
    aResets.push_back(packet);
    ++resets;
  }
}

} // namespace tamarack::steering
