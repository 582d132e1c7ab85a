// The fields of log lines about flows.
#include "steering/FlowEvents.h"

#include "steering/Directory.h"

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
  if (aEvent.m_before) {
    text += " before=" + formatToken(aEvent.m_before);
  }
  if (aEvent.m_error) {
    text += " reason=" + std::string(errorRow(*aEvent.m_error).m_name);
  }
  if (aEvent.m_copy > 0) {
    text += " copy=" + std::to_string(aEvent.m_copy);
  }
  if (aEvent.m_repeats > 0) {
    text += " repeats=" + std::to_string(aEvent.m_repeats);
  }
  if (aEvent.m_time != Millis{}) {
    text += " time_ms=" + std::to_string(aEvent.m_time.count());
  }
  return text + " revision=" + registry::formatRevision(aEvent.m_revision) +
         " view_age_ms=" + std::to_string(aEvent.m_viewAge.count());
}

} // namespace tamarack::steering
