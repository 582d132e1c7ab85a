// Tests that flows with unknown tokens are reset only on records that are newer than the first
// packet with the token, that their callers need not wait for a copy of their own, and that the
// state about unknown tokens is bounded.
#include "steering/SteeringFixture.h"

#include <algorithm>

using namespace tamarack;
using namespace tamarack::steering;

namespace {

constexpr Millis kTick{ 100 };

/// Lets time pass without a confirmation of the records. Returns the flows that are reset.
std::vector<FlowPacket>
passTime(Fixture& aFixture, Millis aTime)
{
  std::vector<FlowPacket> resets;
  for (const TimePoint end = aFixture.m_now + aTime; aFixture.m_now < end;) {
    aFixture.m_now += kTick;
    aFixture.m_directory.tick(aFixture.m_now);
    std::ranges::copy(aFixture.m_steering.resetStalledFlows(aFixture.m_now),
                      std::back_inserter(resets));
  }
  return resets;
}

/// The records are confirmed as of now.
std::vector<FlowPacket>
confirm(Fixture& aFixture)
{
  aFixture.confirmRegistryView();
  return aFixture.m_steering.resetStalledFlows(aFixture.m_now);
}

/// An upstream that other hosts may know already.
Token
unknownToken()
{
  return makeToken(99, Fixture::upstreamRecord(99).m_startedAtMs);
}

} // namespace

TEST_CASE("records older than the first packet of a flow do not reset it")
{
  // Guards against resets of flows whose upstream registered after the records were confirmed.
  Fixture fixture;
  passTime(fixture, kTick);
  for (int copy = 0; copy < 4; ++copy) {
    CHECK(fixture.decide(fixture.requestPacket(1, unknownToken())).m_action == Action::Drop);
    CHECK(passTime(fixture, Millis{ 500 }).empty());
  }
  fixture.addUpstream(Fixture::upstreamRecord(99));
  CHECK(confirm(fixture).empty());
  CHECK(fixture.decide(fixture.requestPacket(1, unknownToken())).m_action == Action::Forward);
}

TEST_CASE("flows of an upstream that has ended are reset when newer records arrive")
{
  // Guards against callers that wait for a copy of their request, or are reset twice.
  Fixture fixture;
  passTime(fixture, kTick);
  for (const uint16_t caller : { 1, 2, 1 }) {
    CHECK(fixture.decide(fixture.requestPacket(caller, unknownToken())).m_action == Action::Drop);
    CHECK(passTime(fixture, kTick).empty());
  }
  const std::vector<FlowPacket> resets = confirm(fixture);
  REQUIRE(resets.size() == 2);
  for (const FlowPacket& reset : resets) {
    CHECK(reset.m_acknowledged == 1);
    CHECK((reset.m_flow.m_sourcePort == 1 || reset.m_flow.m_sourcePort == 2));
  }
  CHECK(confirm(fixture).empty());
  passTime(fixture, kTick);
  // The token is known to be of no upstream now.
  CHECK(fixture.decide(fixture.requestPacket(3, unknownToken())).m_action == Action::Reset);
}

TEST_CASE("the packet that ends a handshake counts as the first one with its token")
{
  // Guards against requests that wait although the records are newer than the flow.
  Fixture fixture;
  passTime(fixture, kTick);
  FlowPacket packet = fixture.requestPacket(1, unknownToken());
  packet.m_length = 0;
  CHECK(fixture.decide(packet).m_action == Action::Drop);
  CHECK(confirm(fixture).empty());
  passTime(fixture, kTick);
  CHECK(fixture.decide(fixture.requestPacket(1, unknownToken())).m_action == Action::Reset);
}

TEST_CASE("a dropped request resets no later flow from the same port")
{
  // Guards against the reset of a flow that was opened, or closed, before the records arrived.
  for (const int how : { 0, 1, 2 }) {
    CAPTURE(how);
    Fixture fixture;
    fixture.addUpstream(Fixture::upstreamRecord(1));
    passTime(fixture, kTick);
    CHECK(fixture.decide(fixture.requestPacket(1, unknownToken())).m_action == Action::Drop);
    if (how == 0) {
      FlowPacket packet = fixture.requestPacket(1, unknownToken());
      packet.m_length = 0;
      packet.m_isFinOrRst = true;
      CHECK(fixture.decide(packet).m_action == Action::Drop);
    } else if (how == 1) {
      CHECK(fixture.decide(fixture.synPacket(1)).m_action == Action::Forward);
    } else {
      // Callers have given up by then.
      passTime(fixture, kMaxPendingRequestAge + kTick);
    }
    CHECK(confirm(fixture).empty());
  }
}

TEST_CASE("no flow with an unknown token is reset during the grace period, and all are after it")
{
  // Guards against callers that wait after the start of a host until they repeat their requests.
  Fixture fixture;
  const TimePoint loadedAt = fixture.m_now;
  const auto confirmAndReset = [&] {
    fixture.m_steering.setRegistryViewStatus(
      { .m_revision = { .m_number = 1 }, .m_confirmedAt = fixture.m_now, .m_loadedAt = loadedAt });
    return fixture.m_steering.resetStalledFlows(fixture.m_now).size();
  };
  CHECK(confirmAndReset() == 0);
  CHECK(fixture.decide(fixture.requestPacket(1, unknownToken())).m_action == Action::Drop);
  while (fixture.m_now - loadedAt < kUnknownTokenGracePeriod) {
    CHECK(confirmAndReset() == 0);
    fixture.m_now += kTick;
  }
  CHECK(confirmAndReset() == 1);
}

TEST_CASE("many random tokens use bounded memory and reset nothing on older records")
{
  // Guards against callers that make a host grow, or make it reset flows of living upstreams.
  UnknownTokens tokens;
  const auto isKnown = [](Token /*aToken*/) { return false; };
  for (uint32_t token = 1; token <= 100'000; ++token) {
    const TimePoint now = kStart + Millis{ token / 50 };
    const FlowPacket packet{ .m_flow = { Ipv4{ token }, kAddress, 1, kIdempotentPort },
                             .m_length = 200,
                             .m_token = Token{ token } };
    // A token that was forgotten is never taken for one that was seen earlier.
    const TimePoint firstAt = tokens.onPacket(now, packet.m_token);
    REQUIRE(firstAt == now);
    tokens.addFlow(now, packet, firstAt);
    REQUIRE(tokens.waitingFlows() <= kMaxWaitingFlows);
  }
  CHECK(tokens.size() <= kMaxUnknownTokens);
  CHECK(tokens.takeFlows(kStart - Millis{ 1 }).empty());
  CHECK(tokens.takeFlows(kStart + Millis{ 2000 }).size() == kMaxWaitingFlows);
  CHECK(tokens.waitingFlows() == 0);
  tokens.prune(kStart + Millis{ 2000 } + kUnknownTokenLifetime + kTick, kTick, isKnown);
  CHECK(tokens.size() == 0);
}

TEST_CASE("a flow of an upstream that has ended is reset beside 500 random tokens per second")
{
  // Guards against callers who keep the flows of others from being reset.
  Fixture fixture;
  uint16_t noise = 1000;
  for (int round = 0; round < 20; ++round) {
    fixture.m_now += Millis{ 20 };
    const uint16_t caller = static_cast<uint16_t>(1 + round);
    CHECK(fixture.decide(fixture.requestPacket(caller, Token{ 7 })).m_action == Action::Drop);
    size_t resets = 0;
    for (int step = 0; step < 10; ++step) {
      for (int count = 0; count < 50; ++count) {
        ++noise;
        (void)fixture.decide(fixture.requestPacket(noise, Token{ 1'000'000U + noise }));
      }
      const auto passed = passTime(fixture, kTick);
      resets += static_cast<size_t>(std::ranges::count(passed, Token{ 7 }, &FlowPacket::m_token));
    }
    CHECK(resets == 0);
    const auto due = confirm(fixture);
    CHECK(std::ranges::count(due, Token{ 7 }, &FlowPacket::m_token) == 1);
    for (Millis passed{}; passed <= kUnknownTokenLifetime; passed += Millis{ 1000 }) {
      passTime(fixture, Millis{ 1000 });
      CHECK(confirm(fixture).empty());
    }
  }
}

TEST_CASE("entries that expired while the store was down may return before flows are reset")
{
  // Guards against taking records that were just regained for complete: a host that did not get an
  // entry before the store went down does not know that it is missing.
  for (const bool doesReturn : { true, false }) {
    CAPTURE(doesReturn);
    Fixture fixture;
    passTime(fixture, Millis{ 5000 });
    CHECK(confirm(fixture).empty());
    CHECK(fixture.decide(fixture.requestPacket(1, unknownToken())).m_action == Action::Drop);
    for (Millis passed{}; passed < Millis{ 2000 }; passed += Millis{ 500 }) {
      passTime(fixture, Millis{ 500 });
      CHECK(confirm(fixture).empty());
    }
    if (doesReturn) {
      fixture.addUpstream(Fixture::upstreamRecord(99));
    }
    passTime(fixture, Millis{ 500 });
    CHECK(confirm(fixture).size() == (doesReturn ? 0 : 1));
    if (doesReturn) {
      const auto packet = fixture.requestPacket(1, unknownToken());
      CHECK(fixture.decide(packet).m_action == Action::Forward);
    }
  }
}
