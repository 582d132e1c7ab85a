// The state and the decisions of one host that steers packets by token, without any I/O: packets,
// answers of the store, statuses of other hosts and the time go in; forwarding decisions, statuses
// and log lines come out.
#pragma once

#include "base/RateLimiter.h"
#include "dissemination/PeerTracker.h"
#include "edge/BootstrapPolicy.h"
#include "edge/OverloadControl.h"
#include "edge/PauseDetector.h"
#include "edge/WithdrawalPolicy.h"
#include "registry/Registry.h"
#include "steering/TokenSteering.h"

namespace tamarack::edge {

/// Rate limit of log lines about flows: lines per second, and the burst after a quiet period. A
/// host at the design size opens 110 flows per second.
inline constexpr double kFlowLogLinesPerSecond = 120;
inline constexpr double kFlowLogLineBurst = 240;
/// Rate limit of log lines about items that cannot be read: lines per second, and the burst. An
/// item is logged whenever it is read, and another writer may write any number of them.
inline constexpr double kRejectedItemLinesPerSecond = 1;
inline constexpr double kRejectedItemLineBurst = 8;
/// Limit of observations of upstreams that wait for the next status.
inline constexpr size_t kMaxPendingHealthReports = 32;
/// Time for which the observation that an upstream does not answer waits for a status. Reports
/// carry no age, so an old one would count as new on the hosts that get it. Statuses with
/// observations leave at the next tick, unless no reader is known.
inline constexpr Millis kMaxHealthReportWait{ 500 };

/// Number of usable upstreams of a service that suffices to place its flows before all records are
/// loaded. Hosts that start together load different ones, so the load still spreads.
inline constexpr int kMinPlacementCandidates = 8;

/// Time after a disturbance in which the removal of an upstream may be a consequence of the
/// disturbance: an upstream's entry lapses after three missed heartbeats of 1.2 s. A disturbance is
/// a failure or a restore of the store, or a pause of this process.
inline constexpr Millis kDisturbancePeriod{ 4000 };

struct HostOptions
{
  dissemination::PeerTrackerOptions m_peers;
  steering::ColdStartLimits m_coldLimits;
  overload::AdmissionOptions m_admission;
  /// Number of flows that are remembered to recognise retransmitted packets.
  size_t m_flowTableCapacity{};
  /// Seeds the random choice of upstreams.
  uint64_t m_seed{};
  Mechanisms m_mechanisms{};
};

struct LogLine
{
  EventId m_event;
  /// The other fields, as `name=value` separated by spaces.
  std::string m_fields;
};

class Host
{
public:
  explicit Host(HostOptions aOptions);

  /// Decides what to do with a packet of a caller.
  [[nodiscard]] steering::ForwardingDecision decide(TimePoint aNow,
                                                    const steering::FlowPacket& aPacket)
  {
    return m_steering.decide(aNow, aPacket);
  }

  /// Reports that the process is running. Call it before packets and statuses are read, and at each
  /// tick, so that pauses of the process are detected.
  void onActivity(TimePoint aNow)
  {
    if (m_pauseDetector.onActivity(aNow)) {
      logEvent(EventId::DecisionsResumed,
               "stood_still_ms=" + std::to_string(m_pauseDetector.maxStatusDelay().count()));
    }
    m_steering.setProcessingBacklog(m_pauseDetector.arePacketsDelayed());
  }
  /// All packets that waited in the socket buffer were read.
  void onPacketBacklogRead()
  {
    m_pauseDetector.onPacketBacklogRead();
    m_steering.setProcessingBacklog(false);
  }
  /// All statuses that waited in the socket buffer were read.
  void onStatusBacklogRead() { m_pauseDetector.onStatusBacklogRead(); }

  /// Merges an answer of the store. `aIsDisturbed` says that the store failed recently, so that
  /// missing upstreams may have lapsed without having ended. `aConfirmedAt` is the time at which
  /// the store held nothing newer; the epoch if the answer may be stale.
  void onStoreAnswer(TimePoint aNow,
                     const registry::StoreUpdate& aUpdate,
                     bool aIsDisturbed,
                     TimePoint aConfirmedAt);
  /// Merges one page of the first load, so that open flows can be served before it is complete.
  void onStorePage(TimePoint aNow, const registry::StoreUpdate& aPage);
  /// Merges records that another host sent, unless they belong to a distrusted history.
  void onDifference(TimePoint aNow, const registry::Delta& aDifference, HostId aFrom);
  /// The store answers from an earlier history than that of the records, which another host sent.
  /// Records of that history and of later ones are rejected from then on, until the store itself
  /// answers from one of them.
  void onStoreHistoryContradicted(registry::HistoryId aHistoryOfStore);
  /// Processes a status of another host. Returns whether to pull records from it and whether to
  /// answer it.
  dissemination::StatusActions onStatus(TimePoint aNow,
                                        const dissemination::StatusMessage& aStatus);
  /// Does the periodic work. Call it at each tick.
  void tick(TimePoint aNow);
  /// Queues a log line about an event; `aFields` are its other fields as `name=value`.
  void logEvent(EventId aEvent, std::string aFields);

  /// Makes a status that holds the records changed since the last pushed status, if they fit.
  [[nodiscard]] std::vector<uint8_t> makeStatus(TimePoint aNow);
  /// Makes a periodic status, which holds the load while overload control is active. Some of these
  /// also name other hosts of the data centre.
  [[nodiscard]] std::vector<uint8_t> makePeriodicStatus(TimePoint aNow);
  /// Makes the answer to a status of a host of `aDataCentre`. It names hosts which that host should
  /// know of.
  [[nodiscard]] std::vector<uint8_t> makeAnswerStatus(TimePoint aNow, std::string_view aDataCentre);
  /// Whether there are observations of upstreams, or, on a reader, changed records to push.
  [[nodiscard]] bool hasUnsentChanges() const;
  /// Whether callers' packets showed a change of an upstream's health that other hosts should learn
  /// of at once.
  [[nodiscard]] bool hasPendingHealthReports();
  /// A status was pushed; the next one holds only what changes from now on.
  void onStatusPushed();

  /// Whether the records loaded so far suffice to decide on a packet. Once all records are loaded,
  /// they suffice for every packet.
  [[nodiscard]] bool canDecide(TimePoint aNow, const steering::FlowPacket& aPacket) const;
  /// Whether to pull records from the sender of a status, whose revision is newer than this host's.
  [[nodiscard]] bool shouldPull(TimePoint aNow, const dissemination::StatusMessage& aStatus) const;
  /// Whether the initial records have to be read from the store now. Logs the reason when it
  /// changes.
  [[nodiscard]] bool isBootstrapReadDue(TimePoint aNow);
  [[nodiscard]] BootstrapPolicy& bootstrap() { return m_bootstrap; }
  /// Whether all records were loaded at least once.
  [[nodiscard]] bool isLoaded() const { return m_registry.appliedRevision().isSet(); }
  /// Whether this host reads the store, for itself or for its data centre.
  [[nodiscard]] bool isReader() const { return m_isReader; }
  /// Whether the fabric should use hosts of other data centres instead of this one.
  [[nodiscard]] bool isWithdrawn() const { return m_withdrawalPolicy.isWithdrawn(); }
  [[nodiscard]] const std::string& dataCentre() const { return m_dataCentre; }
  /// Time since the records were last confirmed to be current; -1 ms if they never were.
  [[nodiscard]] Millis viewAge(TimePoint aNow) const;
  /// Returns the queued log lines and clears the queue. Lines about flows are rate-limited.
  [[nodiscard]] std::vector<LogLine> takeLogLines(TimePoint aNow);

  [[nodiscard]] const registry::Registry& registry() const { return m_registry; }
  [[nodiscard]] const steering::ServiceDirectory& directory() const { return m_directory; }
  [[nodiscard]] dissemination::PeerTracker& peers() { return m_peers; }
  [[nodiscard]] const dissemination::PeerTracker& peers() const { return m_peers; }
  [[nodiscard]] const OverloadControl& overloadControl() const { return m_overloadControl; }
  [[nodiscard]] steering::TokenSteering& steering() { return m_steering; }
  [[nodiscard]] const steering::TokenSteering& steering() const { return m_steering; }
  /// How often the store was restored from a backup and lost writes that it had acknowledged.
  [[nodiscard]] uint64_t historyChanges() const { return m_historyChanges; }
  /// Number of log lines about flows that the rate limit suppressed.
  [[nodiscard]] uint64_t omittedLogLines() const { return m_omittedLogLines; }

private:
  /// Adds the pending observations and, on a reader, the changed records if they fit, and encodes
  /// the status.
  [[nodiscard]] std::vector<uint8_t> encodeWithUpdates(dissemination::StatusMessage aStatus);
  /// Logs items that cannot be read, within the rate limit. `aFrom` are fields that name the
  /// source, or empty for the store.
  void logRejectedItems(TimePoint aNow,
                        std::span<const std::string> aItems,
                        const std::string& aFrom);
  /// Applies merged changes to the directory of the steering.
  void onChanges(TimePoint aNow, std::span<const registry::Change> aChanges);
  /// Updates whether records that this host lacks may return, after a merge up to `aRevision`.
  /// `aIsSourceUncertain` says that its source does not know.
  void updateRemovalCertainty(TimePoint aNow,
                              registry::Revision aRevision,
                              bool aIsSourceUncertain,
                              std::span<const registry::Change> aChanges);
  /// Logs that the store began a new history, if the merge of `aChanges` changed records showed
  /// one.
  void logHistoryChange(registry::Revision aBefore, size_t aChanges, std::string_view aFrom);
  /// Passes the age of the records to the steering and logs when they become stale or fresh.
  void refreshView(TimePoint aNow);
  /// Appends the log lines about flows, within the rate limit.
  void takeFlowLogLines(TimePoint aNow, std::vector<LogLine>& aLines);
  /// Whether the store has not contradicted the history of a revision.
  [[nodiscard]] bool isTrusted(registry::Revision aRevision) const
  {
    return m_distrustedHistory == 0 || aRevision.m_history < m_distrustedHistory;
  }
  void updateWithdrawal(TimePoint aNow);
  /// Discards observations that have waited longer than kMaxHealthReportWait.
  void dropOldHealthReports(TimePoint aNow);
  /// Turns new flow events that show a change of an upstream's health into pending observations.
  void collectHealthReports();
  /// Whether another host is known to be in the data centre of this host or of an upstream.
  [[nodiscard]] bool isNearby(HostId aHost, const steering::Upstream& aUpstream) const;
  /// Applies an observation of another host. A reader passes it on if it was new.
  void onObservation(TimePoint aNow, const dissemination::HealthReport& aObservation);

  /// An observation that waits for the next status since `m_since`.
  struct PendingHealthReport
  {
    dissemination::HealthReport m_report;
    TimePoint m_since;
  };

  registry::Registry m_registry;
  steering::ServiceDirectory m_directory;
  steering::ColdStartLimiter m_coldStartLimiter;
  steering::UpstreamSelector m_upstreamSelector;
  OverloadControl m_overloadControl;
  steering::TokenSteering m_steering;
  HostId m_self;
  std::string m_dataCentre;
  dissemination::PeerTracker m_peers;
  std::vector<LogLine> m_logLines;
  /// Observations to send with the next status; at most kMaxPendingHealthReports.
  std::vector<PendingHealthReport> m_pendingHealthReports;
  /// Number of flow events that collectHealthReports() has already examined.
  size_t m_scannedFlowEvents{};
  /// Revision up to which changed records were pushed. On a host that is not a reader, it follows
  /// the revision of the records.
  registry::Revision m_lastPushedRevision{};
  /// This history and all later ones were contradicted by the store; 0 if none was.
  registry::HistoryId m_distrustedHistory{};
  BootstrapPolicy m_bootstrap;
  PauseDetector m_pauseDetector;
  WithdrawalPolicy m_withdrawalPolicy;
  /// Why the initial records are read from the store; empty until they are.
  std::string m_bootstrapReadReason;
  /// When all records were first loaded; the epoch before.
  TimePoint m_loadedAt;
  /// Until then, records that this host lacks may return, whatever its sources say: it loaded its
  /// first records or removed some that may return less than kDisturbancePeriod ago.
  TimePoint m_removalsUncertainUntil;
  bool m_isReader{};
  /// The records are too old to be trusted, as last logged.
  bool m_isViewStale{};
  RateLimiter m_rejectedItemLogLimit{ kRejectedItemLinesPerSecond, kRejectedItemLineBurst };
  /// Items that the rate limit left out since the last line about one.
  uint64_t m_omittedRejectedItems{};
  RateLimiter m_flowLogLimit{ kFlowLogLinesPerSecond, kFlowLogLineBurst };
  uint64_t m_historyChanges{};
  uint64_t m_omittedLogLines{};
  /// Suppressed log lines that a lines-omitted event has already reported.
  uint64_t m_reportedOmittedLogLines{};
};

} // namespace tamarack::edge
