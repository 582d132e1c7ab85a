// A count that fades, to compare upstreams by what this host sent to them a short while ago. A
// fading count needs no sign of the end of a request, so nothing can leak.
#pragma once

#include "base/Types.h"

#include <cmath>

namespace tamarack::steering {

class LoadMeter
{
public:
  /// `aFade`: the time after which a count has fallen to 1/e.
  explicit LoadMeter(Millis aFade)
    : m_fade(aFade)
  {
  }

  void add(TimePoint aNow)
  {
    m_level = level(aNow) + 1;
    m_at = aNow;
  }

  [[nodiscard]] double level(TimePoint aNow) const
  {
    if (m_level == 0) {
      return 0;
    }
    const double passed = static_cast<double>((aNow - m_at).count());
    return m_level * std::exp(-passed / static_cast<double>(m_fade.count()));
  }

private:
  Millis m_fade;
  double m_level{};
  TimePoint m_at;
};

} // namespace tamarack::steering
