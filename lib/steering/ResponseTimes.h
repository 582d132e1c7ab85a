// How long the upstreams of a service usually take, from what callers acknowledge. It says from
// when on waiting is a sign of silence, for services of any speed.
#pragma once

#include "base/Types.h"

#include <algorithm>
#include <cmath>

namespace tamarack::steering {

/// Waiting that is no sign of silence in any service: longer than the longest usual request.
inline constexpr Millis kLeastSilence{ 500 };
/// How many times the usual longest response time a caller waits in vain.
inline constexpr double kSilenceFactor = 3;

class ResponseTimes
{
public:
  /// Smoothed mean and deviation with the gains of TCP's estimator (RFC 6298).
  void add(Millis aTime)
  {
    const auto time = static_cast<double>(aTime.count());
    if (m_mean == 0) {
      m_mean = time;
      m_deviation = time / 2;
      return;
    }
    m_deviation += (std::abs(time - m_mean) - m_deviation) / 4;
    m_mean += (time - m_mean) / 8;
  }

  /// A request that has waited for this long is not being worked on.
  [[nodiscard]] Millis silence() const
  {
    const double usualLongest = m_mean + 4 * m_deviation;
    return std::max(kLeastSilence, Millis{ static_cast<int64_t>(kSilenceFactor * usualLongest) });
  }

private:
  double m_mean{};
  double m_deviation{};
};

} // namespace tamarack::steering
