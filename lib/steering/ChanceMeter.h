// How often something happens by chance, so that a sign can be weighed by how little it surprises.
// On links that lose packets, a repeated packet says little of the upstream that it was sent to.
#pragma once

#include <algorithm>
#include <cmath>

namespace tamarack::steering {

/// How fast the meter follows: some thirty packets show that a link has begun to lose them.
inline constexpr double kChanceGain = 1.0 / 32;

class ChanceMeter
{
public:
  /// `aFirst`: what is assumed at the start; `aLeast`: what is assumed at least.
  ChanceMeter(double aFirst, double aLeast, double aGain = kChanceGain)
    : m_chance(aFirst)
    , m_least(aLeast)
    , m_gain(aGain)
  {
  }

  void add(bool aHappened) { m_chance += ((aHappened ? 1.0 : 0.0) - m_chance) * m_gain; }

  [[nodiscard]] double chance() const { return std::clamp(m_chance, m_least, 1 - m_least); }

  /// The surprise of one more such event, in nats.
  [[nodiscard]] double surprise() const { return -std::log(std::clamp(m_chance, m_least, 1.0)); }

private:
  double m_chance;
  double m_least;
  double m_gain;
};

} // namespace tamarack::steering
