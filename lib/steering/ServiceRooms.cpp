// The part of the directory that overload control uses: the routes that share each service and the
// slots of its usable upstreams. All of it is computed when records change or at a tick, so that
// the packet path reads one flag and the identifiers.
#include "base/Hash.h"
#include "steering/ServiceDirectory.h"

#include <algorithm>

namespace tamarack::steering {

namespace {

/// Share of the slots of a cold upstream that counts: its requests take about twice as long.
constexpr double kColdSlotShare = 0.5;

uint32_t
hashName(std::string_view aName)
{
  return static_cast<uint32_t>(hashText(aName));
}

overload::RouteTerms
termsOf(const Route& aRoute)
{
  return { .m_route = aRoute.m_id,
           .m_priority = aRoute.m_record.m_priority,
           .m_latencyObjective = aRoute.m_record.m_latencyObjective,
           .m_deadline = aRoute.m_record.m_deadline };
}

} // namespace

ServiceId
makeServiceId(std::string_view aName)
{
  return ServiceId{ hashName(aName) };
}

overload::RouteId
makeRouteId(std::string_view aName)
{
  return overload::RouteId{ hashName(aName) };
}

overload::DataCentreId
makeDataCentreId(std::string_view aName)
{
  return overload::DataCentreId{ hashName(aName) };
}

bool
Upstream::isRateLimited(TimePoint aNow) const
{
  return isCold(aNow) && m_service->m_record.m_coldRequestsPerSecond > 0;
}

double
Upstream::usableSlots(TimePoint aNow) const
{
  if (!isUsable(aNow)) {
    return 0;
  }
  // Records may lack the number of slots; the selector also takes it to be 1 then.
  return std::max<uint32_t>(1, m_record.m_slots) * (isCold(aNow) ? kColdSlotShare : 1.0);
}

Service&
ServiceDirectory::findOrAddService(const std::string& aName)
{
  auto& service = m_services[aName];
  if (!service) {
    service = std::make_unique<Service>();
    service->m_name = aName;
    service->m_id = makeServiceId(aName);
  }
  return *service;
}

void
ServiceDirectory::addRouteTerms(const Route& aRoute)
{
  const overload::RouteTerms terms = termsOf(aRoute);
  for (const registry::WeightedService& weighted : aRoute.m_record.m_services) {
    if (weighted.m_weight == 0) {
      continue;
    }
    Service& service = findOrAddService(weighted.m_service);
    const auto position =
      std::ranges::lower_bound(service.m_routes, terms.m_route, {}, &overload::RouteTerms::m_route);
    // A route may list a service more than once.
    if (position == service.m_routes.end() || position->m_route != terms.m_route) {
      service.m_routes.insert(position, terms);
    }
    updateGovernance(service);
  }
}

void
ServiceDirectory::removeRouteTerms(const Route& aRoute)
{
  for (const registry::WeightedService& weighted : aRoute.m_record.m_services) {
    Service* const service = findService(weighted.m_service);
    if (service != nullptr) {
      std::erase_if(service->m_routes,
                    [&](const auto& aTerms) { return aTerms.m_route == aRoute.m_id; });
      updateGovernance(*service);
    }
  }
}

void
ServiceDirectory::updateGovernance(Service& aService) const
{
  aService.m_isGoverned =
    m_mechanisms.isEnabled(Mechanism::PriorityAdmission) &&
    std::ranges::any_of(aService.m_routes, [&](const overload::RouteTerms& aTerms) {
      return aTerms.m_priority != aService.m_routes.front().m_priority;
    });
}

std::vector<overload::ServiceRoom>
ServiceDirectory::serviceRooms(TimePoint aNow) const
{
  std::vector<overload::ServiceRoom> rooms;
  for (const auto& [name, service] : m_services) {
    if (!service->m_isGoverned) {
      continue;
    }
    double slots = 0;
    for (const Upstream* upstream : service->m_upstreams) {
      slots += upstream->usableSlots(aNow);
    }
    rooms.push_back(
      { .m_service = service->m_id, .m_slots = slots, .m_routes = service->m_routes });
  }
  // The order of a hash map differs between runs.
  std::ranges::sort(rooms, {}, &overload::ServiceRoom::m_service);
  return rooms;
}

std::string_view
ServiceDirectory::serviceName(ServiceId aService) const
{
  const auto found = std::ranges::find_if(
    m_services, [&](const auto& aEntry) { return aEntry.second->m_id == aService; });
  return found == m_services.end() ? std::string_view{} : found->second->m_name;
}

std::string_view
ServiceDirectory::routeName(overload::RouteId aRoute) const
{
  const auto found = std::ranges::find_if(
    m_routes, [&](const auto& aEntry) { return aEntry.second.m_id == aRoute; });
  return found == m_routes.end() ? std::string_view{} : found->second.m_name;
}

} // namespace tamarack::steering
