// Flow events as records of fixed size. The packet path records them without allocation; the
// program writes them to the log within its limit of lines.
#pragma once

#include "base/Events.h"
#include "registry/Records.h"
#include "steering/Steering.h"

#include <array>
#include <optional>
#include <span>

namespace tamarack::steering {

struct FlowEvent
{
  TimePoint m_at;
  EventId m_event;
  /// Set for refused, reset and dropped flows.
  std::optional<ErrorKind> m_error;
  packet::FlowKey m_flow;
  Token m_token;
  /// Token of the upstream that the flow was assigned to before; 0 if none.
  Token m_previousToken;
  /// SYN retransmissions by the caller, for events of SYN packets.
  uint32_t m_synRetransmissions{};
  /// Retransmissions since the last progress of the flow.
  uint32_t m_retransmissions{};
  /// Time since the latest evidence that the upstream has failed, for resets.
  std::optional<Millis> m_evidenceAge;
  /// Response time, or time that a request has been pending; 0 if the event has none.
  Millis m_duration{};
  /// Revision and age of the registry view that the decision was based on.
  registry::Revision m_revision{};
  Millis m_viewAge{};
};

/// Collects flow events between two writes of the log, without allocation.
class FlowEventBuffer
{
public:
  /// Events stored until the next clear(); further events are only counted as dropped.
  static constexpr size_t kCapacity = 256;

  void add(const FlowEvent& aEvent)
  {
    if (m_count == kCapacity) {
      ++m_droppedCount;
      return;
    }
    m_events[m_count++] = aEvent;
  }

  [[nodiscard]] std::span<const FlowEvent> events() const { return { m_events.data(), m_count }; }
  [[nodiscard]] uint64_t droppedCount() const { return m_droppedCount; }
  void clear() { m_count = 0; }

private:
  std::array<FlowEvent, kCapacity> m_events{};
  size_t m_count{};
  uint64_t m_droppedCount{};
};

/// Formats an event as the fields of a log line.
[[nodiscard]] std::string
formatFlowEvent(const FlowEvent& aEvent);

} // namespace tamarack::steering
