// A token-bucket rate limiter, which allows bursts up to a fixed size and a fixed sustained rate.
#pragma once

#include "base/Types.h"

#include <algorithm>

namespace tamarack {

class RateLimiter
{
public:
  /// Starts with a full bucket. `aPerSecond` is the sustained rate of operations per second, and
  /// `aBurst` the number of operations that are allowed at once after an idle period.
  RateLimiter(double aPerSecond, double aBurst)
    : m_perSecond(aPerSecond)
    , m_burst(aBurst)
    , m_available(aBurst)
  {
  }

  /// Consumes one token and returns true, or returns false if no whole token is available.
  bool tryAcquire(TimePoint aNow)
  {
    refill(aNow);
    if (m_available < 1) {
      return false;
    }
    m_available -= 1;
    return true;
  }

private:
  /// Adds the tokens accrued since the last refill. A time earlier than the last one adds none.
  void refill(TimePoint aNow)
  {
    const double seconds = static_cast<double>((aNow - m_refilledAt).count()) / 1000;
    m_available = std::min(m_burst, m_available + std::max(0.0, seconds) * m_perSecond);
    m_refilledAt = aNow;
  }

  double m_perSecond;
  double m_burst;
  /// Available tokens, at most m_burst; fractions accrue between operations.
  double m_available;
  TimePoint m_refilledAt;
};

} // namespace tamarack
