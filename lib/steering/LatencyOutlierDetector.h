// Detects upstreams whose responses are slow compared to the other upstreams of their service,
// based on what callers acknowledge. This covers upstreams that become slow without failing: their
// queues fill, and each new flow waits for seconds while other upstreams are idle.
#pragma once

#include "base/Types.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace tamarack::steering {

/// A response is slow if it took longer than this multiple of the median of its service. About one
/// in a hundred exceeds it in a log-normal distribution with a standard deviation of 0.5, which is
/// usual for requests.
inline constexpr double kSlowMedianFactor = 3.5;
/// A response that took longer than this multiple of the median is reported to other hosts. Hardly
/// any response does in normal operation; most do once a slow upstream has a queue.
inline constexpr double kReportMedianFactor = 8;
/// Minimum response times to count as slow and to be reported. Shorter times also result from a
/// packet that is lost and retransmitted, or from a short queue of fast requests.
inline constexpr Millis kMinSlowTime{ 100 };
inline constexpr Millis kMinReportedTime{ 400 };
/// Assumed probability of a slow response of an upstream that is five times slower than normal.
inline constexpr double kDegradedSlowProbability = 0.6;
/// Evidence, in nats, from which on new flows avoid an upstream. Two slow responses reach it when
/// slow responses are otherwise rare.
inline constexpr double kSlowEvidenceThreshold = 5.5;
/// Upper bound of the accumulated evidence, in nats.
inline constexpr double kMaxSlowEvidence = 8.0;
/// Evidence, in nats, that the report of another host adds. Three reports suffice, or one together
/// with a slow response on this host.
inline constexpr double kSlowReportEvidence = 2.5;
/// Time in which evidence decays to 1/e. The decay is needed because a host that sends an upstream
/// no requests observes no responses of it either.
inline constexpr Millis kSlowEvidenceTimeConstant{ 2000 };
/// Duration of the avoidance of a slow upstream. Established flows stay on it and show whether it
/// is still slow.
inline constexpr Millis kSlowAvoidanceTime{ 1500 };
/// Reports of the same host within this time count once.
inline constexpr Millis kMinSlowReportInterval{ 500 };

class LatencyOutlierDetector
{
public:
  /// Records a response, or a request that is still pending. `aSlowProbability` is the probability
  /// that a response of the service is slow. Returns whether an avoidance begins.
  bool onResponseTime(TimePoint aNow, bool aIsSlow, double aSlowProbability)
  {
    const double slowEvidence = std::log(kDegradedSlowProbability / aSlowProbability);
    const double normalEvidence = std::log((1 - kDegradedSlowProbability) / (1 - aSlowProbability));
    return add(aNow, aIsSlow ? std::max(0.0, slowEvidence) : std::min(0.0, normalEvidence));
  }

  /// Records that another host reported a very slow response. Returns whether the report counts,
  /// see kMinSlowReportInterval.
  bool onPeerReport(TimePoint aNow, HostId aReporter)
  {
    for (const Report& report : m_reports) {
      if (report.m_reporter == aReporter && aNow - report.m_at < kMinSlowReportInterval) {
        return false;
      }
    }
    m_reports[m_nextReport++ % m_reports.size()] = { aReporter, aNow };
    add(aNow, kSlowReportEvidence);
    return true;
  }

  /// Whether new flows should go to other upstreams.
  [[nodiscard]] bool isSlow(TimePoint aNow) const { return aNow < m_avoidedUntil; }
  [[nodiscard]] double evidence(TimePoint aNow) const
  {
    const double elapsed = static_cast<double>((aNow - m_at).count());
    return m_evidence * std::exp(-elapsed / static_cast<double>(kSlowEvidenceTimeConstant.count()));
  }

private:
  struct Report
  {
    HostId m_reporter;
    TimePoint m_at;
  };

  /// Adds evidence; returns whether an avoidance begins.
  bool add(TimePoint aNow, double aEvidence)
  {
    const bool wasSlow = isSlow(aNow);
    m_evidence = std::clamp(evidence(aNow) + aEvidence, 0.0, kMaxSlowEvidence);
    m_at = aNow;
    if (m_evidence >= kSlowEvidenceThreshold) {
      m_avoidedUntil = aNow + kSlowAvoidanceTime;
    }
    return !wasSlow && isSlow(aNow);
  }

  /// Evidence of slowness at m_at, in nats; see evidence().
  double m_evidence{};
  TimePoint m_at;
  TimePoint m_avoidedUntil;
  /// Ring buffer of the latest reports that counted.
  std::array<Report, 4> m_reports{};
  size_t m_nextReport{};
};

} // namespace tamarack::steering
