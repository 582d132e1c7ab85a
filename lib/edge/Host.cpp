// Dispatches packets, store answers and statuses to the registry, the steering and the peer table,
// and keeps the state that they share consistent.
#include "edge/Host.h"

#include "base/BoundedText.h"
#include "registry/RecordCodec.h"

#include <algorithm>

namespace tamarack::edge {

namespace {

/// Limit of the encoded difference that a status carries; without one, a status is smaller than
/// this. Hosts that lack a larger difference pull it over HTTP/2.
constexpr size_t kMaxInlineDifferenceBytes = 1000;
/// Limit of the text about an item that cannot be read: its key and the reason.
constexpr size_t kMaxRejectedItemBytes = 2 * kMaxQuotedBytes + 10;

/// The observation of an upstream's health that a flow event implies, if any.
std::optional<dissemination::HealthSignal>
observedSign(const steering::FlowEvent& aEvent)
{
  switch (aEvent.m_event) {
    case EventId::UpstreamAvoided:
      // Unanswered SYNs show that the upstream takes no new flows, not that it has failed.
      return aEvent.m_synRetransmissions > 0 ? dissemination::HealthSignal::RefusesFlows
                                             : dissemination::HealthSignal::Unresponsive;
    case EventId::UpstreamAnswers:
      return dissemination::HealthSignal::Recovered;
    case EventId::AnswerSlow:
      return dissemination::HealthSignal::Slow;
    case EventId::UpstreamRefuses:
      return dissemination::HealthSignal::RefusesFlows;
    default:
      return std::nullopt;
  }
}

} // namespace

Host::Host(HostOptions aOptions)
  : m_directory(aOptions.m_peers.m_dataCentre, aOptions.m_mechanisms)
  , m_coldStartLimiter(aOptions.m_coldLimits)
  , m_upstreamSelector(m_directory, m_coldStartLimiter, aOptions.m_seed)
  , m_overloadControl(aOptions.m_peers.m_self, aOptions.m_peers.m_dataCentre, aOptions.m_admission)
  , m_steering(m_directory, m_upstreamSelector, aOptions.m_flowTableCapacity)
  , m_self(aOptions.m_peers.m_self)
  , m_dataCentre(aOptions.m_peers.m_dataCentre)
  , m_peers(std::move(aOptions.m_peers))
{
  m_steering.setOverloadControl(m_overloadControl.packetInterface());
}

void
Host::onStoreAnswer(TimePoint aNow,
                    const registry::StoreUpdate& aUpdate,
                    bool aIsDisturbed,
                    TimePoint aConfirmedAt)
{
  logRejectedItems(aNow, aUpdate.m_rejectedItems, {});
  const registry::Revision before = m_registry.appliedRevision();
  if (aUpdate.m_revision.m_history >= m_distrustedHistory) {
    m_distrustedHistory = 0;
  }
  const auto changes = m_registry.merge(aUpdate, aIsDisturbed);
  if (aIsDisturbed) {
    m_directory.restartSilence(aNow);
  }
  onChanges(aNow, changes);
  updateRemovalCertainty(aNow, aUpdate.m_revision, aIsDisturbed, changes);
  logHistoryChange(before, changes.size(), "store");
  m_peers.onRevision(m_registry.appliedRevision());
  if (aConfirmedAt != TimePoint{}) {
    m_peers.onStoreConfirmation(aConfirmedAt);
  }
  refreshView(aNow);
}

void
Host::logRejectedItems(TimePoint aNow,
                       std::span<const std::string> aItems,
                       const std::string& aFrom)
{
  for (const std::string& item : aItems) {
    if (!m_rejectedItemLogLimit.tryAcquire(aNow)) {
      ++m_omittedRejectedItems;
      continue;
    }
    const uint64_t omitted = std::exchange(m_omittedRejectedItems, 0);
    logEvent(EventId::RecordRefused,
             aFrom + "item=\"" + boundedText(item, kMaxRejectedItemBytes) + "\"" +
               (omitted == 0 ? "" : " omitted=" + std::to_string(omitted)));
  }
}

bool
Host::canDecide(TimePoint aNow, const steering::FlowPacket& aPacket) const
{
  if (isLoaded()) {
    return true;
  }
  if (!aPacket.m_isSyn) {
    return m_directory.findUpstream(aPacket.m_token) != nullptr;
  }
  const packet::FlowKey& flow = aPacket.m_flow;
  const steering::Route* const route =
    m_directory.findRoute(flow.m_destination, flow.m_destinationPort);
  return route != nullptr &&
         std::ranges::all_of(route->m_record.m_services, [&](const auto& aShare) {
           const steering::Service* const service = m_directory.findService(aShare.m_service);
           return service != nullptr &&
                  std::ranges::count_if(service->m_upstreams, [aNow](const auto* aUpstream) {
                    return aUpstream->acceptsNewFlows() && !aUpstream->isCold(aNow);
                  }) >= kMinPlacementCandidates;
         });
}

void
Host::onStorePage(TimePoint aNow, const registry::StoreUpdate& aPage)
{
  m_directory.setRegistrationLogging(false);
  m_directory.apply(aNow, m_registry.merge(aPage, false));
  m_directory.applyRenewals(aNow, m_registry.renewals());
}

void
Host::onDifference(TimePoint aNow, const registry::Delta& aDifference, HostId aFrom)
{
  if (!isTrusted(aDifference.m_revision)) {
    return;
  }
  logRejectedItems(aNow, aDifference.m_rejectedItems, "host=" + formatHost(aFrom) + " ");
  const registry::Revision before = m_registry.appliedRevision();
  const auto changes = m_registry.merge(aDifference);
  onChanges(aNow, changes);
  updateRemovalCertainty(aNow, aDifference.m_revision, aDifference.m_areRemovalsUncertain, changes);
  logHistoryChange(before, changes.size(), formatHost(aFrom));
  m_peers.onRevision(m_registry.appliedRevision());
  refreshView(aNow);
}

void
Host::onChanges(TimePoint aNow, std::span<const registry::Change> aChanges)
{
  m_directory.setRegistrationLogging(m_loadedAt != TimePoint{});
  if (m_loadedAt == TimePoint{} && isLoaded()) {
    m_loadedAt = aNow;
    // Nothing tells this host whether the store was disturbed before.
    m_removalsUncertainUntil = aNow + kDisturbancePeriod;
    logEvent(EventId::RecordsLoaded,
             "revision=" + registry::formatRevision(m_registry.appliedRevision()) +
               " records=" + std::to_string(m_registry.size()));
  }
  m_directory.apply(aNow, aChanges);
  m_directory.applyRenewals(aNow, m_registry.renewals());
}

void
Host::updateRemovalCertainty(TimePoint aNow,
                             registry::Revision aRevision,
                             bool aIsSourceUncertain,
                             std::span<const registry::Change> aChanges)
{
  if (aRevision != m_registry.appliedRevision()) {
    // An update that is outdated or was not merged tells nothing of the records held.
    return;
  }
  if (std::ranges::any_of(aChanges, &registry::Change::m_mayReturn)) {
    m_removalsUncertainUntil = aNow + kDisturbancePeriod;
  }
  // Only a merge ends the uncertainty: while the store is down, no upstream can register again.
  m_registry.setRemovalsUncertain(aIsSourceUncertain || aNow < m_removalsUncertainUntil);
}

dissemination::StatusActions
Host::onStatus(TimePoint aNow, const dissemination::StatusMessage& aStatus)
{
  if (!aStatus.m_delta.empty()) {
    const auto difference = registry::decodeDelta(aStatus.m_delta);
    if (difference.ok()) {
      onDifference(aNow, *difference, aStatus.m_sender);
    } else {
      const std::string message(difference.status().message());
      logRejectedItems(aNow, { &message, 1 }, "host=" + formatHost(aStatus.m_sender) + " ");
    }
  }
  // After a pause of this process, the status may have waited in the socket buffer, so the age that
  // it states is increased by the longest possible wait.
  const Millis delay = m_pauseDetector.maxStatusDelay();
  dissemination::StatusMessage adjusted = aStatus;
  adjusted.m_confirmationAgeMs += adjusted.m_confirmationAgeMs < 0 ? 0 : delay.count();
  if (!isTrusted(adjusted.m_revision)) {
    adjusted.m_revision = {};
    adjusted.m_confirmationAgeMs = -1;
  }
  const dissemination::StatusActions reaction =
    m_peers.onStatus(aNow, adjusted, m_registry.appliedRevision());
  if (!isLoaded()) {
    m_bootstrap.onHostHeard(aStatus.m_revision.isSet());
  }
  if (delay == Millis{} && m_directory.mechanisms().isEnabled(Mechanism::PeerHealthReports)) {
    for (const dissemination::HealthReport& observation : aStatus.m_healthReports) {
      onObservation(aNow, observation);
    }
  }
  m_overloadControl.onStatus(aNow, delay, aStatus);
  refreshView(aNow);
  return reaction;
}

void
Host::onStoreHistoryContradicted(registry::HistoryId aHistoryOfStore)
{
  const registry::Revision revision = m_registry.appliedRevision();
  logEvent(EventId::HistoryContradicted,
           "revision=" + registry::formatRevision(revision) +
             " history_of_store=" + std::to_string(aHistoryOfStore));
  m_distrustedHistory = revision.m_history;
  m_registry.resetRevisions();
  m_directory.resetRevisions();
  m_lastPushedRevision = {};
  m_peers.resetRevision();
}

bool
Host::shouldPull(TimePoint aNow, const dissemination::StatusMessage& aStatus) const
{
  if (isLoaded() || m_bootstrap.acceptsAnySource(aNow)) {
    return true;
  }
  const bool isFresh = aStatus.m_confirmationAgeMs >= 0 &&
                       Millis{ aStatus.m_confirmationAgeMs } <= dissemination::kMaxReaderAge;
  return isFresh && aStatus.m_dataCentre == m_dataCentre;
}

bool
Host::isBootstrapReadDue(TimePoint aNow)
{
  const std::string_view reason = m_bootstrap.storeReadReason(aNow);
  if (!reason.empty() && m_bootstrapReadReason != reason) {
    m_bootstrapReadReason = reason;
    logEvent(EventId::FirstReading, "reason=" + m_bootstrapReadReason);
  }
  return !reason.empty();
}

void
Host::onObservation(TimePoint aNow, const dissemination::HealthReport& aObservation)
{
  steering::Upstream* const upstream =
    m_directory.findUpstream(steering::Token{ aObservation.m_token });
  if (upstream == nullptr || aObservation.m_reporter == m_self) {
    return;
  }
  const bool wasAvoided = upstream->m_health.isAvoided(aNow);
  const bool wasSlow = upstream->m_outlierDetector.isSlow(aNow);
  bool isNew = false;
  switch (aObservation.m_signal) {
    case dissemination::HealthSignal::Unresponsive:
      isNew = upstream->m_health.onPeerReport(
        aNow, aObservation.m_reporter, isNearby(aObservation.m_reporter, *upstream));
      break;
    case dissemination::HealthSignal::Recovered:
      isNew = upstream->m_health.onResponse(aNow);
      break;
    case dissemination::HealthSignal::Slow:
      isNew = upstream->m_outlierDetector.onPeerReport(aNow, aObservation.m_reporter);
      break;
    case dissemination::HealthSignal::RefusesFlows:
      isNew = upstream->m_health.onConnectionRefused(aNow);
      break;
  }
  const auto logUpstreamEvent = [&](EventId aEvent) {
    logEvent(aEvent,
             "token=" + steering::formatToken(upstream->m_token) +
               " witness=" + formatHost(aObservation.m_reporter));
  };
  if (!wasAvoided && upstream->m_health.isAvoided(aNow)) {
    logUpstreamEvent(aObservation.m_signal == dissemination::HealthSignal::RefusesFlows
                       ? EventId::UpstreamRefuses
                       : EventId::UpstreamAvoided);
  }
  if (!wasSlow && upstream->m_outlierDetector.isSlow(aNow)) {
    logUpstreamEvent(EventId::UpstreamSlow);
  }
  if (isNew && m_isReader && m_pendingHealthReports.size() < kMaxPendingHealthReports) {
    m_pendingHealthReports.push_back({ aObservation, aNow });
  }
}

bool
Host::isNearby(HostId aHost, const steering::Upstream& aUpstream) const
{
  const std::string_view dataCentre = m_peers.dataCentreOf(aHost);
  return !dataCentre.empty() &&
         (dataCentre == m_dataCentre || dataCentre == aUpstream.m_dataCentre->m_name);
}

void
Host::collectHealthReports()
{
  const auto events = m_steering.events().events();
  for (; m_scannedFlowEvents < events.size(); ++m_scannedFlowEvents) {
    const steering::FlowEvent& event = events[m_scannedFlowEvents];
    const std::optional<dissemination::HealthSignal> sign = observedSign(event);
    if (!sign || m_pendingHealthReports.size() >= kMaxPendingHealthReports) {
      continue;
    }
    // Under overload every answer is slow, so each observation is sent once per status.
    const dissemination::HealthReport observation{ event.m_token.m_value, *sign, m_self };
    const auto pending =
      std::ranges::find(m_pendingHealthReports, observation, &PendingHealthReport::m_report);
    if (pending == m_pendingHealthReports.end()) {
      m_pendingHealthReports.push_back({ observation, event.m_at });
    } else {
      pending->m_since = event.m_at;
    }
  }
}

void
Host::dropOldHealthReports(TimePoint aNow)
{
  std::erase_if(m_pendingHealthReports, [aNow](const PendingHealthReport& aPending) {
    return aPending.m_report.m_signal == dissemination::HealthSignal::Unresponsive &&
           aNow - aPending.m_since > kMaxHealthReportWait;
  });
}

void
Host::logHistoryChange(registry::Revision aBefore, size_t aChanges, std::string_view aFrom)
{
  const registry::Revision now = m_registry.appliedRevision();
  if (!aBefore.isSet() || aBefore.m_history == now.m_history) {
    return;
  }
  ++m_historyChanges;
  logEvent(EventId::StoreHistoryChanged,
           "before=" + registry::formatRevision(aBefore) +
             " revision=" + registry::formatRevision(now) + " changes=" + std::to_string(aChanges) +
             " held_back=" + std::to_string(m_directory.heldRecordCount()) +
             " from=" + std::string(aFrom));
}

void
Host::refreshView(TimePoint aNow)
{
  m_steering.setRegistryViewStatus({ .m_revision = m_registry.appliedRevision(),
                                     .m_confirmedAt = m_peers.confirmedAt(),
                                     .m_loadedAt = m_loadedAt });
  const bool isStale = isLoaded() && aNow - m_peers.confirmedAt() > steering::kMaxTrustedViewAge;
  if (isStale) {
    m_directory.restartSilence(aNow);
  }
  if (isStale != m_isViewStale && aNow - m_loadedAt > steering::kMaxTrustedViewAge) {
    m_isViewStale = isStale;
    logEvent(isStale ? EventId::ViewStale : EventId::ViewFresh,
             "revision=" + registry::formatRevision(m_registry.appliedRevision()) +
               " view_age_ms=" + std::to_string(viewAge(aNow).count()));
  }
}

Millis
Host::viewAge(TimePoint aNow) const
{
  return steering::ageForLog(aNow, m_peers.confirmedAt());
}

void
Host::tick(TimePoint aNow)
{
  // After a pause of this process the records are old, and silence restarts before it is judged.
  refreshView(aNow);
  m_directory.tick(aNow);
  m_bootstrap.start(
    aNow, m_peers.hasOtherSeeds() && m_directory.mechanisms().isEnabled(Mechanism::PeerBootstrap));
  const bool isReader = m_peers.updateReaderRole(aNow);
  if (isReader != m_isReader) {
    m_isReader = isReader;
    logEvent(isReader ? EventId::ReadingStarted : EventId::ReadingStopped,
             "other_readers=" + std::to_string(m_peers.freshReaders(aNow)) +
               " hosts=" + std::to_string(m_peers.size()) +
               " view_age_ms=" + std::to_string(viewAge(aNow).count()));
  }
  m_steering.detectRefusedFlows(aNow);
  if (!m_isReader) {
    // Only readers push changed records to other hosts.
    m_lastPushedRevision = m_registry.appliedRevision();
  }
  updateWithdrawal(aNow);
  m_overloadControl.tick(aNow, m_directory, m_peers);
  m_coldStartLimiter.setOwner(aNow, m_peers.isSoleReader(aNow));
  refreshView(aNow);
  collectHealthReports();
  dropOldHealthReports(aNow);
}

void
Host::updateWithdrawal(TimePoint aNow)
{
  const bool isDataCentreUnreachable =
    m_directory.mechanisms().isEnabled(Mechanism::ReadinessWithdrawal) &&
    m_directory.isAnyDataCentreUnreachable();
  // needsRemoteUpstreams() is evaluated only when its result can matter, which is rare.
  const bool needsRemoteUpstreams =
    (isDataCentreUnreachable || isWithdrawn()) && m_directory.needsRemoteUpstreams();
  const TimePoint heardAt = m_peers.lastRemoteStatusAt();
  const bool hasChanged =
    m_withdrawalPolicy.update(aNow, { needsRemoteUpstreams, isDataCentreUnreachable, heardAt });
  m_peers.setRemoteProbing(m_withdrawalPolicy.isIsolationSuspected());
  if (hasChanged) {
    logEvent(isWithdrawn() ? EventId::HostWithdrawn : EventId::HostReturned,
             "dependent=" + std::string(needsRemoteUpstreams ? "yes" : "no") +
               " heard_elsewhere_ms=" + std::to_string(steering::ageForLog(aNow, heardAt).count()));
  }
}

void
Host::logEvent(EventId aEvent, std::string aFields)
{
  m_logLines.push_back({ aEvent, std::move(aFields) });
}

std::vector<uint8_t>
Host::makeStatus(TimePoint aNow)
{
  return encodeWithUpdates(m_peers.makeStatus(aNow, m_registry.appliedRevision()));
}

std::vector<uint8_t>
Host::makePeriodicStatus(TimePoint aNow)
{
  dissemination::StatusMessage status = m_peers.makeStatus(aNow, m_registry.appliedRevision());
  if (m_peers.isAdvertisementDue()) {
    m_peers.advertiseNeighbours(aNow, status);
  }
  status.m_load = m_overloadControl.makeRegularStatusLoad(aNow, status.m_isReader);
  return encodeWithUpdates(std::move(status));
}

std::vector<uint8_t>
Host::makeAnswerStatus(TimePoint aNow, std::string_view aDataCentre)
{
  dissemination::StatusMessage status = m_peers.makeStatus(aNow, m_registry.appliedRevision());
  m_peers.advertiseHosts(aNow, aDataCentre, status);
  if (status.m_isReader) {
    // A host that has just started learns the load, and readers of two data centres exchange it.
    status.m_load = m_overloadControl.makeStatusLoad(aNow, true);
  }
  return encodeWithUpdates(std::move(status));
}

std::vector<uint8_t>
Host::encodeWithUpdates(dissemination::StatusMessage aStatus)
{
  collectHealthReports();
  for (const PendingHealthReport& pending : m_pendingHealthReports) {
    aStatus.m_healthReports.push_back(pending.m_report);
  }
  if (m_isReader && m_lastPushedRevision.isSet() &&
      m_lastPushedRevision < m_registry.appliedRevision()) {
    std::vector<uint8_t> difference =
      registry::encodeDelta(m_registry.changesSince(m_lastPushedRevision));
    if (difference.size() <= kMaxInlineDifferenceBytes) {
      aStatus.m_delta = std::move(difference);
    }
  }
  return dissemination::encodeStatus(aStatus);
}

bool
Host::hasUnsentChanges() const
{
  return !m_pendingHealthReports.empty() ||
         (m_isReader && m_registry.appliedRevision() > m_lastPushedRevision);
}

bool
Host::hasPendingHealthReports()
{
  collectHealthReports();
  return !m_pendingHealthReports.empty();
}

void
Host::onStatusPushed()
{
  m_pendingHealthReports.clear();
  m_lastPushedRevision = m_registry.appliedRevision();
}

std::vector<LogLine>
Host::takeLogLines(TimePoint aNow)
{
  std::vector<LogLine> lines = std::exchange(m_logLines, {});
  for (steering::DirectoryEvent& belief : m_directory.takeEvents()) {
    lines.push_back({ belief.m_event, std::move(belief.m_fields) });
  }
  for (steering::DirectoryEvent& change : m_overloadControl.takeEvents()) {
    lines.push_back({ change.m_event, std::move(change.m_fields) });
  }
  takeFlowLogLines(aNow, lines);
  return lines;
}

void
Host::takeFlowLogLines(TimePoint aNow, std::vector<LogLine>& aLines)
{
  collectHealthReports();
  steering::FlowEventBuffer& events = m_steering.events();
  // This line comes first, because under sustained load the other lines use up the rate limit.
  const uint64_t omitted = m_omittedLogLines + events.droppedCount();
  if (omitted > m_reportedOmittedLogLines && m_flowLogLimit.tryAcquire(aNow)) {
    aLines.push_back(
      { EventId::LinesOmitted, "lines=" + std::to_string(omitted - m_reportedOmittedLogLines) });
    m_reportedOmittedLogLines = omitted;
  }
  for (const steering::FlowEvent& event : events.events()) {
    if (!m_flowLogLimit.tryAcquire(aNow)) {
      ++m_omittedLogLines;
      continue;
    }
    aLines.push_back({ event.m_event, steering::formatFlowEvent(event) });
  }
  events.clear();
  m_scannedFlowEvents = 0;
}

} // namespace tamarack::edge
