// What happens in each scenario and when, and the check of its rule.
#include "Scenarios.h"

#include <algorithm>
#include <iostream>

namespace review {

namespace {

constexpr uint16_t kMovedRoute = 443;
/// The bounds of a small deployment: converge_ms, and contact_ms for hosts in touch.
constexpr double kConvergeS = 3.0;

/// A configuration whose route kMovedRoute goes to `aService`, with `aIdleRoutes` routes without
/// traffic.
std::string
makeConfiguration(int aVersion, const std::string& aService, int aIdleRoutes, int aIdleTimeoutMs)
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
  add("r-moved", kRouteAddress, kMovedRoute, aService.c_str());
  for (int index = 0; index < aIdleRoutes; ++index) {
    add("r-idle" + std::to_string(index),
        kRouteAddress + 1 + static_cast<uint32_t>(index / 1000),
        1000 + index % 1000,
        "service-b");
  }
  const auto service = [](const char* aName) {
    return Json{ { "name", aName },      { "health_path", "/health" },
                 { "max_conns", 2000 },  { "proto", "h1" },
                 { "tls", false },       { "warmup_s", 2.0 },
                 { "warmup_per_s", 0.0 } };
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

/// Configurations in quick succession; the last change moves a route to another service.
int
runConfigurationStorm(World& aWorld, bool aIsTroubled)
{
  constexpr int idleRoutes = 4500;
  constexpr double stormAt = 14.0;
  constexpr double stormGap = 0.06;
  constexpr int stormChanges = 25;
  constexpr double moveAt = 16.5;
  constexpr double endAt = 45.0;
  addDeployment(aWorld, 3);
  int version = 1;
  const auto publish = [&](const std::string& aService) {
    const std::string text = makeConfiguration(version, aService, idleRoutes, 15000 + 10 * version);
    aWorld.m_store->put("op/config", text);
    aWorld.m_record.line("configuration " + std::to_string(version) + " with the route to " +
                         aService + " acknowledged, " + std::to_string(text.size()) + " bytes");
    version += 2;
  };
  publish("service-a");
  aWorld.startEdges();
  if (aIsTroubled) {
    for (int change = 0; change < stormChanges; ++change) {
      aWorld.at(stormAt + stormGap * change, [&] { publish("service-a"); });
    }
  }
  double movedAt = 0;
  aWorld.at(moveAt, [&] {
    publish("service-b");
    movedAt = aWorld.m_record.seconds();
  });
  std::vector<std::unique_ptr<Caller>> callers;
  for (uint32_t index = 0; index < 3; ++index) {
    callers.push_back(
      std::make_unique<Caller>(aWorld,
                               aWorld.address(13, index + 1),
                               std::string("zone-") + static_cast<char>('a' + index)));
  }
  std::map<std::string, int> outcomes;
  int late = 0;
  double lastLate = 0;
  const auto onDone = [&](const FlowResult& aResult) {
    const std::string by = aResult.m_endpoint.empty() ? "nobody" : aResult.m_endpoint;
    aWorld.m_record.line("flow sent at " + std::to_string(aResult.m_sentAt) + ": " +
                         aResult.m_outcome + " by " + by);
    ++outcomes[aResult.m_outcome];
    if (movedAt > 0 && aResult.m_sentAt > movedAt + kConvergeS && by.starts_with("i-a")) {
      ++late;
      lastLate = std::max(lastLate, aResult.m_sentAt - movedAt);
    }
  };
  std::function<void()> openNext;
  size_t next = 0;
  double nextAt = 10.0;
  openNext = [&] {
    callers[next++ % callers.size()]->open({ .m_routePort = kMovedRoute }, onDone);
    nextAt += 0.05;
    if (nextAt < endAt - 3) {
      aWorld.at(nextAt, openNext);
    }
  };
  aWorld.at(nextAt, openNext);
  aWorld.run(endAt);
  for (const auto& [outcome, count] : outcomes) {
    aWorld.m_record.line("flows " + outcome + ": " + std::to_string(count));
  }
  aWorld.m_record.line(
    "largest answer of the store: " + std::to_string(aWorld.m_store->largestAnswer()) + " bytes");
  aWorld.m_record.line("flows sent more than 3 s after the acknowledgement and run by the old "
                       "service: " +
                       std::to_string(late) + ", the last one after " + std::to_string(lastLate) +
                       " s");
  if (aWorld.hasProcessEnded() || outcomes["served"] == 0 || movedAt == 0) {
    return 2;
  }
  return late > 0 ? 1 : 0;
}

} // namespace

int
runScenario(const std::string& aCase, World& aWorld, bool aIsTroubled)
{
  if (aCase == "configuration-storm") {
    return runConfigurationStorm(aWorld, aIsTroubled);
  }
  std::cerr << "unknown case " << aCase << "\n";
  return 2;
}

} // namespace review
