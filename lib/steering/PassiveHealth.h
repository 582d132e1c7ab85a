// Judges an upstream by what its callers do: packets that have to be sent again are signs of
// silence, answers that are acknowledged are signs of life. It answers upstreams that crash or are
// cut off between two readings of the store, without probes.
#pragma once

#include "base/Types.h"

#include <algorithm>

namespace tamarack::steering {

/// First time of avoiding a silent upstream: one lost datagram costs little, and a crashed upstream
/// leaves the store after three heartbeats.
inline constexpr Millis kFirstAvoidance{ 1000 };
/// Longest time of avoidance, after which one new flow tries the upstream again.
inline constexpr Millis kLongestAvoidance{ 8000 };
/// Signs of silence without one of life, from this many on an upstream counts as dead.
inline constexpr uint32_t kSilencesOfDead = 3;
/// The signs must span this time, so that one lost batch of datagrams is not enough.
inline constexpr Millis kSilenceOfDead{ 300 };

class PassiveHealth
{
public:
  /// A caller of this host or another one waits in vain. Returns whether avoidance begins.
  bool onSilence(TimePoint aNow)
  {
    if (m_silences == 0) {
      m_silentSince = aNow;
    }
    ++m_silences;
    if (isAvoided(aNow)) {
      return false;
    }
    m_avoidance =
      m_avoidance == Millis{} ? kFirstAvoidance : std::min(m_avoidance * 2, kLongestAvoidance);
    m_avoidedUntil = aNow + m_avoidance;
    return true;
  }

  /// A caller acknowledged an answer. Returns whether avoidance ends.
  bool onProgress(TimePoint aNow)
  {
    const bool wasAvoided = isAvoided(aNow);
    m_silences = 0;
    m_avoidance = {};
    m_avoidedUntil = {};
    return wasAvoided;
  }

  /// Another host saw an answer; this host's own signs of silence stay.
  void onReportedProgress()
  {
    if (m_silences == 0) {
      m_avoidedUntil = {};
    }
  }

  [[nodiscard]] bool isAvoided(TimePoint aNow) const { return aNow < m_avoidedUntil; }
  /// Several callers wait for it, and nothing has come from it for a while.
  [[nodiscard]] bool isDead(TimePoint aNow) const
  {
    return m_silences >= kSilencesOfDead && aNow - m_silentSince >= kSilenceOfDead;
  }
  [[nodiscard]] uint32_t silences() const { return m_silences; }

private:
  /// Since the last sign of life.
  uint32_t m_silences{};
  TimePoint m_silentSince;
  Millis m_avoidance{};
  TimePoint m_avoidedUntil;
};

} // namespace tamarack::steering
