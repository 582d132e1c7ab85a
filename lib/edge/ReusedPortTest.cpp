// Tests that a host keeps the flows from one port apart: a caller that uses a port again is served
// as the newest configuration says, and the packets of its new flow are not judged by the old one.
#include "edge/HeartbeatFixture.h"

using namespace tamarack;
using namespace tamarack::edge;

namespace {

constexpr uint16_t kCaller = 7;
constexpr uint32_t kFirstSequence = 100;

registry::UpstreamRecord
manualsRecord(uint64_t aIdentity)
{
  registry::UpstreamRecord record = HeartbeatFixture::record(aIdentity);
  record.m_service = "manuals";
  return record;
}

/// Runs upstreams 1 and 2 of the service that the routes use, and 3 and 4 of another one.
class PortFixture : public HeartbeatFixture
{
public:
  PortFixture()
  {
    for (const uint64_t identity : { 1, 2 }) {
      start(record(identity));
      start(manualsRecord(identity + 2));
    }
    advance(Millis{ 4000 });
  }
};

} // namespace

TEST_CASE("a copy of a SYN from a port in use again goes to the service of the newest "
          "configuration")
{
  // Guards against review case 4: the copy went to the upstream of the port's former flow.
  for (const bool isClosed : { true, false }) {
    for (const uint32_t copy : { 1, 2 }) {
      for (const uint32_t sequence : { kFirstSequence, 0xbadcafeU }) {
        PortFixture fixture;
        REQUIRE(fixture.openFlow(fixture.reader(), kCaller, kEntryPort) <= 2);
        CHECK(fixture.sendRequest(fixture.reader(), kCaller));
        fixture.acknowledgeResponse(fixture.reader(), kCaller);
        if (isClosed) {
          fixture.closeFlow(fixture.reader(), kCaller);
        }
        fixture.setRoutes("manuals");
        fixture.advance(Millis{ 64'000 });
        // The first SYN was lost with another host.
        const uint64_t identity =
          fixture.sendSyn(fixture.reader(), kCaller, kEntryPort, copy, sequence);
        CHECK((identity == 3 || identity == 4));
        CHECK(fixture.reader().steering().counters().m_synCopiesForwarded == 0);
      }
    }
  }
}

TEST_CASE("a copy of a SYN from a port in use again goes to no upstream that drains")
{
  PortFixture fixture;
  const uint64_t former = fixture.openFlow(fixture.reader(), kCaller);
  fixture.closeFlow(fixture.reader(), kCaller);
  registry::UpstreamRecord draining = HeartbeatFixture::record(former);
  draining.m_state = registry::UpstreamState::Draining;
  fixture.start(draining);
  fixture.advance(Millis{ 10'000 });
  const uint64_t identity =
    fixture.sendSyn(fixture.reader(), kCaller, kFeedPort, 1, kFirstSequence + 12'345);
  CHECK(identity == 3 - former);
}

TEST_CASE("a copy of the SYN of a young flow reaches the upstream that has the flow")
{
  for (const bool hasSentRequest : { false, true }) {
    for (const int waited : { 1, 100, 200, 600, 2000 }) {
      PortFixture fixture;
      const uint64_t identity = fixture.openFlow(fixture.reader(), kCaller, kEntryPort);
      if (hasSentRequest) {
        CHECK(fixture.sendRequest(fixture.reader(), kCaller));
        fixture.acknowledgeResponse(fixture.reader(), kCaller);
      }
      fixture.setRoutes("manuals");
      fixture.m_now += Millis{ waited };
      CHECK(fixture.sendSyn(fixture.reader(), kCaller, kEntryPort, 1) == identity);
    }
  }
  // The handshake is under way, and the copies arrive together.
  PortFixture fixture;
  const uint64_t identity = fixture.sendSyn(fixture.reader(), kCaller);
  CHECK(fixture.sendSyn(fixture.reader(), kCaller, kFeedPort, 1) == identity);
  CHECK(fixture.sendSyn(fixture.reader(), kCaller, kFeedPort, 2) == identity);
  CHECK(fixture.reader().steering().counters().m_synCopiesForwarded == 2);
}

TEST_CASE("a copy of a SYN does not go to an upstream that has ended")
{
  PortFixture fixture;
  const uint64_t identity = fixture.openFlow(fixture.reader(), kCaller);
  registry::UpstreamRecord restarted = HeartbeatFixture::record(identity);
  restarted.m_startedAtMs = 9000;
  fixture.write(HeartbeatFixture::nameOf(identity), restarted);
  fixture.m_now += Millis{ 100 };
  fixture.advance(kTestTick);
  const steering::Token former = steering::makeToken(identity, 1000);
  REQUIRE(fixture.reader().directory().findUpstream(former)->m_registration ==
          steering::RegistrationState::Ended);
  const auto decision =
    fixture.reader().decide(fixture.m_now,
                            { .m_flow = HeartbeatFixture::flow(kCaller, kFeedPort),
                              .m_isSyn = true,
                              .m_synRetransmissions = 1,
                              .m_sequence = kFirstSequence });
  CHECK(decision.m_action == steering::Action::Forward);
  CHECK(decision.m_token != former);
}

TEST_CASE("the first packets of a flow are not judged by the state of a former flow from its port")
{
  // The new flow has the upstream of the former one, and its SYN went through another host. Its
  // sequence numbers are lower, and the former request was never answered here.
  PortFixture fixture;
  fixture.crash(2);
  fixture.advance(3 * kHeartbeatInterval);
  for (uint16_t caller = 1; caller <= 8; ++caller) {
    REQUIRE(fixture.sendSyn(fixture.reader(), caller, kFeedPort, 0, 1'000'000) == 1);
    fixture.completeHandshake(fixture.reader(), caller);
    CHECK(fixture.sendRequest(fixture.reader(), caller));
  }
  fixture.advance(Millis{ 64'000 });
  for (uint16_t caller = 1; caller <= 8; ++caller) {
    REQUIRE(fixture.sendSyn(fixture.follower(), caller) == 1);
    CHECK(fixture.sendRequest(fixture.reader(), caller));
  }
  const auto* const upstream =
    fixture.reader().directory().findUpstream(steering::makeToken(1, 1000));
  REQUIRE(upstream != nullptr);
  CHECK(upstream->m_health.evidence() == 0);
  fixture.advance(Millis{ 200 });
  CHECK(fixture.resets().empty());
  CHECK(fixture.sendRequest(fixture.reader(), 1));
}
