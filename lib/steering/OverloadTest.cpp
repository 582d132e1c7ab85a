// Tests overload control on the packet path: which services it applies to, which flows it refuses,
// what it measures, and the resets of idle flows.
#include "steering/SteeringFixture.h"

using namespace tamarack;
using namespace tamarack::steering;
using overload::Admission;

namespace {

const ServiceId kReports = makeServiceId("reports");
const overload::RouteId kHighRoute = makeRouteId("safe");
const overload::RouteId kLowRoute = makeRouteId("unsafe");

Mechanisms
withoutPriorityAdmission()
{
  Mechanisms mechanisms;
  REQUIRE(mechanisms.disable("priority-admission"));
  return mechanisms;
}

/// Returns the load of the fleet on the service "reports", of which each route causes half.
overload::LoadReport
fleetLoad(double aHighFlowsPerSecond, double aLowFlowsPerSecond, double aBusyRequests)
{
  const auto routeLoad = [&](overload::RouteId aRoute, double aFlowsPerSecond) {
    return overload::RouteLoad{ .m_route = aRoute,
                                .m_newFlowsPerSecond = aFlowsPerSecond,
                                .m_responsesPerSecond = 20,
                                .m_busyRequests = aBusyRequests };
  };
  overload::ServiceLoad load{ .m_service = kReports,
                              .m_routes = { routeLoad(kHighRoute, aHighFlowsPerSecond),
                                            routeLoad(kLowRoute, aLowFlowsPerSecond) } };
  std::ranges::sort(load.m_routes, {}, &overload::RouteLoad::m_route);
  return { { load } };
}

/// A host with overload control. The route "safe" has priority 1, "unsafe" has priority 2, and both
/// use the service "reports" with two upstreams of four slots.
class OverloadFixture : public Fixture
{
public:
  explicit OverloadFixture(Mechanisms aMechanisms = {}, Millis aLatencyObjective = {})
    : Fixture(aMechanisms)
  {
    setRoute("safe", kIdempotentPort, { { "reports", 1 } }, 1);
    setRoute("unsafe", kNonIdempotentPort, { { "reports", 1 } }, 2, aLatencyObjective);
    addUpstream(upstreamRecord(1));
    addUpstream(upstreamRecord(2));
    m_steering.setOverloadControl({ .m_meter = &m_meter, .m_controller = &m_controller });
  }

  void setRoute(const std::string& aName,
                uint16_t aPort,
                std::vector<registry::WeightedService> aServices,
                uint32_t aPriority,
                Millis aLatencyObjective = {})
  {
    apply({ { RecordKind::Route, aName },
            nextRevision(),
            registry::RouteRecord{ .m_address = kAddress,
                                   .m_port = aPort,
                                   .m_kind = registry::RequestKind::NonIdempotent,
                                   .m_services = std::move(aServices),
                                   .m_priority = aPriority,
                                   .m_latencyObjective = aLatencyObjective } });
  }

  [[nodiscard]] Service& reports() const { return *m_directory.findService("reports"); }

  /// Gives the controller loads of the fleet: first one from which it learns 20 ms of work per
  /// request, then one of which the low route gets the share that `aLowFlowsPerSecond` leaves it.
  void makeOverloaded(double aLowFlowsPerSecond = 30'000)
  {
    const std::vector<overload::ServiceRoom> rooms{
      { .m_service = kReports, .m_slots = 8, .m_routes = reports().m_routes }
    };
    for (int step = 0; step < 10; ++step) {
      m_controller.update(m_now + Millis{ 1000 * step }, fleetLoad(20, 20, 0.4), rooms);
    }
    m_controller.update(m_now + Millis{ 10'000 }, fleetLoad(10, aLowFlowsPerSecond, 10), rooms);
  }

  /// Returns the first port of a caller from `aFirstPort` on whose first SYN on the low route the
  /// controller decides in this way.
  [[nodiscard]] uint16_t portWith(Admission aAdmission, uint16_t aFirstPort = 1000) const
  {
    for (uint16_t port = aFirstPort; port < 60'000; ++port) {
      const uint64_t hash = hashFlow(flow(port, kNonIdempotentPort));
      if (m_controller.decide({ kReports, kLowRoute, hash, 0 }) == aAdmission) {
        return port;
      }
    }
    FAIL("the controller never decides in this way");
    return 0;
  }

  /// Returns the load that the host has measured of a route, or zeros.
  overload::RouteLoad load(overload::RouteId aRoute)
  {
    for (const overload::ServiceLoad& service : m_meter.report(m_now).m_services) {
      for (const overload::RouteLoad& route : service.m_routes) {
        if (service.m_service == kReports && route.m_route == aRoute) {
          return route;
        }
      }
    }
    return {};
  }

  double recentFlows() const
  {
    double flows = 0;
    for (const Upstream* upstream : reports().m_upstreams) {
      flows += upstream->m_recentFlows.value(m_now);
    }
    return flows;
  }

  /// The first upstream drains and leaves, so it has ended.
  void endUpstream(uint64_t aIdentity)
  {
    registry::UpstreamRecord record = upstreamRecord(aIdentity);
    record.m_state = UpstreamState::Draining;
    addUpstream(record);
    removeUpstream(aIdentity);
  }

  /// Opens a flow whose caller has no request pending.
  Token openIdleFlow(uint16_t aCallerPort)
  {
    const Token token = openFlow(aCallerPort);
    m_now += Millis{ 1 };
    completeHandshake(aCallerPort, token);
    return token;
  }

  std::vector<FlowPacket> resets() { return m_steering.resetStalledFlows(m_now); }

  overload::LoadMeter m_meter;
  overload::AdmissionController m_controller;
};

/// A host whose only upstream has the identity 1, with one idle flow from port 1.
class IdleFlowFixture : public OverloadFixture
{
public:
  explicit IdleFlowFixture(Mechanisms aMechanisms = {})
    : OverloadFixture(aMechanisms)
  {
    endUpstream(2);
    (void)resets();
    m_token = openIdleFlow(1);
  }

  Token m_token;
};

} // namespace

TEST_CASE("a service is not governed while its routes have the same priority")
{
  OverloadFixture fixture;
  fixture.setRoute("unsafe", kNonIdempotentPort, { { "reports", 1 } }, 1);
  CHECK_FALSE(fixture.reports().m_isGoverned);
  CHECK(fixture.m_directory.serviceRooms(fixture.m_now).empty());
}

TEST_CASE("a service is governed while its routes differ in priority")
{
  OverloadFixture fixture;
  CHECK(fixture.reports().m_isGoverned);
  const auto rooms = fixture.m_directory.serviceRooms(fixture.m_now);
  REQUIRE(rooms.size() == 1);
  CHECK(rooms[0].m_service == kReports);
  CHECK(rooms[0].m_routes.size() == 2);
}

TEST_CASE("a service is no longer governed when one of its two routes is removed or moved away")
{
  OverloadFixture fixture;
  fixture.setRoute("unsafe", kNonIdempotentPort, { { "manuals", 1 } }, 2);
  CHECK_FALSE(fixture.reports().m_isGoverned);
  fixture.setRoute("unsafe", kNonIdempotentPort, { { "reports", 1 } }, 2);
  CHECK(fixture.reports().m_isGoverned);
  fixture.apply({ { RecordKind::Route, "unsafe" }, fixture.nextRevision(), std::nullopt });
  CHECK_FALSE(fixture.reports().m_isGoverned);
}

TEST_CASE("a route that another one replaces at the same address no longer counts")
{
  OverloadFixture fixture;
  fixture.setRoute("newer", kNonIdempotentPort, { { "reports", 1 } }, 1);
  CHECK_FALSE(fixture.reports().m_isGoverned);
}

TEST_CASE("a route that uses a service with weight 0 does not count")
{
  OverloadFixture fixture;
  fixture.setRoute("unsafe", kNonIdempotentPort, { { "manuals", 1 }, { "reports", 0 } }, 2);
  CHECK_FALSE(fixture.reports().m_isGoverned);
}

TEST_CASE("without the mechanism, no service is governed")
{
  OverloadFixture fixture(withoutPriorityAdmission());
  CHECK_FALSE(fixture.reports().m_isGoverned);
  CHECK(fixture.m_directory.serviceRooms(fixture.m_now).empty());
}

TEST_CASE("slots of upstreams that get no or few new flows do not count as capacity")
{
  OverloadFixture fixture;
  const auto slots = [&] {
    return fixture.m_directory.serviceRooms(fixture.m_now).front().m_slots;
  };
  CHECK(slots() == 8);
  Upstream& upstream = *fixture.reports().m_upstreams.front();
  SUBCASE("avoided")
  {
    upstream.m_health.onConnectionRefused(fixture.m_now);
    CHECK(slots() == 4);
  }
  SUBCASE("draining")
  {
    upstream.m_record.m_state = UpstreamState::Draining;
    CHECK(slots() == 4);
  }
  SUBCASE("cold, with a limit of new flows")
  {
    upstream.m_coldUntil = fixture.m_now + Millis{ 1000 };
    CHECK(slots() == 4);
  }
  SUBCASE("cold, without a limit of new flows")
  {
    fixture.reports().m_record.m_coldRequestsPerSecond = 0;
    upstream.m_coldUntil = fixture.m_now + Millis{ 1000 };
    CHECK(slots() == 6);
  }
}

TEST_CASE("a flow whose first SYN is refused reaches no upstream, and its caller is told so")
{
  OverloadFixture fixture;
  fixture.makeOverloaded();
  const uint16_t port = fixture.portWith(Admission::Refuse);
  const ForwardingDecision decision = fixture.decide(fixture.synPacket(port, kNonIdempotentPort));
  CHECK(decision.m_action == Action::Reset);
  CHECK(decision.m_error == ErrorKind::LoadShed);
  CHECK(errorRow(decision.m_error).m_response == ErrorResponse::ResetFlowNotStarted);
  CHECK(fixture.recentFlows() == 0);
  CHECK(fixture.m_steering.counters().m_forwarded == 0);
  REQUIRE(fixture.m_steering.events().events().size() == 1);
  CHECK(fixture.m_steering.events().events()[0].m_event == EventId::FlowRefused);
}

TEST_CASE("routes of the highest priority are admitted while the lowest is refused")
{
  OverloadFixture fixture;
  fixture.makeOverloaded();
  for (uint16_t port = 1; port < 100; ++port) {
    CHECK(fixture.decide(fixture.synPacket(port)).m_action == Action::Forward);
  }
}

TEST_CASE("a deferred SYN gets no answer and reaches no upstream")
{
  OverloadFixture fixture({}, Millis{ 2400 });
  fixture.makeOverloaded(600);
  const uint16_t port = fixture.portWith(Admission::Defer);
  const ForwardingDecision decision = fixture.decide(fixture.synPacket(port, kNonIdempotentPort));
  CHECK(decision.m_action == Action::Drop);
  CHECK(decision.m_error == ErrorKind::LoadDeferred);
  CHECK(fixture.recentFlows() == 0);
}

TEST_CASE(
  "the copy of a deferred SYN is not taken for a packet of an earlier flow of the same port")
{
  OverloadFixture fixture({}, Millis{ 2400 });
  fixture.makeOverloaded(600);
  const uint16_t port = fixture.portWith(Admission::Defer);
  const Token former = makeToken(1, 1000);
  fixture.decide(fixture.requestPacket(port, former, 101, 1, kNonIdempotentPort));
  fixture.m_now += Millis{ 60'000 };
  REQUIRE(fixture.decide(fixture.synPacket(port, kNonIdempotentPort)).m_action == Action::Drop);
  fixture.m_now += Millis{ 200 };
  // Upstream 1 no longer accepts flows, so only the state of the earlier flow leads to it.
  fixture.endUpstream(1);
  fixture.m_steering.setOverloadControl({});
  const ForwardingDecision copy = fixture.decide(fixture.synPacket(port, kNonIdempotentPort, 1));
  CHECK(copy.m_action == Action::Forward);
  CHECK(copy.m_token != former);
}

TEST_CASE("a copy of a SYN that the host forwarded is never refused")
{
  // The upstream may have opened the flow, so a reset that claims that nothing has run would be
  // false.
  OverloadFixture fixture;
  const uint16_t ports = 200;
  for (uint16_t port = 1; port <= ports; ++port) {
    REQUIRE(fixture.decide(fixture.synPacket(port, kNonIdempotentPort)).m_action ==
            Action::Forward);
  }
  fixture.makeOverloaded();
  for (const uint32_t copy : { 1U, 2U }) {
    fixture.m_now += Millis{ 200 * copy };
    for (uint16_t port = 1; port <= ports; ++port) {
      CHECK(fixture.decide(fixture.synPacket(port, kNonIdempotentPort, copy)).m_action ==
            Action::Forward);
    }
  }
}

TEST_CASE("a SYN that the network duplicated is not refused when its original was forwarded")
{
  OverloadFixture fixture;
  const uint16_t ports = 100;
  for (uint16_t port = 1; port <= ports; ++port) {
    fixture.decide(fixture.synPacket(port, kNonIdempotentPort));
  }
  fixture.makeOverloaded();
  fixture.m_now += Millis{ 5 };
  for (uint16_t port = 1; port <= ports; ++port) {
    CHECK(fixture.decide(fixture.synPacket(port, kNonIdempotentPort)).m_action == Action::Forward);
  }
}

TEST_CASE("established flows pass while new ones of the same route are refused")
{
  OverloadFixture fixture;
  const Token token = fixture.openFlow(1, kNonIdempotentPort);
  fixture.makeOverloaded();
  const uint16_t port = fixture.portWith(Admission::Refuse);
  REQUIRE(fixture.decide(fixture.synPacket(port, kNonIdempotentPort)).m_action == Action::Reset);
  for (uint32_t request = 0; request < 20; ++request) {
    fixture.m_now += Millis{ 500 };
    const FlowPacket packet =
      fixture.requestPacket(1, token, 101 + 200 * request, 1 + 1000 * request, kNonIdempotentPort);
    CHECK(fixture.decide(packet).m_action == Action::Forward);
  }
}

TEST_CASE("nothing is refused or counted without the mechanism, however high the load")
{
  OverloadFixture governed;
  governed.makeOverloaded();
  OverloadFixture fixture(withoutPriorityAdmission());
  fixture.m_steering.setOverloadControl(
    { .m_meter = &fixture.m_meter, .m_controller = &governed.m_controller });
  const uint16_t port = governed.portWith(Admission::Refuse);
  CHECK(fixture.decide(fixture.synPacket(port, kNonIdempotentPort)).m_action == Action::Forward);
  CHECK(fixture.m_meter.report(fixture.m_now).m_services.empty());
}

TEST_CASE("nothing is counted for a service whose routes have the same priority")
{
  OverloadFixture fixture;
  fixture.setRoute("unsafe", kNonIdempotentPort, { { "reports", 1 } }, 1);
  const Token token = fixture.openIdleFlow(1);
  fixture.decide(fixture.requestPacket(1, token));
  fixture.m_now += Millis{ 50 };
  fixture.acknowledgeResponse(1, token);
  CHECK(fixture.m_meter.report(fixture.m_now).m_services.empty());
}

TEST_CASE("packets are forwarded as before when neither meter nor controller is set")
{
  OverloadFixture fixture;
  fixture.makeOverloaded();
  fixture.m_steering.setOverloadControl({});
  const uint16_t port = fixture.portWith(Admission::Refuse);
  CHECK(fixture.decide(fixture.synPacket(port, kNonIdempotentPort)).m_action == Action::Forward);
}

TEST_CASE("a new flow is counted at its first SYN only, also when it is refused")
{
  OverloadFixture fixture;
  fixture.makeOverloaded();
  const uint16_t port = fixture.portWith(Admission::Refuse);
  fixture.decide(fixture.synPacket(port, kNonIdempotentPort));
  const double afterFirst = fixture.load(kLowRoute).m_newFlowsPerSecond;
  CHECK(afterFirst > 0);
  fixture.decide(fixture.synPacket(port, kNonIdempotentPort, 1));
  CHECK(fixture.load(kLowRoute).m_newFlowsPerSecond == doctest::Approx(afterFirst));
}

TEST_CASE("the load of a weighted route counts for the service that gets the flow")
{
  OverloadFixture fixture;
  fixture.setRoute("safe", kIdempotentPort, { { "reports", 1 }, { "manuals", 1 } }, 1);
  fixture.setRoute("third", 9090, { { "manuals", 1 } }, 2);
  registry::UpstreamRecord record = Fixture::upstreamRecord(3);
  record.m_service = "manuals";
  fixture.addUpstream(record);
  const ServiceId manuals = makeServiceId("manuals");
  for (uint16_t port = 1; port < 20; ++port) {
    const Token token = fixture.openFlow(port);
    const auto services = fixture.m_meter.report(fixture.m_now).m_services;
    REQUIRE(services.size() == 1);
    CHECK(services[0].m_service == fixture.upstream(token).m_service->m_id);
    CHECK((services[0].m_service == kReports || services[0].m_service == manuals));
    // The averages decay until the next flow.
    fixture.m_now += Millis{ 60'000 };
  }
}

TEST_CASE("the first request of a flow does not count as a further one")
{
  OverloadFixture fixture;
  const Token token = fixture.openIdleFlow(1);
  fixture.decide(fixture.requestPacket(1, token));
  CHECK(fixture.load(kHighRoute).m_furtherRequestsPerSecond == 0);
  fixture.m_now += Millis{ 50 };
  fixture.decide(fixture.requestPacket(1, token, 301, 1001));
  CHECK(fixture.load(kHighRoute).m_furtherRequestsPerSecond > 0);
}

TEST_CASE("a request of a flow that another host opened counts as a further one")
{
  OverloadFixture fixture;
  fixture.decide(fixture.requestPacket(1, makeToken(1, 1000)));
  CHECK(fixture.load(kHighRoute).m_furtherRequestsPerSecond > 0);
}

TEST_CASE("a retransmitted request is counted once")
{
  OverloadFixture fixture;
  fixture.decide(fixture.requestPacket(1, makeToken(1, 1000)));
  const double afterFirst = fixture.load(kHighRoute).m_furtherRequestsPerSecond;
  fixture.decide(fixture.requestPacket(1, makeToken(1, 1000)));
  CHECK(fixture.load(kHighRoute).m_furtherRequestsPerSecond == doctest::Approx(afterFirst));
}

TEST_CASE("the work of a response does not include the round trip of the handshake")
{
  // Without this, requests to remote data centres seem to need more work than they do.
  OverloadFixture fixture;
  const Token token = fixture.openFlow(1);
  fixture.m_now += Millis{ 40 };
  fixture.completeHandshake(1, token);
  fixture.decide(fixture.requestPacket(1, token));
  fixture.m_now += Millis{ 60 };
  fixture.acknowledgeResponse(1, token);
  const overload::RouteLoad load = fixture.load(kHighRoute);
  CHECK(load.m_busyRequests / load.m_responsesPerSecond == doctest::Approx(0.020));
}

TEST_CASE("a response that is faster than the handshake counts as no work, not as negative work")
{
  OverloadFixture fixture;
  const Token token = fixture.openFlow(1);
  fixture.m_now += Millis{ 40 };
  fixture.completeHandshake(1, token);
  fixture.decide(fixture.requestPacket(1, token));
  fixture.m_now += Millis{ 30 };
  fixture.acknowledgeResponse(1, token);
  CHECK(fixture.load(kHighRoute).m_busyRequests == 0);
  CHECK(fixture.load(kHighRoute).m_responsesPerSecond > 0);
}

TEST_CASE("a handshake with a retransmitted SYN is no sample of the round trip")
{
  // The answered SYN is unknown; a time from the wrong one would hide work or invent it.
  OverloadFixture fixture;
  fixture.openFlow(1);
  fixture.m_now += Millis{ 200 };
  const Token token = fixture.decide(fixture.synPacket(1, kIdempotentPort, 1)).m_token;
  fixture.m_now += Millis{ 40 };
  fixture.completeHandshake(1, token);
  fixture.decide(fixture.requestPacket(1, token));
  fixture.m_now += Millis{ 60 };
  fixture.acknowledgeResponse(1, token);
  const overload::RouteLoad load = fixture.load(kHighRoute);
  CHECK(load.m_busyRequests / load.m_responsesPerSecond == doctest::Approx(0.060));
}

TEST_CASE("an idle flow of an upstream that has ended is reset once, with its acknowledgement")
{
  IdleFlowFixture fixture;
  fixture.decide(fixture.requestPacket(1, fixture.m_token));
  fixture.acknowledgeResponse(1, fixture.m_token);
  CHECK(fixture.resets().empty());
  fixture.endUpstream(1);
  const auto resets = fixture.resets();
  REQUIRE(resets.size() == 1);
  CHECK(resets[0].m_flow == Fixture::flow(1, kIdempotentPort));
  CHECK(resets[0].m_acknowledged == 1001);
  CHECK(fixture.resets().empty());
}

TEST_CASE("a late packet of a reset idle flow does not cause a second reset")
{
  IdleFlowFixture fixture;
  fixture.endUpstream(1);
  REQUIRE(fixture.resets().size() == 1);
  fixture.completeHandshake(1, fixture.m_token);
  CHECK(fixture.resets().empty());
  // Another upstream ends, and the table is searched again.
  fixture.addUpstream(Fixture::upstreamRecord(3));
  fixture.endUpstream(3);
  CHECK(fixture.resets().empty());
}

TEST_CASE("idle flows of an upstream that is missing are not reset, since it may be alive")
{
  IdleFlowFixture fixture;
  fixture.removeUpstream(1);
  REQUIRE(fixture.upstream(fixture.m_token).m_registration == RegistrationState::Missing);
  CHECK(fixture.resets().empty());
}

TEST_CASE("idle flows of an upstream whose entry lapsed are not reset, since it may be alive")
{
  IdleFlowFixture fixture;
  fixture.removeUpstream(1, true);
  REQUIRE(fixture.upstream(fixture.m_token).m_registration == RegistrationState::Lapsed);
  CHECK(fixture.resets().empty());
}

TEST_CASE("idle flows of an upstream that does not respond are not reset, since it may be alive")
{
  IdleFlowFixture fixture;
  for (const uint32_t host : { 6, 7, 8 }) {
    fixture.upstream(fixture.m_token).m_health.onPeerReport(fixture.m_now, HostId{ host });
  }
  fixture.m_now += kMinFailureSpan;
  REQUIRE(fixture.upstream(fixture.m_token).m_health.isFailed(fixture.m_now));
  CHECK(fixture.resets().empty());
}

TEST_CASE("a flow with a pending request is reset once when its upstream has ended")
{
  IdleFlowFixture fixture;
  fixture.decide(fixture.requestPacket(1, fixture.m_token));
  fixture.endUpstream(1);
  CHECK(fixture.resets().size() == 1);
  CHECK(fixture.resets().empty());
}

TEST_CASE("a flow that its caller has closed is not reset")
{
  IdleFlowFixture fixture;
  FlowPacket packet = fixture.requestPacket(1, fixture.m_token, 101, 2);
  packet.m_length = 0;
  packet.m_isFinOrRst = true;
  fixture.decide(packet);
  fixture.endUpstream(1);
  CHECK(fixture.resets().empty());
}

TEST_CASE("a flow whose handshake is under way is not reset as idle")
{
  IdleFlowFixture fixture;
  fixture.openFlow(2);
  fixture.endUpstream(1);
  const auto resets = fixture.resets();
  REQUIRE(resets.size() == 1);
  CHECK(resets[0].m_flow.m_sourcePort == 1);
}

TEST_CASE("idle flows of a service that is not governed are not reset")
{
  IdleFlowFixture fixture;
  fixture.setRoute("unsafe", kNonIdempotentPort, { { "reports", 1 } }, 1);
  fixture.endUpstream(1);
  CHECK(fixture.resets().empty());
}

TEST_CASE("idle flows are not reset without the mechanism")
{
  IdleFlowFixture fixture(withoutPriorityAdmission());
  fixture.endUpstream(1);
  CHECK(fixture.resets().empty());
}

TEST_CASE("more idle flows than the limit per tick are reset at the next ticks, each once")
{
  IdleFlowFixture fixture;
  const size_t flows = 2 * kMaxIdleResetsPerTick + 10;
  for (uint16_t port = 2; port <= flows; ++port) {
    fixture.openIdleFlow(port);
  }
  fixture.endUpstream(1);
  std::vector<uint16_t> ports;
  for (const size_t expected : { kMaxIdleResetsPerTick, kMaxIdleResetsPerTick, size_t{ 10 } }) {
    const auto resets = fixture.resets();
    CHECK(resets.size() == expected);
    for (const FlowPacket& packet : resets) {
      ports.push_back(packet.m_flow.m_sourcePort);
    }
  }
  CHECK(fixture.resets().empty());
  std::ranges::sort(ports);
  CHECK(std::ranges::adjacent_find(ports) == ports.end());
}

TEST_CASE("idle flows of an upstream that ends while a search is under way are reset, too")
{
  IdleFlowFixture fixture;
  const size_t flows = kMaxIdleResetsPerTick + 10;
  for (uint16_t port = 2; port <= flows; ++port) {
    fixture.openIdleFlow(port);
  }
  fixture.addUpstream(Fixture::upstreamRecord(3));
  fixture.endUpstream(1);
  REQUIRE(fixture.resets().size() == kMaxIdleResetsPerTick);
  const auto first = static_cast<uint16_t>(flows + 1);
  for (uint16_t port = first; port < first + 20; ++port) {
    fixture.openIdleFlow(port);
  }
  fixture.endUpstream(3);
  size_t resets = 0;
  for (int tick = 0; tick < 3; ++tick) {
    resets += fixture.resets().size();
  }
  CHECK(resets == 30);
}
