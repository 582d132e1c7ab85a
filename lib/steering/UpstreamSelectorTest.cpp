// Tests which upstream a new flow is assigned under different loads and failures.
#include "steering/SteeringFixture.h"

#include <map>
#include <random>

using namespace tamarack;
using namespace tamarack::steering;

TEST_CASE("the nearest upstreams are not overloaded when all callers reconnect through one host")
{
  // After an outage, 300 callers open their flows within a second. The four near upstreams can hold
  // 20 flows each.
  Fixture fixture;
  for (uint64_t identity = 1; identity <= 4; ++identity) {
    fixture.addUpstream(Fixture::upstreamRecord(identity));
  }
  for (uint64_t identity = 11; identity <= 20; ++identity) {
    fixture.addUpstream(Fixture::upstreamRecord(identity, "far"));
  }
  fixture.advance(Millis{ 100 });
  std::map<uint32_t, int> assigned;
  for (uint16_t flow = 0; flow < 280; ++flow) {
    ++assigned[fixture.openFlow(flow).m_value];
  }
  for (const auto& [token, flows] : assigned) {
    CHECK(flows <= 26);
  }
}

TEST_CASE(
  "a data centre that loses half of its upstreams sends half of its flows to other data centres")
{
  Fixture fixture;
  for (uint64_t identity = 1; identity <= 4; ++identity) {
    fixture.addUpstream(Fixture::upstreamRecord(identity));
    fixture.addUpstream(Fixture::upstreamRecord(identity + 10, "far"));
  }
  fixture.advance(Millis{ 100 });
  const auto localShare = [&fixture] {
    int local = 0;
    for (uint16_t flow = 0; flow < 200; ++flow) {
      fixture.advance(Millis{ 15 });
      const Token token = fixture.openFlow(flow);
      fixture.completeHandshake(flow, token);
      local += fixture.upstream(token).isLocal() ? 1 : 0;
    }
    return local;
  };
  CHECK(localShare() == 200);
  fixture.removeUpstream(1);
  fixture.removeUpstream(2);
  const int share = localShare();
  CHECK(share > 80);
  CHECK(share < 120);
}

TEST_CASE("a data centre out of service gets no new flows, and its upstreams return as cold")
{
  Fixture fixture;
  fixture.addUpstream(Fixture::upstreamRecord(1));
  fixture.addUpstream(Fixture::upstreamRecord(2, "far"));
  const Token near = fixture.openFlow(1);
  fixture.apply({ { RecordKind::EvacuatedDataCentre, "near" },
                  { .m_number = 50 },
                  registry::EvacuatedDataCentreRecord{} });
  const Token far = fixture.openFlow(2);
  CHECK(far != near);
  CHECK(fixture.decide(fixture.requestPacket(1, near)).m_action == Action::Forward);
  fixture.apply({ { RecordKind::EvacuatedDataCentre, "near" }, { .m_number = 51 }, std::nullopt });
  CHECK(fixture.openFlow(3) == far);
  fixture.advance(Millis{ 2000 } + kColdReportDelay);
  CHECK(fixture.openFlow(4) == near);
}

TEST_CASE("if all upstreams are cold, only the owner assigns flows, within its share of the limit")
{
  Fixture fixture;
  registry::UpstreamRecord record = Fixture::upstreamRecord(1);
  record.m_warmUpLeft = Millis{ 10'000 };
  fixture.addUpstream(record);
  const ForwardingDecision refused = fixture.decide(fixture.synPacket(1));
  CHECK(refused.m_action == Action::Reset);
  CHECK(refused.m_error == ErrorKind::ColdLimit);
  fixture.m_coldStartLimiter.setOwner(fixture.m_now, true);
  int assigned = 0;
  for (uint16_t flow = 2; flow < 200; ++flow) {
    assigned += fixture.decide(fixture.synPacket(flow)).m_action == Action::Forward ? 1 : 0;
    fixture.advance(Millis{ 5 });
  }
  // The limit is 10 * 1.5 + 5 flows per second, summed over all hosts.
  CHECK(assigned >= 5);
  CHECK(assigned <= 9);
}

TEST_CASE(
  "a cold upstream within its rate limit is preferred to one that peers report as not answering")
{
  Fixture fixture;
  fixture.addUpstream(Fixture::upstreamRecord(1));
  const Token reported = fixture.openFlow(1);
  registry::UpstreamRecord record = Fixture::upstreamRecord(2);
  record.m_warmUpLeft = Millis{ 10'000 };
  fixture.addUpstream(record);
  fixture.m_coldStartLimiter.setOwner(fixture.m_now, true);
  for (const uint32_t host : { 6, 7, 8 }) {
    fixture.upstream(reported).m_health.onPeerReport(fixture.m_now, HostId{ host });
  }
  CHECK(fixture.openFlow(2) != reported);
  fixture.m_coldStartLimiter.setOwner(fixture.m_now, false);
  CHECK(fixture.openFlow(3) == reported);
}

TEST_CASE("an upstream that becomes slow gets fewer new flows and is reported to other hosts")
{
  // Eight upstreams serve a hundred requests per second with log-normal response times and a
  // standard deviation of 0.5. One of the upstreams then becomes five times slower.
  Fixture fixture;
  for (uint64_t upstream = 1; upstream <= 8; ++upstream) {
    fixture.addUpstream(Fixture::upstreamRecord(upstream));
  }
  std::mt19937 random(5);
  std::lognormal_distribution<double> times(std::log(60.0), 0.5);
  Token slow;
  std::multimap<TimePoint, std::pair<uint16_t, Token>> answers;
  int toSlow = 0;
  int reportedSlow = 0;
  int wronglySlow = 0;
  const auto run = [&](int aRequests) {
    for (int index = 0; index < aRequests; ++index) {
      fixture.advance(Millis{ 10 });
      while (!answers.empty() && answers.begin()->first <= fixture.m_now) {
        const auto [port, token] = answers.begin()->second;
        fixture.acknowledgeResponse(port, token);
        answers.erase(answers.begin());
      }
      const auto port = static_cast<uint16_t>(1000 + fixture.m_now.time_since_epoch().count() / 10);
      const Token token = fixture.openFlow(port);
      CHECK(fixture.decide(fixture.requestPacket(port, token)).m_action == Action::Forward);
      const double time = times(random) * (token == slow ? 5 : 1);
      answers.emplace(fixture.m_now + Millis{ static_cast<int64_t>(time) },
                      std::pair{ port, token });
      toSlow += token == slow ? 1 : 0;
      for (const FlowEvent& event : fixture.m_steering.events().events()) {
        reportedSlow += event.m_event == EventId::AnswerSlow ? 1 : 0;
        wronglySlow += event.m_event == EventId::UpstreamSlow && event.m_token != slow ? 1 : 0;
      }
      fixture.m_steering.events().clear();
    }
  };
  run(1000);
  CHECK(wronglySlow <= 3);
  slow = answers.begin()->second.second;
  toSlow = 0;
  run(500);
  // Without outlier detection, the slow upstream would get about an eighth of 500 flows.
  CHECK(toSlow <= 30);
  CHECK(reportedSlow >= 1);
  slow = {};
  run(300);
  const Token token = fixture.openFlow(60'000);
  std::map<uint32_t, int> perUpstream;
  for (uint16_t port = 60'001; port < 60'201; ++port) {
    ++perUpstream[fixture.openFlow(port).m_value];
  }
  CHECK(token);
  CHECK(perUpstream.size() == 8);
}

TEST_CASE("reports of three hosts make an upstream slow; repeated reports of one host do not")
{
  Fixture fixture;
  for (uint64_t upstream = 1; upstream <= 4; ++upstream) {
    fixture.addUpstream(Fixture::upstreamRecord(upstream));
  }
  const Token token = fixture.openFlow(1);
  LatencyOutlierDetector& detector = fixture.upstream(token).m_outlierDetector;
  for (int report = 0; report < 4; ++report) {
    detector.onPeerReport(fixture.m_now, HostId{ 5 });
  }
  CHECK_FALSE(detector.isSlow(fixture.m_now));
  CHECK(detector.onPeerReport(fixture.m_now, HostId{ 6 }));
  CHECK(detector.onPeerReport(fixture.m_now, HostId{ 7 }));
  CHECK(detector.isSlow(fixture.m_now));
  for (uint16_t flow = 2; flow < 40; ++flow) {
    CHECK(fixture.openFlow(flow) != token);
  }
  fixture.advance(kSlowAvoidanceTime);
  CHECK_FALSE(detector.isSlow(fixture.m_now));
}

TEST_CASE("no upstream is avoided when all upstreams of a service become slow together")
{
  Fixture fixture;
  fixture.addUpstream(Fixture::upstreamRecord(1));
  const Token token = fixture.openFlow(1);
  Upstream& upstream = fixture.upstream(token);
  uint16_t port = 2;
  const auto run = [&](int aRequests, int aTime) {
    int slow = 0;
    for (int index = 0; index < aRequests; ++index, ++port) {
      const Token chosen = fixture.openFlow(port);
      CHECK(fixture.decide(fixture.requestPacket(port, chosen)).m_action == Action::Forward);
      fixture.advance(Millis{ aTime });
      fixture.acknowledgeResponse(port, chosen);
      slow += upstream.m_outlierDetector.isSlow(fixture.m_now) ? 1 : 0;
    }
    return slow;
  };
  CHECK(run(100, 60) == 0);
  run(200, 300);
  CHECK(run(50, 300) == 0);
}

TEST_CASE("a single warm upstream among cold ones without a rate limit does not get all flows")
{
  // All upstreams of a service but one crashed and restarted.
  Fixture fixture;
  fixture.apply({ { RecordKind::Service, "reports" },
                  fixture.nextRevision(),
                  registry::ServiceRecord{ Millis{ 2000 }, 0 } });
  fixture.addUpstream(Fixture::upstreamRecord(1));
  for (uint64_t identity = 2; identity <= 5; ++identity) {
    registry::UpstreamRecord record = Fixture::upstreamRecord(identity);
    record.m_warmUpLeft = Millis{ 10'000 };
    fixture.addUpstream(record);
  }
  std::map<uint64_t, int> assigned;
  for (uint16_t flow = 1; flow <= 300; ++flow) {
    const ForwardingDecision decision = fixture.decide(fixture.synPacket(flow));
    REQUIRE(decision.m_action == Action::Forward);
    ++assigned[decision.m_identity];
    fixture.advance(Millis{ 10 });
  }
  CHECK(assigned[1] < 150);
  for (uint64_t identity = 2; identity <= 5; ++identity) {
    CHECK(assigned[identity] < assigned[1]);
    CHECK(assigned[identity] > 0);
  }
}

// Large services are sampled by random probes. Guards against flows to upstreams that a sample must
// not contain, and against a share of local flows that differs from that of a small service.
TEST_CASE("a service of 200 upstreams gives drained, removed and avoided ones no new flows")
{
  Fixture fixture;
  for (uint64_t identity = 1; identity <= 100; ++identity) {
    fixture.addUpstream(Fixture::upstreamRecord(identity));
    fixture.addUpstream(Fixture::upstreamRecord(identity + 100, "far"));
  }
  fixture.advance(Millis{ 100 });
  uint16_t port = 1;
  bool areSomeAvoided = false;
  const auto reportAvoided = [&fixture] {
    for (uint64_t identity = 41; identity <= 50; ++identity) {
      const Token token = makeToken(identity, Fixture::upstreamRecord(identity).m_startedAtMs);
      for (const uint32_t host : { 6, 7, 8 }) {
        fixture.upstream(token).m_outlierDetector.onPeerReport(fixture.m_now, HostId{ host });
      }
    }
  };
  const auto openFlows = [&] {
    std::map<uint64_t, int> flows;
    for (int flow = 0; flow < 1000; ++flow, ++port) {
      const ForwardingDecision decision = fixture.decide(fixture.synPacket(port));
      REQUIRE(decision.m_action == Action::Forward);
      fixture.completeHandshake(port, decision.m_token);
      ++flows[decision.m_identity];
      fixture.advance(Millis{ 15 });
      if (areSomeAvoided) {
        reportAvoided();
      }
    }
    return flows;
  };
  const auto localFlows = [](const std::map<uint64_t, int>& aFlows) {
    int local = 0;
    for (const auto& [identity, flows] : aFlows) {
      local += identity <= 100 ? flows : 0;
    }
    return local;
  };
  auto flows = openFlows();
  CHECK(localFlows(flows) == 1000);
  CHECK(flows.size() == 100);
  for (uint64_t identity = 1; identity <= 30; ++identity) {
    registry::UpstreamRecord record = Fixture::upstreamRecord(identity);
    record.m_state = UpstreamState::Draining;
    fixture.addUpstream(record);
  }
  for (uint64_t identity = 31; identity <= 40; ++identity) {
    fixture.removeUpstream(identity);
  }
  areSomeAvoided = true;
  reportAvoided();
  flows = openFlows();
  for (uint64_t identity = 1; identity <= 50; ++identity) {
    CAPTURE(identity);
    CHECK(flows[identity] == 0);
  }
  CHECK(localFlows(flows) > 450);
  CHECK(localFlows(flows) < 550);
}

// Guards against probes that miss the few usable upstreams of a large service.
TEST_CASE("the only usable upstream of 200 gets the flows")
{
  Fixture fixture;
  for (uint64_t identity = 1; identity <= 200; ++identity) {
    fixture.addUpstream(Fixture::upstreamRecord(identity));
    const Token token = makeToken(identity, Fixture::upstreamRecord(identity).m_startedAtMs);
    for (const uint32_t host : { 6, 7, 8 }) {
      if (identity != 77) {
        fixture.upstream(token).m_health.onPeerReport(fixture.m_now, HostId{ host });
      }
    }
  }
  for (uint16_t port = 1; port <= 50; ++port) {
    CHECK(fixture.decide(fixture.synPacket(port)).m_identity == 77);
  }
}
