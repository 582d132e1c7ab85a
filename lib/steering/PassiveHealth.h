// Judges an upstream by what its callers do: packets that have to be sent again are signs of
// silence, answers that are acknowledged are signs of life. It answers upstreams that crash or are
// cut off between two readings of the store, without probes, also while links lose packets.
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
/// Evidence, in nats of surprise, from which on new flows avoid an upstream: one repeated opening
/// packet on a calm day, or two repeated requests.
inline constexpr double kEvidenceOfSilence = 3.8;
/// Evidence from which on an upstream counts as dead: by chance, once in 8,000 times.
inline constexpr double kEvidenceOfDeath = 9.0;
/// What the silence that another host saw adds: three of them are enough.
inline constexpr double kEvidenceOfWitness = 3.0;
/// Other hosts that are remembered as witnesses.
inline constexpr size_t kMostWitnesses = 4;
/// The signs must span this time, so that one lost batch of datagrams is not enough.
inline constexpr Millis kSpanOfDead{ 100 };
/// After its avoidance has ended, an upstream that has not answered gets one new flow at a time.
inline constexpr Millis kTrialInterval{ 300 };

class PassiveHealth
{
public:
  PassiveHealth() = default;
  explicit PassiveHealth(Millis aLongestAvoidance)
    : m_longestAvoidance(aLongestAvoidance)
  {
  }

  /// A caller of this host repeats a packet; `aSurprise` says how rarely that happens to living
  /// upstreams. Returns whether avoidance begins.
  bool onSilence(TimePoint aNow, double aSurprise)
  {
    doubt(aNow, aSurprise);
    if (isAvoided(aNow) || m_evidence < kEvidenceOfSilence) {
      return false;
    }
    avoid(aNow);
    return true;
  }

  /// A caller, of this host or of another one, was refused. That keeps new flows away, but says
  /// nothing of open ones, whose callers would be refused, too. Returns whether avoidance begins.
  bool onRefusal(TimePoint aNow)
  {
    if (m_avoidedUntil - aNow > kTrialInterval) {
      return false;
    }
    avoid(aNow);
    return true;
  }

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
    const bool wasDoubted =
      isAvoided(aNow) || isSilent() || m_witnessCount > 0 || m_avoidance != Millis{};
    *this = PassiveHealth(m_longestAvoidance);
    return wasDoubted;
  }

  /// Another host saw silence. Returns whether it is the first time that this host says so; reports
  /// arrive more than once.
  bool onReportedSilence(TimePoint aNow, HostId aWitness)
  {
    const auto known = m_witnesses.begin() + m_witnessCount;
    if (m_witnessCount == kMostWitnesses ||
        std::find(m_witnesses.begin(), known, aWitness) != known) {
      return false;
    }
    doubt(aNow, kEvidenceOfWitness);
    m_witnesses[m_witnessCount++] = aWitness;
    m_avoidedUntil = std::max(m_avoidedUntil, aNow + kFirstAvoidance);
    return true;
  }

  [[nodiscard]] bool isAvoided(TimePoint aNow) const { return aNow < m_avoidedUntil; }
  /// Several callers wait for it, and nothing has come from it for a while.
  [[nodiscard]] bool isDead(TimePoint aNow) const
  {
    return m_evidence >= kEvidenceOfDeath && aNow - m_silentSince >= kSpanOfDead;
  }
  [[nodiscard]] bool isSilent() const { return m_evidence >= kEvidenceOfSilence; }
  [[nodiscard]] double evidence() const { return m_evidence; }

private:
  void avoid(TimePoint aNow)
  {
    m_avoidance =
      m_avoidance == Millis{} ? kFirstAvoidance : std::min(m_avoidance * 2, m_longestAvoidance);
    m_avoidedUntil = aNow + m_avoidance;
  }

  void doubt(TimePoint aNow, double aEvidence)
  {
    if (m_evidence == 0) {
      m_silentSince = aNow;
    }
    m_evidence += aEvidence;
  }

  /// Of silence since the last sign of life, in nats.
  double m_evidence{};
  /// Other hosts that saw silence since then; the first m_witnessCount are set.
  std::array<HostId, kMostWitnesses> m_witnesses{};
  uint32_t m_witnessCount{};
  TimePoint m_silentSince;
  Millis m_longestAvoidance{ kLongestAvoidance };
  Millis m_avoidance{};
  TimePoint m_avoidedUntil;
};

} // namespace tamarack::steering
