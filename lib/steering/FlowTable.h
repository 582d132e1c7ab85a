// What this host has seen of flows: enough to recognise repeated packets and progress. It is a
// hint, not a record: a flow that is missing is forwarded by its token all the same.
#pragma once

#include "steering/Steering.h"

#include <memory>
#include <span>

namespace tamarack::steering {

struct FlowState
{
  /// Hash of the flow; 0 marks a free place.
  uint64_t m_key{};
  packet::FlowKey m_flow;
  TimePoint m_lastAt;
  /// When the request that waits for an answer was seen; the epoch when none waits.
  TimePoint m_requestAt;
  Token m_token;
  /// End of the caller's bytes seen so far.
  uint32_t m_sequenceEnd{};
  uint32_t m_acknowledged{};
  /// Packets sent again since the last progress.
  uint8_t m_repeats{};
  /// A packet after the opening one was seen.
  bool m_isOpen{};
};

class FlowTable
{
public:
  /// `aPlaces` is rounded up to whole sets.
  explicit FlowTable(size_t aPlaces);

  [[nodiscard]] FlowState* find(uint64_t aKey);
  /// Finds a flow or gives it a place, if need be that of the flow that was quiet for longest.
  FlowState& findOrAdd(TimePoint aNow, uint64_t aKey);
  /// All places, free ones included.
  [[nodiscard]] std::span<FlowState> all() { return { m_states.get(), m_sets * kWays }; }

private:
  static constexpr size_t kWays = 4;

  std::span<FlowState, kWays> setOf(uint64_t aKey);

  size_t m_sets;
  /// Zero-initialised by the allocator, so places that are never used cost no memory.
  std::unique_ptr<FlowState[], decltype(&std::free)> m_states;
};

} // namespace tamarack::steering
