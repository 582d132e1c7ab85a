// Queue model for tests of placement: hosts that each select upstreams on their own, and upstreams
// that process requests in the order of arrival in a fixed number of slots.
#pragma once

#include "steering/UpstreamSelector.h"

#include <algorithm>
#include <map>
#include <queue>
#include <random>

namespace tamarack::steering {

/// The mean of the work is 19 ms, and 3 % of the requests need 7 times the work of the others.
inline constexpr double kMeanWorkMs = 19;
inline constexpr double kHeavyShare = 0.03;
inline constexpr double kHeavyFactor = 7;

struct QueueModelOptions
{
  std::vector<std::string> m_dataCentres;
  /// Per data centre.
  size_t m_hosts{};
  size_t m_upstreams{};
  uint32_t m_slots{ 2 };
  uint64_t m_seed{ 1 };
};

/// An upstream of the model.
struct ModelUpstream
{
  explicit ModelUpstream(uint32_t aSlots)
    : m_slotFreeAtMs(aSlots)
  {
  }

  /// Returns the response time of a request that arrives at `aNowMs`.
  double process(double aNowMs, double aWorkMs)
  {
    double& freeAt = *std::ranges::min_element(m_slotFreeAtMs);
    freeAt = std::max(freeAt, aNowMs) + aWorkMs;
    m_busyMs += freeAt - aNowMs;
    return freeAt - aNowMs;
  }

  std::vector<double> m_slotFreeAtMs;
  /// Sum of the response times of all requests so far.
  double m_busyMs{};
};

/// A host of the model, with its own view of all upstreams.
class ModelHost
{
public:
  ModelHost(const QueueModelOptions& aOptions, const std::string& aDataCentre, uint64_t aSeed)
    : m_directory(aDataCentre)
    , m_selector(m_directory, m_coldStartLimiter, aSeed)
  {
    registry::RouteRecord route;
    route.m_services = { { "main", 1 } };
    m_route = route;
    uint32_t identity = 0;
    for (const std::string& dataCentre : aOptions.m_dataCentres) {
      for (size_t index = 0; index < aOptions.m_upstreams; ++index) {
        ++identity;
        const registry::Change change{
          { registry::RecordKind::Upstream, "i-" + std::to_string(identity) },
          { .m_number = identity },
          registry::UpstreamRecord{ .m_service = "main",
                                    .m_dataCentre = dataCentre,
                                    .m_address = Ipv4{ 0x0a000000 + identity },
                                    .m_port = 80,
                                    .m_identity = identity,
                                    .m_slots = aOptions.m_slots }
        };
        m_directory.apply(TimePoint{}, { &change, 1 });
      }
    }
  }

  /// Returns the upstream of a new flow.
  Upstream& open(TimePoint aNow)
  {
    Upstream* const upstream = m_selector.select(aNow, { .m_route = &m_route }).m_upstream;
    upstream->m_recentRequests.add(aNow);
    upstream->m_recentFlows.add(aNow);
    return *upstream;
  }

  Service& service() { return *m_directory.findService("main"); }

  ServiceDirectory m_directory;
  ColdStartLimiter m_coldStartLimiter{ {} };
  UpstreamSelector m_selector;
  registry::RouteRecord m_route;
};

class QueueModel
{
public:
  explicit QueueModel(const QueueModelOptions& aOptions)
    : m_options(aOptions)
    , m_random(aOptions.m_seed)
    , m_upstreams(aOptions.m_upstreams * aOptions.m_dataCentres.size(),
                  ModelUpstream(aOptions.m_slots))
    , m_load(aOptions.m_dataCentres.size())
  {
    for (const std::string& dataCentre : aOptions.m_dataCentres) {
      for (size_t host = 0; host < aOptions.m_hosts; ++host) {
        m_hosts.push_back(std::make_unique<ModelHost>(aOptions, dataCentre, m_random()));
      }
    }
  }

  /// Runs until `aUntil`; the hosts of each data centre get Poisson arrivals at the given rates.
  void run(TimePoint aUntil, std::span<const double> aFlowsPerSecond)
  {
    double rate = 0;
    for (const double part : aFlowsPerSecond) {
      rate += part / 1000;
    }
    std::exponential_distribution<double> gap(rate);
    std::discrete_distribution<size_t> dataCentre(aFlowsPerSecond.begin(), aFlowsPerSecond.end());
    const auto untilMs = static_cast<double>(aUntil.time_since_epoch().count());
    for (double next = m_nowMs + gap(m_random); next < untilMs; next += gap(m_random)) {
      m_nowMs = next;
      openFlow(dataCentre(m_random));
    }
    m_nowMs = untilMs;
  }

  /// Returns the busy requests per slot of each data centre since the last call, by the response
  /// times of the responses since then (Little's law).
  std::vector<double> takeOccupancy(Millis aSince)
  {
    while (!m_responses.empty() && m_responses.top().m_atMs <= m_nowMs) {
      m_load[m_responses.top().m_dataCentre] += m_responses.top().m_responseTimeMs;
      m_responses.pop();
    }
    std::vector<double> occupancy;
    for (double& load : m_load) {
      occupancy.push_back(std::exchange(load, 0) / static_cast<double>(aSince.count()) / slots());
    }
    return occupancy;
  }

  /// Tells every host the load of each data centre.
  void setOccupancy(TimePoint aNow, std::span<const double> aOccupancy)
  {
    for (const auto& host : m_hosts) {
      std::vector<DataCentreOccupancy> entries;
      for (size_t index = 0; index < aOccupancy.size(); ++index) {
        entries.push_back(
          { host->m_directory.dataCentres().at(m_options.m_dataCentres[index]).get(),
            aOccupancy[index],
            slots() });
      }
      UpstreamSelector::setOccupancy(aNow, host->service(), entries);
    }
  }

  /// Returns the flows to each data centre since the last call, by the data centre of the host.
  std::map<std::pair<size_t, size_t>, double> takeFlows() { return std::exchange(m_flows, {}); }
  [[nodiscard]] const std::vector<ModelUpstream>& upstreams() const { return m_upstreams; }
  /// Slots of one data centre.
  [[nodiscard]] double slots() const
  {
    return static_cast<double>(m_options.m_upstreams * m_options.m_slots);
  }
  [[nodiscard]] ModelHost& host(size_t aIndex) { return *m_hosts[aIndex]; }

private:
  struct Response
  {
    double m_atMs{};
    double m_responseTimeMs{};
    size_t m_dataCentre{};

    friend bool operator>(const Response& aLeft, const Response& aRight)
    {
      return aLeft.m_atMs > aRight.m_atMs;
    }
  };

  void openFlow(size_t aDataCentre)
  {
    const size_t host = aDataCentre * m_options.m_hosts + m_random() % m_options.m_hosts;
    const TimePoint now{ Millis{ static_cast<int64_t>(m_nowMs) } };
    const size_t index = m_hosts[host]->open(now).m_record.m_identity - 1;
    const double light = kMeanWorkMs / (1 + kHeavyShare * (kHeavyFactor - 1));
    const double work =
      light * (std::bernoulli_distribution(kHeavyShare)(m_random) ? kHeavyFactor : 1);
    const double time = m_upstreams[index].process(m_nowMs, work);
    const size_t dataCentre = index / m_options.m_upstreams;
    m_responses.push({ m_nowMs + time, time, dataCentre });
    ++m_flows[{ aDataCentre, dataCentre }];
  }

  QueueModelOptions m_options;
  std::mt19937_64 m_random;
  double m_nowMs{};
  std::vector<ModelUpstream> m_upstreams;
  std::vector<std::unique_ptr<ModelHost>> m_hosts;
  std::priority_queue<Response, std::vector<Response>, std::greater<>> m_responses;
  /// Sum of the response times since takeOccupancy(), by data centre.
  std::vector<double> m_load;
  std::map<std::pair<size_t, size_t>, double> m_flows;
};

} // namespace tamarack::steering
