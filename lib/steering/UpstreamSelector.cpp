// Compares a random sample of the local and one of the remote upstreams of a service by load.
#include "steering/UpstreamSelector.h"

#include "base/Hash.h"

#include <algorithm>

namespace tamarack::steering {

namespace {

/// Number of requests per slot by which the load of a near upstream may exceed that of a far one
/// before new flows go to the far one. A request that queues behind one and a half others is
/// delayed more than by the latency between data centres, and traffic between data centres is
/// expensive.
constexpr double kSpilloverMargin = 1.5;
/// Number of upstreams of a group that are compared. Two are enough to prevent herding; more
/// balance the load better over the few upstreams of one data centre.
constexpr size_t kSampleSize = 4;
/// Groups of more upstreams are sampled by random probes, at most this many, instead of examining
/// each upstream: examining 7,500 takes 170 us.
constexpr size_t kMaxExaminedUpstreams = 32;
/// Load of an established flow in requests: it sends about one request per second, each of which
/// occupies an upstream for a twentieth of a second.
constexpr double kFlowWeight = 0.05;

/// A cold upstream without a rate limit is merely slow: each of its requests counts twice, and an
/// idle warm upstream is preferred to it.
constexpr double kColdLoadFactor = 2;
constexpr double kColdLoadOffset = 0.25;

double
loadPerSlot(const Upstream& aUpstream, TimePoint aNow, bool aPenalisesCold)
{
  const double load =
    aUpstream.m_recentRequests.value(aNow) + kFlowWeight * aUpstream.m_recentFlows.value(aNow);
  const double perSlot = load / std::max<uint32_t>(1, aUpstream.m_record.m_slots);
  return aPenalisesCold && aUpstream.isCold(aNow) ? kColdLoadOffset + kColdLoadFactor * perSlot
                                                  : perSlot;
}

/// Seed of the draw among the remaining services of a weighted route.
constexpr uint64_t kFailoverSeed = 1;

/// Returns one of the services for which `aIsEligible` holds, in proportion to their weights, or
/// null if none of them has a weight.
template<typename Predicate>
const registry::WeightedService*
selectByWeight(std::span<const registry::WeightedService> aServices,
               uint64_t aHash,
               const Predicate& aIsEligible)
{
  uint64_t total = 0;
  for (const registry::WeightedService& service : aServices) {
    total += service.m_weight > 0 && aIsEligible(service) ? service.m_weight : 0;
  }
  if (total == 0) {
    return nullptr;
  }
  uint64_t offset = aHash % total;
  for (const registry::WeightedService& service : aServices) {
    if (service.m_weight == 0 || !aIsEligible(service)) {
      continue;
    }
    if (offset < service.m_weight) {
      return &service;
    }
    offset -= service.m_weight;
  }
  return nullptr;
}

/// Sort key: local upstreams first, then by the name of the data centre.
std::pair<bool, std::string_view>
orderByDataCentre(const Upstream* aUpstream)
{
  return { !aUpstream->isLocal(), aUpstream->m_dataCentre->m_name };
}

/// Returns the upstreams that accept new flows, ordered as Service::m_openUpstreams.
std::span<Upstream* const>
openUpstreams(Service& aService)
{
  auto& open = aService.m_openUpstreams;
  if (aService.m_areOpenUpstreamsStale) {
    open.clear();
    std::ranges::copy_if(aService.m_upstreams, std::back_inserter(open), [](const Upstream* aUp) {
      return aUp->acceptsNewFlows();
    });
    std::ranges::stable_sort(open, {}, orderByDataCentre);
    aService.m_openLocalUpstreams = static_cast<size_t>(
      std::ranges::count_if(open, [](const Upstream* aUp) { return aUp->isLocal(); }));
    aService.m_areOpenUpstreamsStale = false;
  }
  return open;
}

/// Returns the part of `aOpenUpstreams` that is in a data centre.
std::span<Upstream* const>
upstreamsOf(std::span<Upstream* const> aOpenUpstreams, const DataCentre& aDataCentre)
{
  const std::pair key{ !aDataCentre.m_isLocal, std::string_view(aDataCentre.m_name) };
  const auto begin = std::ranges::lower_bound(aOpenUpstreams, key, {}, orderByDataCentre);
  const auto end = std::ranges::upper_bound(aOpenUpstreams, key, {}, orderByDataCentre);
  return { begin, end };
}

bool
hasOpenUpstream(Service* aService)
{
  return aService != nullptr && !openUpstreams(*aService).empty();
}

} // namespace

class UpstreamSelector::ReservoirSample
{
public:
  explicit ReservoirSample(const Mechanisms& aMechanisms)
    : m_sampleSize(aMechanisms.isEnabled(Mechanism::LoadComparison) ? kSampleSize : 1)
    , m_penalisesCold(aMechanisms.isEnabled(Mechanism::ColdUpstreamWeight))
  {
  }

  void add(Upstream& aUpstream, std::minstd_rand& aRandom)
  {
    ++m_count;
    // Reservoir sampling: each upstream is part of the sample with the same probability.
    const size_t position = m_count <= m_sampleSize ? m_count - 1 : aRandom() % m_count;
    if (position < m_sampleSize) {
      m_sample[position] = &aUpstream;
    }
  }

  /// Number of upstreams that were added.
  [[nodiscard]] size_t count() const { return m_count; }
  [[nodiscard]] bool isFull() const { return m_count >= m_sampleSize; }
  [[nodiscard]] bool contains(const Upstream& aUpstream) const
  {
    const auto sampled = std::span(m_sample).first(std::min(m_count, m_sampleSize));
    return std::ranges::find(sampled, &aUpstream) != sampled.end();
  }
  void clear() { m_count = 0; }

  /// Returns the least loaded upstream of the sample, or null if the group is empty. The order of
  /// the sample is random only if the group is larger than the sample, so the search starts at a
  /// random position.
  [[nodiscard]] Upstream* leastLoaded(TimePoint aNow, std::minstd_rand& aRandom) const
  {
    const size_t sampled = std::min(m_count, m_sampleSize);
    Upstream* best = nullptr;
    double lowestLoad = 0;
    const size_t start = sampled == 0 ? 0 : aRandom() % sampled;
    for (size_t step = 0; step < sampled; ++step) {
      Upstream* const upstream = m_sample[(start + step) % sampled];
      const double load = loadPerSlot(*upstream, aNow, m_penalisesCold);
      if (best == nullptr || load < lowestLoad) {
        best = upstream;
        lowestLoad = load;
      }
    }
    return best;
  }

private:
  size_t m_sampleSize;
  bool m_penalisesCold;
  size_t m_count{};
  std::array<Upstream*, kSampleSize> m_sample{};
};

Service*
UpstreamSelector::selectService(const SelectionRequest& aRequest) const
{
  const auto& services = aRequest.m_route->m_services;
  // Selects by the flow hash and the registry alone, so that retransmissions of a SYN go to the
  // same service on every host.
  const registry::WeightedService* const selected =
    selectByWeight(services, aRequest.m_flowHash, [](const auto&) { return true; });
  if (selected == nullptr) {
    return nullptr;
  }
  Service* const service = m_directory.findService(selected->m_service);
  if (services.size() == 1 || hasOpenUpstream(service)) {
    return service;
  }
  // The first draw is the reason why this flow is here, so the second one needs other bits.
  const registry::WeightedService* const other =
    selectByWeight(services, mixHash(aRequest.m_flowHash, kFailoverSeed), [&](const auto& aOther) {
      return hasOpenUpstream(m_directory.findService(aOther.m_service));
    });
  return other != nullptr ? m_directory.findService(other->m_service) : service;
}

SelectionResult
UpstreamSelector::select(TimePoint aNow, const SelectionRequest& aRequest)
{
  Service* const service = selectService(aRequest);
  return service != nullptr ? select(aNow, *service, aRequest) : SelectionResult{};
}

SelectionResult
UpstreamSelector::select(TimePoint aNow, Service& aService, const SelectionRequest& aRequest)
{
  const Mechanisms& mechanisms = m_directory.mechanisms();
  const bool isNearFirst = mechanisms.isEnabled(Mechanism::LocalPreference);
  const bool penalisesCold = mechanisms.isEnabled(Mechanism::ColdUpstreamWeight);
  const std::span<Upstream* const> open = openUpstreams(aService);
  const size_t preferred = isNearFirst ? aService.m_openLocalUpstreams : open.size();
  ReservoirSample local(mechanisms);
  ReservoirSample remote(mechanisms);
  const Token avoided = aRequest.m_avoidedToken;
  const bool areAllExamined = addUsable(aNow, open.first(preferred), avoided, local);
  // The data centre is drawn by the load of the fleet, if it is known.
  const RemotePlacement& placement = aService.m_remotePlacement;
  if (isNearFirst && placement.isKnown(aNow)) {
    const DataCentre& dataCentre = *placement.remoteDataCentre(draw());
    addUsable(aNow, upstreamsOf(open, dataCentre), avoided, remote);
  }
  if (remote.count() == 0) {
    addUsable(aNow, open.subspan(preferred), avoided, remote);
  }
  // The remaining local upstreams keep the load that they had; the rest of the flows goes to other
  // data centres, and so does the share that the load of the fleet calls for.
  const size_t usable = areAllExamined
                          ? local.count()
                          : preferred - std::min(preferred, aService.m_avoidedLocalUpstreams);
  const double localShare =
    std::min(1.0, static_cast<double>(usable) / std::max(1.0, aService.m_recentLocalUpstreams)) *
    (1 - (isNearFirst ? placement.remoteShare(aNow) : 0));
  const double localityDraw = draw();
  Upstream* const near = local.leastLoaded(aNow, m_random);
  Upstream* const far = remote.leastLoaded(aNow, m_random);
  if (near != nullptr && far != nullptr) {
    const bool isOverloaded = loadPerSlot(*near, aNow, penalisesCold) >
                              loadPerSlot(*far, aNow, penalisesCold) + kSpilloverMargin;
    return { localityDraw <= localShare && !isOverloaded ? near : far };
  }
  if (near != nullptr || far != nullptr) {
    return { near != nullptr ? near : far };
  }
  return selectFallback(aNow, aService, avoided);
}

bool
UpstreamSelector::addUsable(TimePoint aNow,
                            std::span<Upstream* const> aGroup,
                            Token aAvoidedToken,
                            ReservoirSample& aSample)
{
  const auto isUsable = [&](const Upstream* aUpstream) {
    return aUpstream->m_token != aAvoidedToken && aUpstream->isUsable(aNow);
  };
  if (aGroup.size() > kMaxExaminedUpstreams) {
    for (size_t probe = 0; probe < kMaxExaminedUpstreams && !aSample.isFull(); ++probe) {
      Upstream* const upstream = aGroup[m_random() % aGroup.size()];
      if (isUsable(upstream) && !aSample.contains(*upstream)) {
        aSample.add(*upstream, m_random);
      }
    }
    if (aSample.isFull()) {
      return false;
    }
    // Few upstreams of the group are usable; finding them takes an examination of all.
    aSample.clear();
  }
  for (Upstream* upstream : aGroup) {
    if (isUsable(upstream)) {
      aSample.add(*upstream, m_random);
    }
  }
  return true;
}

SelectionResult
UpstreamSelector::selectFallback(TimePoint aNow, const Service& aService, Token aAvoidedToken)
{
  const SelectionResult cold = selectColdUpstream(aNow, aService, aAvoidedToken);
  if (cold.m_upstream != nullptr) {
    return cold;
  }
  ReservoirSample avoided(m_directory.mechanisms());
  for (Upstream* upstream : aService.m_openUpstreams) {
    if (!upstream->isRateLimited(aNow)) {
      avoided.add(*upstream, m_random);
    }
  }
  Upstream* const fallback = avoided.leastLoaded(aNow, m_random);
  return fallback != nullptr ? SelectionResult{ fallback } : cold;
}

SelectionResult
UpstreamSelector::selectColdUpstream(TimePoint aNow, const Service& aService, Token aAvoidedToken)
{
  SelectionResult result;
  for (Upstream* upstream : aService.m_upstreams) {
    if (!upstream->acceptsNewFlows() || !upstream->isRateLimited(aNow) ||
        upstream->m_token == aAvoidedToken) {
      continue;
    }
    result.m_refusal = ErrorKind::ColdLimit;
    if (m_coldStartLimiter.mayAddFlow(aNow, *upstream, aService.m_record)) {
      m_coldStartLimiter.recordFlow(aNow, *upstream);
      result.m_upstream = upstream;
      break;
    }
  }
  return result;
}

} // namespace tamarack::steering
