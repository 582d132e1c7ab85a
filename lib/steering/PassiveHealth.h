// Passive health checking of an upstream: retransmissions by its callers are evidence of failure,
// acknowledged responses are evidence of health. Evidence is accumulated in nats, as in an accrual
// failure detector. This detects upstreams that crash or are disconnected before the store reports
// it, without health probes, and also while links lose packets.
//
// Requests and SYNs are evidence of different things. An upstream that holds as many flows as it
// can answers no SYN, but serves the flows that it holds, so unanswered SYNs alone are no reason to
// give up established flows. The same holds for reports of hosts that share neither the data centre
// of this host nor that of the upstream, since they may be cut off from the upstream together.
#pragma once

#include "base/Types.h"

#include <algorithm>
#include <array>

namespace tamarack::steering {

/// Duration of the first avoidance of an upstream. It is short, since the cause may be a single
/// lost datagram, and since the entry of a crashed upstream leaves the store after three heartbeats
/// anyway.
inline constexpr Millis kInitialAvoidanceTime{ 1000 };
/// Maximum duration of an avoidance, after which one new flow tries the upstream again.
inline constexpr Millis kMaxAvoidanceTime{ 8000 };
/// Evidence, in nats, from which on new flows avoid an upstream. When packet loss is low, one
/// retransmitted SYN or two retransmitted requests reach it.
inline constexpr double kSuspectEvidence = 3.8;
/// Evidence, in nats, from which on an upstream is considered failed. A healthy upstream reaches it
/// by chance once in 8,000 times.
inline constexpr double kFailureEvidence = 9.0;
/// Evidence, in nats, that the report of another host adds. Reports of three hosts reach
/// kFailureEvidence.
inline constexpr double kPeerReportEvidence = 3.0;
/// Time after which evidence of an upstream whose entry stands is void. A cut between this host and
/// the upstream may have ended since, and idle callers send nothing that shows it. Until then, the
/// entry of an upstream that has died has expired: that takes three heartbeats of 1.2 s.
inline constexpr Millis kEvidenceLifetime{ 3800 };
/// Number of reporting hosts that are remembered per upstream.
inline constexpr size_t kMaxReporters = 4;
/// Minimum time between the first evidence and the failure decision, so that one lost batch of
/// datagrams is not enough.
inline constexpr Millis kMinFailureSpan{ 100 };
/// Interval between new flows to an upstream whose avoidance has ended but that has not answered
/// yet.
inline constexpr Millis kTrialInterval{ 300 };

/// The health of one upstream as its callers show it.
class PassiveHealth
{
public:
  PassiveHealth() = default;
  explicit PassiveHealth(Millis aMaxAvoidanceTime)
    : m_maxAvoidanceTime(aMaxAvoidanceTime)
  {
  }

  /// Records that a caller of this host retransmitted a packet of an established flow. `aSurprisal`
  /// is the negative logarithm of the probability of that with a healthy upstream, in nats. The
  /// packet before, at `aLostAt`, got no answer, so the age of the evidence counts from there.
  /// Returns whether other hosts should be told: an avoidance begins, or the evidence of
  /// established flows reaches kSuspectEvidence.
  bool onRetransmission(TimePoint aNow, double aSurprisal, TimePoint aLostAt)
  {
    const bool wasReached = evidenceAt(aNow) >= kSuspectEvidence;
    addEvidence(aNow, aSurprisal, aLostAt);
    m_isCorroborated = true;
    const bool isReached = !wasReached && m_evidence >= kSuspectEvidence;
    return startAvoidanceIfSuspect(aNow) || isReached;
  }

  /// Records that a caller of this host retransmitted a SYN. Returns whether an avoidance begins.
  bool onSynRetransmission(TimePoint aNow, double aSurprisal)
  {
    m_synEvidence = synEvidenceAt(aNow) + aSurprisal;
    m_lastSynEvidenceAt = aNow;
    return startAvoidanceIfSuspect(aNow);
  }

  /// Records that a caller of this or of another host was refused the connection. New flows then
  /// avoid the upstream, but no evidence is added: established flows are not suspected, since their
  /// callers would be refused as well. Returns whether an avoidance begins.
  bool onConnectionRefused(TimePoint aNow)
  {
    if (m_avoidedUntil - aNow > kTrialInterval) {
      return false;
    }
    startAvoidance(aNow);
    return true;
  }

  /// Records that a new flow is assigned to the upstream.
  void onNewFlow(TimePoint aNow)
  {
    if (m_avoidanceTime != Millis{}) {
      m_avoidedUntil = std::max(m_avoidedUntil, aNow + kTrialInterval);
    }
  }

  /// Records that a caller acknowledged a response, which clears all evidence. Returns whether the
  /// upstream was suspect, avoided or reported before.
  bool onResponse(TimePoint aNow)
  {
    const bool wasDegraded =
      isAvoided(aNow) || isSuspect() || m_reporterCount > 0 || m_avoidanceTime != Millis{};
    *this = PassiveHealth(m_maxAvoidanceTime);
    return wasDegraded;
  }

  /// Records that another host reported missing responses. Returns whether this is the first such
  /// report of that host since the last response, or the first one that corroborates the evidence;
  /// reports may arrive more than once. `aIsNearby` says that the reporter is in the data centre of
  /// this host or of the upstream.
  bool onPeerReport(TimePoint aNow, HostId aReporter, bool aIsNearby = true)
  {
    const bool isCurrent = aNow - m_lastEvidenceAt <= kEvidenceLifetime;
    const auto known = m_reporters.begin() + m_reporterCount;
    if (isCurrent && std::find(m_reporters.begin(), known, aReporter) != known) {
      return false;
    }
    if (isCurrent && m_reporterCount == kMaxReporters) {
      const bool isFirstNearby = aIsNearby && !m_isCorroborated;
      m_isCorroborated = m_isCorroborated || aIsNearby;
      return isFirstNearby;
    }
    addEvidence(aNow, kPeerReportEvidence, aNow);
    m_isCorroborated = m_isCorroborated || aIsNearby;
    m_reporters[m_reporterCount++] = aReporter;
    m_avoidedUntil = std::max(m_avoidedUntil, aNow + kInitialAvoidanceTime);
    return true;
  }

  /// Whether new flows should go to other upstreams.
  [[nodiscard]] bool isAvoided(TimePoint aNow) const { return aNow < m_avoidedUntil; }
  /// Whether the evidence suffices to reset established flows, unless it is void by its age; see
  /// ServiceDirectory::hasFailed.
  [[nodiscard]] bool isFailed(TimePoint aNow) const
  {
    return m_evidence >= kFailureEvidence && aNow - m_firstEvidenceAt >= kMinFailureSpan;
  }
  /// Whether the evidence, unless it is void by its age, suffices to keep new flows away.
  [[nodiscard]] bool isSuspect() const { return m_evidence + m_synEvidence >= kSuspectEvidence; }
  /// Evidence of established flows, and of SYNs, since the last response.
  [[nodiscard]] double evidence() const { return m_evidence; }
  [[nodiscard]] double synEvidence() const { return m_synEvidence; }
  /// Whether some of the evidence of established flows comes from this host or from one nearby.
  [[nodiscard]] bool isCorroborated() const { return m_isCorroborated; }
  /// Time of the first of the evidence of established flows.
  [[nodiscard]] TimePoint firstEvidenceAt() const { return m_firstEvidenceAt; }
  /// Times of the latest evidence of each kind; the epoch if there is none.
  [[nodiscard]] TimePoint lastEvidenceAt() const { return m_lastEvidenceAt; }
  [[nodiscard]] TimePoint lastSynEvidenceAt() const { return m_lastSynEvidenceAt; }
  /// The evidence of SYNs that is not older than kEvidenceLifetime.
  [[nodiscard]] double synEvidenceAt(TimePoint aNow) const
  {
    return aNow - m_lastSynEvidenceAt <= kEvidenceLifetime ? m_synEvidence : 0;
  }

private:
  [[nodiscard]] double evidenceAt(TimePoint aNow) const
  {
    return aNow - m_lastEvidenceAt <= kEvidenceLifetime ? m_evidence : 0;
  }

  bool startAvoidanceIfSuspect(TimePoint aNow)
  {
    if (isAvoided(aNow) || evidenceAt(aNow) + synEvidenceAt(aNow) < kSuspectEvidence) {
      return false;
    }
    startAvoidance(aNow);
    return true;
  }

  void startAvoidance(TimePoint aNow)
  {
    const bool isRepeated =
      m_avoidanceTime != Millis{} && aNow - m_avoidedUntil <= m_maxAvoidanceTime;
    m_avoidanceTime =
      isRepeated ? std::min(m_avoidanceTime * 2, m_maxAvoidanceTime) : kInitialAvoidanceTime;
    m_avoidedUntil = aNow + m_avoidanceTime;
  }

  void addEvidence(TimePoint aNow, double aEvidence, TimePoint aSeenAt)
  {
    if (evidenceAt(aNow) == 0) {
      m_lastEvidenceAt = {};
      m_evidence = 0;
      m_reporterCount = 0;
      m_isCorroborated = false;
      m_firstEvidenceAt = aNow;
    }
    m_evidence += aEvidence;
    m_lastEvidenceAt = std::max(m_lastEvidenceAt, aSeenAt);
  }

  /// Evidence of failure since the last response, in nats, of established flows and of reports by
  /// other hosts. No two additions are further apart than kEvidenceLifetime.
  double m_evidence{};
  /// The same of SYNs.
  double m_synEvidence{};
  /// Hosts that reported missing responses since the last response; the first m_reporterCount
  /// entries are set.
  std::array<HostId, kMaxReporters> m_reporters{};
  uint32_t m_reporterCount{};
  /// See isCorroborated(); valid while m_evidence is not 0.
  bool m_isCorroborated{};
  /// Valid while m_evidence is not 0.
  TimePoint m_firstEvidenceAt;
  TimePoint m_lastEvidenceAt;
  TimePoint m_lastSynEvidenceAt;
  Millis m_maxAvoidanceTime{ kMaxAvoidanceTime };
  /// Duration of the latest avoidance; 0 if there was none since the last response.
  Millis m_avoidanceTime{};
  TimePoint m_avoidedUntil;
};

} // namespace tamarack::steering
