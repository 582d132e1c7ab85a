// The coordinator's budget of new flows for one metered upstream. During a cold start a token
// bucket limits the grants. Owners may use a grant at any time within its lifetime, so the refill
// rate and the bucket size are chosen such that the flows admitted in any second stay within the
// cold-start limit. The connection limit also applies to warm upstreams.
#pragma once

#include "admission/Admission.h"
#include "settings/Settings.h"

#include <algorithm>
#include <deque>

namespace tamarack::admission {

/// Refill rate and size of the token bucket as fractions of the cold-start limit (new flows per
/// second). With a grant lifetime of 0.4 s, the flows admitted within 1 s stem from grants of at
/// most 1.4 s, hence kBurstFraction + 1.4 * kRefillFraction <= 1.
inline constexpr double kRefillFraction = 0.55;
inline constexpr double kBurstFraction = 0.2;
/// A grant is added to the reported connections for this long, because the latest report may be
/// this old and not include the grant's flows.
inline constexpr Millis kMaxReportAge{ 3000 };

class AdmissionBudget
{
public:
  /// The state on which a grant depends. In a partition each side's coordinator grants only its
  /// share of the limits, so that both sides together stay within them.
  struct GrantConditions
  {
    /// This host's share of the votes for the service, from 0 to 1.
    double m_voteShare{};
    /// The upstream is in a cold start, so that the rate limit applies.
    bool m_cold{};
    /// The number of connections in the upstream's latest report.
    uint32_t m_connections{};
    /// When that report arrived.
    TimePoint m_reportedAt;
  };

  /// Returns how many of the requested new flows are granted.
  uint32_t grant(TimePoint aNow,
                 uint32_t aRequested,
                 const settings::Limits& aLimits,
                 const GrantConditions& aConditions)
  {
    refill(aNow, aLimits, aConditions);
    uint32_t count = aRequested;
    if (aConditions.m_cold) {
      count = std::min(count, static_cast<uint32_t>(m_tokens));
    }
    count = std::min(count, connectionHeadroom(aNow, aLimits, aConditions));
    if (aConditions.m_cold) {
      m_tokens -= count;
    }
    if (count > 0) {
      m_issued.push_back({ aNow, count });
    }
    return count;
  }

private:
  struct IssuedGrant
  {
    TimePoint m_at;
    uint32_t m_count{};
  };

  void refill(TimePoint aNow, const settings::Limits& aLimits, const GrantConditions& aConditions)
  {
    const double limit = aLimits.m_coldStart.m_newFlowsPerSecond;
    const double seconds = m_refilledAt == TimePoint{}
                             ? 0.0
                             : std::chrono::duration<double>(aNow - m_refilledAt).count();
    m_refilledAt = aNow;
    m_tokens += seconds * limit * kRefillFraction * aConditions.m_voteShare;
    m_tokens = std::min(m_tokens, limit * kBurstFraction * aConditions.m_voteShare);
  }

  /// Returns this host's share of the connections that are left below the upstream's limit. Grants
  /// of the last kMaxReportAge count as connections.
  uint32_t connectionHeadroom(TimePoint aNow,
                              const settings::Limits& aLimits,
                              const GrantConditions& aConditions)
  {
    while (!m_issued.empty() && aNow - m_issued.front().m_at > kMaxReportAge) {
      m_issued.pop_front();
    }
    uint64_t taken = aConditions.m_connections;
    for (const IssuedGrant& grant : m_issued) {
      taken += grant.m_count;
    }
    const auto headroom = aLimits.m_connections > taken ? aLimits.m_connections - taken : 0;
    return static_cast<uint32_t>(static_cast<double>(headroom) *
                                 std::min(1.0, aConditions.m_voteShare));
  }

  /// The number of new flows that the rate limit allows now; at most the size of the token bucket.
  double m_tokens{};
  /// Zero before the first grant request.
  TimePoint m_refilledAt;
  /// The grants of the last kMaxReportAge in the order of their times.
  std::deque<IssuedGrant> m_issued;
};

} // namespace tamarack::admission
