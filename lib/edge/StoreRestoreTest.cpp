// Tests how hosts follow a store that is restored from a backup and thereby begins a new history:
// when the store is loaded again, which answers confirm records, and how hosts with records of
// different histories exchange them. The test answers the calls to a fake store.
#include "edge/Host.h"
#include "edge/StoreSynchronizer.h"

#include <doctest/doctest.h>

using namespace tamarack;
using namespace tamarack::edge;

namespace {

using registry::Change;
using registry::RecordKind;
using registry::Revision;
using registry::StoreUpdate;

/// A store client whose calls stay open until the test answers them.
struct FakeStore
{
  void load(bool /*aMayBeOld*/,
            Millis,
            std::function<bool(const StoreUpdate&)> aOnPage,
            StoreAnswerHandler aDone)
  {
    m_calls.emplace_back("load");
    m_onPage = std::move(aOnPage);
    m_done = std::move(aDone);
  }
  void watch(Revision aAfter, Millis, Millis, StoreAnswerHandler aDone)
  {
    m_calls.push_back("watch " + registry::formatRevision(aAfter));
    m_done = std::move(aDone);
  }
  void close() { m_done = nullptr; }
  void answer(absl::StatusOr<StoreUpdate> aUpdate)
  {
    const StoreAnswerHandler done = std::exchange(m_done, nullptr);
    REQUIRE(done);
    done(std::move(aUpdate));
  }

  std::vector<std::string> m_calls;
  std::function<bool(const StoreUpdate&)> m_onPage;
  StoreAnswerHandler m_done;
};

constexpr uint16_t kFirstPort = 443;

/// The full content of the store: one upstream, and one route for each configuration version from 1
/// to `aVersion`.
StoreUpdate
fullReading(Revision aRevision, uint64_t aVersion)
{
  const Revision written{ aRevision.m_history, aRevision.m_number - 1 };
  StoreUpdate reading{ .m_revision = aRevision, .m_isSnapshot = true };
  reading.m_changes = { { { RecordKind::Upstream, "i-1" },
                          written,
                          registry::UpstreamRecord{ .m_service = "reports",
                                                    .m_dataCentre = "natal",
                                                    .m_address = Ipv4{ 0x0a800001 },
                                                    .m_port = 80,
                                                    .m_identity = 1,
                                                    .m_slots = 4 } } };
  std::vector<Change> configuration;
  for (uint64_t version = 1; version <= aVersion; ++version) {
    configuration.push_back({ { RecordKind::Route, "r" + std::to_string(version) },
                              written,
                              registry::RouteRecord{ Ipv4{ 0xc6120001 },
                                                     static_cast<uint16_t>(kFirstPort + version),
                                                     registry::RequestKind::Idempotent,
                                                     { { "reports", 1 } } } });
  }
  configuration.push_back({ { RecordKind::Configuration, "" },
                            written,
                            registry::ConfigurationRecord{ aVersion, Millis{ 15'000 } } });
  reading.m_configuration = std::move(configuration);
  return reading;
}

HostOptions
makeOptions(uint32_t aSelf)
{
  return { .m_peers = { .m_self = HostId{ aSelf },
                        .m_dataCentre = "natal",
                        .m_capacity = 50,
                        .m_incarnation = 1,
                        .m_seeds = { HostId{ 1 } } },
           .m_coldLimits = {},
           .m_flowTableCapacity = 256,
           .m_seed = aSelf };
}

class Fixture
{
public:
  /// Makes a reader that has loaded all records at a revision and watches for later changes.
  explicit Fixture(Revision aRevision, uint64_t aVersion = 2)
  {
    run(Millis{ 100 });
    m_store.answer(fullReading(aRevision, aVersion));
    for (int step = 0; step < 12; ++step) {
      run(Millis{ 100 });
    }
    m_store.answer(StoreUpdate{ .m_revision = aRevision });
    run(Millis{ 400 });
  }

  void run(Millis aTime)
  {
    m_now += aTime;
    m_host.tick(m_now);
    m_storeSynchronizer.startCallIfDue(m_now);
  }

  std::vector<std::string> loggedFields(EventId aEvent)
  {
    std::vector<std::string> lines;
    for (const LogLine& line : m_host.takeLogLines(m_now)) {
      if (line.m_event == aEvent) {
        lines.push_back(line.m_fields);
      }
    }
    return lines;
  }

  [[nodiscard]] bool servesRouteOf(uint64_t aVersion)
  {
    return m_host
             .decide(m_now,
                     { .m_flow = { Ipv4{ 0x64400001 },
                                   Ipv4{ 0xc6120001 },
                                   ++m_port,
                                   static_cast<uint16_t>(kFirstPort + aVersion) },
                       .m_isSyn = true })
             .m_action == steering::Action::Forward;
  }

  TimePoint m_now{ Millis{ 70'000 } };
  FakeStore m_store;
  Host m_host{ makeOptions(1) };
  StoreSynchronizer<FakeStore> m_storeSynchronizer{ m_store, m_host, [this] { return m_now; } };
  uint16_t m_port{ 1000 };
};

} // namespace

TEST_CASE("a watch answer of a later history confirms nothing and triggers one full load")
{
  Fixture fixture({ 3, 200 });
  CHECK(fixture.m_store.m_calls.back() == "watch 3:200");
  const Millis age = fixture.m_host.viewAge(fixture.m_now);
  // The store was restored at revision 140 and has reached 205 since.
  StoreUpdate answerOfLaterHistory{ .m_revision = { 4, 205 } };
  fixture.m_store.answer(answerOfLaterHistory);
  CHECK(fixture.m_host.viewAge(fixture.m_now) == age);
  fixture.run(Millis{ 0 });
  CHECK(fixture.m_store.m_calls.back() == "load");
  fixture.m_store.answer(fullReading({ 4, 206 }, 3));
  CHECK(fixture.servesRouteOf(3));
  CHECK(fixture.m_host.viewAge(fixture.m_now) == Millis{ 0 });
  CHECK(fixture.loggedFields(EventId::StoreHistoryChanged) ==
        std::vector<std::string>{ "before=3:200 revision=4:206 changes=2 held_back=0 from=store" });
  CHECK(fixture.m_host.historyChanges() == 1);
  fixture.run(kMinCallInterval);
  CHECK(fixture.m_store.m_calls.back() == "watch 4:206");
}

TEST_CASE("a watch from a revision that the store no longer has triggers a load of the new history")
{
  Fixture fixture({ 3, 200 });
  fixture.m_store.answer(absl::OutOfRangeError("revision no longer available"));
  fixture.run(Millis{ 0 });
  fixture.m_store.answer(fullReading({ 4, 140 }, 1));
  CHECK(fixture.m_host.registry().appliedRevision() == Revision{ 4, 140 });
  // The host keeps configuration version 2, which was in force, over version 1 of the backup. The
  // store is expected to receive version 2 again soon.
  CHECK(fixture.servesRouteOf(2));
  CHECK(fixture.m_host.registry().configurationVersion() == 2);
}

TEST_CASE(
  "a load that the store aborts at a new history is repeated after the minimum call interval")
{
  Fixture fixture({ 3, 200 });
  fixture.m_store.answer(absl::OutOfRangeError("revision no longer available"));
  fixture.run(Millis{ 0 });
  const size_t before = fixture.m_store.m_calls.size();
  fixture.m_store.answer(absl::AbortedError("a new history"));
  fixture.run(Millis{ 100 });
  CHECK(fixture.m_store.m_calls.size() == before);
  fixture.run(kMinCallInterval);
  CHECK(fixture.m_store.m_calls.size() == before + 1);
  CHECK(fixture.m_store.m_calls.back() == "load");
  CHECK(fixture.m_storeSynchronizer.failures() == 0);
}

TEST_CASE("an answer that names no history changes no records and is counted")
{
  Fixture fixture({ 3, 200 });
  fixture.m_store.answer(absl::FailedPreconditionError("the store names no history"));
  CHECK(fixture.m_storeSynchronizer.answersWithoutHistory() == 1);
  CHECK(fixture.m_host.registry().appliedRevision() == Revision{ 3, 200 });
  CHECK(fixture.servesRouteOf(2));
  CHECK(fixture.loggedFields(EventId::StoreLost).size() == 1);
}

TEST_CASE(
  "a host that cannot reach the store adopts a new history from a neighbour in one transfer")
{
  Fixture restoredHost({ 3, 200 });
  restoredHost.m_store.answer(absl::OutOfRangeError("revision no longer available"));
  restoredHost.run(Millis{ 0 });
  restoredHost.m_store.answer(fullReading({ 4, 140 }, 3));

  Fixture partitioned({ 3, 210 });
  dissemination::StatusMessage status{ .m_sender = HostId{ 9 },
                                       .m_dataCentre = "natal",
                                       .m_incarnation = 1,
                                       .m_revision = { 4, 140 },
                                       .m_confirmationAgeMs = 50 };
  CHECK(partitioned.m_host.onStatus(partitioned.m_now, status).m_isPullDue);
  partitioned.m_host.onDifference(
    partitioned.m_now,
    restoredHost.m_host.registry().changesSince(partitioned.m_host.registry().deltaBase()),
    HostId{ 9 });
  CHECK(partitioned.m_host.registry().appliedRevision() == Revision{ 4, 140 });
  CHECK(partitioned.servesRouteOf(3));
  const auto lines = partitioned.loggedFields(EventId::StoreHistoryChanged);
  REQUIRE(lines.size() == 1);
  CHECK(lines.front().ends_with("from=0.0.0.9"));
  CHECK_FALSE(partitioned.m_host.onStatus(partitioned.m_now, status).m_isPullDue);
}

TEST_CASE(
  "records of a history that the store contradicts are distrusted and replaced from the store")
{
  Fixture fixture({ 3, 200 });
  registry::Registry falseRegistry;
  falseRegistry.merge(fullReading({ 1ULL << 40, 1ULL << 40 }, 1), false);
  fixture.m_host.onDifference(fixture.m_now, falseRegistry.changesSince({}), HostId{ 66 });
  CHECK(fixture.m_host.registry().appliedRevision().m_history == 1ULL << 40);

  // The store continues in its own history. Fewer than kContradictionsBeforeDistrust answers are
  // tolerated, because they may have been in flight during a restore.
  for (int answers = 0; answers < kContradictionsBeforeDistrust; ++answers) {
    CHECK(fixture.loggedFields(EventId::HistoryContradicted).empty());
    REQUIRE(fixture.m_store.m_done);
    fixture.m_store.answer(StoreUpdate{ .m_revision = { 3, 201 } });
    if (answers + 1 < kContradictionsBeforeDistrust) {
      fixture.run(kMinCallInterval);
    }
  }
  CHECK(fixture.loggedFields(EventId::HistoryContradicted).size() == 1);
  for (int step = 0; step < 20 && !fixture.m_host.isReader(); ++step) {
    fixture.run(Millis{ 100 });
  }
  fixture.run(kMinCallInterval);
  REQUIRE(fixture.m_store.m_done);
  fixture.m_store.answer(fullReading({ 3, 210 }, 3));
  CHECK(fixture.m_host.registry().appliedRevision() == Revision{ 3, 210 });
  CHECK(fixture.servesRouteOf(3));
  fixture.m_host.onDifference(fixture.m_now, falseRegistry.changesSince({}), HostId{ 66 });
  CHECK(fixture.m_host.registry().appliedRevision() == Revision{ 3, 210 });
  const auto reaction = fixture.m_host.onStatus(fixture.m_now,
                                                { .m_sender = HostId{ 66 },
                                                  .m_dataCentre = "natal",
                                                  .m_incarnation = 1,
                                                  .m_revision = { 1ULL << 40, 1 } });
  CHECK_FALSE(reaction.m_isPullDue);
}

TEST_CASE("a status with records of an earlier history confirms nothing, however recent its age")
{
  Fixture fixture({ 4, 140 });
  const TimePoint confirmed = fixture.m_host.peers().confirmedAt();
  fixture.run(Millis{ 900 });
  dissemination::StatusMessage status{ .m_sender = HostId{ 9 },
                                       .m_dataCentre = "natal",
                                       .m_incarnation = 1,
                                       .m_revision = { 3, 900 },
                                       .m_confirmationAgeMs = 0 };
  const auto reaction = fixture.m_host.onStatus(fixture.m_now, status);
  CHECK_FALSE(reaction.m_isPullDue);
  CHECK(reaction.m_isReplyDue);
  CHECK(fixture.m_host.peers().confirmedAt() == confirmed);
  status.m_revision = { 4, 140 };
  fixture.m_host.onStatus(fixture.m_now, status);
  CHECK(fixture.m_host.peers().confirmedAt() == fixture.m_now);
}
