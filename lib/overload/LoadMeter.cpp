// Counts flows, requests and service time per service, route and data centre.
#include "overload/LoadMeter.h"

#include <algorithm>
#include <cmath>

namespace tamarack::overload {

namespace {

/// Bounds of the state. The busiest kMaxReportedServices services are reported; what exceeds the
/// bounds is not counted, so demand is underestimated and less is refused.
constexpr size_t kMaxServices = 64;
constexpr size_t kMaxRoutes = 32;
constexpr size_t kMaxDataCentres = 32;
/// Rates and numbers below this are dropped: after a flow, they are reached within 3 s.
constexpr double kNegligible = 0.005;

constexpr double kTimeConstantSeconds = static_cast<double>(kLoadTimeConstant.count()) / 1000;

/// Returns the entry whose member `aKey` is `aValue`, which is appended if there is space, or null.
template<typename Entry, typename Key, typename Value>
Entry*
findOrAppend(std::vector<Entry>& aEntries, Key aKey, Value aValue, size_t aMaxSize)
{
  const auto found = std::ranges::find(aEntries, aValue, aKey);
  if (found != aEntries.end()) {
    return &*found;
  }
  if (aEntries.size() >= aMaxSize) {
    return nullptr;
  }
  Entry& entry = aEntries.emplace_back();
  entry.*aKey = aValue;
  return &entry;
}

} // namespace

void
LoadMeter::DecayingSum::add(TimePoint aNow, double aAmount)
{
  m_value = perSecond(aNow) * kTimeConstantSeconds + aAmount;
  m_at = aNow;
}

double
LoadMeter::DecayingSum::perSecond(TimePoint aNow) const
{
  if (m_value == 0 || aNow == m_at) {
    return m_value / kTimeConstantSeconds;
  }
  const auto elapsed = static_cast<double>((aNow - m_at).count());
  const auto timeConstant = static_cast<double>(kLoadTimeConstant.count());
  return m_value * std::exp(-elapsed / timeConstant) / kTimeConstantSeconds;
}

LoadMeter::RouteMeter*
LoadMeter::findRoute(ServiceId aService, RouteId aRoute)
{
  auto service = m_services.find(aService);
  if (service == m_services.end()) {
    if (m_services.size() >= kMaxServices) {
      return nullptr;
    }
    service = m_services.try_emplace(aService).first;
  }
  return findOrAppend(service->second.m_routes, &RouteMeter::m_route, aRoute, kMaxRoutes);
}

void
LoadMeter::onNewFlow(TimePoint aNow, ServiceId aService, RouteId aRoute)
{
  if (RouteMeter* route = findRoute(aService, aRoute)) {
    route->m_newFlows.add(aNow, 1);
  }
}

void
LoadMeter::onFurtherRequest(TimePoint aNow, ServiceId aService, RouteId aRoute)
{
  if (RouteMeter* route = findRoute(aService, aRoute)) {
    route->m_furtherRequests.add(aNow, 1);
  }
}

void
LoadMeter::onResponse(TimePoint aNow,
                      ServiceId aService,
                      RouteId aRoute,
                      DataCentreId aDataCentre,
                      Millis aServiceTime)
{
  RouteMeter* route = findRoute(aService, aRoute);
  if (route == nullptr) {
    return;
  }
  const Millis serviceTime = std::clamp(aServiceTime, Millis{ 0 }, kMaxServiceTime);
  const double seconds = static_cast<double>(serviceTime.count()) / 1000;
  route->m_responses.add(aNow, 1);
  route->m_busy.add(aNow, seconds);
  auto& placements = m_services.find(aService)->second.m_placements;
  if (PlacementMeter* placement =
        findOrAppend(placements, &PlacementMeter::m_dataCentre, aDataCentre, kMaxDataCentres)) {
    placement->m_busy.add(aNow, seconds);
  }
}

ServiceLoad
LoadMeter::reportService(TimePoint aNow, ServiceId aService, ServiceMeter& aMeter)
{
  ServiceLoad load{ .m_service = aService };
  std::erase_if(aMeter.m_routes, [&](const RouteMeter& aRoute) {
    const RouteLoad route{ .m_route = aRoute.m_route,
                           .m_newFlowsPerSecond = aRoute.m_newFlows.perSecond(aNow),
                           .m_furtherRequestsPerSecond = aRoute.m_furtherRequests.perSecond(aNow),
                           .m_responsesPerSecond = aRoute.m_responses.perSecond(aNow),
                           .m_busyRequests = aRoute.m_busy.perSecond(aNow) };
    if (std::max({ route.m_newFlowsPerSecond,
                   route.m_furtherRequestsPerSecond,
                   route.m_responsesPerSecond,
                   route.m_busyRequests }) < kNegligible) {
      return true;
    }
    load.m_routes.push_back(route);
    return false;
  });
  std::erase_if(aMeter.m_placements, [&](const PlacementMeter& aPlacement) {
    const double busy = aPlacement.m_busy.perSecond(aNow);
    if (busy < kNegligible) {
      return true;
    }
    load.m_placements.push_back({ aPlacement.m_dataCentre, busy });
    return false;
  });
  std::ranges::sort(load.m_routes, {}, &RouteLoad::m_route);
  std::ranges::sort(load.m_placements, {}, &PlacementLoad::m_dataCentre);
  return load;
}

LoadReport
LoadMeter::report(TimePoint aNow)
{
  LoadReport report;
  absl::erase_if(m_services, [&](auto& aEntry) {
    ServiceLoad load = reportService(aNow, aEntry.first, aEntry.second);
    if (load.m_routes.empty()) {
      return true;
    }
    report.m_services.push_back(std::move(load));
    return false;
  });
  std::ranges::sort(report.m_services, {}, &ServiceLoad::m_service);
  keepBusiestServices(report);
  return report;
}

} // namespace tamarack::overload
