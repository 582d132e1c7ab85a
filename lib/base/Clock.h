// The clock from which programs take the times that they pass to the decision code. CLOCK_BOOTTIME
// advances while the machine is suspended, so the ages of leases and records stay correct.
#pragma once

#include "base/Types.h"

#include <ctime>

namespace tamarack {

/// Returns the time since boot, in milliseconds.
[[nodiscard]] inline TimePoint
readClock()
{
  timespec time{};
  ::clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint{ Millis{ int64_t{ time.tv_sec } * 1000 + time.tv_nsec / 1'000'000 } };
}

} // namespace tamarack
