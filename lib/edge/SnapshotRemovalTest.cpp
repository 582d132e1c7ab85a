// Tests of what a snapshot of another host shows about the upstreams that it lacks: their entries
// may have expired while the store was down, so that running upstreams register again, or the
// upstreams have left.
#include "edge/HeartbeatFixture.h"
#include "edge/StoreSynchronizer.h"

using namespace tamarack;
using namespace tamarack::edge;

namespace {

using registry::Revision;
using registry::StoreUpdate;

constexpr HostId kStartedHost{ 0x0a400009 };
constexpr uint16_t kCallers = 20;

HostOptions
makeOptions()
{
  return { .m_peers = { .m_self = kStartedHost,
                        .m_dataCentre = "near",
                        .m_capacity = 50,
                        .m_incarnation = 1,
                        .m_seeds = { HostId{ 0x0a400001 } } },
           .m_coldLimits = {},
           .m_flowTableCapacity = 1024,
           .m_seed = 9 };
}

/// Upstreams 1 and 2 with flows on the follower. The entry of upstream 1 is gone from the store
/// when another host starts, and the follower learns of it from a snapshot of that host only.
class SnapshotFixture : public HeartbeatFixture
{
public:
  explicit SnapshotFixture(registry::UpstreamState aState)
  {
    start(record(1));
    start(record(2));
    advance(Millis{ 4000 });
    for (uint16_t caller = 1; caller <= kCallers; ++caller) {
      m_upstreams[caller] = openFlow(follower(), caller);
      REQUIRE(m_upstreams[caller] != 0);
    }
    registry::UpstreamRecord last = record(1);
    last.m_state = aState;
    start(last);
    advance(Millis{ 1300 });
    // From now on, the hosts of the fixture hear nothing of the store.
    m_isStoreUp = false;
  }

  /// The started host gets all records, without an entry of upstream 1.
  void load(bool aIsDisturbed)
  {
    started().onStoreAnswer(m_now, storeContent(), aIsDisturbed, m_now);
  }
  /// Returns all records of the store; the entry of upstream 1 is not among them.
  [[nodiscard]] StoreUpdate storeContent()
  {
    const Revision revision{ .m_number = 1000 };
    StoreUpdate update{ .m_revision = revision, .m_isSnapshot = true };
    update.m_changes = { { { registry::RecordKind::Upstream, nameOf(2) }, revision, record(2) } };
    update.m_configuration = std::vector<registry::Change>{};
    for (const registry::Change& change : follower().registry().changesSince({}).m_changes) {
      if (change.m_key.m_kind != registry::RecordKind::Upstream) {
        update.m_configuration->push_back(change);
      }
    }
    return update;
  }
  /// The store answers a watch of the started host: nothing has changed.
  void answerWatch(bool aIsDisturbed)
  {
    started().onStoreAnswer(
      m_now, { .m_revision = started().registry().appliedRevision() }, aIsDisturbed, m_now);
  }
  /// The follower gets a snapshot of the started host.
  void sendSnapshot()
  {
    const auto received = registry::decodeDelta(
      registry::encodeDelta(started().registry().changesSince(follower().registry().deltaBase())));
    REQUIRE(received.ok());
    REQUIRE(received->m_isSnapshot);
    follower().onDifference(m_now, *received, kStartedHost);
    confirm();
  }
  /// The follower hears that its records are current.
  void confirm() { follower().peers().onStoreConfirmation(m_now); }

  /// Returns the number of flows of an upstream whose requests are not forwarded.
  int countRejected(uint64_t aIdentity)
  {
    int rejected = 0;
    for (const auto& [caller, identity] : m_upstreams) {
      if (identity == aIdentity && !sendRequest(follower(), caller)) {
        ++rejected;
      } else if (identity == aIdentity) {
        acknowledgeResponse(follower(), caller);
      }
    }
    return rejected;
  }
  [[nodiscard]] steering::RegistrationState registration()
  {
    return follower().directory().findUpstream(steering::makeToken(1, 1000))->m_registration;
  }
  Host& started() { return m_started; }

private:
  std::map<uint16_t, uint64_t> m_upstreams;
  Host m_started{ makeOptions() };
};

} // namespace

TEST_CASE("a draining upstream that has left is left at once at a snapshot of an undisturbed host")
{
  // Guards against a snapshot that shows no removal any more.
  for (const bool wasDisturbed : { false, true }) {
    SnapshotFixture fixture(registry::UpstreamState::Draining);
    fixture.load(wasDisturbed);
    fixture.advance(kDisturbancePeriod);
    fixture.answerWatch(false);
    fixture.sendSnapshot();
    fixture.advance(kTestTick);
    CHECK(fixture.registration() == steering::RegistrationState::Ended);
    CHECK(fixture.countRejected(1) > 0);
    CHECK(fixture.countRejected(2) == 0);
  }
}

TEST_CASE("a snapshot of a host that has just started does not show that a draining upstream left")
{
  // Guards against entries that expired while the store was down, before that host started.
  for (const int age : { 0, 1000, 3900 }) {
    CAPTURE(age);
    SnapshotFixture fixture(registry::UpstreamState::Draining);
    fixture.load(false);
    fixture.advance(Millis{ age });
    fixture.answerWatch(false);
    fixture.sendSnapshot();
    for (int step = 0; step < 19; ++step) {
      fixture.advance(kTestTick);
      fixture.confirm();
      CHECK(fixture.countRejected(1) == 0);
    }
    fixture.advance(Millis{ 700 });
    CHECK(fixture.registration() == steering::RegistrationState::Missing);
  }
}

TEST_CASE("a snapshot does not show that a draining upstream left while the store is down")
{
  // Guards against a doubt that ends with time although no upstream can register meanwhile.
  SnapshotFixture fixture(registry::UpstreamState::Draining);
  fixture.load(true);
  fixture.advance(Millis{ 30'000 });
  fixture.answerWatch(true);
  fixture.sendSnapshot();
  fixture.confirm();
  CHECK(fixture.registration() == steering::RegistrationState::Lapsed);
  CHECK(fixture.countRejected(1) == 0);
}

TEST_CASE("a host passes on the doubt about the upstreams that a snapshot lacked")
{
  // Guards against a second transfer that turns the doubt into a verdict.
  SnapshotFixture fixture(registry::UpstreamState::Draining);
  fixture.load(false);
  fixture.sendSnapshot();
  CHECK(fixture.follower().registry().areRemovalsUncertain());
  const auto second = fixture.follower().registry().changesSince({});
  CHECK(second.m_isSnapshot);
  CHECK(second.m_areRemovalsUncertain);
  // It ends once the sender no longer has it.
  fixture.advance(kDisturbancePeriod);
  fixture.answerWatch(false);
  const auto later =
    fixture.started().registry().changesSince(fixture.follower().registry().deltaBase());
  fixture.follower().onDifference(fixture.m_now, later, kStartedHost);
  CHECK_FALSE(fixture.follower().registry().areRemovalsUncertain());
}

TEST_CASE("an outdated delta does not end the doubt about missing upstreams")
{
  SnapshotFixture fixture(registry::UpstreamState::Draining);
  const auto outdated = fixture.follower().registry().changesSince(Revision{ .m_number = 1 });
  fixture.load(true);
  fixture.advance(kDisturbancePeriod);
  fixture.started().onDifference(fixture.m_now, outdated, HostId{ 0x0a400002 });
  CHECK(fixture.started().registry().areRemovalsUncertain());
}

TEST_CASE("an upstream that crashed gets no new flows after a snapshot without its entry")
{
  // Guards against new flows to a dead upstream because the sender has just started.
  for (const bool isUncertain : { false, true }) {
    SnapshotFixture fixture(registry::UpstreamState::Ready);
    fixture.load(false);
    fixture.advance(isUncertain ? kTestTick : kDisturbancePeriod);
    fixture.answerWatch(false);
    fixture.sendSnapshot();
    CHECK(fixture.registration() == steering::RegistrationState::Missing);
    for (uint16_t caller = 200; caller < 240; ++caller) {
      CHECK(fixture.openFlow(fixture.follower(), caller) == 2);
    }
    CHECK(fixture.countRejected(1) == 0);
  }
}

namespace {

/// A store client whose calls stay open until the test answers them.
struct PendingStore
{
  void load(bool, Millis, std::function<bool(const StoreUpdate&)>, StoreAnswerHandler aDone)
  {
    m_done = std::move(aDone);
  }
  void watch(Revision, Millis, Millis, StoreAnswerHandler aDone) { m_done = std::move(aDone); }
  void close() { m_done = nullptr; }
  void answer(absl::StatusOr<StoreUpdate> aUpdate)
  {
    const StoreAnswerHandler done = std::exchange(m_done, nullptr);
    REQUIRE(done);
    done(std::move(aUpdate));
  }

  StoreAnswerHandler m_done;
};

} // namespace

TEST_CASE("a reader whose store was down doubts removals until the store has answered for a while")
{
  // The real calls: a host that starts after the return of the store has seen no disturbance.
  SnapshotFixture fixture(registry::UpstreamState::Draining);
  PendingStore store;
  StoreSynchronizer<PendingStore> synchronizer(
    store, fixture.started(), [&fixture] { return fixture.m_now; });
  const auto runUntilCalled = [&] {
    for (int step = 0; step < 60 && !store.m_done; ++step) {
      fixture.advance(kTestTick);
      fixture.started().tick(fixture.m_now);
      synchronizer.startCallIfDue(fixture.m_now);
    }
    REQUIRE(store.m_done);
  };
  runUntilCalled();
  store.answer(fixture.storeContent());
  const auto areRemovalsUncertain = [&fixture] {
    return fixture.started().registry().changesSince({}).m_areRemovalsUncertain;
  };
  CHECK(areRemovalsUncertain());
  const StoreUpdate unchanged{ .m_revision = fixture.started().registry().appliedRevision() };
  for (const TimePoint end = fixture.m_now + kDisturbancePeriod; fixture.m_now < end;) {
    runUntilCalled();
    store.answer(unchanged);
  }
  CHECK_FALSE(areRemovalsUncertain());
  runUntilCalled();
  store.answer(absl::UnavailableError("down"));
  runUntilCalled();
  store.answer(unchanged);
  CHECK(areRemovalsUncertain());
  for (const TimePoint end = fixture.m_now + kDisturbancePeriod; fixture.m_now < end;) {
    CHECK(areRemovalsUncertain());
    runUntilCalled();
    store.answer(unchanged);
  }
  CHECK_FALSE(areRemovalsUncertain());
}
