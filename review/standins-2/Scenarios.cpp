// What happens in each scenario and when, and the check of its rule.
#include "Scenarios.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>

namespace review {

namespace {

constexpr uint16_t kRoutePort = 443;
/// One endpoint of these is a share of 0.125, below the 0.14 of the site's crashes.
constexpr int kEndpointsOfEach = 8;
/// Endpoints are cold for this long after a start.
constexpr double kWarmUpS = 4.0;
constexpr Millis kWarmUp{ 4000 };

/// A configuration whose route at kRoutePort goes to `aService`, with `aIdleRoutes` routes without
/// traffic.
std::string
makeConfiguration(int aVersion,
                  const std::string& aService,
                  int aIdleRoutes,
                  int aIdleTimeoutMs,
                  double aWarmUpPerS = 0)
{
  Json routes = Json::array();
  const auto add = [&](const std::string& aName, uint32_t aHost, int aPort, const char* aTo) {
    routes.push_back({ { "name", aName },
                       { "host", formatAddress(aHost) },
                       { "prefix", "/" + std::to_string(aPort) + "/" },
                       { "type", "safe" },
                       { "timeout_ms", 2500 },
                       { "slo_ms", 250 },
                       { "priority", 2 },
                       { "service", aTo },
                       { "max_attempts", 2 } });
  };
  add("r-main", kRouteAddress, kRoutePort, aService.c_str());
  for (int index = 0; index < aIdleRoutes; ++index) {
    add("r-idle" + std::to_string(index),
        kRouteAddress + 1 + static_cast<uint32_t>(index / 1000),
        1000 + index % 1000,
        "service-b");
  }
  const auto service = [aWarmUpPerS](const char* aName) {
    return Json{ { "name", aName },
                 { "health_path", "/health" },
                 { "max_conns", 2000 },
                 { "proto", "h1" },
                 { "tls", false },
                 { "warmup_s", kWarmUpS },
                 { "warmup_per_s", aWarmUpPerS } };
  };
  return Json{
    { "version", aVersion },
    { "routes", routes },
    { "services", { service("service-a"), service("service-b") } },
    { "limits",
      { { "max_header_bytes", 16384 },
        { "max_body_bytes", 262144 },
        { "header_timeout_ms", 3000 },
        { "idle_timeout_ms", aIdleTimeoutMs } } }
  }.dump();
}

/// Adds six hosts in three zones, and endpoints of service-a and service-b.
void
addDeployment(World& aWorld, int aEndpointsOfEach)
{
  constexpr std::array<const char*, 3> zones{ "zone-a", "zone-b", "zone-c" };
  for (int index = 0; index < 6; ++index) {
    aWorld.addEdge(zones[static_cast<size_t>(index / 2)]);
  }
  for (int index = 0; index < 2 * aEndpointsOfEach; ++index) {
    const bool isOfA = index < aEndpointsOfEach;
    aWorld.addEndpoint({ .m_id = (isOfA ? "i-a" : "i-b") + std::to_string(1000 + index),
                         .m_service = isOfA ? "service-a" : "service-b",
                         .m_zone = zones[static_cast<size_t>(index % 3)],
                         .m_address = aWorld.address(12, static_cast<uint32_t>(index + 1)) });
  }
}

/// Opens flows at a steady rate in all zones from `aFrom` to `aTo`.
class SteadyTraffic
{
public:
  SteadyTraffic(World& aWorld,
                double aFrom,
                double aTo,
                double aGap,
                std::function<void(const FlowResult&)> aOnDone)
    : m_world(aWorld)
    , m_nextAt(aFrom)
    , m_to(aTo)
    , m_gap(aGap)
    , m_onDone(std::move(aOnDone))
  {
    for (uint32_t index = 0; index < 3; ++index) {
      m_callers.push_back(
        std::make_unique<Caller>(aWorld,
                                 aWorld.address(13, index + 1),
                                 std::string("zone-") + static_cast<char>('a' + index)));
    }
    m_world.at(m_nextAt, [this] { openNext(); });
  }

private:
  void openNext()
  {
    m_callers[m_next++ % m_callers.size()]->open({ .m_routePort = kRoutePort }, m_onDone);
    m_nextAt += m_gap;
    if (m_nextAt < m_to) {
      m_world.at(m_nextAt, [this] { openNext(); });
    }
  }

  World& m_world;
  double m_nextAt;
  double m_to;
  double m_gap;
  std::function<void(const FlowResult&)> m_onDone;
  std::vector<std::unique_ptr<Caller>> m_callers;
  size_t m_next{};
};

/// An endpoint crashes and starts again under its id while the store is down, and is cold.
int
runColdRestart(World& aWorld, bool aIsTroubled)
{
  constexpr double warmUpPerS = 3.5;
  constexpr double limit = warmUpPerS * 1.5 + 5;
  // Four slots bear warmUpPerS requests a second while the endpoint is cold.
  constexpr Millis coldWork{ static_cast<int64_t>(1000 * 4 / warmUpPerS) };
  constexpr Millis warmWork{ 20 };
  constexpr double downAt = 16.0;
  constexpr double downFor = 4.5;
  constexpr double crashAt = 16.5;
  constexpr double crashFor = 1.0;
  constexpr double endAt = 28.0;
  const char* const trouble = std::getenv("TROUBLE");
  const bool isStoreDown = aIsTroubled && (trouble == nullptr || std::string(trouble) != "crash");
  addDeployment(aWorld, kEndpointsOfEach);
  aWorld.m_store->put("op/config", makeConfiguration(1, "service-a", 8, 15000, warmUpPerS));
  aWorld.startEdges();
  const std::string id = aWorld.m_endpoints.front()->options().m_id;
  std::deque<double> recent;
  size_t most = 0;
  size_t sinceRestart = 0;
  if (isStoreDown) {
    aWorld.at(downAt, [&] {
      aWorld.m_store->setDown(true);
      aWorld.m_record.line("the store is down");
    });
    aWorld.at(downAt + downFor, [&] {
      aWorld.m_store->setDown(false);
      aWorld.m_record.line("the store is back");
    });
  }
  if (aIsTroubled) {
    aWorld.at(crashAt, [&] {
      aWorld.findEndpoint(id)->crash();
      aWorld.m_record.line("endpoint " + id + " crashes");
    });
    aWorld.at(crashAt + crashFor, [&] {
      Endpoint::Options options = aWorld.findEndpoint(id)->options();
      options.m_coldFor = kWarmUp;
      aWorld.removeEndpoint(id);
      Endpoint& endpoint = aWorld.addEndpoint(options);
      const double startedAt = aWorld.m_record.seconds();
      aWorld.m_record.line("endpoint " + id + " starts again, cold for 4 s");
      endpoint.setWork([&, startedAt] {
        const bool isCold = aWorld.m_record.seconds() - startedAt < kWarmUpS;
        return isCold ? coldWork : warmWork;
      });
      endpoint.m_onOpened = [&, startedAt](const Packet&) {
        const double now = aWorld.m_record.seconds();
        if (now - startedAt > kWarmUpS) {
          return;
        }
        ++sinceRestart;
        recent.push_back(now);
        while (now - recent.front() > 1.0) {
          recent.pop_front();
        }
        most = std::max(most, recent.size());
        aWorld.m_record.line("the cold endpoint takes a flow, " + std::to_string(recent.size()) +
                             " in the last second");
      };
    });
  }
  std::map<std::string, int> outcomes;
  const SteadyTraffic traffic(aWorld, 10.0, endAt - 3, 1.0 / 240, [&](const FlowResult& aResult) {
    aWorld.m_record.line("flow sent at " + std::to_string(aResult.m_sentAt) + ": " +
                         aResult.m_outcome + " by " + aResult.m_endpoint);
    ++outcomes[aResult.m_outcome];
  });
  aWorld.run(endAt);
  for (const auto& [outcome, count] : outcomes) {
    aWorld.m_record.line("flows " + outcome + ": " + std::to_string(count));
  }
  aWorld.m_record.line("most flows in a second at the cold endpoint: " + std::to_string(most) +
                       " of " + std::to_string(sinceRestart) + ", limit " + std::to_string(limit));
  if (aWorld.hasProcessEnded() || outcomes["served"] == 0) {
    return 2;
  }
  return static_cast<double>(most) > limit ? 1 : 0;
}

/// The time of day of an endpoint's machine is ahead when the endpoint starts and right when it
/// starts again. Later the endpoint drains.
int
runSteppedClock(World& aWorld, bool aIsTroubled)
{
  constexpr Millis step{ 2400 };
  constexpr double startAt = 12.0;
  constexpr double crashAt = 13.2;
  constexpr double crashFor = 0.4;
  constexpr double drainAt = 22.0;
  constexpr double drainMs = 3000;
  constexpr double endAt = 34.0;
  const char* const trouble = std::getenv("TROUBLE");
  const bool isStepped = aIsTroubled && (trouble == nullptr || std::string(trouble) != "crash");
  addDeployment(aWorld, kEndpointsOfEach);
  aWorld.m_store->put("op/config", makeConfiguration(1, "service-a", 8, 15000));
  aWorld.startEdges();
  const Endpoint::Options options{ .m_id = "i-a2000",
                                   .m_service = "service-a",
                                   .m_zone = "zone-a",
                                   .m_address = aWorld.address(12, 100),
                                   .m_clockAhead = isStepped ? step : Millis{},
                                   .m_coldFor = kWarmUp };
  double drainedAt = 0;
  int late = 0;
  double lastLate = 0;
  const auto start = [&](const Endpoint::Options& aOptions) {
    Endpoint& endpoint = aWorld.addEndpoint(aOptions);
    endpoint.setWork([] { return Millis{ 20 }; });
    aWorld.m_record.line("endpoint " + aOptions.m_id + " starts, its time of day is ahead by " +
                         std::to_string(aOptions.m_clockAhead.count()) + " ms");
  };
  aWorld.at(startAt, [&] { start(options); });
  if (aIsTroubled) {
    aWorld.at(crashAt, [&] {
      aWorld.findEndpoint(options.m_id)->crash();
      aWorld.m_record.line("endpoint " + options.m_id + " crashes");
    });
    aWorld.at(crashAt + crashFor, [&] {
      aWorld.removeEndpoint(options.m_id);
      Endpoint::Options again = options;
      again.m_clockAhead = {};
      start(again);
    });
  }
  aWorld.at(drainAt, [&] {
    aWorld.findEndpoint(options.m_id)->drain();
    drainedAt = aWorld.m_record.seconds();
    aWorld.m_record.line("endpoint " + options.m_id + " is draining, acknowledged");
  });
  std::map<std::string, int> outcomes;
  int servedByIt = 0;
  const SteadyTraffic traffic(aWorld, 10.0, endAt - 3, 1.0 / 60, [&](const FlowResult& aResult) {
    aWorld.m_record.line("flow sent at " + std::to_string(aResult.m_sentAt) + ": " +
                         aResult.m_outcome + " by " + aResult.m_endpoint);
    ++outcomes[aResult.m_outcome];
    const bool isIts = aResult.m_endpoint == options.m_id;
    servedByIt += isIts ? 1 : 0;
    if (isIts && drainedAt > 0 && 1000 * (aResult.m_sentAt - drainedAt) > drainMs) {
      ++late;
      lastLate = std::max(lastLate, aResult.m_sentAt - drainedAt);
    }
  });
  aWorld.run(endAt);
  for (const auto& [outcome, count] : outcomes) {
    aWorld.m_record.line("flows " + outcome + ": " + std::to_string(count));
  }
  aWorld.m_record.line(
    "flows at the endpoint: " + std::to_string(servedByIt) +
    ", sent more than 3 s after the acknowledgement that it drains: " + std::to_string(late) +
    ", the last one after " + std::to_string(lastLate) + " s");
  if (aWorld.hasProcessEnded() || servedByIt == 0) {
    return 2;
  }
  return late > 0 ? 1 : 0;
}

/// The same two starts of an endpoint. Later a host is restarted as planned, while callers keep
/// flows at the endpoint open.
int
runRestartToken(World& aWorld, bool aIsTroubled)
{
  constexpr Millis step{ 2400 };
  constexpr double startAt = 12.0;
  constexpr double crashAt = 13.2;
  constexpr double crashFor = 0.4;
  constexpr double openAt = 15.0;
  constexpr int flows = 40;
  constexpr double restartAt = 23.0;
  constexpr double endAt = 44.0;
  const char* const trouble = std::getenv("TROUBLE");
  const bool isStepped = aIsTroubled && (trouble == nullptr || std::string(trouble) != "crash");
  addDeployment(aWorld, kEndpointsOfEach);
  aWorld.m_store->put("op/config", makeConfiguration(1, "service-a", 8, 15000));
  aWorld.startEdges();
  const Endpoint::Options options{ .m_id = "i-a2000",
                                   .m_service = "service-a",
                                   .m_zone = "zone-a",
                                   .m_address = aWorld.address(12, 100),
                                   .m_clockAhead = isStepped ? step : Millis{},
                                   .m_coldFor = kWarmUp };
  const auto start = [&](const Endpoint::Options& aOptions) {
    aWorld.addEndpoint(aOptions);
    aWorld.m_record.line("endpoint " + aOptions.m_id + " starts, its time of day is ahead by " +
                         std::to_string(aOptions.m_clockAhead.count()) + " ms");
  };
  aWorld.at(startAt, [&] { start(options); });
  if (aIsTroubled) {
    aWorld.at(crashAt, [&] {
      aWorld.findEndpoint(options.m_id)->crash();
      aWorld.m_record.line("endpoint " + options.m_id + " crashes");
    });
    aWorld.at(crashAt + crashFor, [&] {
      aWorld.removeEndpoint(options.m_id);
      Endpoint::Options again = options;
      again.m_clockAhead = {};
      start(again);
    });
  }
  aWorld.at(restartAt, [&] { aWorld.restartAsPlanned(*aWorld.m_edges.front()); });
  std::map<std::string, int> outcomes;
  int broken = 0;
  int itsFlows = 0;
  Caller keeper(aWorld, aWorld.address(13, 9), "zone-a");
  for (int index = 0; index < flows; ++index) {
    aWorld.at(openAt + 0.05 * index, [&] {
      keeper.open({ .m_routePort = kRoutePort,
                    .m_requests = 45,
                    .m_pause = Millis{ 400 },
                    .m_deadline = Millis{ 6000 } },
                  [&](const FlowResult& aResult) {
                    aWorld.m_record.line("kept flow opened at " + std::to_string(aResult.m_sentAt) +
                                         ": " + aResult.m_outcome + ", last answer of " +
                                         aResult.m_endpoint);
                    itsFlows += aResult.m_endpoint == options.m_id ? 1 : 0;
                    broken += aResult.m_outcome == "reset" && aResult.m_wasResetBySystem ? 1 : 0;
                  });
    });
  }
  const SteadyTraffic traffic(aWorld, 10.0, endAt - 3, 1.0 / 30, [&](const FlowResult& aResult) {
    ++outcomes[aResult.m_outcome];
  });
  aWorld.run(endAt);
  for (const auto& [outcome, count] : outcomes) {
    aWorld.m_record.line("other flows " + outcome + ": " + std::to_string(count));
  }
  aWorld.m_record.line(
    "kept flows at the endpoint: " + std::to_string(itsFlows) +
    ", kept flows that the system reset while their endpoint lives: " + std::to_string(broken));
  if (aWorld.hasProcessEnded() || itsFlows == 0) {
    return 2;
  }
  return broken > 0 ? 1 : 0;
}

} // namespace

int
runScenario(const std::string& aCase, World& aWorld, bool aIsTroubled)
{
  if (aCase == "cold-restart") {
    return runColdRestart(aWorld, aIsTroubled);
  }
  if (aCase == "stepped-clock") {
    return runSteppedClock(aWorld, aIsTroubled);
  }
  if (aCase == "restart-token") {
    return runRestartToken(aWorld, aIsTroubled);
  }
  std::cerr << "unknown case " << aCase << "\n";
  return 2;
}

} // namespace review
