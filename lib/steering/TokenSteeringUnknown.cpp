// Implements the part of token-based steering that handles packets whose token belongs to no known
// upstream.
#include "steering/TokenSteering.h"

namespace tamarack::steering {

bool
TokenSteering::showsAbsence(TimePoint aNow, TimePoint aFirstAt) const
{
  const bool isGracePeriodOver = m_viewStatus.m_loadedAt != TimePoint{} &&
                                 aNow - m_viewStatus.m_loadedAt >= kUnknownTokenGracePeriod;
  // Entries that expired while the store was down are back by then.
  const bool haveEntriesReturned =
    m_viewStatus.m_confirmedAt >= m_regainedAt + kUnknownTokenGracePeriod;
  return isGracePeriodOver && haveEntriesReturned && isViewCurrent(aNow) &&
         m_viewStatus.m_confirmedAt >= aFirstAt;
}

ForwardingDecision
TokenSteering::handleUnknownToken(TimePoint aNow, const FlowPacket& aPacket)
{
  if (aPacket.m_isFinOrRst) {
    m_unknownTokens.removeFlow(aPacket.m_flow);
  }
  if (!aPacket.m_token) {
    return reject(aNow, aPacket, ErrorKind::TokenUnknown, EventId::FlowDropped);
  }
  const TimePoint firstAt = m_unknownTokens.onPacket(aNow, aPacket.m_token);
  if (aPacket.m_length == 0) {
    return reject(aNow, aPacket, ErrorKind::TokenUnknown, EventId::FlowDropped);
  }
  if (!showsAbsence(aNow, firstAt)) {
    if (!aPacket.m_isFinOrRst) {
      m_unknownTokens.addFlow(aNow, aPacket, firstAt);
    }
    return reject(aNow, aPacket, ErrorKind::TokenUnknown, EventId::FlowDropped);
  }
  m_unknownTokens.removeFlow(aPacket.m_flow);
  return reject(aNow, aPacket, ErrorKind::UpstreamGone, EventId::FlowReset);
}

void
TokenSteering::resetUnknownFlows(TimePoint aNow, std::vector<FlowPacket>& aResets)
{
  m_unknownTokens.prune(aNow, kMaxPendingRequestAge, [this](Token aToken) {
    return m_directory.findUpstream(aToken) != nullptr;
  });
  if (m_unknownTokens.waitingFlows() == 0 || !showsAbsence(aNow, m_viewStatus.m_confirmedAt) ||
      !m_directory.mechanisms().isEnabled(Mechanism::DeadUpstreamResets)) {
    return;
  }
  for (const FlowPacket& packet : m_unknownTokens.takeFlows(m_viewStatus.m_confirmedAt)) {
    (void)reject(aNow, packet, ErrorKind::UpstreamGone, EventId::FlowReset);
    aResets.push_back(packet);
  }
}

} // namespace tamarack::steering
