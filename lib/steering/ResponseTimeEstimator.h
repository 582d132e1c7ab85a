// Estimates the usual response times of a service from what callers acknowledge, and from them the
// time after which a pending request is evidence of failure, for services of any speed.
#pragma once

#include "base/Types.h"

#include <algorithm>
#include <cmath>

namespace tamarack::steering {

/// Minimum response timeout, longer than the usual maximum response time of any service. A request
/// that has been pending for less is no evidence of failure.
inline constexpr Millis kMinResponseTimeout{ 500 };
/// Ratio of the response timeout to the usual maximum response time.
inline constexpr double kResponseTimeoutFactor = 3;

/// Relative change of the median estimate with each response: twenty responses halve an error.
inline constexpr double kMedianStep = 0.04;
/// Number of responses before the median estimate is used.
inline constexpr uint64_t kMinMedianSamples = 32;

class ResponseTimeEstimator
{
public:
  /// Adds a response time. Mean and deviation are smoothed with the gains of the TCP round-trip
  /// time estimator (RFC 6298).
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
    // The median moves by a fixed ratio, so a few slow upstreams change it little, however long
    // their responses take.
    m_median += std::max(m_median, 1.0) * (time > m_median ? kMedianStep : -kMedianStep);
    m_deviation += (std::abs(time - m_mean) - m_deviation) / 4;
    m_mean += (time - m_mean) / 8;
  }

  /// Returns the time after which the upstream is assumed not to be processing a pending request.
  [[nodiscard]] Millis responseTimeout() const
  {
    const double usualMaximum = m_mean + 4 * m_deviation;
    return std::max(kMinResponseTimeout,
                    Millis{ static_cast<int64_t>(kResponseTimeoutFactor * usualMaximum) });
  }

  /// Returns the median response time in milliseconds, or 0 before kMinMedianSamples responses.
  [[nodiscard]] double median() const { return m_count < kMinMedianSamples ? 0 : m_median; }

private:
  uint64_t m_count{};
  /// Mean, median and mean deviation of the response time, in milliseconds.
  double m_mean{};
  double m_median{};
  double m_deviation{};
};

} // namespace tamarack::steering
