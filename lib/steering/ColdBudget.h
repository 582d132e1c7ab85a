// Limits new flows to upstreams in a cold start. It answers a service whose upstreams all start at
// once: a limit that holds for the sum over all hosts cannot be divided among eighty of them, so
// one host of the upstream's own data centre may use it, and all others leave it alone. No cut
// between data centres adds a user.
#pragma once

#include "steering/Directory.h"

#include <deque>

namespace tamarack::steering {

/// Share of the limit that the one host uses. Two halves of a data centre that is cut, and hosts
/// that disagree for a moment on who it is, stay within the limit as long as there are two of them.
inline constexpr double kColdShare = 0.45;

struct ColdLimits
{
  /// What the limit of a service is multiplied by, and what is added, per second of all hosts.
  double m_factor{ 1.0 };
  double m_slack{};
};

class ColdBudget
{
public:
  explicit ColdBudget(ColdLimits aLimits)
    : m_limits(aLimits)
  {
  }

  /// Whether this host is the one of its data centre that may use cold upstreams. Forgets upstreams
  /// that got nothing lately.
  void setOwner(TimePoint aNow, bool aIsOwner);

  /// Whether one more flow may go to a cold upstream now.
  [[nodiscard]] bool allows(TimePoint aNow,
                            const Upstream& aUpstream,
                            const registry::ServiceRecord& aService);
  void onPlaced(TimePoint aNow, const Upstream& aUpstream);

private:
  ColdLimits m_limits;
  bool m_isOwner{};
  /// Times of flows within the last second, by token.
  absl::flat_hash_map<uint32_t, std::deque<TimePoint>> m_placed;
};

} // namespace tamarack::steering
