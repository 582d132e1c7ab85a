// The load that callers put on services, as one host measured it or as the sum over several hosts.
// Reports are additive: the sum of the reports of all hosts describes the whole fleet.
#pragma once

#include "base/Types.h"

#include <cstddef>
#include <vector>

namespace tamarack::overload {

/// A route, identified by a 32-bit hash of its name.
using RouteId = StrongId<struct RouteTag, uint32_t>;

/// A data centre, identified by a 32-bit hash of its name.
using DataCentreId = StrongId<struct DataCentreTag, uint32_t>;

/// The load of one route on one service.
struct RouteLoad
{
  RouteId m_route;
  /// New flows per second, without retransmitted SYNs, including those that were refused.
  double m_newFlowsPerSecond{};
  /// Requests per second on established flows, without the first request of each flow.
  double m_furtherRequestsPerSecond{};
  /// Completed responses per second.
  double m_responsesPerSecond{};
  /// Mean number of requests that upstreams process or queue at a time: the sum of the response
  /// times, without network round trips, per second (Little's law).
  double m_busyRequests{};

  friend bool operator==(const RouteLoad&, const RouteLoad&) = default;
};

/// The part of a service's load that the upstreams of one data centre carry.
struct PlacementLoad
{
  DataCentreId m_dataCentre;
  /// As RouteLoad::m_busyRequests.
  double m_busyRequests{};

  friend bool operator==(const PlacementLoad&, const PlacementLoad&) = default;
};

struct ServiceLoad
{
  ServiceId m_service;
  /// Ordered by route; no route occurs twice.
  std::vector<RouteLoad> m_routes;
  /// Ordered by data centre; no data centre occurs twice.
  std::vector<PlacementLoad> m_placements;

  friend bool operator==(const ServiceLoad&, const ServiceLoad&) = default;
};

struct LoadReport
{
  /// Ordered by service; no service occurs twice.
  std::vector<ServiceLoad> m_services;

  friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

/// Adds the rates and numbers of `aAddend` to `aSum`.
void
addLoad(LoadReport& aSum, const LoadReport& aAddend);

/// Number of services in a report. More would not fit into a status message beside its records.
inline constexpr size_t kMaxReportedServices = 24;

/// Returns the busy requests of all routes.
[[nodiscard]] double
busyRequests(const ServiceLoad& aLoad);

/// Removes all but the `aCount` services with the most busy requests.
void
keepBusiestServices(LoadReport& aReport, size_t aCount = kMaxReportedServices);

} // namespace tamarack::overload
