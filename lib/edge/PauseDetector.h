// Detects that the process was paused, for example by a stop signal, a suspended machine or a lack
// of processor time. Packets and statuses that it reads afterwards may have waited in the socket
// buffers, so the time of reading does not show when they arrived.
#pragma once

#include "base/Types.h"

namespace tamarack::edge {

/// Time without activity that counts as a pause. A running process is active at least at each tick
/// of 100 ms, and callers retransmit a packet after 200 ms.
inline constexpr Millis kPauseThreshold{ 250 };
/// Time after a pause from which on all sockets count as drained. The end of the backlog is
/// reported only for sockets that had waiting data; the sockets that did are drained well within
/// this time.
inline constexpr Millis kMaxCatchUpTime{ 500 };

class PauseDetector
{
public:
  /// Called whenever the process does something. Returns whether it was paused before that.
  bool onActivity(TimePoint aNow)
  {
    const Millis quiet = m_lastActivityAt == TimePoint{} ? Millis{} : aNow - m_lastActivityAt;
    m_lastActivityAt = aNow;
    if (quiet > kPauseThreshold) {
      m_pauseDuration = quiet;
      m_resumedAt = aNow;
      m_arePacketsDelayed = true;
      m_areStatusesDelayed = true;
      return true;
    }
    if (aNow - m_resumedAt > kMaxCatchUpTime) {
      m_arePacketsDelayed = false;
      m_areStatusesDelayed = false;
    }
    return false;
  }

  /// All packets in the socket buffer were read.
  void onPacketBacklogRead() { m_arePacketsDelayed = false; }
  /// All statuses in the socket buffer were read.
  void onStatusBacklogRead() { m_areStatusesDelayed = false; }

  /// Whether packets that are read now may have arrived during the pause.
  [[nodiscard]] bool arePacketsDelayed() const { return m_arePacketsDelayed; }
  /// The longest time that a status which is read now may have waited in the socket buffer.
  [[nodiscard]] Millis maxStatusDelay() const
  {
    return m_areStatusesDelayed ? m_pauseDuration : Millis{};
  }

private:
  /// The epoch before the first activity.
  TimePoint m_lastActivityAt;
  TimePoint m_resumedAt;
  Millis m_pauseDuration{};
  bool m_arePacketsDelayed{};
  bool m_areStatusesDelayed{};
};

} // namespace tamarack::edge
