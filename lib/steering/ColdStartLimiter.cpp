// Implements the limit as a sliding window over the flows of each cold upstream.
#include "steering/ColdStartLimiter.h"

namespace tamarack::steering {

namespace {

/// Length of the sliding window. It is a little longer than the one second that the limit is
/// defined for, because overlapping windows count the same flow.
constexpr Millis kWindow{ 1100 };

} // namespace

void
ColdStartLimiter::setOwner(TimePoint aNow, bool aIsOwner)
{
  m_isOwner = aIsOwner;
  absl::erase_if(m_recentFlows, [aNow](const auto& aEntry) {
    return aEntry.second.empty() || aNow - aEntry.second.back() >= kWindow;
  });
}

bool
ColdStartLimiter::mayAddFlow(TimePoint aNow,
                             const Upstream& aUpstream,
                             const registry::ServiceRecord& aService)
{
  if (!m_isOwner || !aUpstream.isLocal()) {
    return false;
  }
  auto& recentFlows = m_recentFlows[aUpstream.m_token.m_value];
  while (!recentFlows.empty() && aNow - recentFlows.front() >= kWindow) {
    recentFlows.pop_front();
  }
  const double limit = aService.m_coldRequestsPerSecond * m_limits.m_factor + m_limits.m_slack;
  return static_cast<double>(recentFlows.size() + 1) <= limit * kOwnerLimitShare;
}

void
ColdStartLimiter::recordFlow(TimePoint aNow, const Upstream& aUpstream)
{
  m_recentFlows[aUpstream.m_token.m_value].push_back(aNow);
}

} // namespace tamarack::steering
