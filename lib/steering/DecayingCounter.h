// An exponentially decaying counter, used to compare upstreams by the load that this host sent to
// them recently. Since the count decays by itself, the end of a request need not be observed, and
// no request can be counted forever.
#pragma once

#include "base/Types.h"

#include <cmath>

namespace tamarack::steering {

class DecayingCounter
{
public:
  /// `aTimeConstant` is the time in which the count decays to 1/e.
  explicit DecayingCounter(Millis aTimeConstant)
    : m_timeConstant(aTimeConstant)
  {
  }

  void add(TimePoint aNow)
  {
    m_value = value(aNow) + 1;
    m_at = aNow;
  }

  [[nodiscard]] double value(TimePoint aNow) const
  {
    if (m_value == 0) {
      return 0;
    }
    const double elapsed = static_cast<double>((aNow - m_at).count());
    return m_value * std::exp(-elapsed / static_cast<double>(m_timeConstant.count()));
  }

private:
  Millis m_timeConstant;
  double m_value{};
  TimePoint m_at;
};

} // namespace tamarack::steering
