// Tests of overload control over several hosts that exchange load in memory: what all hosts know of
// the load, what happens when parts of the fleet are lost, and the traffic that it takes.
#include "edge/FleetFixture.h"

#include <nlohmann/json.hpp>

using namespace tamarack;
using namespace tamarack::edge;

namespace {

/// Limit of the control traffic of one host in bytes per second, sent and received.
constexpr uint64_t kMaxBytesPerSecond = 13'000;
/// New flows per second, host and route. With kWorkPerRequest and five hosts per data centre, the
/// first number needs half of the slots of all upstreams, and the second twice their number.
constexpr uint32_t kModerateFlows = 10;
constexpr uint32_t kExcessiveFlows = 40;

Mechanisms
withoutPriorityAdmission()
{
  Mechanisms mechanisms;
  REQUIRE(mechanisms.disable("priority-admission"));
  return mechanisms;
}

/// Returns a fleet that has elected its readers and serves moderate load.
std::unique_ptr<Fleet>
runningFleet(FleetOptions aOptions = {})
{
  auto fleet = std::make_unique<Fleet>(aOptions);
  fleet->run(Millis{ 3000 });
  fleet->m_flowsPerSecond = kModerateFlows;
  fleet->run(Millis{ 10'000 });
  return fleet;
}

std::unique_ptr<Fleet>
overloadedFleet()
{
  auto fleet = runningFleet();
  fleet->m_flowsPerSecond = kExcessiveFlows;
  fleet->run(Millis{ 6000 });
  return fleet;
}

/// Stops the readers of data centres. The records of their followers are too old by then for one of
/// them to become the reader.
void
loseReaderAndStore(Fleet& aFleet, const std::vector<uint32_t>& aDataCentres)
{
  aFleet.m_isStoreUp = false;
  aFleet.run(Millis{ 700 });
  for (const uint32_t dataCentre : aDataCentres) {
    aFleet.m_stopped.insert(aFleet.readerOf(dataCentre));
  }
}

bool
isOverloaded(const Host& aHost)
{
  const auto services = aHost.overloadControl().controller().services();
  return !services.empty() && services.front().m_isOverloaded;
}

DiagnosticInputs
diagnosticInputs(const Host& aHost, TimePoint aNow)
{
  static const ProcessCounters kCounters;
  static const logging::LatencyHistogram kNone;
  return { aHost, kCounters, kNone, kNone, aNow };
}

} // namespace

TEST_CASE("all hosts of three data centres know the load of the whole fleet")
{
  const auto fleet = runningFleet();
  const double expected = measuredFlows(15 * 2 * kModerateFlows);
  fleet->forEachHost([&](HostId, const Host& aHost) {
    CHECK(knownNewFlowsPerSecond(aHost) == doctest::Approx(expected).epsilon(0.02));
  });
}

TEST_CASE("a doubled load is known to all hosts within 2 s; later decisions would come too late")
{
  const auto fleet = runningFleet();
  fleet->m_flowsPerSecond = 2 * kModerateFlows;
  // The averages need 1.2 s to get within a tenth of the new load.
  fleet->run(Millis{ 2000 });
  const double expected = measuredFlows(15 * 2 * 2 * kModerateFlows);
  fleet->forEachHost(
    [&](HostId, const Host& aHost) { CHECK(knownNewFlowsPerSecond(aHost) > 0.8 * expected); });
}

TEST_CASE("while requests exceed the slots, flows of the lower priority are refused")
{
  auto fleet = overloadedFleet();
  fleet->m_forwarded.clear();
  fleet->m_rejected.clear();
  fleet->run(Millis{ 5000 });
  const auto share = [&](uint16_t aPort) {
    const auto forwarded = static_cast<double>(fleet->m_forwarded[aPort]);
    return forwarded / (forwarded + static_cast<double>(fleet->m_rejected[aPort]));
  };
  CHECK(share(kHighPort) > 0.85);
  CHECK(share(kLowPort) < 0.2);
}

TEST_CASE("nothing is refused while the slots suffice")
{
  const auto fleet = runningFleet();
  CHECK(fleet->m_rejected.empty());
}

TEST_CASE("the start and the end of overload are logged once on each host, with their inputs")
{
  auto fleet = overloadedFleet();
  fleet->m_flowsPerSecond = kModerateFlows;
  fleet->run(Millis{ 8000 });
  fleet->forEachHost([&](HostId aHost, const Host&) {
    CHECK(fleet->countLogged(aHost, EventId::OverloadStarted) == 1);
    CHECK(fleet->countLogged(aHost, EventId::OverloadEnded) == 1);
  });
  const std::string fields = fleet->lastLogged(Fleet::hostId(0, 0), EventId::OverloadStarted);
  INFO(fields);
  for (const std::string_view field : { "service=reports slots=120 busy_requests=",
                                        " new_flows_per_s=",
                                        " further_requests_per_s=",
                                        " admitted_shares=high:",
                                        ",low:0.",
                                        " load_age_ms=",
                                        " hosts=5" }) {
    CHECK(fields.find(field) != std::string::npos);
  }
}

TEST_CASE("when the reader and the store are lost, the load is unknown after 2.5 s")
{
  auto fleet = overloadedFleet();
  loseReaderAndStore(*fleet, { 0 });
  fleet->run(Millis{ 1900 });
  const auto countKnown = [&] {
    int known = 0;
    fleet->forEachHost([&](HostId aHost, const Host& aState) {
      const bool isKnown = aState.overloadControl().knowledge(fleet->m_now).m_isKnown;
      known += Fleet::dataCentreOf(aHost) == 0 && isKnown ? 1 : 0;
    });
    return known;
  };
  CHECK(countKnown() == 4);
  fleet->run(Millis{ 800 });
  CHECK(countKnown() == 0);
}

TEST_CASE("hosts that do not know the load admit every flow")
{
  auto fleet = overloadedFleet();
  loseReaderAndStore(*fleet, { 0, 1, 2 });
  fleet->run(Millis{ 2700 });
  fleet->m_rejected.clear();
  fleet->run(Millis{ 2000 });
  CHECK(fleet->m_rejected.empty());
}

TEST_CASE("when only the reader is lost, its successor adds up the load again")
{
  auto fleet = runningFleet();
  fleet->m_stopped.insert(fleet->readerOf(0));
  fleet->run(Millis{ 6000 });
  const double expected = measuredFlows(14 * 2 * kModerateFlows);
  fleet->forEachHost([&](HostId, const Host& aHost) {
    CHECK(knownNewFlowsPerSecond(aHost) == doctest::Approx(expected).epsilon(0.02));
  });
}

TEST_CASE("a data centre that is cut off drops out of the load of the others within 3.5 s")
{
  auto fleet = runningFleet();
  fleet->m_cutOffDataCentre = 2;
  fleet->run(Millis{ 3500 });
  fleet->forEachHost([&](HostId aHost, const Host& aState) {
    const uint32_t hosts = Fleet::dataCentreOf(aHost) == 2 ? 5 : 10;
    CHECK(knownNewFlowsPerSecond(aState) ==
          doctest::Approx(measuredFlows(hosts * 2 * kModerateFlows)).epsilon(0.02));
  });
}

TEST_CASE("a data centre that was cut off is part of the load again")
{
  auto fleet = runningFleet();
  fleet->m_cutOffDataCentre = 2;
  fleet->run(Millis{ 20'000 });
  fleet->m_cutOffDataCentre.reset();
  fleet->run(Millis{ 6000 });
  const double expected = measuredFlows(15 * 2 * kModerateFlows);
  fleet->forEachHost([&](HostId, const Host& aHost) {
    CHECK(knownNewFlowsPerSecond(aHost) == doctest::Approx(expected).epsilon(0.02));
  });
}

TEST_CASE("a status that waited during a pause of the process does not make the load known")
{
  auto fleet = overloadedFleet();
  const HostId reader = fleet->readerOf(0);
  const HostId self = Fleet::hostId(0, reader == Fleet::hostId(0, 1) ? 2 : 1);
  Host& host = fleet->host(self);
  const auto waiting =
    dissemination::decodeStatus(fleet->host(reader).makePeriodicStatus(fleet->m_now));
  REQUIRE(waiting.ok());
  REQUIRE(waiting->m_load);
  const TimePoint resumedAt = fleet->m_now + Millis{ 4000 };
  host.onActivity(resumedAt);
  host.onStatus(resumedAt, *waiting);
  host.tick(resumedAt);
  CHECK_FALSE(host.overloadControl().knowledge(resumedAt).m_isKnown);
  CHECK_FALSE(isOverloaded(host));
}

TEST_CASE("load that only a reader may send is ignored from other hosts")
{
  auto fleet = runningFleet();
  Host& host = fleet->host(Fleet::hostId(0, 1));
  const double before = knownNewFlowsPerSecond(host);
  dissemination::StatusMessage status{ .m_sender = HostId{ 77 },
                                       .m_dataCentre = "dc-0",
                                       .m_load = dissemination::StatusLoad{ .m_isSum = true } };
  host.onStatus(fleet->m_now, status);
  host.tick(fleet->m_now);
  CHECK(knownNewFlowsPerSecond(host) == doctest::Approx(before).epsilon(0.02));
}

TEST_CASE("statuses are as before while no service has routes that differ in priority")
{
  const auto fleet = runningFleet({ .m_highPriority = 1, .m_lowPriority = 1 });
  fleet->forEachHost([&](HostId, Host& aHost) {
    CHECK_FALSE(aHost.overloadControl().isActive());
    CHECK_FALSE(aHost.overloadControl().makeStatusLoad(fleet->m_now, true));
  });
}

TEST_CASE("statuses are byte for byte as before while overload control does not apply")
{
  const auto bytesOf = [](FleetOptions aOptions) {
    aOptions.m_dataCentres = 1;
    Fleet fleet(aOptions);
    fleet.m_flowsPerSecond = kModerateFlows;
    fleet.run(Millis{ 5000 });
    Host& host = fleet.host(fleet.readerOf(0));
    (void)host.peers().isAdvertisementDue();
    const auto expected = dissemination::encodeStatus(
      host.peers().makeStatus(fleet.m_now, host.registry().appliedRevision()));
    while (host.peers().isAdvertisementDue()) {
    }
    return std::pair(host.makePeriodicStatus(fleet.m_now), expected);
  };
  const auto [samePriority, samePriorityExpected] =
    bytesOf({ .m_highPriority = 2, .m_lowPriority = 2 });
  CHECK(samePriority == samePriorityExpected);
  const auto [disabled, disabledExpected] = bytesOf({ .m_mechanisms = withoutPriorityAdmission() });
  CHECK(disabled == disabledExpected);
  const auto [active, activeExpected] = bytesOf({});
  CHECK(active.size() > activeExpected.size());
}

TEST_CASE("load is no longer sent once the routes of a service have the same priority")
{
  auto fleet = overloadedFleet();
  const HostId self = fleet->readerOf(0);
  Host& host = fleet->host(self);
  registry::StoreUpdate update = fleetRecords({ .m_highPriority = 1, .m_lowPriority = 1 });
  update.m_revision.m_number = 20;
  for (registry::Change& change : *update.m_configuration) {
    change.m_revision.m_number = 20;
  }
  host.onStoreAnswer(fleet->m_now, update, false, fleet->m_now);
  host.tick(fleet->m_now);
  CHECK_FALSE(host.overloadControl().isActive());
  const auto status = dissemination::decodeStatus(host.makePeriodicStatus(fleet->m_now));
  REQUIRE(status.ok());
  CHECK_FALSE(status->m_load);
  const auto lines = host.takeLogLines(fleet->m_now);
  CHECK(std::ranges::count(lines, EventId::OverloadEnded, &LogLine::m_event) == 1);
}

TEST_CASE("with 30 hosts per data centre, the load exchange stays within the traffic limit")
{
  FleetOptions options{ .m_hostsPerDataCentre = 30 };
  // The hosts of all data centres cause 360 busy requests per service.
  SUBCASE("one service, half of its slots are busy")
  {
    options.m_slotsPerUpstream = 24;
  }
  SUBCASE("one service, overloaded")
  {
    options.m_slotsPerUpstream = 6;
  }
  SUBCASE("two services, half of their slots are busy")
  {
    options.m_services = 2;
    options.m_slotsPerUpstream = 24;
  }
  SUBCASE("two services, overloaded")
  {
    options.m_services = 2;
    options.m_slotsPerUpstream = 6;
  }
  Fleet fleet(options);
  fleet.run(Millis{ 5000 });
  fleet.m_flowsPerSecond = kModerateFlows;
  fleet.run(Millis{ 10'000 });
  fleet.m_bytes.clear();
  fleet.run(Millis{ 10'000 });
  uint64_t largest = 0;
  for (const auto& [host, bytes] : fleet.m_bytes) {
    largest = std::max(largest, bytes);
  }
  MESSAGE("bytes per second of the busiest host: " << largest / 10);
  CHECK(largest <= 10 * kMaxBytesPerSecond);
}

TEST_CASE("metrics show the slots, the busy requests and the admitted shares of a service")
{
  auto fleet = overloadedFleet();
  const std::string metrics =
    writeMetrics(diagnosticInputs(fleet->host(fleet->readerOf(0)), fleet->m_now));
  CHECK(metrics.find("tamarack_overload_services 1.0\n") != std::string::npos);
  CHECK(metrics.find("tamarack_overload_slots{service=\"reports\"} 120.0\n") != std::string::npos);
  CHECK(metrics.find("tamarack_overload_busy_requests{service=\"reports\"} ") != std::string::npos);
  CHECK(metrics.find("tamarack_overload_admitted_share{service=\"reports\",route=\"low\"} 0.") !=
        std::string::npos);
}

TEST_CASE("a dump shows the load that decisions are based on")
{
  auto fleet = overloadedFleet();
  const auto dump = nlohmann::json::parse(
    writeDump(diagnosticInputs(fleet->host(fleet->readerOf(0)), fleet->m_now)));
  const auto& overload = dump.at("overload");
  CHECK(overload.at("load_known") == true);
  CHECK(overload.at("hosts") == 5);
  CHECK(overload.at("remote_data_centres") == 2);
  const auto& service = overload.at("services").at(0);
  CHECK(service.at("service") == "reports");
  CHECK(service.at("overloaded") == true);
  CHECK(service.at("routes").at(0).at("route") == "high");
  CHECK(service.at("routes").at(1).at("admitted_share") < 0.5);
}

TEST_CASE("the explanation of a new flow shows the terms of its route and its admitted share")
{
  auto fleet = overloadedFleet();
  const auto text =
    writeExplanation(diagnosticInputs(fleet->host(fleet->readerOf(0)), fleet->m_now),
                     "100.64.0.1:1000,198.18.0.1:444");
  REQUIRE(text.ok());
  const auto terms = nlohmann::json::parse(*text).at("terms");
  CHECK(terms.at("priority") == 2);
  CHECK(terms.at("slo_ms") == 300);
  CHECK(terms.at("timeout_ms") == 900);
  CHECK(terms.at("admitted_shares").at("reports") < 0.5);
}
