// One pass over the upstreams of a service, two random ones of each group compared by load.
#include "steering/Placement.h"

namespace tamarack::steering {

namespace {

/// A kept flow sends about one request a second, which takes an upstream a twentieth of one.
constexpr double kFlowWeight = 0.05;

double
loadOf(const Upstream& aUpstream, TimePoint aNow)
{
  const double load =
    aUpstream.m_requests.level(aNow) + kFlowWeight * aUpstream.m_flows.level(aNow);
  return load / std::max<uint32_t>(1, aUpstream.m_record.m_slots);
}

} // namespace

class Placement::Draw
{
public:
  void see(Upstream& aUpstream, std::minstd_rand& aRandom)
  {
    ++m_seen;
    // Reservoir sampling: each upstream is among the two with the same chance.
    if (m_seen <= 2) {
      m_drawn[m_seen - 1] = &aUpstream;
      return;
    }
    const size_t place = aRandom() % m_seen;
    if (place < 2) {
      m_drawn[place] = &aUpstream;
    }
  }

  [[nodiscard]] size_t seen() const { return m_seen; }

  [[nodiscard]] Upstream* best(TimePoint aNow, std::minstd_rand& aRandom) const
  {
    if (m_seen < 2) {
      return m_drawn[0];
    }
    const double first = loadOf(*m_drawn[0], aNow);
    const double second = loadOf(*m_drawn[1], aNow);
    if (first == second) {
      return m_drawn[aRandom() % 2];
    }
    return first < second ? m_drawn[0] : m_drawn[1];
  }

private:
  size_t m_seen{};
  std::array<Upstream*, 2> m_drawn{};
};

Service*
Placement::pickService(const PlacementRequest& aRequest)
{
  const auto& services = aRequest.m_route->m_services;
  uint64_t total = 0;
  for (const registry::WeightedService& service : services) {
    total += service.m_weight;
  }
  if (total == 0) {
    return nullptr;
  }
  // By the flow, so that copies of its opening packet go to the same service on every host.
  uint64_t point = aRequest.m_flowKey % total;
  for (const registry::WeightedService& service : services) {
    if (point < service.m_weight) {
      return m_directory.findService(service.m_service);
    }
    point -= service.m_weight;
  }
  return nullptr;
}

Upstream*
Placement::choose(TimePoint aNow, const PlacementRequest& aRequest)
{
  const Service* service = pickService(aRequest);
  if (service == nullptr) {
    return nullptr;
  }
  Draw local;
  Draw remote;
  Draw avoided;
  for (Upstream* upstream : service->m_upstreams) {
    if (!upstream->isOpen() || upstream->isCold(aNow)) {
      continue;
    }
    if (upstream->m_token == aRequest.m_avoid || upstream->m_health.isAvoided(aNow)) {
      avoided.see(*upstream, m_random);
    } else {
      (upstream->m_isLocal ? local : remote).see(*upstream, m_random);
    }
  }
  // The upstreams that are left keep the load that they had; the rest goes to other data centres.
  const double share =
    std::min(1.0, static_cast<double>(local.seen()) / std::max(1.0, service->m_localStrength));
  const double point = static_cast<double>(m_random()) / static_cast<double>(m_random.max());
  const bool staysLocal = local.seen() > 0 && (remote.seen() == 0 || point <= share);
  Upstream* const chosen = (staysLocal ? local : remote).best(aNow, m_random);
  if (chosen != nullptr) {
    return chosen;
  }
  Upstream* const doubtful = avoided.best(aNow, m_random);
  return doubtful != nullptr ? doubtful : chooseCold(aNow, *service, aRequest.m_avoid);
}

Upstream*
Placement::chooseCold(TimePoint aNow, const Service& aService, Token aAvoid)
{
  for (Upstream* upstream : aService.m_upstreams) {
    if (upstream->isOpen() && upstream->isCold(aNow) && upstream->m_token != aAvoid &&
        m_coldBudget.allows(aNow, *upstream, aService.m_record)) {
      m_coldBudget.onPlaced(aNow, *upstream);
      return upstream;
    }
  }
  return nullptr;
}

} // namespace tamarack::steering
