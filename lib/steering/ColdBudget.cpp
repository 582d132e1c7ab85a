// A sliding window of one second for each cold upstream.
#include "steering/ColdBudget.h"

namespace tamarack::steering {

namespace {

/// Two windows that overlap count the same flow, so the window is a little longer than the limit's.
constexpr Millis kWindow{ 1100 };

} // namespace

void
ColdBudget::setOwner(TimePoint aNow, bool aIsOwner)
{
  m_isOwner = aIsOwner;
  absl::erase_if(m_placed, [aNow](const auto& aEntry) {
    return aEntry.second.empty() || aNow - aEntry.second.back() >= kWindow;
  });
}

bool
ColdBudget::allows(TimePoint aNow,
                   const Upstream& aUpstream,
                   const registry::ServiceRecord& aService)
{
  if (!m_isOwner || !aUpstream.isLocal()) {
    return false;
  }
  auto& placed = m_placed[aUpstream.m_token.m_value];
  while (!placed.empty() && aNow - placed.front() >= kWindow) {
    placed.pop_front();
  }
  const double limit = aService.m_coldRequestsPerSecond * m_limits.m_factor + m_limits.m_slack;
  return static_cast<double>(placed.size() + 1) <= limit * kColdShare;
}

void
ColdBudget::onPlaced(TimePoint aNow, const Upstream& aUpstream)
{
  m_placed[aUpstream.m_token.m_value].push_back(aNow);
}

} // namespace tamarack::steering
