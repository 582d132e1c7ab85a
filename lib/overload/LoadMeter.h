// Measures the load that the callers of one host put on services. All quantities are decaying
// averages, so a flow whose end the host does not see is not counted forever.
#pragma once

#include "overload/LoadReport.h"

#include <absl/container/flat_hash_map.h>
#include <vector>

namespace tamarack::overload {

/// Time constant of the averages. Crowds last for a few seconds, and a decision on older averages
/// would come too late, above all after the end of a crowd.
inline constexpr Millis kLoadTimeConstant{ 250 };

/// A response time counts at most this much. A longer response, such as a long poll, would
/// otherwise appear as a peak of busy requests at the moment when it ends.
inline constexpr Millis kMaxServiceTime{ 10'000 };

class LoadMeter
{
public:
  /// A caller opens a flow; not called for retransmitted SYNs.
  void onNewFlow(TimePoint aNow, ServiceId aService, RouteId aRoute);
  /// A caller sends a request on an established flow, other than the first request of the flow.
  void onFurtherRequest(TimePoint aNow, ServiceId aService, RouteId aRoute);
  /// An upstream in `aDataCentre` completed a response. `aServiceTime` is the response time without
  /// the network round trip.
  void onResponse(TimePoint aNow,
                  ServiceId aService,
                  RouteId aRoute,
                  DataCentreId aDataCentre,
                  Millis aServiceTime);

  /// Returns the current averages, without entries that have decayed to almost zero, and drops
  /// those entries.
  [[nodiscard]] LoadReport report(TimePoint aNow);

private:
  /// A sum whose addends decay exponentially.
  class DecayingSum
  {
  public:
    void add(TimePoint aNow, double aAmount);
    /// Returns the sum per second of the time constant.
    [[nodiscard]] double perSecond(TimePoint aNow) const;

  private:
    double m_value{};
    TimePoint m_at;
  };

  struct RouteMeter
  {
    RouteId m_route;
    DecayingSum m_newFlows;
    DecayingSum m_furtherRequests;
    DecayingSum m_responses;
    /// Seconds of service time.
    DecayingSum m_busy;
  };

  struct PlacementMeter
  {
    DataCentreId m_dataCentre;
    /// Seconds of service time.
    DecayingSum m_busy;
  };

  struct ServiceMeter
  {
    /// At most kMaxRoutes and kMaxDataCentres entries, which are searched linearly.
    std::vector<RouteMeter> m_routes;
    std::vector<PlacementMeter> m_placements;
  };

  /// Returns null if there is no space for another service or route.
  RouteMeter* findRoute(ServiceId aService, RouteId aRoute);
  static ServiceLoad reportService(TimePoint aNow, ServiceId aService, ServiceMeter& aMeter);

  /// At most kMaxServices entries.
  absl::flat_hash_map<ServiceId, ServiceMeter> m_services;
};

} // namespace tamarack::overload
