// A table of fixed size with the state of recent flows, used to recognise retransmissions and
// progress. It is a cache: packets of a flow that is missing are forwarded by their token all the
// same.
//
// With many flows, each look-up misses the processor caches. A state therefore takes half a cache
// line, and a set of four states takes two adjacent lines.
#pragma once

#include "base/Hash.h"
#include "steering/Steering.h"

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <optional>
#include <span>

namespace tamarack::steering {

/// Hashes a flow; the result is the same on every host. The protocol is not hashed, since all flows
/// that are steered by token are TCP.
[[nodiscard]] inline uint64_t
hashFlow(const packet::FlowKey& aFlow)
{
  const uint64_t addresses = uint64_t{ aFlow.m_source.m_value } << 32 | aFlow.m_destination.m_value;
  const uint64_t ports = uint64_t{ aFlow.m_sourcePort } << 16 | aFlow.m_destinationPort;
  return mixHash(addresses, ports);
}

/// Time since the last packet of a flow from which on a SYN with the same ports opens another flow.
/// Callers send copies of a SYN within 600 ms.
inline constexpr Millis kMaxSynDelay{ 5000 };
/// Time since the last packet of a flow from which on any packet with the same ports belongs to
/// another flow. Flows older than this may be dropped.
inline constexpr Millis kMaxFlowIdleTime{ 60'000 };
/// Greatest distance between the sequence numbers of two packets of one flow that reach a host in a
/// row. A caller has up to 19,200 bytes in flight.
inline constexpr uint32_t kMaxSequenceDistance = 76'800;

/// The state of one flow; a free entry of the table if it has no token.
class FlowState
{
public:
  FlowState() = default;
  /// The state of a flow whose handshake is under way.
  FlowState(TimePoint aNow, const packet::FlowKey& aFlow, Token aToken, uint32_t aSequence)
    : m_token(aToken)
    , m_sequenceEnd(aSequence)
    , m_ports(packPorts(aFlow))
    , m_addresses(packAddresses(aFlow))
    , m_lastAt(truncatedTime(aNow))
  {
  }

  [[nodiscard]] bool matches(const packet::FlowKey& aFlow) const
  {
    return m_addresses == packAddresses(aFlow) && m_ports == packPorts(aFlow) && !isFree();
  }
  [[nodiscard]] packet::FlowKey flow() const
  {
    return { Ipv4{ static_cast<uint32_t>(m_addresses >> 32) },
             Ipv4{ static_cast<uint32_t>(m_addresses) },
             static_cast<uint16_t>(m_ports >> 16),
             static_cast<uint16_t>(m_ports) };
  }
  [[nodiscard]] bool isFree() const { return !m_token; }

  /// Whether a SYN is one of those that opened this flow. Otherwise its caller uses the port again,
  /// and the state is that of a former flow. After a pause of the process, `aIsDelayed` says that
  /// the SYN may have waited for any time.
  [[nodiscard]] bool isOpenedBy(TimePoint aNow, uint32_t aSequence, bool aIsDelayed) const
  {
    const bool isYoung = aIsDelayed || idleTime(aNow) <= kMaxSynDelay;
    const uint32_t sent = m_sequenceEnd - aSequence;
    return isYoung && !isClosed() && sent <= (hasCompleteMap() ? kMaxSequenceDistance : 0);
  }
  /// Whether a packet other than a SYN continues this flow.
  [[nodiscard]] bool isContinuedBy(TimePoint aNow, uint32_t aSequence) const
  {
    const uint32_t distance = aSequence - m_sequenceEnd + kMaxSequenceDistance;
    return idleTime(aNow) <= kMaxFlowIdleTime && distance <= 2 * kMaxSequenceDistance;
  }

  void touch(TimePoint aNow) { m_lastAt = truncatedTime(aNow); }
  /// Returns the time since the last packet.
  [[nodiscard]] Millis idleTime(TimePoint aNow) const
  {
    return Millis{ truncatedTime(aNow) - m_lastAt };
  }

  /// Marks a request as pending, unless one is pending already. Returns whether it was marked.
  bool beginRequest(TimePoint aNow)
  {
    if (m_isRequestPending != 0) {
      return false;
    }
    m_isRequestPending = 1;
    m_requestStart = truncatedTime(aNow) & kRequestMask;
    return true;
  }
  void endRequest() { m_isRequestPending = 0; }
  /// Returns how long the current request has been pending, or nothing if none is.
  [[nodiscard]] std::optional<Millis> pendingTime(TimePoint aNow) const
  {
    if (m_isRequestPending == 0) {
      return std::nullopt;
    }
    return Millis{ (truncatedTime(aNow) - m_requestStart) & kRequestMask };
  }

  [[nodiscard]] uint32_t retransmissions() const { return m_retransmissions; }
  void addRetransmission()
  {
    m_retransmissions = std::min<uint32_t>(m_retransmissions + 1, kMaxRetransmissions);
  }
  void clearRetransmissions() { m_retransmissions = 0; }

  [[nodiscard]] bool hasCompleteMap() const { return m_isEstablished != 0; }
  void setHasCompleteMap() { m_isEstablished = 1; }

  /// Whether the next request of the flow follows an earlier one.
  [[nodiscard]] bool hasSentRequest() const { return m_hasSentRequest != 0; }
  void setHasSentRequest() { m_hasSentRequest = 1; }
  [[nodiscard]] bool isClosed() const { return m_isClosed != 0; }
  void setClosed() { m_isClosed = 1; }

  /// The upstream of the flow; 0 marks a free entry.
  Token m_token;
  /// Sequence number after the last byte that the caller sent so far.
  uint32_t m_sequenceEnd{};
  /// The highest acknowledgement number that the caller sent so far.
  uint32_t m_acknowledged{};

private:
  static constexpr uint32_t kMaxRetransmissions = 15;
  static constexpr uint32_t kRequestBits = 24;
  static constexpr uint32_t kRequestMask = (1U << kRequestBits) - 1;

  static uint64_t packAddresses(const packet::FlowKey& aFlow)
  {
    return uint64_t{ aFlow.m_source.m_value } << 32 | aFlow.m_destination.m_value;
  }
  static uint32_t packPorts(const packet::FlowKey& aFlow)
  {
    return uint32_t{ aFlow.m_sourcePort } << 16 | aFlow.m_destinationPort;
  }
  /// The low 32 bits of the time in milliseconds. They wrap after 49 days; only differences are
  /// used, and no flow lives that long.
  static uint32_t truncatedTime(TimePoint aNow)
  {
    return static_cast<uint32_t>(aNow.time_since_epoch().count());
  }

  /// Source port in the upper half, destination port in the lower half.
  uint32_t m_ports{};
  /// Source address in the upper half, destination address in the lower half.
  uint64_t m_addresses{};
  uint32_t m_lastAt{};
  /// Start of the pending request: the low 24 bits of the time in milliseconds, which wrap
  /// after 4.6 hours. Callers give up after seconds.
  uint32_t m_requestStart : kRequestBits{};
  /// Retransmitted packets since the last progress, at most kMaxRetransmissions.
  uint32_t m_retransmissions : 4 {};
  /// A packet after the SYN was seen.
  uint32_t m_isEstablished : 1 {};
  uint32_t m_isRequestPending : 1 {};
  /// The next request is not the first one of the flow.
  uint32_t m_hasSentRequest : 1 {};
  /// The caller has closed its side of the flow.
  uint32_t m_isClosed : 1 {};
};

static_assert(sizeof(FlowState) == 32, "two states share a cache line");

/// A set-associative table of flow states that evicts the flow of a set that was idle for longest.
class FlowTable
{
public:
  /// `aFlowCapacity` is the number of flows to keep state for.
  explicit FlowTable(size_t aFlowCapacity);

  /// Prefetches the cache lines that the look-up of a flow reads.
  void prefetch(const packet::FlowKey& aFlow) const
  {
    const FlowState* const set = m_entries + firstEntryIndex(aFlow);
    __builtin_prefetch(set);
    __builtin_prefetch(set + kWays / 2);
  }
  [[nodiscard]] FlowState* find(const packet::FlowKey& aFlow);
  /// Returns the state of a flow. If there is none, returns a cleared entry of its set, if need be
  /// by evicting the flow that has been idle for longest.
  FlowState& findOrAllocate(TimePoint aNow, const packet::FlowKey& aFlow);
  /// Returns all entries, including free ones.
  [[nodiscard]] std::span<FlowState> entries() { return { m_entries, m_setCount * kWays }; }

private:
  static constexpr size_t kWays = 4;

  [[nodiscard]] size_t firstEntryIndex(const packet::FlowKey& aFlow) const
  {
    // Maps the upper 32 bits of the hash to a set by multiplication, which avoids a division.
    return ((hashFlow(aFlow) >> 32) * m_setCount >> 32) * kWays;
  }
  std::span<FlowState, kWays> entriesOfSet(const packet::FlowKey& aFlow)
  {
    return std::span<FlowState, kWays>(m_entries + firstEntryIndex(aFlow), kWays);
  }

  size_t m_setCount;
  /// Zeroed by the allocator, so that entries that are never used occupy no physical memory.
  std::unique_ptr<void, decltype(&std::free)> m_memory;
  /// Start of the first set in m_memory, aligned to a cache line.
  FlowState* m_entries;
};

} // namespace tamarack::steering
