// Whether a host asks the fabric to send its callers elsewhere. It answers a data centre whose own
// upstreams are taken out while it is cut off from the others: its hosts can serve nobody, and
// hosts of other data centres, which the fabric uses once all hosts here are not ready, can.
#pragma once

#include "base/Types.h"

#include <algorithm>

namespace tamarack::edge {

/// Hosts elsewhere are asked twice in this time and answer within milliseconds.
inline constexpr Millis kIsolationPatience{ 400 };

/// What a host knows of its place.
struct Surroundings
{
  /// Only upstreams of other data centres can serve its callers.
  bool m_isDependent{};
  /// Its callers show that one of those data centres cannot be reached.
  bool m_isAnyLost{};
  /// When a host of another data centre was last heard; the epoch before.
  TimePoint m_heardElsewhereAt;
};

class Withdrawal
{
public:
  /// Returns whether the decision changed.
  bool update(TimePoint aNow, const Surroundings& aSurroundings)
  {
    const bool wasWithdrawn = isWithdrawn();
    const TimePoint heardAt = aSurroundings.m_heardElsewhereAt;
    // Callers that go through other hosts seem to be answered, so they are no reason to return.
    const bool isOver = wasWithdrawn ? heardAt > m_withdrawnAt : !aSurroundings.m_isAnyLost;
    if (!aSurroundings.m_isDependent || isOver) {
      m_doubtedSince = {};
      m_withdrawnAt = {};
      return wasWithdrawn;
    }
    if (m_doubtedSince == TimePoint{}) {
      m_doubtedSince = aNow;
    }
    if (!wasWithdrawn && aNow - std::max(m_doubtedSince, heardAt) >= kIsolationPatience) {
      m_withdrawnAt = aNow;
    }
    return isWithdrawn() != wasWithdrawn;
  }

  [[nodiscard]] bool isWithdrawn() const { return m_withdrawnAt != TimePoint{}; }
  /// Whether the host has to know if it hears hosts of other data centres.
  [[nodiscard]] bool isInDoubt() const { return m_doubtedSince != TimePoint{}; }

private:
  TimePoint m_doubtedSince;
  TimePoint m_withdrawnAt;
};

} // namespace tamarack::edge
