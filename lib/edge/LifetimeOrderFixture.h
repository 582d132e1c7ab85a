// A model of the upstreams, the store and the callers around the two hosts of a HeartbeatFixture.
// It knows which process runs at which address and which flows are open to it, so it can tell which
// resets are wrong and which are missing.
#pragma once

#include "edge/HeartbeatFixture.h"
#include "edge/LifetimeFault.h"
#include "edge/LifetimeSequence.h"

#include <deque>

namespace tamarack::edge {

/// Time after a disturbance of an upstream or its links in which resets of its flows do not count.
inline constexpr Millis kContactTime{ 4000 };
/// Time after a failure of the store in which the reader takes removed entries for ones that may
/// return; see StoreSynchronizer.
inline constexpr Millis kStoreDisturbance{ 4000 };
/// Requests that wait for a process that has ended are reset at most this long after its entry is
/// gone, or after the grace period of entries that may return, once their copies are evidence.
inline constexpr Millis kDeadResetTime{ 4000 };
/// An upstream counts as silent 2 s after its last sign of life, once another entry is renewed.
inline constexpr Millis kSilenceJudgementTime = steering::kSilenceTimeout + kHeartbeatInterval;
/// What is to happen at once happens by the second tick after it.
inline constexpr Millis kAtOnce = 2 * kTestTick;
inline constexpr Millis kEntryLifetime = 3 * kHeartbeatInterval;
/// Age of the backup that a restored store holds.
inline constexpr size_t kBackupAgeTicks = 30;
/// Callers give up a request, or a SYN, after these times.
inline constexpr Millis kRequestDeadline = steering::kMaxPendingRequestAge;
inline constexpr Millis kSynDeadline{ 1400 };

class LifetimeModel
{
public:
  using Faults = std::set<LifetimeFault>;

  /// `aTolerated` are kinds of faults that do not end a sequence.
  explicit LifetimeModel(Faults aTolerated = {})
    : m_tolerated(std::move(aTolerated))
  {
    startProcess(HeartbeatFixture::record(2));
    registry::UpstreamRecord changing = HeartbeatFixture::record(3);
    changing.m_service = "manuals";
    startProcess(changing);
    startProcess(HeartbeatFixture::record(1));
    run(kWarmUp);
  }

  /// Plays the events of a sequence, then lets the idle callers send requests. Returns what went
  /// wrong first; empty if nothing did.
  std::string play(const LifetimeSequence& aSequence, Millis aSettleTime)
  {
    m_playedSince = m_hosts.m_now;
    for (const LifetimeStep& step : aSequence) {
      apply(step.m_event);
      run(step.m_gap);
    }
    probe();
    run(aSettleTime);
    probe();
    run(kProbeTime);
    return m_fault;
  }

  /// The kind of the first fault; valid if there was one.
  [[nodiscard]] LifetimeFault faultKind() const { return m_faultKind; }
  [[nodiscard]] size_t toleratedFaults() const { return m_toleratedFaults; }
  [[nodiscard]] const HeartbeatFixture& hosts() const { return m_hosts; }

private:
  static constexpr Millis kWarmUp{ 3200 };
  static constexpr Millis kProbeTime{ 300 };
  static constexpr Millis kBusyInterval{ 400 };
  static constexpr Millis kSlowInterval{ 1500 };
  static constexpr size_t kFlowsPerHost = 3;
  /// Idle callers of each host that repeat a request because of a late response. Six of them at
  /// once are taken for the failure of an upstream.
  static constexpr size_t kLateCallers = 3;
  static constexpr size_t kChangingProcess = 1;
  static constexpr uint16_t kFirstCaller = 1000;

  struct Process
  {
    registry::UpstreamRecord m_record;
    bool m_lives{ true };
    bool m_reachesStore{ true };
    bool m_hasLeft{};
    TimePoint m_endedAt;
    /// The latest time at which the store held its entry.
    TimePoint m_entryStoodAt;
    /// When its entry was first published.
    TimePoint m_publishedAt;
    TimePoint m_lateWriteAt;
    /// When the process wrote its entry last.
    TimePoint m_writtenAt;
    TimePoint m_reportedAt;
    /// When each host saw the latest response.
    std::array<TimePoint, 2> m_answeredAt;
    TimePoint m_slowUntil;
    TimePoint m_fullUntil;
    TimePoint m_linksLostUntil;
    TimePoint m_disturbedUntil;
  };

  struct Entry
  {
    registry::UpstreamRecord m_record;
    TimePoint m_expiry;
  };

  struct Flow
  {
    uint16_t m_caller{};
    /// The host that the packets of the caller reach, and the one that its SYN reached.
    size_t m_host{};
    size_t m_openedBy{};
    size_t m_process{};
    /// Time between a response and the next request; 0 if the caller is idle until probed.
    Millis m_interval{};
    /// The next request is sent through the other host.
    bool m_moves{};
    bool m_isOpen{};
    TimePoint m_openedAt;
    steering::Token m_token;
    TimePoint m_nextRequestAt{ TimePoint::max() };
    /// When the pending request, or the SYN, was sent.
    std::optional<TimePoint> m_pendingSince;
    TimePoint m_answerAt{ TimePoint::max() };
    /// When the host began to hold the process for failed.
    std::optional<TimePoint> m_failedSince;
  };

  static std::string keyOf(const Process& aProcess)
  {
    return HeartbeatFixture::nameOf(aProcess.m_record.m_identity);
  }
  [[nodiscard]] TimePoint now() const { return m_hosts.m_now; }
  Host& host(size_t aIndex) { return aIndex == 0 ? m_hosts.reader() : m_hosts.follower(); }
  [[nodiscard]] Process& subject() { return m_processes.back(); }

  void startProcess(registry::UpstreamRecord aRecord)
  {
    aRecord.m_startedAtMs = now().time_since_epoch().count();
    aRecord.m_state = registry::UpstreamState::Ready;
    m_processes.push_back({ .m_record = aRecord });
    writeEntry(m_processes.back());
  }

  void endProcess()
  {
    subject().m_lives = false;
    subject().m_endedAt = now();
  }

  /// A running process writes its entry. The store publishes it if it changes.
  void writeEntry(Process& aProcess)
  {
    if (!m_hosts.m_isStoreUp || !aProcess.m_reachesStore) {
      return;
    }
    const auto [found, isNew] = m_entries.try_emplace(keyOf(aProcess));
    if (isNew || found->second.m_record != aProcess.m_record) {
      m_hosts.write(keyOf(aProcess), aProcess.m_record);
    }
    found->second = { aProcess.m_record, now() + kEntryLifetime };
    aProcess.m_writtenAt = now();
    aProcess.m_publishedAt =
      std::max(aProcess.m_publishedAt, aProcess.m_publishedAt == TimePoint{} ? now() : TimePoint{});
  }

  [[nodiscard]] bool ownsEntry(const Process& aProcess) const
  {
    const auto found = m_entries.find(keyOf(aProcess));
    return found != m_entries.end() &&
           found->second.m_record.m_startedAtMs == aProcess.m_record.m_startedAtMs;
  }

  void apply(LifetimeEvent aEvent)
  {
    registry::UpstreamRecord record = subject().m_record;
    switch (aEvent) {
      case LifetimeEvent::Crash:
        endProcess();
        break;
      case LifetimeEvent::Leave:
        endProcess();
        subject().m_hasLeft = true;
        m_entries.erase(keyOf(subject()));
        m_hosts.write(keyOf(subject()), std::nullopt);
        break;
      case LifetimeEvent::Restart:
        startProcess(record);
        break;
      case LifetimeEvent::Move:
        record.m_address = Ipv4{ ++m_lastAddress };
        startProcess(record);
        break;
      case LifetimeEvent::Succeed:
      case LifetimeEvent::ReuseAddress:
        record.m_identity = ++m_lastIdentity;
        record.m_service = aEvent == LifetimeEvent::Succeed ? "reports" : "manuals";
        startProcess(record);
        break;
      case LifetimeEvent::WriteLate:
        writeLate();
        break;
      case LifetimeEvent::Drain:
        subject().m_record.m_state = registry::UpstreamState::Draining;
        writeEntry(subject());
        break;
      case LifetimeEvent::LoseStore:
        subject().m_reachesStore = false;
        break;
      case LifetimeEvent::ReachStore:
        subject().m_reachesStore = true;
        break;
      default:
        applyOther(aEvent);
        break;
    }
  }

  void applyOther(LifetimeEvent aEvent)
  {
    switch (aEvent) {
      case LifetimeEvent::StoreDown:
        m_hosts.m_isStoreUp = false;
        break;
      case LifetimeEvent::StoreUp:
      case LifetimeEvent::StoreUpSnapshot:
        m_hosts.m_isStoreUp = true;
        m_storeDisturbedUntil = now() + kStoreDisturbance;
        if (aEvent == LifetimeEvent::StoreUpSnapshot) {
          feedSnapshot();
        }
        break;
      case LifetimeEvent::RestoreStore:
        restoreStore();
        break;
      case LifetimeEvent::Answer:
        forEachIdleFlow([&](Flow& aFlow) {
          aFlow.m_nextRequestAt = aFlow.m_host == 1 ? now() : aFlow.m_nextRequestAt;
        });
        break;
      case LifetimeEvent::AnswerLate:
        subject().m_slowUntil = now() + Millis{ 500 };
        forEachIdleFlow([&, late = std::array<size_t, 2>{}](Flow& aFlow) mutable {
          if (late.at(aFlow.m_host)++ < kLateCallers) {
            aFlow.m_nextRequestAt = now();
          }
        });
        break;
      case LifetimeEvent::Full:
        subject().m_fullUntil = now() + Millis{ 1000 };
        break;
      case LifetimeEvent::LoseLinks:
        subject().m_linksLostUntil = now() + Millis{ 500 };
        subject().m_disturbedUntil = subject().m_linksLostUntil + kContactTime;
        forEachIdleFlow([&](Flow& aFlow) { aFlow.m_nextRequestAt = now(); });
        break;
      case LifetimeEvent::Report:
        sendReports();
        break;
      case LifetimeEvent::MissRecords:
        m_recordsMissedUntil = now() + Millis{ 1500 };
        break;
      default:
        FAIL("unknown event " << static_cast<char>(aEvent));
    }
  }

  void writeLate()
  {
    const auto ended = std::ranges::find_if(m_processes.rbegin(),
                                            m_processes.rend(),
                                            [](const Process& aOther) { return !aOther.m_lives; });
    m_entries[keyOf(*ended)] = { ended->m_record, now() + kEntryLifetime };
    m_hosts.write(keyOf(*ended), ended->m_record);
    ended->m_lateWriteAt = now();
  }

  void restoreStore()
  {
    m_entries.clear();
    for (const registry::UpstreamRecord& record : m_backups.front()) {
      m_entries[HeartbeatFixture::nameOf(record.m_identity)] = { record, now() + kEntryLifetime };
    }
    m_hosts.restoreStore(m_backups.front());
    m_storeDisturbedUntil = now() + kStoreDisturbance;
  }

  /// The follower gets its first records after the failure from a host that loaded them just now.
  void feedSnapshot();

  /// Three hosts of another data centre, which are cut off, report the upstream to both hosts.
  void sendReports()
  {
    subject().m_reportedAt = now();
    const steering::Token token =
      steering::makeToken(subject().m_record.m_identity, subject().m_record.m_startedAtMs);
    for (uint32_t index = 0; index < 3; ++index) {
      const HostId reporter{ 0x0a410001 + index };
      const dissemination::StatusMessage status{ .m_sender = reporter,
                                                 .m_dataCentre = "far",
                                                 .m_incarnation = 1,
                                                 .m_capacity = 50,
                                                 .m_healthReports = {
                                                   { token.m_value,
                                                     dissemination::HealthSignal::Unresponsive,
                                                     reporter } } };
      (void)m_hosts.reader().onStatus(now(), status);
      (void)m_hosts.follower().onStatus(now(), status);
    }
  }

  void run(Millis aTime)
  {
    for (const TimePoint end = now() + aTime; now() < end && m_fault.empty();) {
      tick();
    }
  }

  void tick();
  void renewEntries();
  void openMissingFlows();
  void openFlow(Flow& aFlow, uint32_t aCopies);
  void continueFlow(Flow& aFlow);
  void sendRequest(Flow& aFlow);
  void checkWaitingFlow(Flow& aFlow);
  void onReset(Flow& aFlow);
  [[nodiscard]] LifetimeFault classifyReset(const Flow& aFlow);
  [[nodiscard]] bool isReplaced(const Process& aProcess, TimePoint aSentAt) const;
  [[nodiscard]] const steering::Upstream* upstreamOf(const Flow& aFlow);
  void reportFault(const Flow& aFlow, LifetimeFault aKind);

  /// The callers of the upstream under test that have no request pending.
  template<typename Function>
  void forEachIdleFlow(Function aFunction)
  {
    for (Flow& flow : m_flows) {
      if (flow.m_isOpen && flow.m_process == m_processes.size() - 1 && !flow.m_pendingSince) {
        aFunction(flow);
      }
    }
  }
  void probe()
  {
    for (Flow& flow : m_flows) {
      flow.m_nextRequestAt = std::min(flow.m_nextRequestAt, now());
    }
  }

  HeartbeatFixture m_hosts;
  std::vector<Process> m_processes;
  std::map<std::string, Entry> m_entries;
  /// The entries of the store at the latest ticks.
  std::deque<std::vector<registry::UpstreamRecord>> m_backups;
  std::deque<Flow> m_flows;
  uint16_t m_nextCaller{ kFirstCaller };
  uint64_t m_lastIdentity{ 10 };
  uint32_t m_lastAddress{ 0x0a8000f0 };
  TimePoint m_storeDisturbedUntil;
  TimePoint m_recordsMissedUntil;
  /// The latest time at which hosts did not know all entries, or took removed ones for lapsed.
  TimePoint m_lastBlindAt;
  TimePoint m_playedSince;
  /// The follower got a snapshot of a host that has started.
  bool m_isSnapshotFed{};
  Faults m_tolerated;
  size_t m_toleratedFaults{};
  std::string m_fault;
  LifetimeFault m_faultKind{};
};

} // namespace tamarack::edge
