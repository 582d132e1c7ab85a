// Notices that the process stood still: it was paused, suspended, or had no processor. What it
// reads next may have waited in its sockets, so the time of reading says nothing of the time of
// arrival.
#pragma once

#include "base/Types.h"

namespace tamarack::edge {

/// The process is active at each tick of 100 ms at least. Callers repeat a packet after 200 ms.
inline constexpr Millis kLongestQuiet{ 250 };
/// A socket in which nothing waited is not read; by then the others are.
inline constexpr Millis kLongestCatchUp{ 500 };

class Standstill
{
public:
  /// The process does something. Returns whether it stood still before.
  bool onActive(TimePoint aNow)
  {
    const Millis quiet = m_activeAt == TimePoint{} ? Millis{} : aNow - m_activeAt;
    m_activeAt = aNow;
    if (quiet > kLongestQuiet) {
      m_length = quiet;
      m_wokeAt = aNow;
      m_arePacketsLate = true;
      m_areStatusesLate = true;
      return true;
    }
    if (aNow - m_wokeAt > kLongestCatchUp) {
      m_arePacketsLate = false;
      m_areStatusesLate = false;
    }
    return false;
  }

  /// All that waited was read.
  void onPacketsRead() { m_arePacketsLate = false; }
  void onStatusesRead() { m_areStatusesLate = false; }

  [[nodiscard]] bool arePacketsLate() const { return m_arePacketsLate; }
  /// How long a status that is read now may have waited.
  [[nodiscard]] Millis statusDelay() const { return m_areStatusesLate ? m_length : Millis{}; }

private:
  TimePoint m_activeAt;
  TimePoint m_wokeAt;
  Millis m_length{};
  bool m_arePacketsLate{};
  bool m_areStatusesLate{};
};

} // namespace tamarack::edge
