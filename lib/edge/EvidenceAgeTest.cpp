// Tests how long hosts act on what they saw of an upstream: not after a cut has ended, and for as
// long as it takes after the upstream has died.
#include "edge/HeartbeatFixture.h"

using namespace tamarack;
using namespace tamarack::edge;

namespace {

constexpr uint16_t kIdleCaller = 1;
constexpr uint16_t kSecondIdleCaller = 2;
constexpr uint16_t kFirstBusyCaller = 10;
constexpr uint16_t kBusyCallers = 8;

/// Runs upstream 1 with flows of idle and busy callers, then upstreams 2 to 6.
class EvidenceFixture : public HeartbeatFixture
{
public:
  /// `aPublishesHeartbeats` says whether the store publishes heartbeats that change nothing.
  explicit EvidenceFixture(bool aPublishesHeartbeats = true)
  {
    start(record(1));
    if (!aPublishesHeartbeats) {
      publishChangesOnly(2);
    }
    advance(Millis{ 4000 });
    for (const uint16_t caller : { kIdleCaller, kSecondIdleCaller }) {
      REQUIRE(openFlow(reader(), caller) == 1);
    }
    for (uint16_t caller = kFirstBusyCaller; caller < kFirstBusyCaller + kBusyCallers; ++caller) {
      REQUIRE(openFlow(reader(), caller) == 1);
    }
    for (uint64_t identity = 2; identity <= 6; ++identity) {
      start(record(identity));
    }
    advance(Millis{ 3000 });
  }

  /// The busy callers send requests that get no response, and repeat them until their flows are
  /// reset. Returns whether a request of the idle caller is rejected in the end.
  bool loseRequests()
  {
    for (uint16_t caller = kFirstBusyCaller; caller < kFirstBusyCaller + kBusyCallers; ++caller) {
      (void)sendRequest(reader(), caller);
    }
    for (const int waited : { 200, 400, 800 }) {
      advance(Millis{ waited });
      for (uint16_t caller = kFirstBusyCaller; caller < kFirstBusyCaller + kBusyCallers; ++caller) {
        (void)sendRequest(reader(), caller);
      }
    }
    return !sendRequest(reader(), kIdleCaller);
  }
};

} // namespace

TEST_CASE("a caller that was idle during a cut is served on its open flow after the cut")
{
  // Guards against review case 3: the verdict on the upstream outlived the cut that caused it.
  EvidenceFixture fixture;
  CHECK(fixture.loseRequests());
  CHECK(fixture.lastLogged(EventId::FlowReset).find("evidence_age_ms=") != std::string::npos);
  fixture.advance(Millis{ 4000 });
  CHECK(fixture.sendRequest(fixture.reader(), kSecondIdleCaller));
  // One lost packet of another caller is no verdict either.
  fixture.advance(Millis{ 200 });
  CHECK(fixture.sendRequest(fixture.reader(), kSecondIdleCaller));
  fixture.acknowledgeResponse(fixture.reader(), kSecondIdleCaller);
  CHECK(fixture.resets().contains(kSecondIdleCaller) == false);
}

TEST_CASE(
  "a caller that was idle during a cut is served after it although the entry of the upstream "
  "does not change")
{
  // The store does not publish heartbeats that change nothing, while the entry of upstream 2
  // changes.
  EvidenceFixture fixture(false);
  CHECK(fixture.loseRequests());
  fixture.advance(Millis{ 4000 });
  CHECK(fixture.sendRequest(fixture.reader(), kSecondIdleCaller));
  fixture.acknowledgeResponse(fixture.reader(), kSecondIdleCaller);
  CHECK(fixture.resets().contains(kSecondIdleCaller) == false);
}

TEST_CASE("a caller is served after a cut although the store answers nobody")
{
  // The silence of the store says nothing of the upstream.
  EvidenceFixture fixture;
  CHECK(fixture.loseRequests());
  fixture.m_isStoreUp = false;
  fixture.advance(Millis{ 4000 });
  CHECK(fixture.sendRequest(fixture.reader(), kSecondIdleCaller));
}

TEST_CASE("a request to an upstream that has died is rejected at once, however late it comes")
{
  for (const bool publishesHeartbeats : { true, false }) {
    for (const int waited : { 100, 1000, 2000, 3000, 4000, 8000, 30'000 }) {
      EvidenceFixture fixture(publishesHeartbeats);
      fixture.crash(1);
      CHECK(fixture.loseRequests());
      fixture.advance(Millis{ waited });
      CHECK_FALSE(fixture.sendRequest(fixture.reader(), kSecondIdleCaller));
    }
  }
}

TEST_CASE("while the packets of callers are lost, requests are rejected at once")
{
  EvidenceFixture fixture;
  CHECK(fixture.loseRequests());
  fixture.advance(Millis{ 1000 });
  CHECK_FALSE(fixture.sendRequest(fixture.reader(), kSecondIdleCaller));
}

TEST_CASE("reports of other hosts that came long apart do not make an upstream failed")
{
  EvidenceFixture fixture;
  steering::Upstream* upstream = nullptr;
  for (const auto& known : fixture.reader().directory().upstreams()) {
    upstream = known->m_name == "i-1" ? known.get() : upstream;
  }
  REQUIRE(upstream != nullptr);
  for (const uint32_t host : { 5, 6, 7, 8 }) {
    CHECK(upstream->m_health.onPeerReport(fixture.m_now, HostId{ host }));
    fixture.advance(Millis{ 5000 });
  }
  CHECK(upstream->m_health.onPeerReport(fixture.m_now, HostId{ 5 }));
  CHECK(fixture.sendRequest(fixture.reader(), kIdleCaller));
}
