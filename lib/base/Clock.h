// The only place where programs read the clock. It goes on while the machine is suspended, so that
// ages of leases and records are right after it wakes up.
#pragma once

#include "base/Types.h"

#include <ctime>

namespace tamarack {

[[nodiscard]] inline TimePoint
readClock()
{
  timespec time{};
  ::clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint{ Millis{ int64_t{ time.tv_sec } * 1000 + time.tv_nsec / 1'000'000 } };
}

} // namespace tamarack
