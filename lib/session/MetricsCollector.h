// Collects what the simulated upstreams and callers observe and computes the metrics of a run. The
// counts are independent of the decision code under test.
#pragma once

#include "base/Types.h"
#include "settings/Settings.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace tamarack::session {

/// Results of one run, in the order in which toJsonLine() prints them.
struct SimulationMetrics
{
  std::string m_scenario;
  uint64_t m_seed{};
  std::string m_policy;
  uint64_t m_flowsOpened{};
  /// Flows broken while no injected fault could explain it.
  uint64_t m_flowsBrokenOutsideFaults{};
  /// Flows broken during an injected fault or shortly after it.
  uint64_t m_flowsBrokenByFaults{};
  /// Flows lost because operators removed their upstream or took its data centre out.
  uint64_t m_flowsEndedByOperator{};
  /// Packets that reached an upstream of another service.
  uint64_t m_misdeliveredPackets{};
  /// Times that data of a flow was executed by a second upstream.
  uint64_t m_duplicateExecutions{};
  /// Resets that told the caller its request had not run although a packet had reached an upstream.
  uint64_t m_falseRefusals{};
  /// New flows beyond the cold-start limit of their upstream.
  uint64_t m_coldLimitViolations{};
  /// Packets sent to a data centre more than 3 s after operators took it out.
  uint64_t m_packetsToOutDataCentres{};
  /// New flows sent to an upstream more than 3 s after it was set to draining.
  uint64_t m_newFlowsToDraining{};
  /// Share of the flows opened around a data centre change that were established.
  double m_dcChangeServedShare{ 1.0 };
  /// Running flows on the busiest upstream divided by the mean over the upstreams.
  double m_imbalance{};
  /// Longest time from the publication of settings until a reachable host applied them.
  double m_maxSettingsDelaySeconds{};
  /// Times that a host went back to an older settings revision.
  uint64_t m_settingsReverts{};
  double m_controlBytesPerHostSecond{};
  double m_platformCallsPerSecond{};
  /// Flows broken by a fault although they were opened more than a second before it and no
  /// partition separated the caller from the upstream; not printed.
  uint64_t m_establishedFlowsBrokenByFaults{};
  /// Mean number of running flows on the upstreams that count towards m_imbalance; not printed.
  double m_meanFlowsPerUpstream{};
  /// False if the run skewed the distribution of running flows on purpose; not printed.
  bool m_isImbalanceChecked{ true };
};

/// Formats the printed metrics as one line of JSON.
[[nodiscard]] std::string
toJsonLine(const SimulationMetrics& aMetrics);

/// Names of the metrics that violate their target; empty if all targets are met.
[[nodiscard]] std::vector<std::string>
violatedBounds(const SimulationMetrics& aMetrics);

/// State of a flow as its caller sees it.
enum class FlowOutcome : uint8_t
{
  Running,
  Completed,
  /// Reset or timed out after it was established.
  Broken,
  /// Broken because operators removed the upstream or took its data centre out.
  EndedByOperator,
  /// Reset by a host before it was established.
  Refused,
  /// No answer to any SYN.
  OpenTimedOut,
};

/// A closed interval of simulated time.
struct TimeWindow
{
  TimePoint m_from;
  TimePoint m_to;
};

/// In the functions below, `aIsExempt` marks traffic from a host that is partitioned, or was
/// paused, partitioned or started so recently that it may not know the latest settings. It is
/// exempt from the limits that apply after a settings change has propagated.
class MetricsCollector
{
public:
  /// The first SYN of a flow reached this upstream.
  void onNewFlow(TimePoint aNow, const std::string& aUpstream, bool aIsExempt);
  /// A packet reached an upstream of another service than the flow's.
  void onMisdelivery() { ++m_metrics.m_misdeliveredPackets; }
  /// A packet reached an upstream in this data centre.
  void onPacket(TimePoint aNow, const std::string& aDataCentre, bool aIsExempt);
  /// `aIsPartitioned`: a partition separates caller and upstream, so no host could have kept the
  /// flow alive.
  void onFlowEnd(TimePoint aNow, FlowOutcome aOutcome, TimePoint aOpenedAt, bool aIsPartitioned);
  /// For runs with a data centre partition: it concentrates new flows on the reachable upstreams,
  /// and established flows are never moved, so the imbalance remains after the partition heals.
  void disableImbalanceCheck() { m_metrics.m_isImbalanceChecked = false; }
  /// A caller opened a flow that some upstream could have served.
  void onOpenAttempt(TimePoint aNow) { m_openAttempts[aNow] += 1; }
  /// A flow opened at `aAttemptedAt` was established.
  void onEstablished(TimePoint aAttemptedAt) { m_establishedFlows[aAttemptedAt] += 1; }

  /// From `aFrom` until before `aTo` the upstream may get at most `aMaxFlowsPerSecond` new flows in
  /// any second.
  void addColdPeriod(const std::string& aUpstream,
                     TimePoint aFrom,
                     TimePoint aTo,
                     uint32_t aMaxFlowsPerSecond);
  /// Operators set the upstream to draining at `aAcceptedAt`.
  void setDraining(const std::string& aUpstream, TimePoint aAcceptedAt);
  /// Operators took the data centre out at `aAcceptedAt`.
  void setDataCentreOut(const std::string& aDataCentre, TimePoint aAcceptedAt);
  /// Operators put the data centre back into service.
  void setDataCentreIn(const std::string& aDataCentre);
  /// An injected fault lasts for this time; flows that break in it count as broken by a fault.
  void addFaultWindow(TimeWindow aWindow) { m_faultWindows.push_back(aWindow); }
  /// Flows opened in this time count for the served share.
  void addDataCentreChange(TimeWindow aWindow) { m_dataCentreChanges.push_back(aWindow); }

  SimulationMetrics& metrics() { return m_metrics; }
  /// Computes m_dcChangeServedShare; called once at the end of the run.
  void computeServedShare();

private:
  struct ColdPeriod
  {
    TimePoint m_from;
    TimePoint m_to;
    uint32_t m_maxFlowsPerSecond{};
    /// Arrival times of the new flows within the last second.
    std::deque<TimePoint> m_recentFlows;
  };

  SimulationMetrics m_metrics;
  std::multimap<std::string, ColdPeriod> m_coldPeriods;
  /// By name of the upstream.
  std::map<std::string, TimePoint> m_drainingSince;
  /// By name of the data centre; only those that are out.
  std::map<std::string, TimePoint> m_outSince;
  std::vector<TimeWindow> m_faultWindows;
  std::vector<TimeWindow> m_dataCentreChanges;
  /// Number of flows by the time at which they were opened.
  std::map<TimePoint, uint64_t> m_openAttempts;
  /// Number of established flows by the time at which they were opened.
  std::map<TimePoint, uint64_t> m_establishedFlows;
};

} // namespace tamarack::session
