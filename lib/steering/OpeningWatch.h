// Watches flows that have just been opened for callers that do not go on with them. An upstream
// whose process crashed on a machine that runs on refuses callers directly, so no host sees it, and
// callers repeat nothing: they come back with new flows, by way of any host. It answers upstreams
// that crash together, when all near ones refuse and seem to have the least load.
#pragma once

#include "steering/FlowTable.h"

#include <deque>
#include <utility>

namespace tamarack::steering {

/// Callers go on after a round trip, or send a copy of the opening packet after 200 ms. A caller
/// that did neither was refused.
inline constexpr Millis kRefusalWait{ 300 };
/// Flows that are watched at a time; the design size opens 44 in the time of waiting, and the rest
/// is for callers that all come back at once.
inline constexpr size_t kMostWatched = 1024;
/// Opening packets that waited for a host to start may be of callers that gave up meanwhile.
inline constexpr Millis kUnwatchedStart{ 1500 };
/// When the host stood still for so long, packets of callers may wait in its socket.
inline constexpr Millis kMostJudgingGap{ 250 };

class OpeningWatch
{
public:
  void onOpened(TimePoint aNow, const packet::FlowKey& aFlow, Token aToken)
  {
    if (m_openings.size() < kMostWatched) {
      m_openings.push_back({ aFlow, aToken, aNow });
    }
  }

  /// Calls `aOnRefused` with each flow whose caller was refused, and the token of its upstream.
  template<typename Handler>
  void judge(TimePoint aNow, FlowTable& aFlows, const Handler& aOnRefused)
  {
    const TimePoint before = std::exchange(m_judgedAt, aNow);
    if (before != TimePoint{} && aNow - before > kMostJudgingGap) {
      m_openings.clear();
    }
    for (; !m_openings.empty() && aNow - m_openings.front().m_at >= kRefusalWait;
         m_openings.pop_front()) {
      const Opening& opening = m_openings.front();
      const FlowState* const flow = aFlows.find(opening.m_flow);
      const bool isUntouched = flow != nullptr && !flow->isOpen() &&
                               flow->m_token == opening.m_token &&
                               flow->quietFor(aNow) >= aNow - opening.m_at;
      if (isUntouched) {
        aOnRefused(opening.m_flow, opening.m_token);
      }
    }
  }

private:
  struct Opening
  {
    packet::FlowKey m_flow;
    Token m_token;
    TimePoint m_at;
  };

  /// In the order of opening; at most kMostWatched.
  std::deque<Opening> m_openings;
  TimePoint m_judgedAt;
};

} // namespace tamarack::steering
