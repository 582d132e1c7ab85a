// Decides whether a host withdraws, that is, reports itself not ready so that the fabric sends its
// callers to hosts of other data centres. This covers a data centre whose upstreams are all taken
// out of use while it is also partitioned from the other data centres: its hosts cannot serve any
// caller. The fabric uses hosts of other data centres once all hosts of this one are not ready.
#pragma once

#include "base/Types.h"

#include <algorithm>

namespace tamarack::edge {

/// Time without a status from another data centre after which the host counts as isolated. While
/// isolation is suspected, hosts of other data centres are asked twice in this time, and reachable
/// ones answer within milliseconds.
inline constexpr Millis kIsolationTimeout{ 400 };

/// The conditions that the decision depends on.
struct WithdrawalInputs
{
  /// New flows can only go to upstreams of other data centres.
  bool m_needsRemoteUpstreams{};
  /// The traffic of this host's callers shows that another data centre cannot be reached.
  bool m_isDataCentreUnreachable{};
  /// When a status of a host of another data centre last arrived; the epoch if none has.
  TimePoint m_lastRemoteContactAt;
};

class WithdrawalPolicy
{
public:
  /// Evaluates the conditions. Returns whether the decision changed.
  bool update(TimePoint aNow, const WithdrawalInputs& aInputs)
  {
    const bool wasWithdrawn = isWithdrawn();
    const TimePoint heardAt = aInputs.m_lastRemoteContactAt;
    // After the withdrawal the callers use other hosts and this host sees no unanswered packets
    // any more, so only a status from another data centre shows that the partition has ended.
    const bool isOver = wasWithdrawn ? heardAt > m_withdrawnAt : !aInputs.m_isDataCentreUnreachable;
    if (!aInputs.m_needsRemoteUpstreams || isOver) {
      m_isolationSuspectedSince = {};
      m_withdrawnAt = {};
      return wasWithdrawn;
    }
    if (m_isolationSuspectedSince == TimePoint{}) {
      m_isolationSuspectedSince = aNow;
    }
    if (!wasWithdrawn && aNow - std::max(m_isolationSuspectedSince, heardAt) >= kIsolationTimeout) {
      m_withdrawnAt = aNow;
    }
    return isWithdrawn() != wasWithdrawn;
  }

  [[nodiscard]] bool isWithdrawn() const { return m_withdrawnAt != TimePoint{}; }
  /// Whether hosts of other data centres have to be asked for a status, to confirm or to rule out
  /// that this host is isolated. Stays true while the host is withdrawn.
  [[nodiscard]] bool isIsolationSuspected() const
  {
    return m_isolationSuspectedSince != TimePoint{};
  }

private:
  /// The epoch while isolation is not suspected.
  TimePoint m_isolationSuspectedSince;
  /// The epoch while the host is not withdrawn.
  TimePoint m_withdrawnAt;
};

} // namespace tamarack::edge
