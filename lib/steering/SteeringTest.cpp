// Steering by token under the loads that it answers. Nothing here needs a network or a clock.
#include "steering/TokenSteering.h"

#include <doctest/doctest.h>
#include <map>
#include <random>

using namespace tamarack;
using namespace tamarack::steering;

namespace {

using registry::Change;
using registry::RecordKind;
using registry::UpstreamState;

constexpr Ipv4 kAddress{ 0xc6120001 };
constexpr uint16_t kSafePort = 8443;
constexpr uint16_t kUnsafePort = 8080;
constexpr HostId kSelf{ 0x0a010001 };
constexpr TimePoint kStart{ Millis{ 100'000 } };

/// A host with one service in two data centres and two routes.
class Fixture
{
public:
  Fixture()
  {
    apply({ { RecordKind::Service, "reports" },
            ++m_revision,
            registry::ServiceRecord{ Millis{ 2000 }, 10.0 } });
    addRoute("safe", kSafePort, registry::RequestKind::Idempotent);
    addRoute("unsafe", kUnsafePort, registry::RequestKind::NonIdempotent);
    confirm();
  }

  void apply(const Change& aChange) { m_directory.apply(m_now, { &aChange, 1 }); }

  void addRoute(const std::string& aName, uint16_t aPort, registry::RequestKind aKind)
  {
    apply({ { RecordKind::Route, aName },
            ++m_revision,
            registry::RouteRecord{ kAddress, aPort, aKind, { { "reports", 1 } } } });
  }

  static registry::UpstreamRecord record(uint64_t aIdentity,
                                         const std::string& aDataCentre = "near")
  {
    return { .m_service = "reports",
             .m_dataCentre = aDataCentre,
             .m_address = Ipv4{ 0x0a800000 + static_cast<uint32_t>(aIdentity) },
             .m_port = 8422,
             .m_identity = aIdentity,
             .m_startedAtMs = 1000,
             .m_slots = 4 };
  }

  void addUpstream(const registry::UpstreamRecord& aRecord)
  {
    apply({ { RecordKind::Upstream, "i-" + std::to_string(aRecord.m_identity) },
            ++m_revision,
            aRecord });
  }

  void removeUpstream(uint64_t aIdentity, bool aMayReturn = false)
  {
    apply({ { RecordKind::Upstream, "i-" + std::to_string(aIdentity) },
            ++m_revision,
            std::nullopt,
            aMayReturn });
  }

  void confirm()
  {
    m_steering.setView({ .m_revision = m_revision,
                         .m_confirmedAt = m_now,
                         .m_loadedAt = kStart - Millis{ 10'000 } });
  }

  void wait(Millis aTime)
  {
    m_now += aTime;
    confirm();
    m_directory.tick(m_now);
  }

  FlowPacket opening(uint16_t aCallerPort, uint16_t aPort = kSafePort, uint32_t aCopy = 0) const
  {
    return {
      .m_flow = flow(aCallerPort, aPort), .m_opens = true, .m_copy = aCopy, .m_sequence = 100
    };
  }

  FlowPacket request(uint16_t aCallerPort,
                     Token aToken,
                     uint32_t aSequence = 101,
                     uint32_t aAcknowledged = 1,
                     uint16_t aPort = kSafePort) const
  {
    return { .m_flow = flow(aCallerPort, aPort),
             .m_sequence = aSequence,
             .m_acknowledged = aAcknowledged,
             .m_length = 200,
             .m_token = aToken };
  }

  /// The caller has got the answer to its request.
  void acknowledge(uint16_t aCallerPort, Token aToken)
  {
    FlowPacket packet = request(aCallerPort, aToken, 301, 1001);
    packet.m_length = 0;
    CHECK(decide(packet).m_action == Action::Forward);
  }

  static packet::FlowKey flow(uint16_t aCallerPort, uint16_t aPort)
  {
    return { Ipv4{ 0x64400007 }, kAddress, aCallerPort, aPort };
  }

  Choice decide(const FlowPacket& aPacket) { return m_steering.decide(m_now, aPacket); }

  Token open(uint16_t aCallerPort, uint16_t aPort = kSafePort)
  {
    const Choice choice = decide(opening(aCallerPort, aPort));
    REQUIRE(choice.m_action == Action::Forward);
    return choice.m_token;
  }

  Upstream& upstream(Token aToken) { return *m_directory.findUpstream(aToken); }

  TimePoint m_now{ kStart };
  registry::Revision m_revision{};
  Directory m_directory{ "near" };
  ColdBudget m_coldBudget{ { .m_factor = 1.5, .m_slack = 5 } };
  Placement m_placement{ m_directory, m_coldBudget, 7 };
  TokenSteering m_steering{ m_directory, m_placement, 1024 };
};

} // namespace

TEST_CASE("a packet goes where its token says, on a host that never saw the flow")
{
  Fixture first;
  Fixture second;
  for (uint64_t identity = 1; identity <= 5; ++identity) {
    first.addUpstream(Fixture::record(identity));
    second.addUpstream(Fixture::record(identity));
  }
  const Token token = first.open(1);
  const Choice choice = second.decide(second.request(1, token));
  CHECK(choice.m_action == Action::Forward);
  CHECK(choice.m_identity == first.upstream(token).m_record.m_identity);
}

TEST_CASE("requests that callers repeat while they are worked on are no sign of silence")
{
  // A calm day: some answers take 250 ms, and callers repeat after 200 ms.
  Fixture fixture;
  fixture.addUpstream(Fixture::record(1));
  const Token token = fixture.open(1);
  for (uint16_t flow = 1; flow <= 10; ++flow) {
    CHECK(fixture.decide(fixture.request(flow, token)).m_action == Action::Forward);
    fixture.wait(Millis{ 200 });
    CHECK(fixture.decide(fixture.request(flow, token)).m_action == Action::Forward);
    fixture.wait(Millis{ 50 });
    fixture.acknowledge(flow, token);
  }
  CHECK_FALSE(fixture.upstream(token).m_health.isSilent());
  CHECK_FALSE(fixture.upstream(token).m_health.isAvoided(fixture.m_now));
}

TEST_CASE("a caller of a slow service is not cut off")
{
  // Answers take 2 s each; nothing is wrong.
  Fixture fixture;
  fixture.addUpstream(Fixture::record(1));
  const Token token = fixture.open(1);
  uint32_t sequence = 101;
  uint32_t acknowledged = 1;
  for (int round = 0; round < 10; ++round) {
    REQUIRE(fixture.decide(fixture.request(1, token, sequence, acknowledged)).m_action ==
            Action::Forward);
    fixture.wait(Millis{ 200 });
    fixture.decide(fixture.request(1, token, sequence, acknowledged));
    fixture.wait(Millis{ 1800 });
    sequence += 200;
    acknowledged += 1000;
    FlowPacket acknowledgement = fixture.request(1, token, sequence, acknowledged);
    acknowledgement.m_length = 0;
    fixture.decide(acknowledgement);
  }
  fixture.decide(fixture.request(1, token, sequence, acknowledged));
  for (const int waited : { 200, 400, 800 }) {
    fixture.wait(Millis{ waited });
    CHECK(fixture.decide(fixture.request(1, token, sequence, acknowledged)).m_action ==
          Action::Forward);
  }
}

TEST_CASE(
  "a crashed upstream: the copy of an opening packet goes elsewhere, and new flows avoid it")
{
  Fixture fixture;
  fixture.addUpstream(Fixture::record(1));
  fixture.addUpstream(Fixture::record(2));
  const Token dead = fixture.open(1);
  fixture.wait(Millis{ 200 });
  const Choice again = fixture.decide(fixture.opening(1, kSafePort, 1));
  CHECK(again.m_action == Action::Forward);
  CHECK(again.m_token != dead);
  for (uint16_t flow = 2; flow < 40; ++flow) {
    CHECK(fixture.open(flow) != dead);
  }
  // It answers a flow that was open before: it is used again.
  fixture.decide(fixture.request(500, dead));
  fixture.decide(fixture.request(500, dead, 301, 1001));
  CHECK_FALSE(fixture.upstream(dead).m_health.isAvoided(fixture.m_now));
}

TEST_CASE("copies of an opening packet that waited together go to one upstream")
{
  // Soak, seed 60: a host was paused for a second and then read three copies at once; two upstreams
  // answered, and the caller's requests went to the one that did not hold its flow.
  Fixture fixture;
  for (uint64_t identity = 1; identity <= 5; ++identity) {
    fixture.addUpstream(Fixture::record(identity));
  }
  const Token first = fixture.open(1);
  fixture.wait(Millis{ 1 });
  CHECK(fixture.decide(fixture.opening(1, kSafePort, 1)).m_token == first);
  CHECK(fixture.decide(fixture.opening(1, kSafePort, 2)).m_token == first);
  CHECK_FALSE(fixture.upstream(first).m_health.isSilent());
}

TEST_CASE("a request that waits in vain is reset only when it may be repeated")
{
  Fixture fixture;
  fixture.addUpstream(Fixture::record(1));
  const Token token = fixture.open(1);
  for (uint16_t flow = 10; flow <= 300; ++flow) {
    fixture.decide(fixture.request(flow, token));
    fixture.acknowledge(flow, token);
  }
  fixture.decide(fixture.request(1, token));
  fixture.decide(fixture.request(2, token, 101, 1, kUnsafePort));
  fixture.wait(Millis{ 200 });
  CHECK(fixture.decide(fixture.request(1, token)).m_action == Action::Forward);
  fixture.wait(Millis{ 400 });
  const Choice safe = fixture.decide(fixture.request(1, token));
  CHECK(safe.m_action == Action::Reset);
  CHECK(safe.m_error == ErrorKind::UpstreamSilent);
  CHECK(fixture.decide(fixture.request(2, token, 101, 1, kUnsafePort)).m_action == Action::Forward);
}

TEST_CASE("a crashed upstream with many feeds: after a few repeats the next request need not wait")
{
  Fixture fixture;
  fixture.addUpstream(Fixture::record(1));
  const Token token = fixture.open(1);
  for (uint16_t flow = 1; flow <= 20; ++flow) {
    fixture.decide(fixture.request(flow, token));
    fixture.decide(fixture.request(flow, token, 301, 1001));
  }
  fixture.wait(Millis{ 200 });
  uint16_t repeating = 1;
  while (fixture.decide(fixture.request(repeating, token, 301, 1001)).m_action == Action::Forward) {
    ++repeating;
    REQUIRE(repeating < 10);
    fixture.wait(Millis{ 40 });
  }
  CHECK(repeating >= 4);
  CHECK(fixture.decide(fixture.request(21, token)).m_error == ErrorKind::UpstreamSilent);
  // What may not be repeated waits on.
  CHECK(fixture.decide(fixture.request(22, token, 101, 1, kUnsafePort)).m_action ==
        Action::Forward);
}

TEST_CASE("two requests of a busy upstream that are slow at once are not cut off")
{
  // One host of eighty sees two slow requests to one upstream and nothing else of it.
  Fixture fixture;
  fixture.addUpstream(Fixture::record(1));
  const Token token = fixture.open(1);
  for (uint16_t flow = 1; flow <= 300; ++flow) {
    fixture.decide(fixture.request(flow, token));
    fixture.acknowledge(flow, token);
  }
  fixture.decide(fixture.request(301, token));
  fixture.decide(fixture.request(302, token));
  fixture.wait(Millis{ 200 });
  CHECK(fixture.decide(fixture.request(301, token)).m_action == Action::Forward);
  fixture.wait(Millis{ 120 });
  CHECK(fixture.decide(fixture.request(302, token)).m_action == Action::Forward);
}

TEST_CASE("links that lose a third of the packets do not make living upstreams dead")
{
  // Callers on a lossy link: a third of the opening packets and of the requests are repeated, some
  // of them twice; every upstream answers in the end.
  Fixture fixture;
  for (uint64_t identity = 1; identity <= 5; ++identity) {
    fixture.addUpstream(Fixture::record(identity));
  }
  std::minstd_rand random(11);
  const auto isLost = [&random] { return random() % 3 == 0; };
  int resets = 0;
  for (uint16_t flow = 1; flow <= 2000; ++flow) {
    Choice choice = fixture.decide(fixture.opening(flow));
    fixture.wait(Millis{ 100 });
    for (uint32_t copy = 1; copy <= 2 && isLost(); ++copy) {
      choice = fixture.decide(fixture.opening(flow, kSafePort, copy));
    }
    Choice carried = fixture.decide(fixture.request(flow, choice.m_token));
    for (const int waited : { 200, 400 }) {
      if (isLost()) {
        fixture.wait(Millis{ waited });
        carried = fixture.decide(fixture.request(flow, choice.m_token));
        resets += carried.m_action == Action::Reset ? 1 : 0;
      }
    }
    if (carried.m_action == Action::Forward) {
      fixture.acknowledge(flow, choice.m_token);
    }
  }
  CHECK(resets <= 2);
}

TEST_CASE("requests that a crashed upstream had acknowledged are given up, for nobody repeats them")
{
  Fixture fixture;
  fixture.addUpstream(Fixture::record(1));
  const Token token = fixture.open(1);
  fixture.decide(fixture.request(1, token));
  fixture.decide(fixture.request(2, token, 101, 1, kUnsafePort));
  fixture.decide(fixture.request(3, token));
  fixture.acknowledge(3, token);
  fixture.wait(Millis{ 100 });
  CHECK(fixture.m_steering.giveUp(fixture.m_now).empty());
  // Three other hosts see that it is silent.
  for (const uint32_t host : { 6, 7, 8 }) {
    fixture.upstream(token).m_health.onReportedSilence(fixture.m_now, HostId{ host });
  }
  fixture.wait(kSpanOfDead);
  const auto resets = fixture.m_steering.giveUp(fixture.m_now);
  REQUIRE(resets.size() == 1);
  CHECK(resets[0].m_flow.m_sourcePort == 1);
  CHECK(resets[0].m_acknowledged == 1);
  CHECK(fixture.m_steering.giveUp(fixture.m_now).empty());
}

TEST_CASE("all callers come back through one host: the nearest upstreams are not overrun")
{
  // After an outage, 300 callers open their flows within a second; four near upstreams hold 20
  // each.
  Fixture fixture;
  for (uint64_t identity = 1; identity <= 4; ++identity) {
    fixture.addUpstream(Fixture::record(identity));
  }
  for (uint64_t identity = 11; identity <= 20; ++identity) {
    fixture.addUpstream(Fixture::record(identity, "far"));
  }
  fixture.wait(Millis{ 100 });
  std::map<uint32_t, int> placed;
  for (uint16_t flow = 0; flow < 280; ++flow) {
    ++placed[fixture.open(flow).m_value];
  }
  for (const auto& [token, flows] : placed) {
    CHECK(flows <= 26);
  }
}

TEST_CASE("an upstream that did not answer gets one flow at a time until it does")
{
  Fixture fixture;
  fixture.addUpstream(Fixture::record(1));
  fixture.addUpstream(Fixture::record(2));
  const Token dead = fixture.open(1);
  fixture.wait(Millis{ 200 });
  fixture.decide(fixture.opening(1, kSafePort, 1));
  fixture.wait(kFirstAvoidance);
  int tried = 0;
  for (uint16_t flow = 2; flow < 60; ++flow) {
    tried += fixture.open(flow) == dead ? 1 : 0;
  }
  CHECK(tried == 1);
}

TEST_CASE("requests to an upstream that has ended are reset at once, of either kind")
{
  Fixture fixture;
  registry::UpstreamRecord record = Fixture::record(1);
  fixture.addUpstream(record);
  const Token token = fixture.open(1);
  record.m_state = UpstreamState::Draining;
  fixture.addUpstream(record);
  CHECK(fixture.decide(fixture.request(1, token)).m_action == Action::Forward);
  CHECK(fixture.decide(fixture.opening(2)).m_error == ErrorKind::NoCapacity);
  fixture.removeUpstream(1);
  CHECK(fixture.decide(fixture.request(1, token, 301)).m_action == Action::Reset);
  CHECK(fixture.decide(fixture.request(3, token, 101, 1, kUnsafePort)).m_action == Action::Reset);
}

TEST_CASE(
  "an upstream that vanishes from the store without a notice keeps its flows while it answers")
{
  Fixture fixture;
  fixture.addUpstream(Fixture::record(1));
  const Token token = fixture.open(1);
  fixture.removeUpstream(1);
  CHECK(fixture.decide(fixture.request(1, token)).m_action == Action::Forward);
  CHECK(fixture.decide(fixture.opening(2)).m_action == Action::Reset);
  fixture.wait(Millis{ 600 });
  CHECK(fixture.decide(fixture.request(1, token)).m_error == ErrorKind::UpstreamGone);
}

TEST_CASE("entries that lapse while the store is away are used until they have stayed away")
{
  Fixture fixture;
  fixture.addUpstream(Fixture::record(1));
  const Token token = fixture.open(1);
  fixture.removeUpstream(1, true);
  CHECK(fixture.open(2) == token);
  fixture.wait(kLapseGrace);
  CHECK(fixture.decide(fixture.opening(3)).m_action == Action::Reset);
  fixture.addUpstream(Fixture::record(1));
  CHECK(fixture.open(4) == token);
}

TEST_CASE("an address that another upstream took over tells that the former one has ended")
{
  Fixture fixture;
  fixture.addUpstream(Fixture::record(1));
  const Token token = fixture.open(1);
  registry::UpstreamRecord other = Fixture::record(2);
  other.m_address = Fixture::record(1).m_address;
  other.m_startedAtMs = 2000;
  other.m_service = "manuals";
  fixture.addUpstream(other);
  CHECK(fixture.decide(fixture.request(1, token)).m_error == ErrorKind::UpstreamGone);
}

TEST_CASE("a new start under the same name gets a token of its own")
{
  Fixture fixture;
  registry::UpstreamRecord record = Fixture::record(1);
  fixture.addUpstream(record);
  const Token before = fixture.open(1);
  record.m_startedAtMs = 5000;
  fixture.addUpstream(record);
  const Token after = fixture.open(2);
  CHECK(after != before);
  CHECK(fixture.decide(fixture.request(1, before)).m_action == Action::Reset);
}

TEST_CASE("without trusted records nothing is said not to exist")
{
  Fixture fixture;
  fixture.addUpstream(Fixture::record(1));
  const FlowPacket stranger = fixture.opening(1, 9999);
  CHECK(fixture.decide(stranger).m_action == Action::Reset);
  CHECK(fixture.decide(fixture.request(1, Token{ 77 })).m_action == Action::Reset);
  fixture.m_now += kTrustedViewAge + Millis{ 1 };
  CHECK(fixture.decide(stranger).m_action == Action::Drop);
  CHECK(fixture.decide(fixture.request(1, Token{ 77 })).m_action == Action::Drop);
}

TEST_CASE("a data centre that loses half of its upstreams sends half of its flows away")
{
  Fixture fixture;
  for (uint64_t identity = 1; identity <= 4; ++identity) {
    fixture.addUpstream(Fixture::record(identity));
    fixture.addUpstream(Fixture::record(identity + 10, "far"));
  }
  fixture.wait(Millis{ 100 });
  const auto localShare = [&fixture] {
    int local = 0;
    for (uint16_t flow = 0; flow < 200; ++flow) {
      fixture.wait(Millis{ 15 });
      local += fixture.upstream(fixture.open(flow)).m_isLocal ? 1 : 0;
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

TEST_CASE("a data centre that is taken out gets no new flows, and its upstreams return as cold")
{
  Fixture fixture;
  fixture.addUpstream(Fixture::record(1));
  fixture.addUpstream(Fixture::record(2, "far"));
  const Token near = fixture.open(1);
  fixture.apply({ { RecordKind::DataCentreOut, "near" }, 50, registry::DataCentreOutRecord{} });
  const Token far = fixture.open(2);
  CHECK(far != near);
  CHECK(fixture.decide(fixture.request(1, near)).m_action == Action::Forward);
  fixture.apply({ { RecordKind::DataCentreOut, "near" }, 51, std::nullopt });
  CHECK(fixture.open(3) == far);
  fixture.wait(Millis{ 2000 } + kColdReportDelay);
  CHECK(fixture.open(4) == near);
}

TEST_CASE("cold upstreams of a service that is all cold get no more than their share, by one host")
{
  Fixture fixture;
  registry::UpstreamRecord record = Fixture::record(1);
  record.m_warmUpLeft = Millis{ 10'000 };
  fixture.addUpstream(record);
  const Choice refused = fixture.decide(fixture.opening(1));
  CHECK(refused.m_action == Action::Reset);
  CHECK(refused.m_error == ErrorKind::ColdLimit);
  fixture.m_coldBudget.setOwner(fixture.m_now, true);
  int placed = 0;
  for (uint16_t flow = 2; flow < 200; ++flow) {
    placed += fixture.decide(fixture.opening(flow)).m_action == Action::Forward ? 1 : 0;
    fixture.wait(Millis{ 5 });
  }
  // The limit is 10 * 1.5 + 5 in a second of all hosts.
  CHECK(placed >= 5);
  CHECK(placed <= 9);
}

TEST_CASE("a cold upstream with room in its limit is preferred to one that seems silent")
{
  Fixture fixture;
  fixture.addUpstream(Fixture::record(1));
  const Token silent = fixture.open(1);
  registry::UpstreamRecord record = Fixture::record(2);
  record.m_warmUpLeft = Millis{ 10'000 };
  fixture.addUpstream(record);
  fixture.m_coldBudget.setOwner(fixture.m_now, true);
  for (const uint32_t host : { 6, 7, 8 }) {
    fixture.upstream(silent).m_health.onReportedSilence(fixture.m_now, HostId{ host });
  }
  CHECK(fixture.open(2) != silent);
  fixture.m_coldBudget.setOwner(fixture.m_now, false);
  CHECK(fixture.open(3) == silent);
}

TEST_CASE("an upstream that turns slow gets fewer new flows, and others are told")
{
  // Eight upstreams, a hundred requests a second; answers are log-normal with a spread of 0.5. One
  // upstream then works five times slower.
  Fixture fixture;
  for (uint64_t upstream = 1; upstream <= 8; ++upstream) {
    fixture.addUpstream(Fixture::record(upstream));
  }
  std::mt19937 random(5);
  std::lognormal_distribution<double> times(std::log(60.0), 0.5);
  Token slow;
  std::multimap<TimePoint, std::pair<uint16_t, Token>> answers;
  int toSlow = 0;
  int told = 0;
  int wronglySlow = 0;
  const auto play = [&](int aRequests) {
    for (int index = 0; index < aRequests; ++index) {
      fixture.wait(Millis{ 10 });
      while (!answers.empty() && answers.begin()->first <= fixture.m_now) {
        const auto [port, token] = answers.begin()->second;
        fixture.acknowledge(port, token);
        answers.erase(answers.begin());
      }
      const auto port = static_cast<uint16_t>(1000 + fixture.m_now.time_since_epoch().count() / 10);
      const Token token = fixture.open(port);
      CHECK(fixture.decide(fixture.request(port, token)).m_action == Action::Forward);
      const double time = times(random) * (token == slow ? 5 : 1);
      answers.emplace(fixture.m_now + Millis{ static_cast<int64_t>(time) },
                      std::pair{ port, token });
      toSlow += token == slow ? 1 : 0;
      for (const FlowEvent& event : fixture.m_steering.events().events()) {
        told += event.m_event == EventId::AnswerSlow ? 1 : 0;
        wronglySlow += event.m_event == EventId::UpstreamSlow && event.m_token != slow ? 1 : 0;
      }
      fixture.m_steering.events().clear();
    }
  };
  play(1000);
  CHECK(wronglySlow <= 3);
  slow = answers.begin()->second.second;
  toSlow = 0;
  play(500);
  // An eighth of 500 without a judgement.
  CHECK(toSlow <= 30);
  CHECK(told >= 1);
  slow = {};
  play(300);
  const Token former = fixture.open(60'000);
  std::map<uint32_t, int> perUpstream;
  for (uint16_t port = 60'001; port < 60'201; ++port) {
    ++perUpstream[fixture.open(port).m_value];
  }
  CHECK(former);
  CHECK(perUpstream.size() == 8);
}

TEST_CASE("reports of three hosts make an upstream slow; one host that repeats itself does not")
{
  Fixture fixture;
  for (uint64_t upstream = 1; upstream <= 4; ++upstream) {
    fixture.addUpstream(Fixture::record(upstream));
  }
  const Token token = fixture.open(1);
  Pace& pace = fixture.upstream(token).m_pace;
  for (int report = 0; report < 4; ++report) {
    pace.onReport(fixture.m_now, HostId{ 5 });
  }
  CHECK_FALSE(pace.isSlow(fixture.m_now));
  CHECK(pace.onReport(fixture.m_now, HostId{ 6 }));
  CHECK(pace.onReport(fixture.m_now, HostId{ 7 }));
  CHECK(pace.isSlow(fixture.m_now));
  for (uint16_t flow = 2; flow < 40; ++flow) {
    CHECK(fixture.open(flow) != token);
  }
  fixture.wait(kSlowAvoidance);
  CHECK_FALSE(pace.isSlow(fixture.m_now));
}

TEST_CASE("when all upstreams of a service turn slow together, none is avoided for it")
{
  Fixture fixture;
  fixture.addUpstream(Fixture::record(1));
  const Token token = fixture.open(1);
  Upstream& upstream = fixture.upstream(token);
  uint16_t port = 2;
  const auto play = [&](int aRequests, int aTime) {
    int slow = 0;
    for (int index = 0; index < aRequests; ++index, ++port) {
      const Token chosen = fixture.open(port);
      CHECK(fixture.decide(fixture.request(port, chosen)).m_action == Action::Forward);
      fixture.wait(Millis{ aTime });
      fixture.acknowledge(port, chosen);
      slow += upstream.m_pace.isSlow(fixture.m_now) ? 1 : 0;
    }
    return slow;
  };
  CHECK(play(100, 60) == 0);
  play(200, 300);
  CHECK(play(50, 300) == 0);
}

TEST_CASE("one lost packet that readers report twice does not make an upstream dead")
{
  // A fleet of eighty: each host sees few flows, and two readers pass each report on.
  Fixture fixture;
  fixture.addUpstream(Fixture::record(1));
  const Token token = fixture.open(1);
  PassiveHealth& health = fixture.upstream(token).m_health;
  for (int report = 0; report < 4; ++report) {
    health.onReportedSilence(fixture.m_now, HostId{ 5 });
    fixture.wait(Millis{ 200 });
  }
  CHECK(fixture.decide(fixture.request(1, token)).m_action == Action::Forward);
  // Three hosts whose callers wait, and no answer anywhere: the next request need not wait.
  for (const uint32_t host : { 6, 7, 8 }) {
    health.onReportedSilence(fixture.m_now, HostId{ host });
  }
  fixture.wait(kSpanOfDead);
  CHECK(fixture.decide(fixture.request(1, token, 301)).m_action == Action::Reset);
  CHECK(health.onProgress(fixture.m_now));
  CHECK(fixture.decide(fixture.request(1, token, 501)).m_action == Action::Forward);
}

TEST_CASE("one warm upstream among cold ones without a limit does not get everything")
{
  // All upstreams of a service but one crashed and came back.
  Fixture fixture;
  fixture.apply({ { RecordKind::Service, "reports" },
                  ++fixture.m_revision,
                  registry::ServiceRecord{ Millis{ 2000 }, 0 } });
  fixture.addUpstream(Fixture::record(1));
  for (uint64_t identity = 2; identity <= 5; ++identity) {
    registry::UpstreamRecord record = Fixture::record(identity);
    record.m_warmUpLeft = Millis{ 10'000 };
    fixture.addUpstream(record);
  }
  std::map<uint64_t, int> placed;
  for (uint16_t flow = 1; flow <= 300; ++flow) {
    const Choice choice = fixture.decide(fixture.opening(flow));
    REQUIRE(choice.m_action == Action::Forward);
    ++placed[choice.m_identity];
    fixture.wait(Millis{ 10 });
  }
  CHECK(placed[1] < 150);
  for (uint64_t identity = 2; identity <= 5; ++identity) {
    CHECK(placed[identity] < placed[1]);
    CHECK(placed[identity] > 0);
  }
}

TEST_CASE("a token names one start of one upstream")
{
  const Token token = makeToken(1, 1000);
  CHECK(token != makeToken(1, 1001));
  CHECK(token != makeToken(2, 1000));
  CHECK(token == makeToken(1, 1000));
}
