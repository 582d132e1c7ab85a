// Tests through whole hosts that open flows of a living upstream are not reset because its entry
// was removed, replaced or restored from a backup, or has not arrived yet, and that flows of an
// upstream that has ended are reset all the same.
#include "edge/FleetFixture.h"
#include "edge/HeartbeatFixture.h"

using namespace tamarack;
using namespace tamarack::edge;

namespace {

constexpr Millis kRequestInterval{ 300 };
/// A running upstream registers again at most this long after it reaches the store again.
constexpr Millis kReturnTime{ 1900 };
/// The flow of each caller leads to the upstream with this identity.
using Flows = std::map<uint16_t, uint64_t>;

/// The first half of the callers uses the reader, the second half the follower.
constexpr uint16_t kCallersPerHost = 40;

Host&
hostOf(HeartbeatFixture& aFixture, uint16_t aCaller)
{
  return aCaller <= kCallersPerHost ? aFixture.reader() : aFixture.follower();
}

Flows
openFlows(HeartbeatFixture& aFixture)
{
  Flows flows;
  for (uint16_t caller = 1; caller <= 2 * kCallersPerHost; ++caller) {
    flows[caller] = aFixture.openFlow(hostOf(aFixture, caller), caller);
    REQUIRE(flows[caller] != 0);
  }
  return flows;
}

/// Sends a request on each flow and acknowledges its response; returns the number of requests that
/// were not forwarded, by upstream.
std::map<uint64_t, int>
rejectedRequests(HeartbeatFixture& aFixture, const Flows& aFlows)
{
  std::map<uint64_t, int> rejected;
  for (const auto& [caller, identity] : aFlows) {
    Host& host = hostOf(aFixture, caller);
    if (aFixture.sendRequest(host, caller)) {
      aFixture.acknowledgeResponse(host, caller);
    } else {
      ++rejected[identity];
    }
  }
  return rejected;
}

/// Checks for `aTime` that all requests on the flows are forwarded and no flow is reset.
void
checkServed(HeartbeatFixture& aFixture, const Flows& aFlows, Millis aTime)
{
  for (const TimePoint end = aFixture.m_now + aTime; aFixture.m_now < end;) {
    aFixture.advance(kRequestInterval);
    CHECK(rejectedRequests(aFixture, aFlows).empty());
    CHECK(aFixture.resets().empty());
  }
}

registry::UpstreamRecord
drainingRecord(uint64_t aIdentity)
{
  registry::UpstreamRecord record = HeartbeatFixture::record(aIdentity);
  record.m_state = registry::UpstreamState::Draining;
  return record;
}

registry::UpstreamRecord
recordOfProcess(uint64_t aIdentity, int64_t aStartedAtMs)
{
  registry::UpstreamRecord record = HeartbeatFixture::record(aIdentity);
  record.m_startedAtMs = aStartedAtMs;
  return record;
}

/// A store that was restored from a backup and begins history 1. The hosts of a HeartbeatFixture
/// follow it from then on.
class RestoredStore
{
public:
  RestoredStore(HeartbeatFixture& aFixture, const std::vector<registry::UpstreamRecord>& aEntries)
    : m_fixture(aFixture)
    , m_restoredAt(aFixture.m_now)
  {
    m_fixture.m_isStoreUp = false;
    registry::StoreUpdate update{ .m_revision = { 1, ++m_number }, .m_isSnapshot = true };
    for (const registry::UpstreamRecord& entry : aEntries) {
      update.m_changes.push_back(
        { { registry::RecordKind::Upstream, HeartbeatFixture::nameOf(entry.m_identity) },
          { 1, m_number },
          entry });
    }
    answer(update);
  }

  void write(uint64_t aIdentity, const std::optional<registry::UpstreamRecord>& aRecord)
  {
    registry::Change change{ .m_key = { registry::RecordKind::Upstream,
                                        HeartbeatFixture::nameOf(aIdentity) },
                             .m_revision = { 1, ++m_number },
                             .m_record = std::nullopt };
    if (aRecord) {
      change.m_record = *aRecord;
    }
    answer({ .m_revision = { 1, m_number }, .m_changes = { change } });
  }

private:
  void answer(const registry::StoreUpdate& aUpdate)
  {
    // Removals that a host learns of within 4 s of the restore may be due to it.
    const bool isDisturbed = m_fixture.m_now - m_restoredAt < Millis{ 4000 };
    m_fixture.reader().onStoreAnswer(m_fixture.m_now, aUpdate, isDisturbed, m_fixture.m_now);
    const auto delta = registry::decodeDelta(registry::encodeDelta(
      m_fixture.reader().registry().changesSince(m_fixture.follower().registry().deltaBase())));
    REQUIRE(delta.ok());
    m_fixture.follower().onDifference(m_fixture.m_now, *delta, HostId{ 0x0a400001 });
    m_fixture.follower().peers().onStoreConfirmation(m_fixture.m_now);
    REQUIRE(m_fixture.follower().registry().appliedRevision() == aUpdate.m_revision);
  }

  HeartbeatFixture& m_fixture;
  TimePoint m_restoredAt;
  uint64_t m_number{ 1 };
};

/// Upstream 1, alone in its service, with a flow of each caller. Callers have sent enough requests
/// that the first retransmission of a request counts 1.96 nats. Upstream 2, of another service, is
/// there for its heartbeats.
class CutOffFixture : public HeartbeatFixture
{
public:
  CutOffFixture()
  {
    registry::UpstreamRecord other = record(2);
    other.m_service = "manuals";
    start(other);
    start(record(1));
    advance(Millis{ 4000 });
    m_flows = openFlows(*this);
    checkServed(*this, m_flows, kRequestInterval);
  }

  /// The upstream does not reach the store until its entry expires. Its flows are served.
  void cutOffFromStore()
  {
    crash(1);
    checkServed(*this, m_flows, 3 * kHeartbeatInterval + kRequestInterval);
    REQUIRE(upstream().m_registration == steering::RegistrationState::Missing);
  }

  [[nodiscard]] const steering::Upstream& upstream()
  {
    const steering::Upstream* const upstream =
      reader().directory().findUpstream(steering::makeToken(1, 1000));
    REQUIRE(upstream != nullptr);
    return *upstream;
  }

  /// The request of a caller is lost, and forwarded when it is sent again.
  void loseRequest(uint16_t aCaller)
  {
    REQUIRE(sendRequest(reader(), aCaller));
    advance(Millis{ 200 });
    CHECK(sendRequest(reader(), aCaller));
  }

  Flows m_flows;
};

} // namespace

TEST_CASE("a late write of the process before a restart resets no flow of the current process")
{
  // Guards against taking the process that started last for the earlier one.
  for (const bool isRenewed : { true, false }) {
    for (const bool isDraining : { true, false }) {
      HeartbeatFixture fixture;
      fixture.start(HeartbeatFixture::record(2));
      fixture.start(recordOfProcess(1, 1000));
      fixture.advance(Millis{ 4000 });
      const Flows earlier = openFlows(fixture);
      fixture.start(recordOfProcess(1, 9000));
      fixture.advance(Millis{ 300 });
      std::map<uint64_t, int> rejected = rejectedRequests(fixture, earlier);
      CHECK(rejected[1] > 0);
      CHECK(rejected[2] == 0);
      const Flows flows = openFlows(fixture);
      const size_t ended = fixture.countLogged(EventId::UpstreamEnded);
      if (!isRenewed) {
        fixture.stopHeartbeats(1);
      }
      registry::UpstreamRecord late = recordOfProcess(1, 1000);
      late.m_state =
        isDraining ? registry::UpstreamState::Draining : registry::UpstreamState::Ready;
      fixture.write(HeartbeatFixture::nameOf(1), late);
      checkServed(fixture, flows, 3 * kHeartbeatInterval);
      fixture.write(HeartbeatFixture::nameOf(1), std::nullopt);
      checkServed(fixture, flows, kReturnTime);
      fixture.start(recordOfProcess(1, 9000));
      checkServed(fixture, flows, Millis{ 6000 });
      CHECK(fixture.countLogged(EventId::UpstreamEnded) == ended);
    }
  }
}

TEST_CASE("a late write before the store goes down resets no flow of the current process")
{
  // Guards against taking the entry for valid because nobody could replace it.
  HeartbeatFixture fixture;
  fixture.start(HeartbeatFixture::record(2));
  fixture.start(recordOfProcess(1, 9000));
  fixture.advance(Millis{ 4000 });
  const Flows flows = openFlows(fixture);
  fixture.write(HeartbeatFixture::nameOf(1), recordOfProcess(1, 1000));
  fixture.advance(kTestTick);
  fixture.m_isStoreUp = false;
  checkServed(fixture, flows, Millis{ 9000 });
  fixture.m_isStoreUp = true;
  checkServed(fixture, flows, Millis{ 6000 });
}

TEST_CASE("only flows of the process before a restart are reset")
{
  // Guards against resets of the flows that the new process has opened since.
  HeartbeatFixture fixture;
  fixture.start(HeartbeatFixture::record(2));
  fixture.start(recordOfProcess(1, 1000));
  fixture.advance(Millis{ 4000 });
  const Flows earlier = openFlows(fixture);
  fixture.start(recordOfProcess(1, 9000));
  fixture.advance(kTestTick);
  std::map<uint64_t, int> rejected = rejectedRequests(fixture, earlier);
  CHECK(rejected[1] > 0);
  CHECK(rejected[2] == 0);
  checkServed(fixture, openFlows(fixture), Millis{ 8000 });
}

TEST_CASE("a restarted upstream is used although its clock went back")
{
  // Guards against an upstream that stays unused because it seems to have started earlier.
  HeartbeatFixture fixture;
  fixture.start(recordOfProcess(1, 9000));
  fixture.advance(Millis{ 4000 });
  REQUIRE(fixture.openFlow(fixture.reader(), 1) == 1);
  registry::UpstreamRecord restarted = recordOfProcess(1, 1000);
  restarted.m_address = Ipv4{ 0x0a8000ff };
  fixture.start(restarted);
  fixture.advance(Millis{ 4500 });
  CHECK_FALSE(fixture.sendRequest(fixture.reader(), 1));
  for (Host* const host : { &fixture.reader(), &fixture.follower() }) {
    const steering::Upstream* const upstream =
      host->directory().findUpstream(steering::makeToken(1, 1000));
    REQUIRE(upstream != nullptr);
    CHECK(upstream->acceptsNewFlows());
    CHECK(upstream->m_record.m_address == restarted.m_address);
  }
}

TEST_CASE("an entry without the start time resets no flow of the upstream that it names")
{
  // Guards against taking an entry of another writer for a restart of the upstream.
  HeartbeatFixture fixture;
  fixture.start(HeartbeatFixture::record(1));
  fixture.start(HeartbeatFixture::record(2));
  fixture.advance(Millis{ 4000 });
  const Flows flows = openFlows(fixture);
  fixture.write(HeartbeatFixture::nameOf(1), recordOfProcess(1, 0));
  checkServed(fixture, flows, Millis{ 8000 });
}

TEST_CASE("flows of a draining upstream are served while its entry may have lapsed with the store")
{
  // Guards against taking an entry that expired while the store was down for an exit.
  HeartbeatFixture fixture;
  fixture.start(HeartbeatFixture::record(1));
  fixture.start(HeartbeatFixture::record(2));
  fixture.advance(Millis{ 4000 });
  const Flows flows = openFlows(fixture);
  fixture.start(drainingRecord(1));
  checkServed(fixture, flows, Millis{ 5000 });
  fixture.stopHeartbeats(1);
  fixture.write(HeartbeatFixture::nameOf(1), std::nullopt, true);
  checkServed(fixture, flows, kReturnTime);
  fixture.start(drainingRecord(1));
  checkServed(fixture, flows, Millis{ 6000 });
  // It leaves in the end.
  fixture.stopHeartbeats(1);
  fixture.write(HeartbeatFixture::nameOf(1), std::nullopt);
  fixture.advance(kTestTick);
  std::map<uint64_t, int> rejected = rejectedRequests(fixture, flows);
  CHECK(rejected[1] > 0);
  CHECK(rejected[2] == 0);
}

TEST_CASE("flows of a draining upstream that was cut off from the store are served once it is back")
{
  // Guards against a verdict on a draining upstream that outlasts the cut.
  HeartbeatFixture fixture;
  fixture.start(HeartbeatFixture::record(1));
  fixture.start(HeartbeatFixture::record(2));
  fixture.advance(Millis{ 4000 });
  const Flows flows = openFlows(fixture);
  fixture.start(drainingRecord(1));
  fixture.advance(Millis{ 1300 });
  fixture.crash(1);
  fixture.advance(3 * kHeartbeatInterval + kReturnTime);
  fixture.start(drainingRecord(1));
  fixture.advance(kTestTick);
  CHECK(rejectedRequests(fixture, flows).empty());
}

TEST_CASE("a store restored from a backup resets no flow of a running upstream")
{
  // Guards against resets by entries that are missing, outdated or of an earlier process.
  HeartbeatFixture fixture;
  for (uint64_t identity = 1; identity <= 3; ++identity) {
    fixture.start(HeartbeatFixture::record(identity));
  }
  fixture.start(recordOfProcess(4, 9000));
  fixture.advance(Millis{ 4000 });
  const Flows flows = openFlows(fixture);
  fixture.start(drainingRecord(2));
  fixture.start(drainingRecord(3));
  checkServed(fixture, flows, Millis{ 2400 });
  RestoredStore store(
    fixture,
    { HeartbeatFixture::record(1), HeartbeatFixture::record(2), recordOfProcess(4, 1000) });
  checkServed(fixture, flows, kReturnTime);
  store.write(2, drainingRecord(2));
  store.write(3, drainingRecord(3));
  store.write(4, recordOfProcess(4, 9000));
  checkServed(fixture, flows, Millis{ 8000 });
  CHECK(fixture.countLogged(EventId::UpstreamEnded) == 0);
  // The restored store still shows that an upstream leaves.
  store.write(2, std::nullopt);
  fixture.advance(kTestTick);
  CHECK(fixture.countLogged(EventId::UpstreamEnded) == 2);
}

TEST_CASE("a restored entry of the former holder of an address resets no flow of its successor")
{
  // Guards against a former holder that takes its address back with an entry of the backup.
  for (const bool isFormerKnown : { true, false }) {
    HeartbeatFixture fixture;
    registry::UpstreamRecord former = HeartbeatFixture::record(1);
    former.m_identity = 7;
    fixture.start(HeartbeatFixture::record(2));
    if (isFormerKnown) {
      fixture.start(former);
      fixture.advance(Millis{ 4000 });
      fixture.crash(7);
      fixture.advance(3 * kHeartbeatInterval);
    }
    fixture.start(recordOfProcess(1, 16'000));
    fixture.advance(Millis{ 4000 });
    const Flows flows = openFlows(fixture);
    const size_t ended = fixture.countLogged(EventId::UpstreamEnded);
    RestoredStore store(fixture, { HeartbeatFixture::record(2), former });
    checkServed(fixture, flows, kReturnTime);
    store.write(1, recordOfProcess(1, 16'000));
    checkServed(fixture, flows, 3 * kHeartbeatInterval - kReturnTime);
    store.write(7, std::nullopt);
    checkServed(fixture, flows, Millis{ 8000 });
    CHECK(fixture.countLogged(EventId::UpstreamEnded) == ended);
  }
}

TEST_CASE("an entry that is replaced by one that names no service resets no flow")
{
  // Guards against taking the entry of another writer for a restart.
  HeartbeatFixture fixture;
  fixture.start(HeartbeatFixture::record(1));
  fixture.start(HeartbeatFixture::record(2));
  fixture.advance(Millis{ 4000 });
  const Flows flows = openFlows(fixture);
  registry::UpstreamRecord foreign = recordOfProcess(1, 16'000);
  foreign.m_service = "kilnlog-test";
  fixture.write(HeartbeatFixture::nameOf(1), foreign);
  checkServed(fixture, flows, Millis{ 8000 });
}

TEST_CASE("packets lost one after the other reset no flow of an upstream that is cut off from the "
          "store")
{
  // Guards against evidence that the responses after it do not clear.
  CutOffFixture fixture;
  fixture.cutOffFromStore();
  for (uint16_t caller = 1; caller <= 6; ++caller) {
    fixture.loseRequest(caller);
    fixture.acknowledgeResponse(fixture.reader(), caller);
    checkServed(fixture, fixture.m_flows, kRequestInterval);
  }
  CHECK(fixture.resets().empty());
}

TEST_CASE("a crowd before the cut resets no flow once an upstream cut off from the store answers")
{
  CutOffFixture fixture;
  fixture.crash(1);
  checkServed(fixture, fixture.m_flows, Millis{ 3300 });
  for (uint16_t caller = 1; caller <= 4; ++caller) {
    REQUIRE(fixture.sendRequest(fixture.reader(), caller));
  }
  // The upstream has no room for another flow, and answers requests.
  REQUIRE(fixture.sendSyn(fixture.reader(), 200) == 1);
  fixture.advance(Millis{ 200 });
  REQUIRE(fixture.sendSyn(fixture.reader(), 200, kFeedPort, 1) == 1);
  fixture.advance(Millis{ 200 });
  REQUIRE(fixture.upstream().m_registration == steering::RegistrationState::Missing);
  REQUIRE(fixture.upstream().m_health.synEvidence() > steering::kSuspectEvidence);
  for (uint16_t caller = 1; caller <= 4; ++caller) {
    fixture.acknowledgeResponse(fixture.reader(), caller);
  }
  checkServed(fixture, fixture.m_flows, Millis{ 3000 });
}

TEST_CASE("requests to an upstream that died are rejected from its second lost request on")
{
  // Guards against callers that are left with an upstream that has died.
  for (const bool isMissing : { false, true }) {
    CutOffFixture fixture;
    fixture.crash(1);
    if (isMissing) {
      fixture.advance(3 * kHeartbeatInterval + kTestTick);
    }
    for (const uint16_t caller : { 1, 2 }) {
      REQUIRE(fixture.sendRequest(fixture.reader(), caller));
    }
    fixture.advance(Millis{ 200 });
    CHECK(fixture.sendRequest(fixture.reader(), 1));
    CHECK(fixture.sendRequest(fixture.reader(), 2) == !isMissing);
    CHECK(fixture.sendRequest(fixture.reader(), 3) == !isMissing);
  }
}

TEST_CASE("a request of a flow that used another host does not show that a dead upstream answers")
{
  // Its acknowledgement number covers responses from before the crash.
  CutOffFixture fixture;
  for (uint16_t caller = 11; caller <= 14; ++caller) {
    REQUIRE(fixture.sendRequest(fixture.follower(), caller));
    fixture.acknowledgeResponse(fixture.follower(), caller);
  }
  fixture.crash(1);
  fixture.advance(3 * kHeartbeatInterval + kTestTick);
  for (const uint16_t caller : { 1, 2 }) {
    REQUIRE(fixture.sendRequest(fixture.reader(), caller));
  }
  fixture.advance(Millis{ 200 });
  CHECK(fixture.sendRequest(fixture.reader(), 1));
  for (uint16_t caller = 11; caller <= 14; ++caller) {
    (void)fixture.sendRequest(fixture.reader(), caller);
    fixture.closeFlow(fixture.reader(), caller);
  }
  CHECK_FALSE(fixture.sendRequest(fixture.reader(), 2));
  CHECK_FALSE(fixture.sendRequest(fixture.reader(), 3));
}

TEST_CASE("a burst of lost packets resets no flow of an upstream that is cut off from the store")
{
  CutOffFixture fixture;
  fixture.cutOffFromStore();
  for (const uint16_t caller : { 1, 2 }) {
    REQUIRE(fixture.sendRequest(fixture.reader(), caller));
  }
  fixture.advance(Millis{ 200 });
  CHECK(fixture.sendRequest(fixture.reader(), 1));
  CHECK(fixture.sendRequest(fixture.reader(), 2));
  CHECK(fixture.sendRequest(fixture.reader(), 3));
}

TEST_CASE("a crowd before the cut resets no flow of an upstream that is cut off from the store")
{
  CutOffFixture fixture;
  fixture.crash(1);
  checkServed(fixture, fixture.m_flows, Millis{ 3300 });
  REQUIRE(fixture.sendSyn(fixture.reader(), 200) == 1);
  fixture.advance(Millis{ 200 });
  REQUIRE(fixture.sendSyn(fixture.reader(), 200, kFeedPort, 1) == 1);
  fixture.advance(Millis{ 200 });
  REQUIRE(fixture.upstream().m_registration == steering::RegistrationState::Missing);
  CHECK(fixture.sendRequest(fixture.reader(), 1));
}

TEST_CASE("a snapshot of another host does not show that a draining upstream has left")
{
  // Guards against entries that expired while the store was down, learned from a host started
  // since.
  HeartbeatFixture fixture;
  fixture.start(HeartbeatFixture::record(1));
  fixture.start(HeartbeatFixture::record(2));
  fixture.advance(Millis{ 4000 });
  const Flows flows = openFlows(fixture);
  fixture.start(drainingRecord(1));
  checkServed(fixture, flows, Millis{ 3000 });
  fixture.m_isStoreUp = false;
  fixture.advance(Millis{ 5000 });
  Host started({ .m_peers = { .m_self = HostId{ 0x0a400009 },
                              .m_dataCentre = "near",
                              .m_capacity = 50,
                              .m_incarnation = 1,
                              .m_seeds = { HostId{ 0x0a400001 } } },
                 .m_coldLimits = {},
                 .m_flowTableCapacity = 1024,
                 .m_seed = 9 });
  const registry::Revision revision{ .m_number = 1000 };
  const auto delta = fixture.follower().registry().changesSince({});
  registry::StoreUpdate update{ .m_revision = revision, .m_isSnapshot = true };
  update.m_changes = { { { registry::RecordKind::Upstream, HeartbeatFixture::nameOf(2) },
                         revision,
                         HeartbeatFixture::record(2) } };
  update.m_configuration = std::vector<registry::Change>{};
  for (const registry::Change& change : delta.m_changes) {
    if (change.m_key.m_kind != registry::RecordKind::Upstream) {
      update.m_configuration->push_back(change);
    }
  }
  started.onStoreAnswer(fixture.m_now, update, true, fixture.m_now);
  const auto received = registry::decodeDelta(registry::encodeDelta(
    started.registry().changesSince(fixture.follower().registry().deltaBase())));
  REQUIRE(received.ok());
  REQUIRE(received->m_isSnapshot);
  fixture.follower().onDifference(fixture.m_now, *received, HostId{ 0x0a400009 });
  fixture.follower().peers().onStoreConfirmation(fixture.m_now);
  REQUIRE(fixture.follower().registry().appliedRevision() == revision);
  checkServed(fixture, flows, kReturnTime);
}

TEST_CASE("a request to an upstream whose entry has not arrived here yet is not reset")
{
  Fleet fleet({ .m_dataCentres = 1, .m_hostsPerDataCentre = 2 });
  fleet.run(Millis{ 6000 });
  const HostId readerId = fleet.readerOf(0);
  Host& reader = fleet.host(readerId);
  Host& follower = fleet.host(Fleet::hostId(0, readerId == Fleet::hostId(0, 0) ? 1 : 0));
  REQUIRE(follower.viewAge(fleet.m_now) <= Millis{ 2500 });
  // The only upstream that takes new flows registers, and the status that says so is lost.
  registry::StoreUpdate update{ .m_revision = { .m_number = 12 } };
  for (uint32_t identity = 1; identity <= kUpstreamsPerDataCentre; ++identity) {
    registry::UpstreamRecord draining =
      reader.directory().findUpstream(steering::makeToken(identity, 0))->m_record;
    draining.m_state = registry::UpstreamState::Draining;
    update.m_changes.push_back(
      { { registry::RecordKind::Upstream, "i-" + std::to_string(identity) },
        { .m_number = 11 },
        draining });
  }
  registry::UpstreamRecord young =
    reader.directory().findUpstream(steering::makeToken(1, 0))->m_record;
  young.m_state = registry::UpstreamState::Ready;
  young.m_identity = 99;
  young.m_address = Ipv4{ 0x0a8000ff };
  update.m_changes.push_back(
    { { registry::RecordKind::Upstream, "i-99" }, { .m_number = 12 }, young });
  reader.onStoreAnswer(fleet.m_now, update, false, fleet.m_now);
  fleet.m_now += Millis{ 100 };
  steering::FlowPacket packet{
    .m_flow = { Ipv4{ 0x64400007 }, Ipv4{ 0xc6120001 }, 1000, kHighPort },
    .m_isSyn = true,
    .m_sequence = 100
  };
  const steering::ForwardingDecision opened = reader.decide(fleet.m_now, packet);
  REQUIRE(opened.m_action == steering::Action::Forward);
  REQUIRE(opened.m_identity == 99);
  packet.m_isSyn = false;
  packet.m_sequence = 101;
  packet.m_acknowledged = 1;
  packet.m_token = opened.m_token;
  CHECK(follower.decide(fleet.m_now, packet).m_action != steering::Action::Reset);
  packet.m_length = 200;
  CHECK(follower.decide(fleet.m_now, packet).m_action != steering::Action::Reset);
}
