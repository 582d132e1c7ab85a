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
/// What the signs weigh. Of requests on a calm day, one in fifty is repeated while it is worked on;
/// opening packets are repeated only when they or their answers are lost.
inline constexpr uint32_t kWeightOfRepeat = 1;
inline constexpr uint32_t kWeightOfSilence = 2;
/// From this weight on without a sign of life, an upstream counts as dead; one flow gives three.
inline constexpr uint32_t kWeightOfDead = 4;
/// As many hosts with signs of silence say the same.
inline constexpr uint32_t kWitnessesOfDead = 3;
/// The signs must span this time, so that one lost batch of datagrams is not enough.
inline constexpr Millis kSpanOfDead{ 100 };
/// After its avoidance has ended, an upstream that has not answered gets one new flow at a time.
inline constexpr Millis kTrialInterval{ 300 };

class PassiveHealth
{
public:
  /// A caller of this host waits in vain. Returns whether avoidance begins.
  bool onSilence(TimePoint aNow)
  {
    doubt(aNow, kWeightOfSilence);
    if (isAvoided(aNow)) {
      return false;
    }
    m_avoidance =
      m_avoidance == Millis{} ? kFirstAvoidance : std::min(m_avoidance * 2, kLongestAvoidance);
    m_avoidedUntil = aNow + m_avoidance;
    return true;
  }

  /// A caller of this host repeats a request that may still be worked on.
  void onRepeat(TimePoint aNow) { doubt(aNow, kWeightOfRepeat); }

  /// A new flow goes there.
  void onTried(TimePoint aNow)
  {
    if (m_avoidance != Millis{}) {
      m_avoidedUntil = std::max(m_avoidedUntil, aNow + kTrialInterval);
    }
  }

  /// A caller acknowledged an answer. Returns whether that is news.
  bool onProgress(TimePoint aNow)
  {
    const bool wasDoubted = isAvoided(aNow) || m_weight >= kWeightOfSilence || m_witnessCount > 0;
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
    doubt(aNow, 0);
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
    const uint32_t hosts = m_witnessCount + (m_weight > 0 ? 1 : 0);
    return (m_weight >= kWeightOfDead || hosts >= kWitnessesOfDead) &&
           aNow - m_silentSince >= kSpanOfDead;
  }
  /// Whether a caller of this host waits in vain.
  [[nodiscard]] bool isSilent() const { return m_weight >= kWeightOfSilence; }
  [[nodiscard]] uint32_t weight() const { return m_weight; }

private:
  void doubt(TimePoint aNow, uint32_t aWeight)
  {
    if (m_weight == 0 && m_witnessCount == 0) {
      m_silentSince = aNow;
    }
    m_weight += aWeight;
  }

  /// Of the signs on this host since the last sign of life.
  uint32_t m_weight{};
  /// Other hosts that saw silence since then; the first m_witnessCount are set.
  std::array<HostId, kWitnessesOfDead> m_witnesses{};
  uint32_t m_witnessCount{};
  TimePoint m_silentSince;
  Millis m_avoidance{};
  TimePoint m_avoidedUntil;
};

} // namespace tamarack::steering
