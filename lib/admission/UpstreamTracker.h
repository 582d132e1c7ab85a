// Derives the state of one upstream from probe reports: lost or alive, in a cold start or warm,
// busy or not. Reports may be late or wrong, so one good report is not enough evidence: a cold
// start ends only after its whole duration without a failed probe, and a busy upstream is reopened
// with hysteresis.
#pragma once

#include "admission/Admission.h"
#include "settings/Settings.h"

#include <optional>
#include <string_view>

namespace tamarack::admission {

/// An upstream counts as lost when all its probes have failed for this long.
inline constexpr Millis kProbeFailureTimeout{ 1000 };
/// An upstream counts as lost when it has not answered a probe for this long, reported or not.
inline constexpr Millis kReportTimeout{ 3000 };
/// A busy upstream stays closed for at least this long after the last report that it was busy.
inline constexpr Millis kBusyHoldTime{ 1000 };
/// Admission is metered from this percentage of the connection limit.
inline constexpr uint32_t kMeteringThresholdPercent = 85;

/// The evaluated state of an upstream.
struct UpstreamStatus
{
  Mode m_mode{ Mode::Metered };
  /// The upstream is in a cold start.
  bool m_cold{ true };
  /// Probes fail or reports have stopped.
  bool m_lost{};
  /// The upstream sheds load or has reached its connection limit.
  bool m_busy{};
  /// Why the mode was chosen; appears in events and dumps.
  std::string_view m_reason{ "new" };

  friend bool operator==(const UpstreamStatus&, const UpstreamStatus&) = default;
};

class UpstreamTracker
{
public:
  explicit UpstreamTracker(const settings::Limits& aLimits)
    : m_limits(aLimits)
  {
  }

  /// Treats the upstream as warm. For the first start of a fleet, when the upstreams already run.
  void assumeWarm(TimePoint aNow);
  /// Begins a cold start that has already lasted for `aElapsed`.
  void startCold(TimePoint aNow, Millis aElapsed = Millis{ 0 });
  void onReport(TimePoint aNow, const UpstreamReport& aReport);
  void onLimits(const settings::Limits& aLimits) { m_limits = aLimits; }

  /// Returns the state at `aNow`. Ends the cold start if its duration has passed.
  [[nodiscard]] UpstreamStatus evaluate(TimePoint aNow);
  /// How long the cold start has lasted; zero if the upstream is warm.
  [[nodiscard]] Millis coldDuration(TimePoint aNow) const;
  /// The number of connections in the last answer.
  [[nodiscard]] uint32_t connections() const { return m_connections; }
  [[nodiscard]] const std::optional<UpstreamReport>& lastAnswer() const { return m_lastAnswer; }
  /// When the last report arrived, whether the probe was answered or not.
  [[nodiscard]] TimePoint reportedAt() const { return m_reportedAt; }

private:
  settings::Limits m_limits;
  bool m_cold{ true };
  /// The start of the cold start's duration; each failed probe sets it to the time of that probe.
  TimePoint m_coldSince;
  /// When the tracking or the current cold start began. Until the first answer kReportTimeout
  /// counts from here.
  TimePoint m_trackedSince;
  /// When a probe was last answered.
  TimePoint m_answeredAt;
  /// The time of the first of the failed probes since the last answer; zero if there is none.
  TimePoint m_failingSince;
  /// When the last report arrived, whether the probe was answered or not.
  TimePoint m_reportedAt;
  /// When the upstream was last reported busy.
  TimePoint m_lastBusyAt;
  bool m_busy{};
  /// The number of connections in the last answer.
  uint32_t m_connections{};
  /// The last answer.
  std::optional<UpstreamReport> m_lastAnswer;
};

} // namespace tamarack::admission
