// The steps of a LifetimeModel: what the store, the callers and the upstreams do at each tick.
#pragma once

#include "edge/LifetimeOrderFixture.h"

namespace tamarack::edge {

inline void
LifetimeModel::tick()
{
  renewEntries();
  m_hosts.m_isStoreDisturbed = now() < m_storeDisturbedUntil;
  m_hosts.m_isFollowerFed = m_hosts.m_isFollowerFed && now() >= m_recordsMissedUntil;
  m_hosts.advance(kTestTick);
  if (!m_hosts.m_isStoreUp || !m_hosts.m_isFollowerFed || m_hosts.m_isStoreDisturbed) {
    m_lastBlindAt = now();
  }
  m_hosts.m_isFollowerFed = true;
  for (Flow& flow : m_flows) {
    if (m_hosts.resets().contains(flow.m_caller)) {
      onReset(flow);
    }
  }
  for (Flow& flow : m_flows) {
    if (flow.m_caller != 0) {
      continueFlow(flow);
    }
  }
  std::erase_if(m_flows, [](const Flow& aFlow) { return aFlow.m_caller == 0; });
  openMissingFlows();
}

inline void
LifetimeModel::renewEntries()
{
  for (size_t index = 0; index < m_processes.size(); ++index) {
    Process& process = m_processes[index];
    // Upstreams send their heartbeats at different times.
    const Millis phase = kTestTick * static_cast<int64_t>(index * 5 % 12);
    const bool isDue = (now().time_since_epoch() + phase) % kHeartbeatInterval == Millis{};
    if (process.m_lives && isDue) {
      process.m_record.m_slots += index == kChangingProcess ? 1 : 0;
      writeEntry(process);
    }
    process.m_entryStoodAt = ownsEntry(process) ? now() : process.m_entryStoodAt;
  }
  std::erase_if(m_entries, [this](const auto& aEntry) {
    const bool hasExpired = now() >= aEntry.second.m_expiry;
    if (hasExpired) {
      m_hosts.write(aEntry.first, std::nullopt);
    }
    return hasExpired;
  });
  std::vector<registry::UpstreamRecord> records;
  for (const auto& [name, entry] : m_entries) {
    records.push_back(entry.m_record);
  }
  m_backups.push_back(std::move(records));
  if (m_backups.size() > kBackupAgeTicks) {
    m_backups.pop_front();
  }
}

inline void
LifetimeModel::feedSnapshot()
{
  m_isSnapshotFed = true;
  m_hosts.m_isFollowerFed = false;
  tick();
  Host started({ .m_peers = { .m_self = HostId{ 0x0a400009 },
                              .m_dataCentre = "near",
                              .m_capacity = 50,
                              .m_incarnation = 1,
                              .m_seeds = { HostId{ 0x0a400001 } } },
                 .m_coldLimits = {},
                 .m_flowTableCapacity = 16,
                 .m_seed = 9 });
  registry::StoreUpdate update{ .m_revision = m_hosts.revision(), .m_isSnapshot = true };
  update.m_configuration = std::vector<registry::Change>{};
  for (const registry::Change& change : m_hosts.reader().registry().changesSince({}).m_changes) {
    const bool isUpstream = change.m_key.m_kind == registry::RecordKind::Upstream;
    if (change.m_record) {
      (isUpstream ? update.m_changes : *update.m_configuration).push_back(change);
    }
  }
  started.onStoreAnswer(now(), update, true, now());
  const auto delta = registry::decodeDelta(registry::encodeDelta(
    started.registry().changesSince(m_hosts.follower().registry().deltaBase())));
  REQUIRE(delta.ok());
  m_hosts.follower().onDifference(now(), *delta, HostId{ 0x0a400009 });
  m_hosts.follower().peers().onStoreConfirmation(now());
  m_hosts.m_isFollowerFed = true;
}

inline void
LifetimeModel::openMissingFlows()
{
  for (size_t host = 0; host < 2; ++host) {
    const auto isMissing = [&](size_t aProcess) {
      const Process& process = m_processes[aProcess];
      const auto flows = std::ranges::count_if(m_flows, [&](const Flow& aFlow) {
        return aFlow.m_openedBy == host && aFlow.m_process == aProcess && aFlow.m_isOpen;
      });
      return process.m_lives && process.m_record.m_service == "reports" &&
             process.m_record.m_state == registry::UpstreamState::Ready &&
             static_cast<size_t>(flows) < kFlowsPerHost;
    };
    bool isAnyMissing = false;
    for (size_t index = 0; index < m_processes.size(); ++index) {
      isAnyMissing = isAnyMissing || isMissing(index) || now() < m_processes[index].m_fullUntil;
    }
    if (isAnyMissing) {
      Flow& flow = m_flows.emplace_back(
        Flow{ .m_caller = m_nextCaller++, .m_host = host, .m_openedBy = host });
      flow.m_pendingSince = now();
      openFlow(flow, 0);
    }
  }
  std::erase_if(m_flows, [](const Flow& aFlow) { return aFlow.m_caller == 0; });
}

inline void
LifetimeModel::openFlow(Flow& aFlow, uint32_t aCopies)
{
  const uint64_t identity = m_hosts.sendSyn(host(aFlow.m_host), aFlow.m_caller, kFeedPort, aCopies);
  if (identity == 0) {
    aFlow.m_caller = 0;
    return;
  }
  const auto process = std::ranges::find_if(m_processes, [&](const Process& aProcess) {
    return aProcess.m_lives && aProcess.m_record.m_identity == identity &&
           aProcess.m_record.m_address == m_hosts.lastDecision().m_address;
  });
  if (process == m_processes.end() || now() < process->m_fullUntil ||
      now() < process->m_linksLostUntil) {
    return;
  }
  aFlow.m_process = static_cast<size_t>(process - m_processes.begin());
  const auto siblings = static_cast<size_t>(std::ranges::count_if(m_flows, [&](const Flow& aOther) {
    return aOther.m_isOpen && aOther.m_openedBy == aFlow.m_openedBy &&
           aOther.m_process == aFlow.m_process;
  }));
  m_hosts.completeHandshake(host(aFlow.m_host), aFlow.m_caller);
  if (siblings >= kFlowsPerHost) {
    m_hosts.closeFlow(host(aFlow.m_host), aFlow.m_caller);
    aFlow.m_caller = 0;
    return;
  }
  aFlow.m_isOpen = true;
  aFlow.m_openedAt = now();
  aFlow.m_token = m_hosts.lastDecision().m_token;
  aFlow.m_pendingSince.reset();
  // Callers of the follower are idle, so that it gets no response of the upstream for long.
  if (aFlow.m_host == 0) {
    const std::array<Millis, kFlowsPerHost> intervals{ kBusyInterval, kSlowInterval, Millis{} };
    aFlow.m_interval = intervals.at(siblings);
    aFlow.m_moves = aFlow.m_interval == Millis{};
    aFlow.m_nextRequestAt = now() + kTestTick;
  }
}

inline void
LifetimeModel::continueFlow(Flow& aFlow)
{
  const Millis waited = aFlow.m_pendingSince ? now() - *aFlow.m_pendingSince : Millis{};
  const bool isCopyDue = waited == Millis{ 200 } || waited == Millis{ 600 } ||
                         waited == Millis{ 1400 } ||
                         (waited >= Millis{ 3000 } && waited % Millis{ 1600 } == Millis{ 1400 });
  if (!aFlow.m_isOpen) {
    if (waited >= kSynDeadline) {
      aFlow.m_caller = 0;
    } else if (isCopyDue) {
      openFlow(aFlow, waited == Millis{ 200 } ? 1 : 2);
    }
    return;
  }
  Process& process = m_processes[aFlow.m_process];
  if (aFlow.m_pendingSince && process.m_lives && now() >= aFlow.m_answerAt) {
    aFlow.m_pendingSince.reset();
    m_hosts.acknowledgeResponse(host(aFlow.m_host), aFlow.m_caller);
    process.m_answeredAt.at(aFlow.m_host) = now();
    aFlow.m_nextRequestAt =
      aFlow.m_interval == Millis{} ? TimePoint::max() : now() + aFlow.m_interval;
    if (process.m_record.m_state == registry::UpstreamState::Draining) {
      m_hosts.closeFlow(host(aFlow.m_host), aFlow.m_caller);
      aFlow.m_caller = 0;
    }
    return;
  }
  if (aFlow.m_pendingSince) {
    if (isCopyDue) {
      sendRequest(aFlow);
    }
    if (aFlow.m_caller != 0) {
      checkWaitingFlow(aFlow);
    }
    if (waited >= kRequestDeadline) {
      aFlow.m_caller = 0;
    }
  } else if (now() >= aFlow.m_nextRequestAt) {
    if (std::exchange(aFlow.m_moves, false)) {
      aFlow.m_host = 1 - aFlow.m_host;
    }
    aFlow.m_pendingSince = now();
    aFlow.m_nextRequestAt = TimePoint::max();
    sendRequest(aFlow);
  }
}

inline void
LifetimeModel::sendRequest(Flow& aFlow)
{
  (void)m_hosts.sendRequest(host(aFlow.m_host), aFlow.m_caller);
  const steering::ForwardingDecision& decision = m_hosts.lastDecision();
  if (decision.m_action == steering::Action::Reset) {
    onReset(aFlow);
    return;
  }
  Process& process = m_processes[aFlow.m_process];
  if (decision.m_action != steering::Action::Forward || now() < process.m_linksLostUntil) {
    return;
  }
  if (!process.m_lives) {
    // A process that was started under the same name rejects requests of flows that it lacks.
    const bool isRejected = std::ranges::any_of(m_processes, [&](const Process& aOther) {
      return aOther.m_lives && aOther.m_record.m_identity == decision.m_identity &&
             aOther.m_record.m_address == decision.m_address;
    });
    aFlow.m_caller = isRejected ? 0 : aFlow.m_caller;
    return;
  }
  const bool isReached = decision.m_identity == process.m_record.m_identity &&
                         decision.m_address == process.m_record.m_address;
  if (!isReached) {
    return;
  }
  if (aFlow.m_answerAt == TimePoint::max() || aFlow.m_answerAt <= now()) {
    aFlow.m_answerAt = std::max(process.m_slowUntil, now() + kTestTick);
  }
}

inline const steering::Upstream*
LifetimeModel::upstreamOf(const Flow& aFlow)
{
  return host(aFlow.m_host).directory().findUpstream(aFlow.m_token);
}

inline bool
LifetimeModel::isReplaced(const Process& aProcess, TimePoint aSentAt) const
{
  // A late write makes a process registered again until its entry expires.
  if (aProcess.m_lateWriteAt != TimePoint{}) {
    return false;
  }
  const TimePoint silentAt =
    std::max({ aProcess.m_endedAt, m_lastBlindAt }) + kSilenceJudgementTime;
  return std::ranges::any_of(m_processes, [&](const Process& aOther) {
    const bool isSuccessor = aOther.m_record.m_startedAtMs > aProcess.m_record.m_startedAtMs &&
                             (aOther.m_record.m_identity == aProcess.m_record.m_identity ||
                              aOther.m_record.m_address == aProcess.m_record.m_address);
    return isSuccessor && aOther.m_lives && ownsEntry(aOther) &&
           now() - std::max({ aOther.m_publishedAt, silentAt, aSentAt }) > kAtOnce;
  });
}

inline void
LifetimeModel::checkWaitingFlow(Flow& aFlow)
{
  const Process& process = m_processes[aFlow.m_process];
  if (process.m_lives) {
    return;
  }
  const TimePoint sentAt = *aFlow.m_pendingSince;
  const TimePoint goneAt = std::max({ process.m_entryStoodAt, process.m_endedAt, sentAt });
  const steering::Upstream* const upstream = upstreamOf(aFlow);
  // A removal that a host learns of after a failure of the store does not show that it has left.
  if (process.m_hasLeft && m_lastBlindAt < process.m_entryStoodAt && now() - goneAt > kAtOnce) {
    reportFault(aFlow, LifetimeFault::WaitsForLeft);
  }
  const bool isDue =
    now() - std::max(goneAt, m_lastBlindAt + steering::kLapseGracePeriod) > kDeadResetTime;
  if (isDue && upstream != nullptr &&
      host(aFlow.m_host).directory().flowEvidence(now(), *upstream) >= steering::kSuspectEvidence) {
    reportFault(aFlow, LifetimeFault::WaitsForDead);
  }
  const bool hasFailed =
    upstream != nullptr && host(aFlow.m_host).directory().hasFailed(now(), *upstream);
  aFlow.m_failedSince =
    hasFailed ? std::optional(aFlow.m_failedSince.value_or(now())) : std::nullopt;
  if (hasFailed && now() - *aFlow.m_failedSince > kAtOnce) {
    reportFault(aFlow, LifetimeFault::WaitsForDead);
  }
  if (isReplaced(process, sentAt)) {
    reportFault(aFlow,
                upstream != nullptr && upstream->m_hasAddressConflict
                  ? LifetimeFault::WaitsForClaimant
                  : LifetimeFault::WaitsForReplaced);
  }
}

inline LifetimeFault
LifetimeModel::classifyReset(const Flow& aFlow)
{
  const Process& process = m_processes[aFlow.m_process];
  const registry::UpstreamRecord& record = process.m_record;
  if (aFlow.m_token != steering::makeToken(record.m_identity, record.m_startedAtMs)) {
    return LifetimeFault::ResetOfFormerToken;
  }
  const steering::Upstream* const upstream = upstreamOf(aFlow);
  if (upstream == nullptr) {
    return LifetimeFault::ResetUnknown;
  }
  if (upstream->m_registration == steering::RegistrationState::Ended) {
    const bool isLeft = record.m_state == registry::UpstreamState::Draining && m_isSnapshotFed;
    const bool isOverwritten = std::ranges::any_of(m_processes, [&](const Process& aOther) {
      return aOther.m_record.m_identity == record.m_identity &&
             aOther.m_lateWriteAt > process.m_writtenAt;
    });
    return isLeft          ? LifetimeFault::ResetAsLeft
           : isOverwritten ? LifetimeFault::ResetByHeldEntry
                           : LifetimeFault::ResetAsEnded;
  }
  const bool isUnheard = now() - process.m_answeredAt.at(aFlow.m_host) > steering::kSilenceTimeout;
  if (process.m_reportedAt != TimePoint{} &&
      upstream->m_health.evidence() >= 3 * steering::kPeerReportEvidence) {
    return isUnheard ? LifetimeFault::ResetOnReportsUnheard : LifetimeFault::ResetOnReports;
  }
  if (upstream->m_registration != steering::RegistrationState::Missing) {
    return LifetimeFault::ResetRegistered;
  }
  if (isUnheard) {
    return LifetimeFault::ResetMissingUnheard;
  }
  return upstream->m_lastAnswerAt == TimePoint{} ? LifetimeFault::ResetAfterGracePeriod
                                                 : LifetimeFault::ResetMissing;
}

inline void
LifetimeModel::onReset(Flow& aFlow)
{
  const Process& process = m_processes[aFlow.m_process];
  const bool isOld = now() - aFlow.m_openedAt >= steering::kTokenRetention;
  if (aFlow.m_isOpen && process.m_lives && !isOld && now() >= process.m_disturbedUntil) {
    reportFault(aFlow, classifyReset(aFlow));
  }
  aFlow.m_caller = 0;
}

inline void
LifetimeModel::reportFault(const Flow& aFlow, LifetimeFault aKind)
{
  if (m_tolerated.contains(aKind)) {
    ++m_toleratedFaults;
    return;
  }
  if (!m_fault.empty()) {
    return;
  }
  m_faultKind = aKind;
  const Process& process = m_processes[aFlow.m_process];
  m_fault = faultName(aKind) + " after " + std::to_string((now() - m_playedSince).count()) +
            " ms: a flow of the " + (aFlow.m_host == 0 ? "reader" : "follower") + " to process " +
            std::to_string(aFlow.m_process) + " (" + keyOf(process) + ", " +
            (process.m_lives ? "runs" : "has ended") + ")";
  if (const steering::Upstream* const upstream = upstreamOf(aFlow)) {
    m_fault += ", registration " + std::to_string(static_cast<int>(upstream->m_registration)) +
               ", evidence " + std::to_string(upstream->m_health.evidence()) + " and " +
               std::to_string(upstream->m_health.synEvidence()) + " of SYNs";
  }
}

} // namespace tamarack::edge
