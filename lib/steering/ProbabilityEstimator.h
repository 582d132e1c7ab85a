// Estimates the probability of an event by an exponentially weighted moving average, so that a
// single occurrence can be weighted by its surprisal. On links that lose packets, a retransmission
// says little about the upstream that the packet was sent to.
#pragma once

#include <algorithm>
#include <cmath>

namespace tamarack::steering {

/// Default weight of a new observation: about thirty packets suffice to show that a link has begun
/// to lose packets.
inline constexpr double kEstimatorGain = 1.0 / 32;

class ProbabilityEstimator
{
public:
  /// `aInitial` is the initial estimate. Estimates are reported as at least `aMinimum`, and
  /// probability() as at most 1 - `aMinimum`.
  ProbabilityEstimator(double aInitial, double aMinimum, double aGain = kEstimatorGain)
    : m_probability(aInitial)
    , m_minimum(aMinimum)
    , m_gain(aGain)
  {
  }

  void add(bool aOccurred) { m_probability += ((aOccurred ? 1.0 : 0.0) - m_probability) * m_gain; }

  [[nodiscard]] double probability() const
  {
    return std::clamp(m_probability, m_minimum, 1 - m_minimum);
  }

  /// Returns the surprisal of one more event, its negative log-probability, in nats.
  [[nodiscard]] double surprisal() const
  {
    return -std::log(std::clamp(m_probability, m_minimum, 1.0));
  }

private:
  double m_probability;
  double m_minimum;
  double m_gain;
};

} // namespace tamarack::steering
