// A token bucket: so many at once after a quiet time, and so many in a second after that.
#pragma once

#include "base/Types.h"

#include <algorithm>

namespace tamarack {

class RateLimit
{
public:
  RateLimit(double aPerSecond, double aBurst)
    : m_perSecond(aPerSecond)
    , m_burst(aBurst)
    , m_left(aBurst)
  {
  }

  /// Takes one if there is one.
  bool take(TimePoint aNow)
  {
    refill(aNow);
    if (m_left < 1) {
      return false;
    }
    m_left -= 1;
    return true;
  }

private:
  void refill(TimePoint aNow)
  {
    const double seconds = static_cast<double>((aNow - m_at).count()) / 1000;
    m_left = std::min(m_burst, m_left + std::max(0.0, seconds) * m_perSecond);
    m_at = aNow;
  }

  double m_perSecond;
  double m_burst;
  double m_left;
  TimePoint m_at;
};

} // namespace tamarack
