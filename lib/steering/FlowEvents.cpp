// Formats flow events for the log.
#include "steering/FlowEvents.h"

#include "steering/ServiceDirectory.h"

namespace tamarack::steering {

std::string
formatFlowEvent(const FlowEvent& aEvent)
{
  const packet::FlowKey& flow = aEvent.m_flow;
  std::string text = "flow=" + formatIpv4(flow.m_source) + ":" + std::to_string(flow.m_sourcePort) +
                     ">" + formatIpv4(flow.m_destination) + ":" +
                     std::to_string(flow.m_destinationPort);
  if (aEvent.m_token) {
    text += " token=" + formatToken(aEvent.m_token);
  }
  if (aEvent.m_previousToken) {
    text += " before=" + formatToken(aEvent.m_previousToken);
  }
  if (aEvent.m_error) {
    text += " reason=" + std::string(errorRow(*aEvent.m_error).m_name);
  }
  if (aEvent.m_synRetransmissions > 0) {
    text += " copy=" + std::to_string(aEvent.m_synRetransmissions);
  }
  if (aEvent.m_retransmissions > 0) {
    text += " repeats=" + std::to_string(aEvent.m_retransmissions);
  }
  if (aEvent.m_evidenceAge) {
    text += " evidence_age_ms=" + std::to_string(aEvent.m_evidenceAge->count());
  }
  if (aEvent.m_duration != Millis{}) {
    text += " time_ms=" + std::to_string(aEvent.m_duration.count());
  }
  return text + " revision=" + registry::formatRevision(aEvent.m_revision) +
         " view_age_ms=" + std::to_string(aEvent.m_viewAge.count());
}

} // namespace tamarack::steering
