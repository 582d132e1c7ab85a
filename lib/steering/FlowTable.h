// What this host has seen of flows: enough to recognise repeated packets and progress. It is a
// hint, not a record: a flow that is missing is forwarded by its token all the same.
//
// With many flows each packet finds its state in memory, not in a cache. So a state takes half a
// cache line and a set of them two neighbouring lines.
#pragma once

#include "base/Hash.h"
#include "steering/Steering.h"

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <optional>
#include <span>

namespace tamarack::steering {

/// The same on every host. Flows that are steered by token are all TCP.
[[nodiscard]] inline uint64_t
hashOf(const packet::FlowKey& aFlow)
{
  const uint64_t addresses = uint64_t{ aFlow.m_source.m_value } << 32 | aFlow.m_destination.m_value;
  const uint64_t ports = uint64_t{ aFlow.m_sourcePort } << 16 | aFlow.m_destinationPort;
  return mixHash(addresses, ports);
}

class FlowState
{
public:
  FlowState() = default;
  /// Of a flow that is opening.
  FlowState(TimePoint aNow, const packet::FlowKey& aFlow, Token aToken, uint32_t aSequence)
    : m_token(aToken)
    , m_sequenceEnd(aSequence)
    , m_ports(portsOf(aFlow))
    , m_addresses(addressesOf(aFlow))
    , m_lastAt(shortTime(aNow))
  {
  }

  [[nodiscard]] bool isOf(const packet::FlowKey& aFlow) const
  {
    return m_addresses == addressesOf(aFlow) && m_ports == portsOf(aFlow) && !isFree();
  }
  [[nodiscard]] packet::FlowKey flow() const
  {
    return { Ipv4{ static_cast<uint32_t>(m_addresses >> 32) },
             Ipv4{ static_cast<uint32_t>(m_addresses) },
             static_cast<uint16_t>(m_ports >> 16),
             static_cast<uint16_t>(m_ports) };
  }
  [[nodiscard]] bool isFree() const { return !m_token; }

  void touch(TimePoint aNow) { m_lastAt = shortTime(aNow); }
  /// Time since the last packet.
  [[nodiscard]] Millis quietFor(TimePoint aNow) const
  {
    return Millis{ shortTime(aNow) - m_lastAt };
  }

  /// A request begins to wait for its answer, unless one waits already. Returns whether it did.
  bool beginRequest(TimePoint aNow)
  {
    if (m_isWaiting != 0) {
      return false;
    }
    m_isWaiting = 1;
    m_requestAt = shortTime(aNow) & kRequestMask;
    return true;
  }
  void endRequest() { m_isWaiting = 0; }
  /// How long a request has waited for its answer; nothing when none waits.
  [[nodiscard]] std::optional<Millis> waited(TimePoint aNow) const
  {
    if (m_isWaiting == 0) {
      return std::nullopt;
    }
    return Millis{ (shortTime(aNow) - m_requestAt) & kRequestMask };
  }

  [[nodiscard]] uint32_t repeats() const { return m_repeats; }
  void addRepeat() { m_repeats = std::min<uint32_t>(m_repeats + 1, kMostRepeats); }
  void clearRepeats() { m_repeats = 0; }

  [[nodiscard]] bool isOpen() const { return m_isOpen != 0; }
  void setOpen() { m_isOpen = 1; }

  /// None marks a free place.
  Token m_token;
  /// End of the caller's bytes seen so far.
  uint32_t m_sequenceEnd{};
  uint32_t m_acknowledged{};

private:
  static constexpr uint32_t kMostRepeats = 15;
  static constexpr uint32_t kRequestBits = 26;
  static constexpr uint32_t kRequestMask = (1U << kRequestBits) - 1;

  static uint64_t addressesOf(const packet::FlowKey& aFlow)
  {
    return uint64_t{ aFlow.m_source.m_value } << 32 | aFlow.m_destination.m_value;
  }
  static uint32_t portsOf(const packet::FlowKey& aFlow)
  {
    return uint32_t{ aFlow.m_sourcePort } << 16 | aFlow.m_destinationPort;
  }
  /// Wraps after 49 days. Only differences are used, and no flow lives as long.
  static uint32_t shortTime(TimePoint aNow)
  {
    return static_cast<uint32_t>(aNow.time_since_epoch().count());
  }

  uint32_t m_ports{};
  uint64_t m_addresses{};
  uint32_t m_lastAt{};
  /// The low bits of the time, which wrap after 18 hours; callers give up after seconds.
  uint32_t m_requestAt : kRequestBits{};
  /// Packets sent again since the last progress.
  uint32_t m_repeats : 4 {};
  /// A packet after the opening one was seen.
  uint32_t m_isOpen : 1 {};
  uint32_t m_isWaiting : 1 {};
};

static_assert(sizeof(FlowState) == 32, "two states share a cache line");

class FlowTable
{
public:
  /// `aFlows`: how many are to be remembered at a time.
  explicit FlowTable(size_t aFlows);

  /// Starts to fetch what the look-up of a flow needs from memory.
  void prefetch(const packet::FlowKey& aFlow) const
  {
    const FlowState* const set = m_states + firstOf(aFlow);
    __builtin_prefetch(set);
    __builtin_prefetch(set + kWays / 2);
  }
  [[nodiscard]] FlowState* find(const packet::FlowKey& aFlow);
  /// Finds a flow or makes a place free for it, if need be that of the flow that was quiet for
  /// longest.
  FlowState& findOrFree(TimePoint aNow, const packet::FlowKey& aFlow);
  /// All places, free ones included.
  [[nodiscard]] std::span<FlowState> all() { return { m_states, m_sets * kWays }; }

private:
  static constexpr size_t kWays = 4;

  [[nodiscard]] size_t firstOf(const packet::FlowKey& aFlow) const
  {
    // The upper half of the product maps a hash to a set without a division.
    return ((hashOf(aFlow) >> 32) * m_sets >> 32) * kWays;
  }
  std::span<FlowState, kWays> setOf(const packet::FlowKey& aFlow)
  {
    return std::span<FlowState, kWays>(m_states + firstOf(aFlow), kWays);
  }

  size_t m_sets;
  /// Zeroed by the allocator, so places that are never used cost no memory.
  std::unique_ptr<void, decltype(&std::free)> m_memory;
  /// In m_memory, where the first set begins a cache line.
  FlowState* m_states;
};

} // namespace tamarack::steering
