// Tests where packets are forwarded, depending on their tokens and the registry, without network or
// clock.
#include "steering/SteeringFixture.h"

using namespace tamarack;
using namespace tamarack::steering;

TEST_CASE("a host forwards a packet by its token although it never saw the flow")
{
  Fixture first;
  Fixture second;
  for (uint64_t identity = 1; identity <= 5; ++identity) {
    first.addUpstream(Fixture::upstreamRecord(identity));
    second.addUpstream(Fixture::upstreamRecord(identity));
  }
  const Token token = first.openFlow(1);
  const ForwardingDecision decision = second.decide(second.requestPacket(1, token));
  CHECK(decision.m_action == Action::Forward);
  CHECK(decision.m_identity == first.upstream(token).m_record.m_identity);
}

TEST_CASE(
  "a retransmitted SYN goes to another upstream, and new flows avoid the one that did not answer")
{
  Fixture fixture;
  fixture.addUpstream(Fixture::upstreamRecord(1));
  fixture.addUpstream(Fixture::upstreamRecord(2));
  const Token failed = fixture.openFlow(1);
  fixture.advance(Millis{ 200 });
  const ForwardingDecision retransmitted = fixture.decide(fixture.synPacket(1, kIdempotentPort, 1));
  CHECK(retransmitted.m_action == Action::Forward);
  CHECK(retransmitted.m_token != failed);
  for (uint16_t flow = 2; flow < 40; ++flow) {
    CHECK(fixture.openFlow(flow) != failed);
  }
  // A response on another flow of the upstream ends the avoidance.
  fixture.decide(fixture.requestPacket(500, failed));
  fixture.decide(fixture.requestPacket(500, failed, 301, 1001));
  CHECK_FALSE(fixture.upstream(failed).m_health.isAvoided(fixture.m_now));
}

TEST_CASE("requests to an upstream that has ended are reset at once, idempotent or not")
{
  Fixture fixture;
  registry::UpstreamRecord record = Fixture::upstreamRecord(1);
  fixture.addUpstream(record);
  const Token token = fixture.openFlow(1);
  record.m_state = UpstreamState::Draining;
  fixture.addUpstream(record);
  CHECK(fixture.decide(fixture.requestPacket(1, token)).m_action == Action::Forward);
  CHECK(fixture.decide(fixture.synPacket(2)).m_error == ErrorKind::NoCapacity);
  fixture.removeUpstream(1);
  CHECK(fixture.decide(fixture.requestPacket(1, token, 301)).m_action == Action::Reset);
  CHECK(fixture.decide(fixture.requestPacket(3, token, 101, 1, kNonIdempotentPort)).m_action ==
        Action::Reset);
}

TEST_CASE(
  "an upstream that disappears from the store without draining keeps its flows while it responds")
{
  Fixture fixture;
  fixture.addUpstream(Fixture::upstreamRecord(1));
  const Token token = fixture.openFlow(1);
  fixture.removeUpstream(1);
  CHECK(fixture.decide(fixture.requestPacket(1, token)).m_action == Action::Forward);
  CHECK(fixture.decide(fixture.synPacket(2)).m_action == Action::Reset);
  fixture.advance(Millis{ 600 });
  CHECK(fixture.decide(fixture.requestPacket(1, token)).m_error == ErrorKind::UpstreamGone);
}

TEST_CASE("entries that lapse while the store is unavailable are used until the grace period ends")
{
  Fixture fixture;
  fixture.addUpstream(Fixture::upstreamRecord(1));
  const Token token = fixture.openFlow(1);
  fixture.removeUpstream(1, true);
  CHECK(fixture.openFlow(2) == token);
  fixture.advance(kLapseGracePeriod);
  CHECK(fixture.decide(fixture.synPacket(3)).m_action == Action::Reset);
  fixture.addUpstream(Fixture::upstreamRecord(1));
  CHECK(fixture.openFlow(4) == token);
}

TEST_CASE("an upstream that restarts under the same name gets a new token")
{
  Fixture fixture;
  registry::UpstreamRecord record = Fixture::upstreamRecord(1);
  fixture.addUpstream(record);
  const Token before = fixture.openFlow(1);
  record.m_startedAtMs = 5000;
  fixture.addUpstream(record);
  const Token after = fixture.openFlow(2);
  CHECK(after != before);
  CHECK(fixture.decide(fixture.requestPacket(1, before)).m_action == Action::Reset);
}

TEST_CASE("with a stale registry view, unknown routes and tokens are dropped, not reset")
{
  Fixture fixture;
  fixture.addUpstream(Fixture::upstreamRecord(1));
  const FlowPacket unknownRoute = fixture.synPacket(1, 9999);
  CHECK(fixture.decide(unknownRoute).m_action == Action::Reset);
  CHECK(fixture.decide(fixture.requestPacket(1, Token{ 77 })).m_action == Action::Reset);
  fixture.m_now += kMaxTrustedViewAge + Millis{ 1 };
  CHECK(fixture.decide(unknownRoute).m_action == Action::Drop);
  CHECK(fixture.decide(fixture.requestPacket(1, Token{ 77 })).m_action == Action::Drop);
}

TEST_CASE("a host that has just started resets flows with unknown tokens after the grace period")
{
  // All hosts of a data centre and its upstreams lost power, and callers continue to use their
  // established flows.
  Fixture fixture;
  const TimePoint loadedAt = fixture.m_now;
  const auto confirmRegistryView = [&fixture, loadedAt] {
    fixture.m_steering.setRegistryViewStatus(
      { .m_revision = { .m_number = 1 }, .m_confirmedAt = fixture.m_now, .m_loadedAt = loadedAt });
  };
  fixture.addUpstream(Fixture::upstreamRecord(1));
  confirmRegistryView();
  CHECK(fixture.decide(fixture.requestPacket(1, Token{ 77 })).m_action == Action::Drop);
  // Upstreams whose entries lapsed while the store was unavailable register again within two
  // seconds of its return.
  fixture.m_now = loadedAt + Millis{ 2000 };
  confirmRegistryView();
  CHECK(fixture.decide(fixture.requestPacket(2, Token{ 77 })).m_action == Action::Drop);
  fixture.m_now = loadedAt + Millis{ 2600 };
  confirmRegistryView();
  CHECK(fixture.decide(fixture.requestPacket(1, Token{ 77 })).m_action == Action::Reset);
  CHECK(fixture.decide(fixture.requestPacket(2, Token{ 77 })).m_action == Action::Reset);
}

TEST_CASE("a token identifies one process instance of one upstream")
{
  const Token token = makeToken(1, 1000);
  CHECK(token != makeToken(1, 1001));
  CHECK(token != makeToken(2, 1000));
  CHECK(token == makeToken(1, 1000));
}
