// Remembers when packets with tokens that no known upstream has arrived first. An upstream is
// registered before a host assigns it a flow, so records that are confirmed as of a later time and
// still lack it show that it has ended. Records that were confirmed before may only be too old.
//
// Callers choose the tokens of their packets, so all state is bounded. At the bound, the token of a
// set that was seen first is forgotten and waits for one more confirmation if it is seen again; a
// flow for which there is no room is reset at the next copy of its request.
#pragma once

#include "base/Hash.h"
#include "steering/FlowTable.h"

#include <absl/container/flat_hash_map.h>
#include <algorithm>
#include <array>

namespace tamarack::steering {

/// Number of unknown tokens that are remembered.
inline constexpr size_t kMaxUnknownTokens = 1024;
/// Time after which an unknown token is forgotten.
inline constexpr Millis kUnknownTokenLifetime = kMaxFlowIdleTime;
/// Maximum number of flows that wait for a confirmation. All of them are reset in one tick.
inline constexpr size_t kMaxWaitingFlows = 256;

class UnknownTokens
{
public:
  /// Records that a packet with an unknown token arrived. Returns the time of the first one.
  TimePoint onPacket(TimePoint aNow, Token aToken)
  {
    Entry* const set = &m_entries[mixHash(aToken.m_value, 0) % kSets * kWays];
    Entry* oldest = set;
    for (Entry* entry = set; entry != set + kWays; ++entry) {
      if (entry->m_token == aToken) {
        return entry->m_firstAt;
      }
      oldest = entry->m_firstAt < oldest->m_firstAt ? entry : oldest;
    }
    *oldest = { aToken, aNow };
    m_isEmpty = false;
    return aNow;
  }

  /// Records that a request was dropped whose token was first seen at `aFirstAt`.
  void addFlow(TimePoint aNow, const FlowPacket& aPacket, TimePoint aFirstAt)
  {
    const uint64_t hash = hashFlow(aPacket.m_flow);
    if (m_waiting.contains(hash) || m_waiting.size() < kMaxWaitingFlows) {
      m_waiting[hash] = { aPacket, aFirstAt, aNow };
    }
  }

  /// Records that a flow has closed, or that its ports are used by another flow.
  void removeFlow(const packet::FlowKey& aFlow)
  {
    if (!m_waiting.empty()) {
      m_waiting.erase(hashFlow(aFlow));
    }
  }

  /// Removes the flows whose tokens were first seen at `aConfirmedAt` or before, and returns the
  /// last request of each.
  [[nodiscard]] std::vector<FlowPacket> takeFlows(TimePoint aConfirmedAt)
  {
    std::vector<FlowPacket> flows;
    absl::erase_if(m_waiting, [&](const auto& aItem) {
      const bool isDue = aItem.second.m_firstAt <= aConfirmedAt;
      if (isDue) {
        flows.push_back(aItem.second.m_packet);
      }
      return isDue;
    });
    return flows;
  }

  /// Forgets the tokens for which `aIsKnown` returns true, with their flows, and flows whose
  /// callers have given up: that is so `aMaxRequestAge` after their last request.
  template<typename Predicate>
  void prune(TimePoint aNow, Millis aMaxRequestAge, const Predicate& aIsKnown)
  {
    if (!m_waiting.empty()) {
      absl::erase_if(m_waiting, [&](const auto& aItem) {
        return aNow - aItem.second.m_lastAt > aMaxRequestAge ||
               aIsKnown(aItem.second.m_packet.m_token);
      });
    }
    if (m_isEmpty) {
      return;
    }
    m_isEmpty = true;
    for (Entry& entry : m_entries) {
      if (entry.m_token &&
          (aNow - entry.m_firstAt > kUnknownTokenLifetime || aIsKnown(entry.m_token))) {
        entry = {};
      }
      m_isEmpty = m_isEmpty && !entry.m_token;
    }
  }

  [[nodiscard]] size_t size() const
  {
    return static_cast<size_t>(std::ranges::count_if(
      m_entries, [](const Entry& aEntry) { return static_cast<bool>(aEntry.m_token); }));
  }
  [[nodiscard]] size_t waitingFlows() const { return m_waiting.size(); }

private:
  struct Entry
  {
    Token m_token;
    TimePoint m_firstAt;
  };
  struct WaitingFlow
  {
    FlowPacket m_packet;
    TimePoint m_firstAt;
    TimePoint m_lastAt;
  };

  static constexpr size_t kWays = 4;
  static constexpr size_t kSets = kMaxUnknownTokens / kWays;

  /// Entry `index` belongs to set `index / kWays`; free entries have no token.
  std::array<Entry, kMaxUnknownTokens> m_entries{};
  /// No entry has a token.
  bool m_isEmpty{ true };
  /// By the hash of the flow; at most kMaxWaitingFlows.
  absl::flat_hash_map<uint64_t, WaitingFlow> m_waiting;
};

} // namespace tamarack::steering
