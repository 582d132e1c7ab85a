// Tests the assignment of new flows after the store was restored from a backup. Entries and orders
// that contradict the known state are presumed outdated until their owners have had time to write
// them again.
#include "steering/SteeringFixture.h"

#include <doctest/doctest.h>
#include <set>

using namespace tamarack;
using namespace tamarack::steering;

namespace {

Change
restoredEntry(const registry::UpstreamRecord& aRecord, uint64_t aNumber)
{
  return { .m_key = { RecordKind::Upstream, "i-" + std::to_string(aRecord.m_identity) },
           .m_revision = { .m_history = 1, .m_number = aNumber },
           .m_record = aRecord,
           .m_isRestored = true };
}

Change
restoredRemoval(uint64_t aIdentity)
{
  return { .m_key = { RecordKind::Upstream, "i-" + std::to_string(aIdentity) },
           .m_revision = { .m_history = 1, .m_number = 50 },
           .m_record = std::nullopt,
           .m_mayReturn = true,
           .m_isRestored = true };
}

Change
dataCentreOrder(const std::string& aDataCentre, bool aIsOut, bool aIsRestored)
{
  Change change{ .m_key = { RecordKind::EvacuatedDataCentre, aDataCentre },
                 .m_revision = { .m_history = 1, .m_number = 60 },
                 .m_record = std::nullopt,
                 .m_isRestored = aIsRestored };
  if (aIsOut) {
    change.m_record = registry::EvacuatedDataCentreRecord{};
  }
  return change;
}

registry::UpstreamRecord
drainingRecord(uint64_t aIdentity)
{
  registry::UpstreamRecord record = Fixture::upstreamRecord(aIdentity);
  record.m_state = registry::UpstreamState::Draining;
  return record;
}

/// Opens flows and returns the identities of the upstreams that they are assigned to.
std::set<uint64_t>
upstreamsOfNewFlows(Fixture& aFixture)
{
  std::set<uint64_t> identities;
  for (uint16_t caller = 1; caller <= 60; ++caller) {
    const ForwardingDecision decision = aFixture.decide(aFixture.synPacket(caller));
    if (decision.m_action == Action::Forward) {
      identities.insert(decision.m_identity);
      aFixture.completeHandshake(caller, decision.m_token);
    }
  }
  return identities;
}

} // namespace

TEST_CASE("a restored entry does not bring new flows to an upstream that drained or left")
{
  Fixture fixture;
  fixture.addUpstream(Fixture::upstreamRecord(1));
  fixture.addUpstream(Fixture::upstreamRecord(2));
  fixture.addUpstream(Fixture::upstreamRecord(3));
  fixture.addUpstream(drainingRecord(2));
  fixture.removeUpstream(3);
  fixture.apply(restoredEntry(Fixture::upstreamRecord(2), 20));
  fixture.apply(restoredEntry(Fixture::upstreamRecord(3), 21));
  CHECK(fixture.m_directory.heldRecordCount() == 2);
  fixture.advance(kRestoredRecordHoldTime - Millis{ 100 });
  CHECK(upstreamsOfNewFlows(fixture) == std::set<uint64_t>{ 1 });

  // Nobody renews the entry of upstream 3, which left; upstream 2 registers again as draining.
  Change removal = restoredRemoval(3);
  removal.m_isRestored = false;
  fixture.apply(removal);
  fixture.addUpstream(drainingRecord(2));
  fixture.advance(kRestoredRecordHoldTime);
  CHECK(fixture.m_directory.heldRecordCount() == 0);
  CHECK(upstreamsOfNewFlows(fixture) == std::set<uint64_t>{ 1 });
}

TEST_CASE("a re-registered upstream, or a restored entry after three heartbeats, gets new flows")
{
  Fixture fixture;
  fixture.addUpstream(Fixture::upstreamRecord(1));
  fixture.addUpstream(Fixture::upstreamRecord(2));
  fixture.removeUpstream(1);
  fixture.removeUpstream(2);
  fixture.apply(restoredEntry(Fixture::upstreamRecord(1), 20));
  fixture.apply(restoredEntry(Fixture::upstreamRecord(2), 21));
  fixture.addUpstream(Fixture::upstreamRecord(2));
  CHECK(upstreamsOfNewFlows(fixture) == std::set<uint64_t>{ 2 });
  fixture.advance(kRestoredRecordHoldTime);
  CHECK(upstreamsOfNewFlows(fixture) == std::set<uint64_t>{ 1, 2 });
}

TEST_CASE("an upstream whose registration was lost keeps serving for the grace period")
{
  Fixture fixture;
  fixture.addUpstream(Fixture::upstreamRecord(1));
  fixture.addUpstream(Fixture::upstreamRecord(2));
  fixture.apply(restoredRemoval(2));
  fixture.advance(Millis{ 2000 });
  CHECK(upstreamsOfNewFlows(fixture) == std::set<uint64_t>{ 1, 2 });
  fixture.advance(kLapseGracePeriod);
  CHECK(upstreamsOfNewFlows(fixture) == std::set<uint64_t>{ 1 });
}

TEST_CASE("a restored entry of an earlier process instance does not replace the current one")
{
  Fixture fixture;
  registry::UpstreamRecord present = Fixture::upstreamRecord(1);
  present.m_startedAtMs = 5000;
  fixture.addUpstream(present);
  const Token token = fixture.openFlow(1);
  fixture.apply(restoredEntry(Fixture::upstreamRecord(1), 20));
  CHECK(fixture.openFlow(2) == token);
  fixture.advance(Millis{ 1200 });
  fixture.addUpstream(present);
  fixture.advance(kRestoredRecordHoldTime);
  CHECK(fixture.openFlow(3) == token);
}

TEST_CASE("a data centre stays out of service while operators repeat a lost order")
{
  Fixture fixture;
  fixture.addUpstream(Fixture::upstreamRecord(1));
  fixture.addUpstream(Fixture::upstreamRecord(2, "far"));
  fixture.apply(dataCentreOrder("far", true, false));
  fixture.apply(dataCentreOrder("far", false, true));
  CHECK(upstreamsOfNewFlows(fixture) == std::set<uint64_t>{ 1 });
  fixture.advance(Millis{ 3000 });
  fixture.apply(dataCentreOrder("far", true, false));
  fixture.advance(kDataCentreOutHoldTime);
  CHECK(upstreamsOfNewFlows(fixture) == std::set<uint64_t>{ 1 });

  // A second restored store loses the order again, and this time no operator repeats it.
  fixture.apply(dataCentreOrder("far", false, true));
  fixture.advance(kDataCentreOutHoldTime - Millis{ 100 });
  CHECK(upstreamsOfNewFlows(fixture) == std::set<uint64_t>{ 1 });
  fixture.advance(Millis{ 100 });
  fixture.advance(Millis{ 2000 } + kColdReportDelay);
  for (const auto& upstream : fixture.m_directory.upstreams()) {
    CHECK(upstream->acceptsNewFlows());
  }
}

TEST_CASE("established flows continue while records are held back")
{
  Fixture fixture;
  fixture.addUpstream(Fixture::upstreamRecord(1));
  const Token token = fixture.openFlow(1);
  fixture.completeHandshake(1, token);
  fixture.apply(restoredRemoval(1));
  CHECK(fixture.decide(fixture.requestPacket(1, token)).m_action == Action::Forward);
  fixture.advance(kLapseGracePeriod + Millis{ 1000 });
  CHECK(fixture.decide(fixture.requestPacket(1, token, 301)).m_action == Action::Forward);
}
