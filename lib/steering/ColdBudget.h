// Limits new flows to upstreams in a cold start. It answers a service whose upstreams all start at
// once: a limit that holds for the sum over all hosts cannot be divided among eighty of them, so
// one reader of the store may use a cold upstream, and other hosts leave it alone.
#pragma once

#include "steering/Directory.h"

#include <deque>
#include <span>

namespace tamarack::steering {

/// Share of the limit that the one host uses. Hosts that disagree for a moment on who it is, as
/// after a restart, stay within the limit as long as there are two of them.
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
  ColdBudget(HostId aSelf, ColdLimits aLimits)
    : m_self(aSelf)
    , m_limits(aLimits)
  {
  }

  /// Whether this host reads the store, and the other hosts that do.
  void setReaders(bool aIsReader, std::span<const HostId> aOthers);

  /// Whether one more flow may go to a cold upstream now.
  [[nodiscard]] bool allows(TimePoint aNow,
                            const Upstream& aUpstream,
                            const registry::ServiceRecord& aService);
  void onPlaced(TimePoint aNow, const Upstream& aUpstream);

private:
  [[nodiscard]] bool isMine(const Upstream& aUpstream) const;

  HostId m_self;
  ColdLimits m_limits;
  /// With this host if it is one; the hosts that share the limits.
  std::vector<HostId> m_readers;
  /// Times of flows within the last second, by token.
  absl::flat_hash_map<uint32_t, std::deque<TimePoint>> m_placed;
};

} // namespace tamarack::steering
