// Evaluation of probe reports of one upstream.
#include "admission/UpstreamTracker.h"

#include <algorithm>

namespace tamarack::admission {

void
UpstreamTracker::assumeWarm(TimePoint aNow)
{
  m_cold = false;
  m_trackedSince = aNow;
}

void
UpstreamTracker::startCold(TimePoint aNow, Millis aElapsed)
{
  m_cold = true;
  m_coldSince = aNow - aElapsed;
  m_trackedSince = aNow;
}

void
UpstreamTracker::onReport(TimePoint aNow, const UpstreamReport& aReport)
{
  const bool answered = aReport.m_answered && aReport.m_identityMatches;
  const bool restarted =
    answered && m_lastAnswer && m_lastAnswer->m_run != 0 && m_lastAnswer->m_run != aReport.m_run;
  m_reportedAt = aNow;
  if (!answered) {
    if (m_failingSince == TimePoint{}) {
      m_failingSince = aNow;
    }
    if (m_cold) {
      m_coldSince = aNow;
    }
    return;
  }
  m_answeredAt = aNow;
  m_failingSince = {};
  m_connections = aReport.m_connections;
  if (aReport.m_claimsCold && !m_cold) {
    startCold(aNow);
  }
  if (restarted || aReport.m_claimsCold) {
    m_cold = true;
    // While the upstream still reports a cold start, at most half of the duration counts as
    // elapsed, so that the cold start cannot end before the upstream itself reports that it is
    // warm.
    const Millis halfDuration = m_limits.m_coldStart.m_duration / 2;
    m_coldSince = restarted ? aNow : std::max(m_coldSince, aNow - halfDuration);
  }
  const bool isFull = aReport.m_connections >= m_limits.m_connections;
  if (aReport.m_sheds || isFull) {
    m_busy = true;
    m_lastBusyAt = aNow;
  } else if (aNow - m_lastBusyAt >= kBusyHoldTime) {
    m_busy = false;
  }
  m_lastAnswer = aReport;
}

UpstreamStatus
UpstreamTracker::evaluate(TimePoint aNow)
{
  if (m_cold && aNow - m_coldSince >= m_limits.m_coldStart.m_duration) {
    m_cold = false;
  }
  UpstreamStatus status{ .m_mode = Mode::Open, .m_cold = m_cold, .m_reason = "warm" };
  const TimePoint lastEvidenceAt = std::max(m_answeredAt, m_trackedSince);
  const bool isFailing =
    m_failingSince != TimePoint{} && aNow - m_failingSince >= kProbeFailureTimeout;
  if (isFailing || aNow - lastEvidenceAt > kReportTimeout) {
    status.m_mode = Mode::Closed;
    status.m_lost = true;
    status.m_reason = "probes fail";
    return status;
  }
  if (m_lastAnswer && m_lastAnswer->m_draining) {
    status.m_mode = Mode::Closed;
    status.m_reason = "it says that it drains";
    return status;
  }
  if (m_busy) {
    status.m_mode = Mode::Closed;
    status.m_busy = true;
    status.m_reason = "sheds load or is full";
    return status;
  }
  if (m_cold) {
    status.m_mode = Mode::Metered;
    status.m_reason = "cold start";
    return status;
  }
  if (uint64_t{ m_connections } * 100 >=
      uint64_t{ m_limits.m_connections } * kMeteringThresholdPercent) {
    status.m_mode = Mode::Metered;
    status.m_reason = "near its connection limit";
  }
  return status;
}

Millis
UpstreamTracker::coldDuration(TimePoint aNow) const
{
  return m_cold ? aNow - m_coldSince : Millis{ 0 };
}

} // namespace tamarack::admission
