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

/// By what share of itself the median moves with each answer: twenty answers halve an error.
inline constexpr double kMedianStep = 0.04;
inline constexpr uint64_t kAnswersForMedian = 32;

class ResponseTimes
{
public:
  /// Smoothed mean and deviation with the gains of TCP's estimator (RFC 6298).
  void add(Millis aTime)
  {
    const auto time = static_cast<double>(aTime.count());
    ++m_count;
    if (m_mean == 0) {
      m_mean = time;
      m_median = time;
      m_deviation = time / 2;
      return;
    }
    // A few slow upstreams move the median little, however long their answers take.
    m_median += std::max(m_median, 1.0) * (time > m_median ? kMedianStep : -kMedianStep);
    m_deviation += (std::abs(time - m_mean) - m_deviation) / 4;
    m_mean += (time - m_mean) / 8;
  }

  /// A request that has waited for this long is not being worked on.
  [[nodiscard]] Millis silence() const
  {
    const double usualLongest = m_mean + 4 * m_deviation;
    return std::max(kLeastSilence, Millis{ static_cast<int64_t>(kSilenceFactor * usualLongest) });
  }

  /// 0 until enough answers were seen.
  [[nodiscard]] double median() const { return m_count < kAnswersForMedian ? 0 : m_median; }

private:
  uint64_t m_count{};
  double m_mean{};
  double m_median{};
  double m_deviation{};
};

} // namespace tamarack::steering
