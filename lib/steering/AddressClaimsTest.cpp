// Tests what becomes of the flows of an upstream whose address a second entry names. Each test says
// what callers see; the second entry is that of a successor or of another writer.
#include "steering/SteeringFixture.h"

using namespace tamarack;
using namespace tamarack::steering;

namespace {

constexpr Millis kHeartbeat{ 1200 };

/// The entry "i-2", or a copy of it under another name, with the address of upstream 1.
registry::UpstreamRecord
secondEntry(const std::string& aService)
{
  registry::UpstreamRecord record = Fixture::upstreamRecord(2);
  record.m_address = Fixture::upstreamRecord(1).m_address;
  record.m_startedAtMs = 2000;
  record.m_service = aService;
  return record;
}

/// Lets time pass in which upstreams 1 and 3 send heartbeats, or only upstream 3.
void
sendHeartbeats(Fixture& aFixture, int aCount, bool aIsFirstAlive = true)
{
  for (int beat = 0; beat < aCount; ++beat) {
    aFixture.advance(kHeartbeat / 2);
    if (aIsFirstAlive) {
      aFixture.renewEntry("i-1");
    }
    aFixture.advance(kHeartbeat / 2);
    aFixture.renewEntry("i-3");
  }
}

/// A fixture with upstreams 1 and 3 and a flow of caller 1 on upstream 1.
class ClaimFixture : public Fixture
{
public:
  ClaimFixture()
  {
    addService("manuals");
    addUpstream(upstreamRecord(1));
    m_token = openFlow(1);
    completeHandshake(1, m_token);
    addUpstream(upstreamRecord(3));
    sendHeartbeats(*this, 3);
  }

  /// Whether a request of caller 1 reaches upstream 1.
  bool isServed(uint16_t aPort = kIdempotentPort)
  {
    m_sequence += 200;
    const ForwardingDecision decision = decide(requestPacket(1, m_token, m_sequence, 1, aPort));
    return decision.m_action == Action::Forward && decision.m_identity == 1;
  }

  /// Number of the new flows of 20 callers that reach an upstream.
  int countNewFlows(uint64_t aIdentity)
  {
    int flows = 0;
    for (uint16_t caller = 1; caller <= 20; ++caller) {
      const ForwardingDecision decision = decide(synPacket(++m_caller));
      flows += decision.m_identity == aIdentity ? 1 : 0;
      completeHandshake(m_caller, decision.m_token);
    }
    return flows;
  }

  Token m_token;
  uint32_t m_sequence{ 101 };
  uint16_t m_caller{ 100 };
};

} // namespace

TEST_CASE("an entry of a service that no configuration names leaves the open flows of the upstream "
          "whose address it lists alone")
{
  // Guards against review case 1: hosts took the upstream for ended and reset its flows.
  ClaimFixture fixture;
  fixture.addEntry("i-0badcafe", secondEntry("kilnlog-test"));
  CHECK(fixture.isServed());
  CHECK(fixture.m_steering.resetStalledFlows(fixture.m_now).empty());
  CHECK(fixture.countNewFlows(1) > 0);
  // The entry is renewed, and that of the upstream expires while it is cut off from the store.
  for (int beat = 0; beat < 3; ++beat) {
    sendHeartbeats(fixture, 1, false);
    fixture.renewEntry("i-0badcafe");
  }
  CHECK(fixture.isServed());
  fixture.removeUpstream(1);
  CHECK(fixture.isServed());
}

TEST_CASE("an entry of another writer with the address of a running upstream takes no flow from it")
{
  ClaimFixture fixture;
  for (const char* service : { "reports", "manuals" }) {
    fixture.addEntry(std::string("i-of-") + service, secondEntry(service));
    for (int beat = 0; beat < 5; ++beat) {
      CHECK(fixture.isServed());
      CHECK(fixture.m_steering.resetStalledFlows(fixture.m_now).empty());
      CHECK(fixture.countNewFlows(1) > 0);
      CHECK(fixture.countNewFlows(2) == 0);
      sendHeartbeats(fixture, 1);
    }
  }
}

TEST_CASE("an entry of another writer does not end an upstream while the store answers nobody")
{
  ClaimFixture fixture;
  fixture.addEntry("i-0badcafe", secondEntry("reports"));
  for (int second = 0; second < 5; ++second) {
    fixture.advance(Millis{ 1000 });
    CHECK(fixture.isServed());
  }
  // The upstream registers again within two seconds of the return of the store.
  fixture.renewEntry("i-3");
  fixture.renewEntry("i-0badcafe");
  fixture.advance(Millis{ 1000 });
  fixture.renewEntry("i-3");
  CHECK(fixture.isServed());
  fixture.advance(Millis{ 800 });
  fixture.renewEntry("i-1");
  sendHeartbeats(fixture, 3);
  CHECK(fixture.isServed());
}

TEST_CASE("a copy of the entry of an upstream takes no flow from it")
{
  // The copy has the identity and the start time of the upstream, and hence its token.
  ClaimFixture fixture;
  fixture.addEntry("copy-1", Fixture::upstreamRecord(1));
  CHECK(fixture.isServed());
  CHECK(fixture.countNewFlows(1) > 0);
  registry::UpstreamRecord draining = Fixture::upstreamRecord(1);
  draining.m_state = UpstreamState::Draining;
  fixture.addUpstream(draining);
  CHECK(fixture.countNewFlows(1) == 0);
  CHECK(fixture.isServed());
}

TEST_CASE("an entry of another writer in the place of an upstream's entry leaves open flows alone")
{
  ClaimFixture fixture;
  fixture.addEntry("i-1", secondEntry("kilnlog-test"));
  CHECK(fixture.isServed());
  CHECK(fixture.countNewFlows(1) == 0);
  // The next heartbeat replaces the entry, and the upstream is the one known before.
  fixture.addUpstream(Fixture::upstreamRecord(1));
  CHECK(fixture.isServed());
  CHECK(fixture.countNewFlows(1) > 0);
  CHECK(fixture.m_directory.findUpstream(fixture.m_token)->m_record.m_service == "reports");
}

TEST_CASE("requests to an upstream that was replaced at its address are reset at once")
{
  // The address is assigned again 2 s after the end of the upstream, before its entry expires.
  for (const char* service : { "reports", "manuals" }) {
    ClaimFixture fixture;
    for (int step = 0; step < 4; ++step) {
      fixture.advance(Millis{ 500 });
      fixture.renewEntry("i-3");
    }
    CHECK(fixture.isServed());
    const registry::UpstreamRecord successor = secondEntry(service);
    fixture.addUpstream(successor);
    fixture.renewEntry("i-2");
    CHECK(fixture.m_steering.resetStalledFlows(fixture.m_now).size() == 1);
    CHECK(fixture.decide(fixture.requestPacket(1, fixture.m_token, 1101)).m_error ==
          ErrorKind::UpstreamGone);
    CHECK(fixture.countNewFlows(1) == 0);
    CHECK((fixture.countNewFlows(2) > 0) == (successor.m_service == "reports"));
  }
}

TEST_CASE("requests to an upstream whose entry is gone are reset when another has its address")
{
  ClaimFixture fixture;
  fixture.removeUpstream(1);
  fixture.addUpstream(secondEntry("manuals"));
  CHECK(fixture.decide(fixture.requestPacket(1, fixture.m_token, 501)).m_error ==
        ErrorKind::UpstreamGone);
}

TEST_CASE("a successor at an address gets new flows although the entry before was never removed")
{
  ClaimFixture fixture;
  fixture.addUpstream(secondEntry("reports"));
  CHECK(fixture.countNewFlows(2) == 0);
  for (int beat = 0; beat < 2; ++beat) {
    sendHeartbeats(fixture, 1, false);
    fixture.renewEntry("i-2");
  }
  CHECK(fixture.countNewFlows(2) > 0);
  CHECK(fixture.decide(fixture.requestPacket(1, fixture.m_token, 501)).m_error ==
        ErrorKind::UpstreamGone);
  // The upstream before was only cut off from the store: its flows go on once it is heard.
  fixture.renewEntry("i-1");
  CHECK(fixture.isServed());
}

TEST_CASE("a host that starts gives an address to the upstream whose entry is renewed")
{
  // The host loads both entries at once; the one of another writer was written last.
  Fixture fixture;
  fixture.addUpstream(Fixture::upstreamRecord(1));
  fixture.addUpstream(Fixture::upstreamRecord(3));
  fixture.addUpstream(secondEntry("reports"));
  const Token token = makeToken(1, 1000);
  CHECK(fixture.decide(fixture.requestPacket(1, token)).m_action == Action::Forward);
  sendHeartbeats(fixture, 3);
  CHECK(fixture.decide(fixture.requestPacket(1, token, 301)).m_action == Action::Forward);
  CHECK(fixture.upstream(token).acceptsNewFlows());
  CHECK_FALSE(fixture.upstream(makeToken(2, 2000)).acceptsNewFlows());
}

TEST_CASE("an upstream whose entry names another address is reached there, and the former address "
          "is free")
{
  // Guards against a dangling reference: the former address kept naming the upstream after it was
  // forgotten.
  ClaimFixture fixture;
  registry::UpstreamRecord moved = Fixture::upstreamRecord(1);
  moved.m_port = 9000;
  fixture.addUpstream(moved);
  CHECK(fixture.decide(fixture.requestPacket(1, fixture.m_token, 501)).m_port == 9000);
  fixture.removeUpstream(1);
  fixture.advance(kTokenRetention + Millis{ 100 });
  fixture.addUpstream(secondEntry("reports"));
  CHECK(fixture.countNewFlows(2) > 0);
}

TEST_CASE(
  "a host that starts sends the packets of open flows to the upstream, not to a copy of its "
  "entry with another address")
{
  // The copy has the token of the upstream, and comes first or last in the listing.
  for (const bool isCopyFirst : { true, false }) {
    Fixture fixture;
    registry::UpstreamRecord copy = Fixture::upstreamRecord(1);
    copy.m_port = 9000;
    if (isCopyFirst) {
      fixture.addEntry("copy-1", copy);
    }
    fixture.addUpstream(Fixture::upstreamRecord(1));
    if (!isCopyFirst) {
      fixture.addEntry("copy-1", copy);
    }
    fixture.addUpstream(Fixture::upstreamRecord(3));
    sendHeartbeats(fixture, 3);
    const Token token = makeToken(1, 1000);
    CHECK(fixture.decide(fixture.requestPacket(1, token)).m_port ==
          Fixture::upstreamRecord(1).m_port);
    CHECK(fixture.upstream(token).acceptsNewFlows());
  }
}

TEST_CASE("an upstream whose token another one had gets new flows once that one has ended")
{
  Fixture fixture;
  fixture.addEntry("copy-1", Fixture::upstreamRecord(1));
  sendHeartbeats(fixture, 1);
  registry::UpstreamRecord elsewhere = Fixture::upstreamRecord(1);
  elsewhere.m_port = 9000;
  fixture.addEntry("other-1", elsewhere);
  fixture.apply(
    { { RecordKind::Upstream, "copy-1" }, fixture.nextRevision(), std::nullopt, false });
  fixture.advance(kTokenRetention + Millis{ 100 });
  fixture.renewEntry("other-1");
  CHECK(fixture.decide(fixture.synPacket(9)).m_port == 9000);
}

TEST_CASE("entries that claimed an address for a while leave nothing behind")
{
  // Guards against claims and held entries that outlast the upstreams that they belong to.
  ClaimFixture fixture;
  constexpr int kClaimants = 500;
  for (int index = 0; index < kClaimants; ++index) {
    registry::UpstreamRecord record = secondEntry("reports");
    record.m_identity = 1000 + static_cast<uint64_t>(index);
    record.m_startedAtMs = index % 2 == 0 ? 500 : 2000 + index;
    const std::string name = "late-" + std::to_string(index);
    fixture.addEntry(name, record);
    record.m_startedAtMs -= 100;
    fixture.addEntry(name, record);
    fixture.apply({ { RecordKind::Upstream, name }, fixture.nextRevision(), std::nullopt, false });
    CHECK(fixture.isServed());
  }
  CHECK(fixture.m_directory.heldRecordCount() == 0);
  const size_t retentionBeats = static_cast<size_t>(kTokenRetention / kHeartbeat) + 2;
  sendHeartbeats(fixture, static_cast<int>(retentionBeats));
  CHECK(fixture.m_directory.upstreams().size() == 2);
  CHECK(fixture.isServed());
  CHECK(fixture.countNewFlows(1) > 0);
}
