// Tests through whole hosts that an entry of another writer takes nothing from a running upstream,
// and that a successor at an address gets it as soon as the upstream before has ended.
#include "edge/HeartbeatFixture.h"

using namespace tamarack;
using namespace tamarack::edge;

namespace {

constexpr uint16_t kCallers = 12;

/// Runs upstreams 1 to 6, with flows of the callers on each host.
void
startFlows(HeartbeatFixture& aFixture, std::map<uint16_t, uint64_t>& aUpstreams)
{
  for (uint64_t identity = 1; identity <= 6; ++identity) {
    aFixture.start(HeartbeatFixture::record(identity));
  }
  aFixture.advance(Millis{ 4000 });
  for (uint16_t caller = 1; caller <= 2 * kCallers; ++caller) {
    Host& host = caller <= kCallers ? aFixture.reader() : aFixture.follower();
    aUpstreams[caller] = aFixture.openFlow(host, caller);
    REQUIRE(aUpstreams[caller] != 0);
  }
}

/// Sends a request on each flow; returns the number that was not forwarded, by upstream.
std::map<uint64_t, int>
rejectedRequests(HeartbeatFixture& aFixture, const std::map<uint16_t, uint64_t>& aUpstreams)
{
  std::map<uint64_t, int> rejected;
  for (const auto& [caller, identity] : aUpstreams) {
    Host& host = caller <= kCallers ? aFixture.reader() : aFixture.follower();
    if (aFixture.sendRequest(host, caller)) {
      aFixture.acknowledgeResponse(host, caller);
    } else {
      ++rejected[identity];
    }
  }
  return rejected;
}

} // namespace

TEST_CASE("an entry of another writer with the address of a running upstream resets no open flow")
{
  // Guards against review case 1: all hosts took the upstream for ended, for good.
  for (const char* service : { "kilnlog-test", "reports", "manuals" }) {
    HeartbeatFixture fixture;
    std::map<uint16_t, uint64_t> upstreams;
    startFlows(fixture, upstreams);
    registry::UpstreamRecord foreign = HeartbeatFixture::record(1);
    foreign.m_service = service;
    foreign.m_identity = 0x0badcafe;
    foreign.m_startedAtMs = 16'000;
    fixture.write("i-0badcafe", foreign);
    for (int second = 0; second < 8; ++second) {
      fixture.advance(Millis{ 1000 });
      CHECK(rejectedRequests(fixture, upstreams).empty());
    }
    CHECK(fixture.resets().empty());
    CHECK(fixture.countLogged(EventId::UpstreamEnded) == 0);
    std::set<uint64_t> chosen;
    for (uint16_t caller = 100; caller < 160; ++caller) {
      chosen.insert(fixture.openFlow(fixture.follower(), caller));
    }
    CHECK(chosen == std::set<uint64_t>{ 1, 2, 3, 4, 5, 6 });
  }
}

TEST_CASE("open flows of an upstream that crashed are reset once a successor has its address")
{
  HeartbeatFixture fixture;
  std::map<uint16_t, uint64_t> upstreams;
  startFlows(fixture, upstreams);
  fixture.crash(1);
  // Addresses are assigned again after 2 s, before the entry expires.
  fixture.advance(Millis{ 2000 });
  registry::UpstreamRecord successor = HeartbeatFixture::record(1);
  successor.m_service = "manuals";
  successor.m_identity = 7;
  successor.m_startedAtMs = 16'000;
  fixture.start(successor);
  fixture.advance(Millis{ 200 });
  const std::map<uint64_t, int> rejected = rejectedRequests(fixture, upstreams);
  REQUIRE(rejected.size() == 1);
  CHECK(rejected.begin()->first == 1);
  const std::string verdict = fixture.lastLogged(EventId::UpstreamEnded);
  CHECK(verdict.find("by=i-7") != std::string::npos);
  CHECK(verdict.find("holder_unheard_ms=2") != std::string::npos);
  CHECK(verdict.find("started_later_ms=15000") != std::string::npos);
}

TEST_CASE("an upstream that was taken for ended serves again with its next heartbeat")
{
  HeartbeatFixture fixture;
  std::map<uint16_t, uint64_t> upstreams;
  startFlows(fixture, upstreams);
  // The upstream is cut off from the store while another writer's entry is renewed.
  registry::UpstreamRecord foreign = HeartbeatFixture::record(1);
  foreign.m_identity = 7;
  foreign.m_startedAtMs = 16'000;
  fixture.start(foreign);
  fixture.crash(1);
  fixture.advance(Millis{ 3000 });
  fixture.start(HeartbeatFixture::record(1));
  fixture.advance(Millis{ 200 });
  CHECK(rejectedRequests(fixture, upstreams).empty());
}

TEST_CASE("a successor is used although it is the only other upstream and the entry before stays")
{
  HeartbeatFixture fixture;
  fixture.start(HeartbeatFixture::record(1));
  fixture.advance(Millis{ 4000 });
  REQUIRE(fixture.openFlow(fixture.reader(), 1) == 1);
  REQUIRE(fixture.openFlow(fixture.follower(), 2) == 1);
  fixture.stopHeartbeats(1);
  fixture.advance(Millis{ 2000 });
  registry::UpstreamRecord successor = HeartbeatFixture::record(1);
  successor.m_identity = 2;
  successor.m_startedAtMs = 16'000;
  fixture.start(successor);
  fixture.advance(Millis{ 1500 });
  CHECK_FALSE(fixture.sendRequest(fixture.reader(), 1));
  CHECK_FALSE(fixture.sendRequest(fixture.follower(), 2));
  CHECK(fixture.openFlow(fixture.reader(), 3) == 2);
  CHECK(fixture.openFlow(fixture.follower(), 4) == 2);
}
