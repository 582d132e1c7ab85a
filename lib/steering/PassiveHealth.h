// Judges an upstream by what its callers do: packets that have to be sent again are signs of
// silence, answers that are acknowledged are signs of life. It answers upstreams that crash or are
// cut off between two readings of the store, without probes.
#pragma once

#include "base/Types.h"

#include <algorithm>
#include <array>

namespace tamarack::steering {

/// First time of avoiding a silent upstream: one lost datagram costs little, and a crashed upstream
/// leaves the store after three heartbeats.
inline constexpr Millis kFirstAvoidance{ 1000 };
/// Longest time of avoidance, after which one new flow tries the upstream again.
inline constexpr Millis kLongestAvoidance{ 8000 };
/// Signs of silence on this host, or hosts that saw such signs, without a sign of life anywhere:
/// from this many on an upstream counts as dead.
inline constexpr uint32_t kSilencesOfDead = 3;
/// The signs must span this time, so that one lost batch of datagrams is not enough.
inline constexpr Millis kSilenceOfDead{ 300 };

class PassiveHealth
{
public:
  /// A caller of this host waits in vain. Returns whether avoidance begins.
  bool onSilence(TimePoint aNow)
  {
    begin(aNow);
    ++m_silences;
    if (isAvoided(aNow)) {
      return false;
    }
    m_avoidance =
      m_avoidance == Millis{} ? kFirstAvoidance : std::min(m_avoidance * 2, kLongestAvoidance);
    m_avoidedUntil = aNow + m_avoidance;
    return true;
  }

  /// A caller acknowledged an answer. Returns whether that is news.
  bool onProgress(TimePoint aNow)
  {
    const bool wasDoubted = isAvoided(aNow) || m_silences > 0 || m_witnessCount > 0;
    *this = {};
    return wasDoubted;
  }

  /// Another host saw silence. Returns whether it is the first time that this host says so; reports
  /// arrive more than once.
  bool onReportedSilence(TimePoint aNow, HostId aWitness)
  {
    const auto known = m_witnesses.begin() + m_witnessCount;
    if (std::find(m_witnesses.begin(), known, aWitness) != known) {
      return false;
    }
    begin(aNow);
    if (m_witnessCount < m_witnesses.size()) {
      m_witnesses[m_witnessCount++] = aWitness;
    }
    m_avoidedUntil = std::max(m_avoidedUntil, aNow + kFirstAvoidance);
    return true;
  }

  [[nodiscard]] bool isAvoided(TimePoint aNow) const { return aNow < m_avoidedUntil; }
  /// Several callers wait for it, and nothing has come from it for a while.
  [[nodiscard]] bool isDead(TimePoint aNow) const
  {
    const uint32_t hosts = m_witnessCount + (m_silences > 0 ? 1 : 0);
    return std::max(m_silences, hosts) >= kSilencesOfDead && aNow - m_silentSince >= kSilenceOfDead;
  }
  [[nodiscard]] uint32_t silences() const { return m_silences; }

private:
  void begin(TimePoint aNow)
  {
    if (m_silences == 0 && m_witnessCount == 0) {
      m_silentSince = aNow;
    }
  }

  /// On this host, since the last sign of life.
  uint32_t m_silences{};
  /// Other hosts that saw silence since then; the first m_witnessCount are set.
  std::array<HostId, kSilencesOfDead> m_witnesses{};
  uint32_t m_witnessCount{};
  TimePoint m_silentSince;
  Millis m_avoidance{};
  TimePoint m_avoidedUntil;
};

} // namespace tamarack::steering
