// Passes load between the statuses, the sums over the fleet and the decisions on new flows.
#include "edge/OverloadControl.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <numeric>

namespace tamarack::edge {

namespace {

using dissemination::StatusLoad;
using dissemination::StatusMessage;
using overload::LoadReport;
using overload::ServiceLoad;

/// Formats a quantity for the log with `aDigits` digits after the point.
std::string
formatQuantity(double aQuantity, int aDigits)
{
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.*f", aDigits, aQuantity);
  return text.data();
}

/// Returns the slots of the usable upstreams of a service in each data centre that has upstreams.
std::vector<steering::DataCentreOccupancy>
slotsByDataCentre(TimePoint aNow, const steering::Service& aService)
{
  std::vector<steering::DataCentreOccupancy> occupancy;
  for (const steering::Upstream* upstream : aService.m_upstreams) {
    auto found = std::ranges::find(
      occupancy, upstream->m_dataCentre, &steering::DataCentreOccupancy::m_dataCentre);
    if (found == occupancy.end()) {
      found = occupancy.insert(found, { .m_dataCentre = upstream->m_dataCentre });
    }
    found->m_slots += upstream->usableSlots(aNow);
  }
  return occupancy;
}

double
newFlowsPerSecond(const ServiceLoad& aLoad)
{
  return std::accumulate(
    aLoad.m_routes.begin(), aLoad.m_routes.end(), 0.0, [](double aSum, const auto& aRoute) {
      return aSum + aRoute.m_newFlowsPerSecond;
    });
}

template<typename Key>
void
removeExpired(TimePoint aNow, std::map<Key, TimePoint>& aReportsAt)
{
  std::erase_if(aReportsAt, [aNow](const auto& aEntry) {
    return aNow - aEntry.second > overload::kMaxLoadReportAge;
  });
}

} // namespace

const ServiceLoad*
findServiceLoad(const LoadReport& aReport, ServiceId aService)
{
  const auto found =
    std::ranges::lower_bound(aReport.m_services, aService, {}, &ServiceLoad::m_service);
  return found != aReport.m_services.end() && found->m_service == aService ? &*found : nullptr;
}

OverloadControl::OverloadControl(HostId aSelf,
                                 std::string aDataCentre,
                                 overload::AdmissionOptions aAdmission)
  : m_self(aSelf)
  , m_dataCentre(std::move(aDataCentre))
  , m_admissionOptions(aAdmission)
  , m_fleetLoad(steering::makeDataCentreId(m_dataCentre))
  , m_controller(aAdmission)
{
}

void
OverloadControl::onStatus(TimePoint aNow, Millis aDelay, const StatusMessage& aStatus)
{
  if (!m_isActive || !aStatus.m_load || aStatus.m_sender == m_self) {
    return;
  }
  const StatusLoad& load = *aStatus.m_load;
  const bool isNeighbour = aStatus.m_dataCentre == m_dataCentre;
  // After a pause of this process, it is unknown for how long the status waited. Its load counts as
  // old as it can be, so that decisions do not follow a load of the time before the pause.
  const TimePoint reportedAt = aNow - aDelay;
  if (!load.m_isSum) {
    if (isNeighbour) {
      m_fleetLoad.onHostReport(reportedAt, aStatus.m_sender, load.m_load);
      m_hostReportsAt[aStatus.m_sender] = reportedAt;
    }
    return;
  }
  if (!aStatus.m_isReader) {
    return;
  }
  m_fleetLoad.onDataCentreReport(
    reportedAt, steering::makeDataCentreId(aStatus.m_dataCentre), load.m_load);
  if (isNeighbour) {
    m_fleetLoad.onRemoteReport(reportedAt, load.m_remoteLoad);
    m_readerSumAt = reportedAt;
    m_hostsInReaderSum = load.m_hosts;
  } else {
    m_remoteReportsAt[aStatus.m_dataCentre] = reportedAt;
  }
}

void
OverloadControl::tick(TimePoint aNow,
                      steering::ServiceDirectory& aDirectory,
                      dissemination::PeerTracker& aPeers)
{
  const std::vector<overload::ServiceRoom> rooms = aDirectory.serviceRooms(aNow);
  if (rooms.empty()) {
    if (m_isActive) {
      deactivate(aPeers);
    }
    return;
  }
  m_isActive = true;
  m_isReader = aPeers.isActiveReader(aNow);
  m_fleetLoad.setReader(m_isReader);
  m_ownReport = m_meter.report(aNow);
  m_fleetLoad.setOwnReport(aNow, m_ownReport);
  removeExpired(aNow, m_hostReportsAt);
  removeExpired(aNow, m_remoteReportsAt);
  m_totalLoad = m_fleetLoad.totalLoad(aNow);
  applyOwnDecline();
  m_controller.update(aNow, m_totalLoad, rooms);
  if (m_fleetLoad.isKnown(aNow)) {
    updatePlacement(aNow, aDirectory);
  }
  aPeers.setLoadExchange({ .m_isEnabled = true,
                           .m_isUrgent = isUrgent(rooms),
                           .m_serviceReports = static_cast<uint32_t>(serviceReports(aNow)) });
  recordChanges(aNow, aDirectory);
}

void
OverloadControl::applyOwnDecline()
{
  std::map<ServiceId, std::array<double, kDeclineTicks>> demand;
  for (ServiceLoad& service : m_totalLoad.m_services) {
    auto& recent = demand[service.m_service];
    const auto before = m_ownDemand.find(service.m_service);
    if (before != m_ownDemand.end()) {
      std::shift_right(before->second.begin(), before->second.end(), 1);
      recent = before->second;
    }
    const ServiceLoad* const own = findServiceLoad(m_ownReport, service.m_service);
    recent.front() = own == nullptr ? 0 : newFlowsPerSecond(*own);
    const auto earlier = std::span(recent).subspan(kDeclineTicks / 3);
    const double mean =
      std::accumulate(earlier.begin(), earlier.end(), 0.0) / static_cast<double>(earlier.size());
    // The flows of the time constant are few on a small host; only a fall beyond two standard
    // deviations is a decline.
    const double seconds = static_cast<double>(overload::kLoadTimeConstant.count()) / 1000;
    const double flows = recent.front() * seconds;
    const double upperBound = (flows + 2 * std::sqrt(flows) + 2) / seconds;
    if (mean <= upperBound) {
      continue;
    }
    for (overload::RouteLoad& route : service.m_routes) {
      route.m_newFlowsPerSecond *= upperBound / mean;
    }
  }
  m_ownDemand = std::move(demand);
}

void
OverloadControl::deactivate(dissemination::PeerTracker& aPeers)
{
  m_isActive = false;
  m_meter = {};
  m_fleetLoad = overload::FleetLoad(steering::makeDataCentreId(m_dataCentre));
  m_controller = overload::AdmissionController(m_admissionOptions);
  m_ownReport = {};
  m_totalLoad = {};
  m_ownDemand.clear();
  m_hostReportsAt.clear();
  m_remoteReportsAt.clear();
  m_readerSumAt = {};
  aPeers.setLoadExchange({});
  for (const auto& [service, name] : std::exchange(m_overloaded, {})) {
    m_events.push_back({ EventId::OverloadEnded, "service=" + name + " reason=not-governed" });
  }
}

std::optional<StatusLoad>
OverloadControl::makeStatusLoad(TimePoint aNow, bool aIsReader) const
{
  if (!m_isActive) {
    return std::nullopt;
  }
  if (!aIsReader) {
    return StatusLoad{ .m_load = m_ownReport };
  }
  return StatusLoad{ .m_isSum = true,
                     .m_hosts = static_cast<uint32_t>(1 + m_hostReportsAt.size()),
                     .m_load = m_fleetLoad.ownDataCentreLoad(aNow),
                     .m_remoteLoad = m_fleetLoad.remoteLoad(aNow) };
}

std::optional<StatusLoad>
OverloadControl::makeRegularStatusLoad(TimePoint aNow, bool aIsReader)
{
  m_wasLoadOmitted =
    aIsReader && !m_wasLoadOmitted && serviceReports(aNow) > kMaxServiceReportsPerRound;
  return m_wasLoadOmitted ? std::nullopt : makeStatusLoad(aNow, aIsReader);
}

LoadKnowledge
OverloadControl::knowledge(TimePoint aNow) const
{
  if (!m_isActive || !m_fleetLoad.isKnown(aNow)) {
    return {};
  }
  if (!m_isReader) {
    return { .m_isKnown = true, .m_age = aNow - m_readerSumAt, .m_hosts = m_hostsInReaderSum };
  }
  TimePoint oldest = aNow;
  for (const auto& [host, reportedAt] : m_hostReportsAt) {
    oldest = std::min(oldest, reportedAt);
  }
  for (const auto& [dataCentre, reportedAt] : m_remoteReportsAt) {
    oldest = std::min(oldest, reportedAt);
  }
  return { .m_isKnown = true,
           .m_age = aNow - oldest,
           .m_hosts = 1 + m_hostReportsAt.size(),
           .m_remoteDataCentres = m_remoteReportsAt.size() };
}

void
OverloadControl::updatePlacement(TimePoint aNow, const steering::ServiceDirectory& aDirectory)
{
  for (const auto& [name, service] : aDirectory.services()) {
    if (!service->m_isGoverned) {
      continue;
    }
    auto occupancy = slotsByDataCentre(aNow, *service);
    const ServiceLoad* const load = findServiceLoad(m_totalLoad, service->m_id);
    for (steering::DataCentreOccupancy& entry : occupancy) {
      if (load == nullptr || entry.m_slots <= 0) {
        continue;
      }
      const auto id = steering::makeDataCentreId(entry.m_dataCentre->m_name);
      const auto placement =
        std::ranges::find(load->m_placements, id, &overload::PlacementLoad::m_dataCentre);
      entry.m_busyPerSlot =
        placement == load->m_placements.end() ? 0 : placement->m_busyRequests / entry.m_slots;
    }
    steering::UpstreamSelector::setOccupancy(
      m_isReader ? aNow : m_readerSumAt, *service, occupancy);
  }
}

bool
OverloadControl::isUrgent(std::span<const overload::ServiceRoom> aRooms) const
{
  return std::ranges::any_of(aRooms, [this](const overload::ServiceRoom& aRoom) {
    const ServiceLoad* const load = findServiceLoad(m_totalLoad, aRoom.m_service);
    return load != nullptr && overload::busyRequests(*load) > kUrgentBusyPerSlot * aRoom.m_slots;
  });
}

void
OverloadControl::recordChanges(TimePoint aNow, const steering::ServiceDirectory& aDirectory)
{
  std::map<ServiceId, std::string> overloaded;
  for (const overload::ServiceAdmission& admission : m_controller.services()) {
    const bool wasOverloaded = m_overloaded.erase(admission.m_service) > 0;
    if (admission.m_isOverloaded) {
      overloaded[admission.m_service] = aDirectory.serviceName(admission.m_service);
    }
    if (admission.m_isOverloaded != wasOverloaded) {
      m_events.push_back(
        { admission.m_isOverloaded ? EventId::OverloadStarted : EventId::OverloadEnded,
          formatAdmission(aNow, aDirectory, admission) });
    }
  }
  for (const auto& [service, name] : m_overloaded) {
    m_events.push_back({ EventId::OverloadEnded, "service=" + name + " reason=not-governed" });
  }
  m_overloaded = std::move(overloaded);
}

std::string
OverloadControl::formatAdmission(TimePoint aNow,
                                 const steering::ServiceDirectory& aDirectory,
                                 const overload::ServiceAdmission& aAdmission) const
{
  double newFlows = 0;
  double furtherRequests = 0;
  if (const ServiceLoad* const load = findServiceLoad(m_totalLoad, aAdmission.m_service)) {
    for (const overload::RouteLoad& route : load->m_routes) {
      newFlows += route.m_newFlowsPerSecond;
      furtherRequests += route.m_furtherRequestsPerSecond;
    }
  }
  std::string shares;
  for (const auto& [route, share] : aAdmission.m_admittedShares) {
    shares += (shares.empty() ? "" : ",") + std::string(aDirectory.routeName(route)) + ":" +
              formatQuantity(share, 2);
  }
  const LoadKnowledge load = knowledge(aNow);
  std::string fields = "service=" + std::string(aDirectory.serviceName(aAdmission.m_service)) +
                       " slots=" + formatQuantity(aAdmission.m_slots, 0) +
                       " busy_requests=" + formatQuantity(aAdmission.m_busyRequests, 1) +
                       " new_flows_per_s=" + formatQuantity(newFlows, 1) +
                       " further_requests_per_s=" + formatQuantity(furtherRequests, 1) +
                       " admitted_shares=" + shares +
                       " load_age_ms=" + std::to_string(load.m_age.count());
  if (load.m_isKnown) {
    fields += " hosts=" + std::to_string(load.m_hosts);
  }
  if (load.m_isKnown && m_isReader) {
    fields += " remote_data_centres=" + std::to_string(load.m_remoteDataCentres);
  }
  return fields;
}

} // namespace tamarack::edge
