// Chooses the upstream of a new flow. Loads it answers: the usual day, where the nearest upstreams
// save bytes between data centres; a data centre that loses part of its upstreams, where that part
// of its flows goes elsewhere; all callers at once after an outage, by way of the first host that
// is back, when the nearest upstreams alone would shed; crashed and slow upstreams, which callers'
// repeated packets give away; a service that is all cold, or of which one warm upstream is left,
// which the load of all would break.
#pragma once

#include "steering/ColdBudget.h"

#include <random>

namespace tamarack::steering {

struct PlacementRequest
{
  const registry::RouteRecord* m_route{};
  uint64_t m_flowKey{};
  /// The upstream that did not answer the flow's earlier opening packet; 0 when there is none.
  Token m_avoid;
};

/// An upstream, or why there is none.
struct Placed
{
  Upstream* m_upstream{};
  ErrorKind m_refusal{ ErrorKind::NoCapacity };
};

class Placement
{
public:
  Placement(Directory& aDirectory, ColdBudget& aColdBudget, uint64_t aSeed)
    : m_directory(aDirectory)
    , m_coldBudget(aColdBudget)
    , m_random(aSeed)
  {
  }

  [[nodiscard]] Placed choose(TimePoint aNow, const PlacementRequest& aRequest);

private:
  /// The better of two upstreams that were drawn from a group as it went by.
  class Draw;

  [[nodiscard]] Service* pickService(const PlacementRequest& aRequest);
  [[nodiscard]] Placed chooseCold(TimePoint aNow, const Service& aService, Token aAvoid);

  Directory& m_directory;
  ColdBudget& m_coldBudget;
  std::minstd_rand m_random;
};

} // namespace tamarack::steering
