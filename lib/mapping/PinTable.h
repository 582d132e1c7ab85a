// The pins (flow to upstream) of one service, for the buckets that this host owns or replicates.
// The capacity is fixed; when the table is full, new entries are rejected and the owner forwards
// their flows to the bucket's base upstream.
#pragma once

#include "base/Types.h"
#include "mapping/Bucket.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <functional>
#include <vector>

namespace tamarack::mapping {

struct Pin
{
  UpstreamId m_upstream;
  TimePoint m_lastSeen;
  /// The index of the flow's bucket.
  uint16_t m_bucket{};
  /// The pin was sent to the replica, or the bucket has no replica.
  bool m_replicated{};
  /// The flow was seen running on the base upstream and is recorded here only so that it can be
  /// pinned and replicated before the base changes.
  bool m_observedOnly{};
};

class PinTable
{
public:
  explicit PinTable(size_t aCapacity)
    : m_capacity(aCapacity)
  {
  }

  [[nodiscard]] Pin* find(FlowId aFlow)
  {
    const auto found = m_pins.find(aFlow.m_value);
    return found == m_pins.end() ? nullptr : &found->second;
  }

  [[nodiscard]] const Pin* find(FlowId aFlow) const
  {
    const auto found = m_pins.find(aFlow.m_value);
    return found == m_pins.end() ? nullptr : &found->second;
  }

  /// Returns null if the flow is new and the table is full.
  Pin* insertOrAssign(FlowId aFlow, const Pin& aPin)
  {
    if (Pin* existing = find(aFlow); existing != nullptr) {
      *existing = aPin;
      return existing;
    }
    if (m_pins.size() >= m_capacity) {
      return nullptr;
    }
    return &m_pins.emplace(aFlow.m_value, aPin).first->second;
  }

  void erase(FlowId aFlow) { m_pins.erase(aFlow.m_value); }

  /// Calls `aVisit(FlowId, Pin&)` for each pin and erases those for which it returns true.
  template<typename Visit>
  void eraseIf(Visit aVisit)
  {
    boost::unordered::erase_if(
      m_pins, [&](auto& aEntry) { return aVisit(FlowId{ aEntry.first }, aEntry.second); });
  }

  template<typename Visit>
  void forEach(Visit aVisit)
  {
    for (auto& [flow, pin] : m_pins) {
      aVisit(FlowId{ flow }, pin);
    }
  }

  [[nodiscard]] size_t size() const { return m_pins.size(); }
  /// The maximum number of entries.
  [[nodiscard]] size_t capacity() const { return m_capacity; }

private:
  size_t m_capacity;
  /// At most m_capacity entries.
  boost::unordered_flat_map<uint64_t, Pin> m_pins;
};

} // namespace tamarack::mapping
