// Detects connections that the upstream refused. If the process of an upstream crashed while its
// machine keeps running, callers are refused by the machine directly, so no host sees the refusal,
// and callers do not retransmit: they return with new flows, through any host. This covers
// upstreams that crash together: all near ones refuse connections and seem to have the least load.
#pragma once

#include "steering/FlowTable.h"

#include <deque>
#include <utility>

namespace tamarack::steering {

/// Time after which a flow without a further packet counts as refused. A caller continues after a
/// round trip, or retransmits its SYN after 200 ms; one that did neither was refused.
inline constexpr Millis kRefusalTimeout{ 300 };
/// Maximum number of flows that are monitored at a time. 44 flows are opened within kRefusalTimeout
/// at the load that the system is designed for; the remainder is for callers that all reconnect at
/// once.
inline constexpr size_t kMaxPendingFlows = 1024;
/// Flows that are opened within this time after the registry was loaded are not monitored: their
/// SYNs may have been queued while the host started, and their callers may have given up since.
inline constexpr Millis kStartupExclusionTime{ 1500 };
/// Maximum time between two calls of detect(). After a longer gap, the host was paused and packets
/// of callers may still be queued in its socket, so pending flows are discarded.
inline constexpr Millis kMaxDetectionGap{ 250 };

class RefusedFlowDetector
{
public:
  /// Starts to monitor a flow whose first SYN was forwarded.
  void addFlow(TimePoint aNow, const packet::FlowKey& aFlow, Token aToken)
  {
    if (m_pendingFlows.size() < kMaxPendingFlows) {
      m_pendingFlows.push_back({ aFlow, aToken, aNow });
    }
  }

  /// Calls `aOnRefused` with each flow whose caller was refused and the token of its upstream.
  template<typename Handler>
  void detect(TimePoint aNow, FlowTable& aFlows, const Handler& aOnRefused)
  {
    const TimePoint before = std::exchange(m_lastDetectionAt, aNow);
    if (before != TimePoint{} && aNow - before > kMaxDetectionGap) {
      m_pendingFlows.clear();
    }
    for (; !m_pendingFlows.empty() && aNow - m_pendingFlows.front().m_at >= kRefusalTimeout;
         m_pendingFlows.pop_front()) {
      const PendingFlow& pending = m_pendingFlows.front();
      const FlowState* const flow = aFlows.find(pending.m_flow);
      const bool isIdle = flow != nullptr && !flow->hasCompleteMap() &&
                          flow->m_token == pending.m_token &&
                          flow->idleTime(aNow) >= aNow - pending.m_at;
      if (isIdle) {
        aOnRefused(pending.m_flow, pending.m_token);
      }
    }
  }

private:
  struct PendingFlow
  {
    packet::FlowKey m_flow;
    Token m_token;
    TimePoint m_at;
  };

  /// Ordered by m_at; at most kMaxPendingFlows.
  std::deque<PendingFlow> m_pendingFlows;
  TimePoint m_lastDetectionAt;
};

} // namespace tamarack::steering
