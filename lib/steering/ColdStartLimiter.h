// Rate limit of new flows to cold upstreams. It applies when all upstreams of a service start at
// once. A limit on the sum over all hosts cannot be divided among eighty of them, so only one host
// of the data centre of the upstream, the owner, may use it, and all other hosts send no new flows
// to a rate-limited cold upstream. A partition between data centres does not add a second owner.
#pragma once

#include "steering/ServiceDirectory.h"

#include <deque>

namespace tamarack::steering {

/// Share of the limit that the owner uses. A partitioned data centre, or hosts that disagree
/// briefly on the owner, stay within the limit as long as there are at most two owners.
inline constexpr double kOwnerLimitShare = 0.45;

struct ColdStartLimits
{
  /// The limit of a service is multiplied by m_factor, and m_slack is added; the result is in flows
  /// per second, summed over all hosts.
  double m_factor{ 1.0 };
  double m_slack{};
};

class ColdStartLimiter
{
public:
  explicit ColdStartLimiter(ColdStartLimits aLimits)
    : m_limits(aLimits)
  {
  }

  /// Sets whether this host is the owner of its data centre. Also drops upstreams without recent
  /// flows.
  void setOwner(TimePoint aNow, bool aIsOwner);

  /// Returns whether one more flow may go to a cold upstream now.
  [[nodiscard]] bool mayAddFlow(TimePoint aNow,
                                const Upstream& aUpstream,
                                const registry::ServiceRecord& aService);
  /// Counts a flow that was assigned to a cold upstream.
  void recordFlow(TimePoint aNow, const Upstream& aUpstream);

private:
  ColdStartLimits m_limits;
  bool m_isOwner{};
  /// Times of the flows within the window, by token.
  absl::flat_hash_map<uint32_t, std::deque<TimePoint>> m_recentFlows;
};

} // namespace tamarack::steering
