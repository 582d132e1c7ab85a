// Decides whose reports of missing responses bear on open flows. A host whose own links lose
// packets or that is cut off reports upstreams that answer the callers of this host. While that is
// so, its reports say nothing about upstreams that this host has no answers of either.
//
// Only an answer after the report contradicts it: this host had answers of an upstream that has
// died until just before, and the callers of the reporter waited for their responses since then.
#pragma once

#include "steering/PassiveHealth.h"
#include "steering/Steering.h"

#include <algorithm>
#include <vector>

namespace tamarack::edge {

/// Time after a report in which acknowledgements of earlier responses may arrive here. A request
/// is repeated 200 ms after it was sent at the earliest, so the reporter waits for longer than they
/// are under way. Shorter than steering::kMinFailureSpan, so that answers can prevent resets.
inline constexpr Millis kMinContradictionDelay{ 50 };
/// Time after which an answer says that the upstream responds again, rather than that the report
/// was wrong: upstreams pause for longer.
inline constexpr Millis kMaxContradictionDelay{ 500 };
/// Time for which reports of a host do not count after an answer contradicted one of them.
inline constexpr Millis kDistrustTime = steering::kEvidenceLifetime;
/// Limits of the reports that wait for an answer, and of the hosts that are not credible. Older
/// ones are dropped first.
inline constexpr size_t kMaxUnverifiedReports = 256;
inline constexpr size_t kMaxDistrustedHosts = 128;

class ReporterCredibility
{
public:
  /// Records a report of missing responses that was not known yet.
  void onReport(TimePoint aNow, HostId aReporter, steering::Token aUpstream)
  {
    if (m_reports.size() == kMaxUnverifiedReports) {
      m_reports.erase(m_reports.begin());
    }
    m_reports.push_back({ aReporter, aUpstream, aNow });
  }

  [[nodiscard]] bool isCredible(TimePoint aNow, HostId aReporter) const
  {
    return std::ranges::none_of(m_distrusted, [&](const DistrustedHost& aHost) {
      return aHost.m_host == aReporter && aNow - aHost.m_contradictedAt <= kDistrustTime;
    });
  }

  /// Compares the reports with the answers since. `aLastAnswerAt` returns the time of the last
  /// answer of an upstream. Returns the hosts that were credible until now.
  template<typename LastAnswerAt>
  [[nodiscard]] std::vector<HostId> verify(TimePoint aNow, const LastAnswerAt& aLastAnswerAt)
  {
    std::vector<HostId> contradicted;
    std::erase_if(m_reports, [&](const Report& aReport) {
      const Millis delay = aLastAnswerAt(aReport.m_upstream) - aReport.m_at;
      if (delay < kMinContradictionDelay || delay > kMaxContradictionDelay) {
        return aNow - aReport.m_at > kMaxContradictionDelay;
      }
      if (isCredible(aNow, aReport.m_reporter)) {
        contradicted.push_back(aReport.m_reporter);
      }
      distrust(aNow, aReport.m_reporter);
      return true;
    });
    return contradicted;
  }

private:
  struct Report
  {
    HostId m_reporter;
    steering::Token m_upstream;
    TimePoint m_at;
  };
  struct DistrustedHost
  {
    HostId m_host;
    TimePoint m_contradictedAt;
  };

  void distrust(TimePoint aNow, HostId aReporter)
  {
    std::erase_if(m_distrusted, [&](const DistrustedHost& aHost) {
      return aHost.m_host == aReporter || aNow - aHost.m_contradictedAt > kDistrustTime;
    });
    if (m_distrusted.size() == kMaxDistrustedHosts) {
      m_distrusted.erase(m_distrusted.begin());
    }
    m_distrusted.push_back({ aReporter, aNow });
  }

  /// Ordered by time; at most kMaxUnverifiedReports.
  std::vector<Report> m_reports;
  /// Ordered by time, one element for each host; at most kMaxDistrustedHosts.
  std::vector<DistrustedHost> m_distrusted;
};

} // namespace tamarack::edge
