// How often something happens by chance, so that a sign can be weighed by how little it surprises.
// On links that lose packets, a repeated packet says little of the upstream that it was sent to.
#pragma once

#include <algorithm>
#include <cmath>

namespace tamarack::steering {

/// How fast the meter follows: sixteen packets show that a link has begun to lose them.
inline constexpr double kChanceGain = 1.0 / 16;
/// Chance that is assumed at the start and at least; one in fifty requests takes long enough to be
/// repeated on a calm day.
inline constexpr double kFirstChance = 0.05;
inline constexpr double kLeastChance = 0.02;

class ChanceMeter
{
public:
  void add(bool aHappened) { m_chance += ((aHappened ? 1.0 : 0.0) - m_chance) * kChanceGain; }

  /// The surprise of one more such event, in nats.
  [[nodiscard]] double surprise() const
  {
    return -std::log(std::clamp(m_chance, kLeastChance, 1.0));
  }

private:
  double m_chance{ kFirstChance };
};

} // namespace tamarack::steering
