// What happened to flows, as data of a fixed size: the packet path records it without allocating,
// and the program writes it to the log within its budget of lines.
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
  /// Of refusals, resets and drops.
  std::optional<ErrorKind> m_error;
  packet::FlowKey m_flow;
  Token m_token;
  /// The upstream that the flow had before.
  Token m_before;
  uint32_t m_copy{};
  uint32_t m_repeats{};
  /// That an answer took, or that a caller has waited.
  Millis m_time{};
  /// The records that decided it and their age.
  registry::Revision m_revision{};
  Millis m_viewAge{};
};

class FlowEvents
{
public:
  /// Events between two writings; more are counted only.
  static constexpr size_t kMost = 256;

  void add(const FlowEvent& aEvent)
  {
    if (m_count == kMost) {
      ++m_lost;
      return;
    }
    m_events[m_count++] = aEvent;
  }

  [[nodiscard]] std::span<const FlowEvent> events() const { return { m_events.data(), m_count }; }
  [[nodiscard]] uint64_t lost() const { return m_lost; }
  void clear() { m_count = 0; }

private:
  std::array<FlowEvent, kMost> m_events{};
  size_t m_count{};
  uint64_t m_lost{};
};

/// One event as the fields of a log line.
[[nodiscard]] std::string
formatFlowEvent(const FlowEvent& aEvent);

} // namespace tamarack::steering
