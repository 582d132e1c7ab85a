// Judges how fast an upstream answers beside the others of its service, from what callers
// acknowledge. It answers upstreams that turn slow without failing: their queues fill, and each new
// flow there waits for seconds while others are idle.
#pragma once

#include "base/Types.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace tamarack::steering {

/// An answer is slow when it took this many times the median of its service: one in a hundred of a
/// log-normal distribution with a spread of 0.5, the usual one of requests.
inline constexpr double kSlowFactor = 3.5;
/// Other hosts are told of an answer that took this many times the median: hardly any on a calm
/// day, and most once a slow upstream has a queue.
inline constexpr double kReportFactor = 8;
/// Answers that are faster than this are neither slow nor worth a report: a packet that is lost and
/// sent again, or a queue of a few quick requests, takes as long.
inline constexpr Millis kLeastSlow{ 100 };
inline constexpr Millis kLeastReported{ 400 };
/// Share of slow answers of an upstream that works five times slower.
inline constexpr double kShareWhenSlow = 0.6;
/// Evidence, in nats, from which on new flows avoid an upstream: two slow answers on a calm day.
inline constexpr double kEvidenceOfSlowness = 5.5;
inline constexpr double kMostSlowness = 8.0;
/// What the report of another host adds: three of them are enough, or one beside an own slow
/// answer.
inline constexpr double kEvidenceOfSlowReport = 2.5;
/// Evidence falls to 1/e in this time. A host that sends an upstream nothing hears nothing of it.
inline constexpr Millis kSlowFade{ 2000 };
/// Time of avoiding a slow upstream: kept flows go on there and show whether it is still slow.
inline constexpr Millis kSlowAvoidance{ 1500 };
/// Two reports of one host count once within this time.
inline constexpr Millis kSlowReportInterval{ 500 };

class Pace
{
public:
  /// A caller got an answer, or waits in vain. `aChance`: how often answers of the service are
  /// slow. Returns whether avoidance begins.
  bool onAnswer(TimePoint aNow, bool aIsSlow, double aChance)
  {
    const double slow = std::log(kShareWhenSlow / aChance);
    const double usual = std::log((1 - kShareWhenSlow) / (1 - aChance));
    return add(aNow, aIsSlow ? std::max(0.0, slow) : std::min(0.0, usual));
  }

  /// Another host saw a very slow answer. Returns whether it is news here.
  bool onReport(TimePoint aNow, HostId aWitness)
  {
    for (const Report& report : m_reports) {
      if (report.m_witness == aWitness && aNow - report.m_at < kSlowReportInterval) {
        return false;
      }
    }
    m_reports[m_nextReport++ % m_reports.size()] = { aWitness, aNow };
    add(aNow, kEvidenceOfSlowReport);
    return true;
  }

  [[nodiscard]] bool isSlow(TimePoint aNow) const { return aNow < m_slowUntil; }
  [[nodiscard]] double evidence(TimePoint aNow) const
  {
    const double passed = static_cast<double>((aNow - m_at).count());
    return m_evidence * std::exp(-passed / static_cast<double>(kSlowFade.count()));
  }

private:
  struct Report
  {
    HostId m_witness;
    TimePoint m_at;
  };

  bool add(TimePoint aNow, double aEvidence)
  {
    const bool wasSlow = isSlow(aNow);
    m_evidence = std::clamp(evidence(aNow) + aEvidence, 0.0, kMostSlowness);
    m_at = aNow;
    if (m_evidence >= kEvidenceOfSlowness) {
      m_slowUntil = aNow + kSlowAvoidance;
    }
    return !wasSlow && isSlow(aNow);
  }

  double m_evidence{};
  TimePoint m_at;
  TimePoint m_slowUntil;
  std::array<Report, 4> m_reports{};
  size_t m_nextReport{};
};

} // namespace tamarack::steering
