// Silent, slow and crashed upstreams, as callers' packets show them.
#include "steering/SteeringFixture.h"

#include <map>
#include <random>

using namespace tamarack;
using namespace tamarack::steering;

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

TEST_CASE("an upstream that refuses callers directly gets no more new flows than the others")
{
  // Incident inc-fe2b: upstreams crash on machines that run on while the store is silent. Callers
  // are refused at once and come back with new flows; every other flow is answered after 50 ms.
  Fixture fixture;
  for (uint64_t identity = 1; identity <= 14; ++identity) {
    fixture.addUpstream(Fixture::record(identity));
  }
  const Token refusing = makeToken(1, 1000);
  std::map<uint32_t, int> flows;
  for (uint16_t flow = 1; flow <= 260; ++flow) {
    const Token token = fixture.open(flow);
    ++flows[token.m_value];
    if (token != refusing) {
      fixture.decide(fixture.request(flow, token));
    }
    fixture.wait(Millis{ 10 });
    if (token != refusing) {
      fixture.acknowledge(flow, token);
    }
  }
  int most = 0;
  for (const auto& [token, count] : flows) {
    most = token == refusing.m_value ? most : std::max(most, count);
  }
  CHECK(flows[refusing.m_value] <= most / 2);
}

TEST_CASE("new flows whose callers go on late do not make an upstream silent")
{
  // A burst: twenty flows are opened before the first caller answers the handshake.
  Fixture fixture;
  fixture.addUpstream(Fixture::record(1));
  const Token token = fixture.open(1);
  for (uint16_t round = 0; round < 10; ++round) {
    for (uint16_t flow = 1; flow <= 20; ++flow) {
      fixture.open(static_cast<uint16_t>(round * 100 + flow));
      fixture.wait(Millis{ 4 });
    }
    for (uint16_t flow = 1; flow <= 20; ++flow) {
      fixture.goOn(static_cast<uint16_t>(round * 100 + flow), token);
    }
    fixture.wait(Millis{ 30 });
    CHECK_FALSE(fixture.upstream(token).m_health.isAvoided(fixture.m_now));
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

TEST_CASE("a refused caller says nothing of open flows, and one that goes on ends the avoidance")
{
  Fixture fixture;
  fixture.addUpstream(Fixture::record(1));
  const Token token = fixture.open(1);
  fixture.goOn(1, token);
  fixture.open(2);
  fixture.open(3);
  for (int step = 0; step < 4; ++step) {
    fixture.wait(Millis{ 100 });
  }
  const PassiveHealth& health = fixture.upstream(token).m_health;
  CHECK(health.isAvoided(fixture.m_now));
  CHECK_FALSE(health.isSilent());
  CHECK_FALSE(health.isDead(fixture.m_now));
  CHECK(fixture.decide(fixture.request(1, token)).m_action == Action::Forward);
  fixture.acknowledge(1, token);
  CHECK_FALSE(health.isAvoided(fixture.m_now));
}

TEST_CASE("copies of lost opening packets, and a host that stood still, are no refusals")
{
  Fixture fixture;
  fixture.addUpstream(Fixture::record(1));
  const Token token = fixture.open(1);
  fixture.goOn(1, token);
  fixture.open(2);
  fixture.wait(Millis{ 200 });
  fixture.decide(fixture.opening(2, kSafePort, 1));
  fixture.goOn(2, token);
  fixture.wait(Millis{ 200 });
  CHECK_FALSE(fixture.upstream(token).m_health.isAvoided(fixture.m_now));

  fixture.open(3);
  fixture.wait(Millis{ 2000 });
  CHECK_FALSE(fixture.upstream(token).m_health.isAvoided(fixture.m_now));

  // All hosts lost power; callers whose opening packets waited have given up.
  fixture.m_steering.setView({ .m_revision = fixture.m_revision,
                               .m_confirmedAt = fixture.m_now,
                               .m_loadedAt = fixture.m_now - Millis{ 100 } });
  fixture.open(4);
  for (int step = 0; step < 4; ++step) {
    fixture.wait(Millis{ 100 });
  }
  CHECK_FALSE(fixture.upstream(token).m_health.isAvoided(fixture.m_now));
}
