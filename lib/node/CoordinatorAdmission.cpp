// Admission control by the coordinator: it evaluates the upstreams, broadcasts their admission
// modes and answers requests for grants.
#include "node/CoordinatorRole.h"

#include <utility>

namespace tamarack::node {

namespace {

using admission::Mode;
using admission::UpstreamStatus;

EventId
eventFor(const UpstreamStatus& aStatus)
{
  if (aStatus.m_lost) {
    return EventId::UpstreamLost;
  }
  if (aStatus.m_busy) {
    return EventId::UpstreamBusy;
  }
  if (aStatus.m_cold) {
    return EventId::UpstreamCold;
  }
  switch (aStatus.m_mode) {
    case Mode::Open:
      return EventId::UpstreamWarm;
    case Mode::Metered:
      return EventId::AdmissionMetered;
    case Mode::Closed:
      return EventId::UpstreamDraining;
  }
  return EventId::UpstreamWarm;
}

} // namespace

void
CoordinatorRole::assumeWarm(ServiceState& aService)
{
  for (const settings::Upstream& upstream : aService.m_settings.m_upstreams) {
    admission::ModeUpdate mode{ .m_service = aService.id(),
                                .m_upstream = upstream.m_id,
                                .m_mode = Mode::Open };
    aService.m_modes.try_emplace(upstream.m_id, mode);
  }
}

void
CoordinatorRole::startColdStarts(TimePoint aNow,
                                 ServiceId aService,
                                 std::span<const UpstreamId> aUpstreams)
{
  const auto decided = m_decidedServices.find(aService);
  const ServiceState* service = m_context.findService(aService);
  if (decided == m_decidedServices.end() || service == nullptr) {
    return;
  }
  for (const UpstreamId upstream : aUpstreams) {
    auto [tracker, isNew] =
      decided->second.m_trackers.try_emplace(upstream, service->m_settings.m_limits);
    tracker->second.startCold(aNow);
    decided->second.m_modeSentAt.erase(upstream);
  }
}

void
CoordinatorRole::onUpstreamReport(TimePoint aNow, const admission::UpstreamReport& aReport)
{
  const auto decided = m_decidedServices.find(aReport.m_service);
  if (decided == m_decidedServices.end()) {
    return;
  }
  const auto tracker = decided->second.m_trackers.find(aReport.m_upstream);
  if (tracker != decided->second.m_trackers.end()) {
    tracker->second.onReport(aNow, aReport);
  }
}

void
CoordinatorRole::evaluateUpstreams(TimePoint aNow, ServiceState& aService, DecidedService& aDecided)
{
  for (const settings::Upstream& upstream : aService.m_settings.m_upstreams) {
    evaluateUpstream(aNow, aService, aDecided, upstream);
  }
  std::erase_if(aDecided.m_trackers,
                [&](const auto& aEntry) { return aService.find(aEntry.first) == nullptr; });
}

void
CoordinatorRole::evaluateUpstream(TimePoint aNow,
                                  ServiceState& aService,
                                  DecidedService& aDecided,
                                  const settings::Upstream& aUpstream)
{
  auto [entry, isNew] =
    aDecided.m_trackers.try_emplace(aUpstream.m_id, aService.m_settings.m_limits);
  admission::UpstreamTracker& tracker = entry->second;
  if (isNew) {
    tracker.startCold(aNow);
  }
  tracker.onLimits(aService.m_settings.m_limits);
  const UpstreamStatus status = tracker.evaluate(aNow);
  if (!status.m_lost) {
    aDecided.m_lostSince.erase(aUpstream.m_id);
  } else {
    aDecided.m_lostSince.try_emplace(aUpstream.m_id, aNow);
  }
  const auto currentMode = aService.m_modes.find(aUpstream.m_id);
  // During a partition another coordinator may have broadcast a different mode, so the comparison
  // is with the mode in force rather than with the last one that this host sent.
  const bool differs =
    currentMode == aService.m_modes.end() || !currentMode->second.m_coordinator ||
    currentMode->second.m_mode != status.m_mode || currentMode->second.m_cold != status.m_cold ||
    currentMode->second.m_lost != status.m_lost;
  const auto sentAt = aDecided.m_modeSentAt.find(aUpstream.m_id);
  const bool isDue = status.m_cold && (sentAt == aDecided.m_modeSentAt.end() ||
                                       aNow - sentAt->second >= kModeRefreshInterval);
  if (!differs && !isDue) {
    return;
  }
  const std::string_view formerReason =
    std::exchange(aDecided.m_lastReasons[aUpstream.m_id], status.m_reason);
  if (formerReason != status.m_reason && (!formerReason.empty() || status.m_mode != Mode::Open)) {
    m_context.m_events.add(
      aNow, eventFor(status), "upstream " + aUpstream.m_name + ": " + std::string(status.m_reason));
  }
  aDecided.m_modeSentAt[aUpstream.m_id] = aNow;
  broadcastMode(aService, aUpstream.m_id, status, tracker.coldDuration(aNow));
}

void
CoordinatorRole::broadcastMode(ServiceState& aService,
                               UpstreamId aUpstream,
                               const UpstreamStatus& aStatus,
                               Millis aColdFor)
{
  admission::ModeUpdate& mode = aService.m_modes[aUpstream];
  mode = { .m_service = aService.id(),
           .m_upstream = aUpstream,
           .m_mode = aStatus.m_mode,
           .m_cold = aStatus.m_cold,
           .m_lost = aStatus.m_lost,
           .m_coldDuration = aColdFor,
           .m_counter = mode.m_counter + 1,
           .m_coordinator = m_context.m_membership.self(),
           .m_settingsRevision = m_context.m_settings->m_revision };
  m_context.broadcast(mode);
}

void
CoordinatorRole::onGrantRequest(TimePoint aNow,
                                HostId aFrom,
                                const admission::GrantRequest& aRequest)
{
  const auto decided = m_decidedServices.find(aRequest.m_service);
  const ServiceState* service = m_context.findService(aRequest.m_service);
  if (decided == m_decidedServices.end() || service == nullptr) {
    return;
  }
  const auto tracker = decided->second.m_trackers.find(aRequest.m_upstream);
  if (tracker == decided->second.m_trackers.end()) {
    return;
  }
  const UpstreamStatus status = tracker->second.evaluate(aNow);
  admission::Grant grant{ .m_service = aRequest.m_service,
                          .m_upstream = aRequest.m_upstream,
                          .m_requestedAt = aRequest.m_requestedAt };
  if (status.m_mode != Mode::Closed) {
    const admission::AdmissionBudget::GrantConditions conditions{
      .m_voteShare = m_context.m_membership.voteShare(aNow, aRequest.m_service),
      .m_cold = status.m_cold,
      .m_connections = tracker->second.connections(),
      .m_reportedAt = tracker->second.reportedAt(),
    };
    grant.m_count = decided->second.m_budgets[aRequest.m_upstream].grant(
      aNow, aRequest.m_requestedCount, service->m_settings.m_limits, conditions);
  }
  m_context.send(aFrom, grant);
}

const admission::UpstreamTracker*
CoordinatorRole::tracker(ServiceId aService, UpstreamId aUpstream) const
{
  const auto decided = m_decidedServices.find(aService);
  if (decided == m_decidedServices.end()) {
    return nullptr;
  }
  const auto found = decided->second.m_trackers.find(aUpstream);
  return found == decided->second.m_trackers.end() ? nullptr : &found->second;
}

} // namespace tamarack::node
