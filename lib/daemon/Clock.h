// The only place where the daemons read the clock.
#pragma once

#include "base/Types.h"

namespace tamarack::daemon {

[[nodiscard]] inline TimePoint
readClock()
{
  return std::chrono::time_point_cast<Millis>(std::chrono::steady_clock::now());
}

} // namespace tamarack::daemon
