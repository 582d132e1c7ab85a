// Merges reports as ordered sequences, so a sum costs one pass over both.
#include "overload/LoadReport.h"

#include <algorithm>
#include <numeric>

namespace tamarack::overload {

namespace {

/// Merges `aAddend` into `aSum`, both ordered by the member `aKey`. Entries with the same key are
/// combined by `aAdd`.
template<typename Entry, typename Key, typename Add>
void
mergeOrdered(std::vector<Entry>& aSum, const std::vector<Entry>& aAddend, Key aKey, Add aAdd)
{
  const auto known = static_cast<std::ptrdiff_t>(aSum.size());
  size_t at = 0;
  for (const Entry& entry : aAddend) {
    while (at < static_cast<size_t>(known) && aSum[at].*aKey < entry.*aKey) {
      ++at;
    }
    if (at < static_cast<size_t>(known) && aSum[at].*aKey == entry.*aKey) {
      aAdd(aSum[at], entry);
    } else {
      aSum.push_back(entry);
    }
  }
  std::inplace_merge(
    aSum.begin(), aSum.begin() + known, aSum.end(), [&](const Entry& aLeft, const Entry& aRight) {
      return aLeft.*aKey < aRight.*aKey;
    });
}

void
addRoute(RouteLoad& aSum, const RouteLoad& aAddend)
{
  aSum.m_newFlowsPerSecond += aAddend.m_newFlowsPerSecond;
  aSum.m_furtherRequestsPerSecond += aAddend.m_furtherRequestsPerSecond;
  aSum.m_responsesPerSecond += aAddend.m_responsesPerSecond;
  aSum.m_busyRequests += aAddend.m_busyRequests;
}

void
addService(ServiceLoad& aSum, const ServiceLoad& aAddend)
{
  mergeOrdered(aSum.m_routes, aAddend.m_routes, &RouteLoad::m_route, addRoute);
  mergeOrdered(aSum.m_placements,
               aAddend.m_placements,
               &PlacementLoad::m_dataCentre,
               [](PlacementLoad& aTotal, const PlacementLoad& aPart) {
                 aTotal.m_busyRequests += aPart.m_busyRequests;
               });
}

} // namespace

void
addLoad(LoadReport& aSum, const LoadReport& aAddend)
{
  mergeOrdered(aSum.m_services, aAddend.m_services, &ServiceLoad::m_service, addService);
}

double
busyRequests(const ServiceLoad& aLoad)
{
  return std::accumulate(
    aLoad.m_routes.begin(), aLoad.m_routes.end(), 0.0, [](double aSum, const RouteLoad& aRoute) {
      return aSum + aRoute.m_busyRequests;
    });
}

void
keepBusiestServices(LoadReport& aReport, size_t aCount)
{
  auto& services = aReport.m_services;
  if (services.size() <= aCount) {
    return;
  }
  const auto end = services.begin() + static_cast<std::ptrdiff_t>(aCount);
  std::ranges::nth_element(services, end, std::ranges::greater{}, busyRequests);
  services.erase(end, services.end());
  std::ranges::sort(services, {}, &ServiceLoad::m_service);
}

} // namespace tamarack::overload
