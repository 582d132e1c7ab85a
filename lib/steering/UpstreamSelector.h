// Selects the upstream of a new flow. The cases it handles are: normal operation, where the nearest
// upstreams save traffic between data centres; a data centre that loses part of its upstreams,
// where the corresponding part of its flows goes to other data centres; all callers reconnecting at
// once after an outage through the first host that is back, when the nearest upstreams alone would
// reject requests; failed and slow upstreams, which retransmissions of callers reveal; and a
// service whose upstreams are all cold, or all but one, which the whole load would overload.
#pragma once

#include "steering/ColdStartLimiter.h"

#include <random>

namespace tamarack::steering {

struct SelectionRequest
{
  const registry::RouteRecord* m_route{};
  /// Hash of the flow, the same on every host.
  uint64_t m_flowHash{};
  /// The upstream that did not answer an earlier SYN of the flow; 0 if there is none.
  Token m_avoidedToken;
};

/// The selected upstream, or the reason why there is none.
struct SelectionResult
{
  Upstream* m_upstream{};
  /// Valid if m_upstream is null.
  ErrorKind m_refusal{ ErrorKind::NoCapacity };
};

class UpstreamSelector
{
public:
  UpstreamSelector(ServiceDirectory& aDirectory,
                   ColdStartLimiter& aColdStartLimiter,
                   uint64_t aSeed)
    : m_directory(aDirectory)
    , m_coldStartLimiter(aColdStartLimiter)
    , m_random(aSeed)
  {
  }

  /// Returns the service of a new flow, or null if the route has none. A service without an
  /// upstream that accepts new flows is passed over if another one of the route has one.
  [[nodiscard]] Service* selectService(const SelectionRequest& aRequest) const;
  /// Selects an upstream of the service that selectService() returns.
  [[nodiscard]] SelectionResult select(TimePoint aNow, const SelectionRequest& aRequest);
  /// Selects an upstream of `aService`.
  [[nodiscard]] SelectionResult select(TimePoint aNow,
                                       Service& aService,
                                       const SelectionRequest& aRequest);

  /// Sets the load of a service in each data centre, known to the fleet at `aKnownAt`. Without a
  /// call for kMaxOccupancyAge, the load is unknown. Data centres that are idle need an entry with
  /// 0, since those without an entry get no flows by load.
  static void setOccupancy(TimePoint aKnownAt,
                           Service& aService,
                           std::span<const DataCentreOccupancy> aOccupancy)
  {
    aService.m_remotePlacement.update(aKnownAt, aOccupancy);
  }

private:
  /// The least loaded of a random sample of a group of upstreams.
  class ReservoirSample;

  /// Adds those upstreams of `aGroup` that are usable. If the group is large, only as many random
  /// ones are added as the sample holds. Returns whether all were examined.
  bool addUsable(TimePoint aNow,
                 std::span<Upstream* const> aGroup,
                 Token aAvoidedToken,
                 ReservoirSample& aSample);

  /// Returns a random number between 0 and 1.
  [[nodiscard]] double draw()
  {
    return static_cast<double>(m_random()) / static_cast<double>(m_random.max());
  }
  [[nodiscard]] SelectionResult selectColdUpstream(TimePoint aNow,
                                                   const Service& aService,
                                                   Token aAvoidedToken);
  /// Selects an upstream although none is usable without limits.
  [[nodiscard]] SelectionResult selectFallback(TimePoint aNow,
                                               const Service& aService,
                                               Token aAvoidedToken);

  ServiceDirectory& m_directory;
  ColdStartLimiter& m_coldStartLimiter;
  std::minstd_rand m_random;
};

} // namespace tamarack::steering
