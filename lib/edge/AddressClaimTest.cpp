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

/// The entry of a process that started 15 s after upstream 1, at its address.
registry::UpstreamRecord
restartedRecord()
{
  registry::UpstreamRecord record = HeartbeatFixture::record(1);
  record.m_identity = 7;
  record.m_startedAtMs = 16'000;
  return record;
}

/// Lets upstream 1 crash and start again as upstream 7, with idle flows of the callers from 200 on.
/// The store publishes changes of entries only, and upstream 6 changes its entry all the time.
void
restartUpstream(HeartbeatFixture& aFixture, std::vector<uint16_t>& aIdleCallers)
{
  std::map<uint16_t, uint64_t> upstreams;
  startFlows(aFixture, upstreams);
  aFixture.publishChangesOnly(6);
  aFixture.crash(1);
  aFixture.advance(Millis{ 5000 });
  aFixture.start(restartedRecord());
  aFixture.advance(Millis{ 200 });
  for (uint16_t caller = 200; caller < 300; ++caller) {
    Host& host = caller % 2 == 0 ? aFixture.reader() : aFixture.follower();
    if (aFixture.openFlow(host, caller) == 7) {
      aIdleCallers.push_back(caller);
    }
  }
  REQUIRE(aIdleCallers.size() > 2);
}

/// Number of the idle callers whose next request is not forwarded.
int
countRejected(HeartbeatFixture& aFixture, std::span<const uint16_t> aIdleCallers)
{
  return static_cast<int>(std::ranges::count_if(aIdleCallers, [&](uint16_t aCaller) {
    Host& host = aCaller % 2 == 0 ? aFixture.reader() : aFixture.follower();
    return !aFixture.sendRequest(host, aCaller);
  }));
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

TEST_CASE("a late write of the process before a restart resets no open flow of the running one")
{
  // The write was held up by a cut and arrives after the successor has registered.
  for (const int delay : { 100, 1000, 2100, 3000, 5000 }) {
    for (const int idleTime : { 100, 1500, 2500, 3500, 6000 }) {
      CAPTURE(delay);
      CAPTURE(idleTime);
      HeartbeatFixture fixture;
      std::vector<uint16_t> idleCallers;
      restartUpstream(fixture, idleCallers);
      fixture.advance(Millis{ delay });
      fixture.writeLate(HeartbeatFixture::record(1));
      fixture.advance(Millis{ idleTime });
      CHECK(countRejected(fixture, idleCallers) == 0);
      const uint64_t chosen = fixture.openFlow(fixture.reader(), 400);
      CHECK((chosen != 0 && chosen != 1));
    }
  }
}

TEST_CASE("a late write of the process before a restart resets no open flow of the running one "
          "while that one is cut off from the store")
{
  for (const int idleTime : { 100, 1500, 2500, 3500, 6000 }) {
    CAPTURE(idleTime);
    HeartbeatFixture fixture;
    std::vector<uint16_t> idleCallers;
    restartUpstream(fixture, idleCallers);
    fixture.crash(7);
    fixture.advance(Millis{ 4000 });
    fixture.writeLate(HeartbeatFixture::record(1));
    fixture.advance(Millis{ idleTime });
    CHECK(countRejected(fixture, idleCallers) == 0);
  }
}

TEST_CASE("late writes of a former process in any interval reset no open flow")
{
  for (const int interval : { 100, 1200, 2000, 2100, 2400, 2700 }) {
    CAPTURE(interval);
    HeartbeatFixture fixture;
    std::vector<uint16_t> idleCallers;
    restartUpstream(fixture, idleCallers);
    fixture.advance(Millis{ 3000 });
    fixture.writeLate(HeartbeatFixture::record(1));
    fixture.advance(Millis{ interval });
    fixture.writeLate(HeartbeatFixture::record(1));
    fixture.advance(Millis{ 2500 });
    CHECK(countRejected(fixture, idleCallers) == 0);
  }
}

TEST_CASE("new flows reach a restarted upstream on a host that starts after a late write")
{
  // The host loads the entry of the former process, which was written last, and the other one.
  HeartbeatFixture fixture;
  fixture.start(restartedRecord());
  fixture.writeLate(HeartbeatFixture::record(1));
  fixture.advance(Millis{ 100 });
  CHECK(fixture.openFlow(fixture.reader(), 1) == 7);
  CHECK(fixture.openFlow(fixture.follower(), 2) == 7);
}
