// Tests of merging store updates and deltas into a Registry, and of the encoding of deltas.
#include "registry/RecordCodec.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

using namespace tamarack;
using namespace tamarack::registry;

namespace {

Change
upstream(const std::string& aName, uint64_t aRevision, int64_t aWarmUpLeftMs = 0)
{
  return { { RecordKind::Upstream, aName },
           { .m_number = aRevision },
           UpstreamRecord{ .m_service = "reports",
                           .m_dataCentre = "natal",
                           .m_address = Ipv4{ 0x0a000001 },
                           .m_port = 80,
                           .m_identity = 7,
                           .m_startedAtMs = 5,
                           .m_warmUpLeft = Millis{ aWarmUpLeftMs },
                           .m_slots = 4 } };
}

Change
removal(const std::string& aName, uint64_t aRevision)
{
  return { { RecordKind::Upstream, aName }, { .m_number = aRevision }, std::nullopt };
}

Change
route(const std::string& aName, uint64_t aRevision, uint16_t aPort = 443)
{
  return { { RecordKind::Route, aName },
           { .m_number = aRevision },
           RouteRecord{
             Ipv4{ 0xc6120001 }, aPort, RequestKind::Idempotent, { { "reports", 3 } } } };
}

std::vector<Change>
configuration(uint64_t aVersion, uint64_t aRevision, std::vector<Change> aRoutes)
{
  aRoutes.push_back({ { RecordKind::Configuration, "" },
                      { .m_number = aRevision },
                      ConfigurationRecord{ aVersion, Millis{ 15'000 } } });
  return aRoutes;
}

StoreUpdate
snapshot(uint64_t aRevision, std::vector<Change> aChanges)
{
  return { .m_revision = { .m_number = aRevision },
           .m_isSnapshot = true,
           .m_changes = std::move(aChanges) };
}

std::vector<RecordKey>
keysOf(const std::vector<Change>& aChanges)
{
  std::vector<RecordKey> keys;
  for (const Change& change : aChanges) {
    keys.push_back(change.m_key);
  }
  return keys;
}

} // namespace

TEST_CASE("merging the same changes in any order gives the same records")
{
  std::vector<Change> changes{ upstream("a", 1), upstream("b", 2), removal("a", 3),
                               upstream("a", 4), removal("b", 5),  upstream("c", 6) };
  std::mt19937 random(3);
  Registry first;
  first.merge(StoreUpdate{ .m_revision = { .m_number = 6 }, .m_changes = changes }, false);
  for (int round = 0; round < 50; ++round) {
    std::ranges::shuffle(changes, random);
    Registry second;
    second.merge(StoreUpdate{ .m_revision = { .m_number = 6 }, .m_changes = changes }, false);
    CHECK(encodeDelta(second.changesSince({})) == encodeDelta(first.changesSince({})));
  }
}

TEST_CASE(
  "a snapshot removes the records missing from it, and an outdated snapshot removes nothing")
{
  Registry registry;
  registry.merge(snapshot(5, { upstream("a", 1), upstream("b", 2) }), false);
  registry.merge(StoreUpdate{ .m_revision = { .m_number = 9 }, .m_changes = { upstream("c", 9) } },
                 false);
  const auto changed = registry.merge(snapshot(9, { upstream("a", 1), upstream("c", 9) }), false);
  REQUIRE(changed.size() == 1);
  CHECK(changed[0].m_key.m_name == "b");
  CHECK_FALSE(changed[0].m_record.has_value());
  // A snapshot older than the applied revision changes nothing.
  CHECK(registry.merge(snapshot(7, { upstream("a", 1) }), false).empty());
  CHECK(registry.appliedRevision() == Revision{ .m_number = 9 });
}

TEST_CASE("an upstream removed while the store is unstable is marked as one that may return")
{
  Registry registry;
  registry.merge(snapshot(5, { upstream("a", 1) }), false);
  const auto changed = registry.merge(snapshot(6, {}), true);
  REQUIRE(changed.size() == 1);
  CHECK(changed[0].m_mayReturn);
}

TEST_CASE("a newer configuration changes only records that differ, and an older one is ignored")
{
  Registry registry;
  StoreUpdate update{ .m_revision = { .m_number = 3 } };
  update.m_configuration = configuration(7, 3, { route("a", 3), route("b", 3) });
  registry.merge(update, false);
  update = { .m_revision = { .m_number = 4 } };
  update.m_configuration = configuration(9, 4, { route("a", 4), route("c", 4, 80) });
  const auto changed = keysOf(registry.merge(update, false));
  CHECK(changed == std::vector<RecordKey>{ { RecordKind::Route, "c" },
                                           { RecordKind::Configuration, "" },
                                           { RecordKind::Route, "b" } });
  update = { .m_revision = { .m_number = 3 } };
  update.m_configuration = configuration(7, 3, { route("a", 3), route("b", 3) });
  CHECK(registry.merge(update, false).empty());
  CHECK(registry.configurationVersion() == 9);
}

TEST_CASE("a host that skipped a configuration version does not pass on a mixture of versions")
{
  // Version 12 restores what version 7 changed. A host that never held version 7 has no newer
  // revision of that route, so its delta lacks the route for a host that did hold version 7.
  const auto storeUpdate = [](uint64_t aVersion, uint64_t aRevision, std::vector<Change> aRoutes) {
    StoreUpdate update{ .m_revision = { .m_number = aRevision } };
    update.m_configuration = configuration(aVersion, aRevision, std::move(aRoutes));
    return update;
  };
  const auto portsOf = [](const Registry& aRegistry) {
    std::vector<uint16_t> ports;
    for (const Change& change : aRegistry.changesSince({}).m_changes) {
      if (const auto* held =
            change.m_record ? std::get_if<RouteRecord>(&*change.m_record) : nullptr) {
        ports.push_back(held->m_port);
      }
    }
    return ports;
  };
  const StoreUpdate third = storeUpdate(3, 300, { route("a", 300, 80) });
  const StoreUpdate seventh =
    storeUpdate(7, 367, { route("a", 367, 443), route("added", 367, 8080) });
  const StoreUpdate twelfth = storeUpdate(12, 377, { route("a", 377, 80) });
  Registry skipping;
  skipping.merge(third, false);
  Registry following = skipping;
  Registry complete = skipping;
  following.merge(seventh, false);
  complete.merge(seventh, false);
  complete.merge(twelfth, false);
  skipping.merge(twelfth, false);

  SUBCASE("a delta of the host that skipped the version")
  {
    following.merge(skipping.changesSince(following.deltaBase()));
    CHECK(
      (following.configurationVersion() == 7 || portsOf(following) == std::vector<uint16_t>{ 80 }));
    // The delta lacked records, so the next request asks for everything.
    following.merge(skipping.changesSince(following.deltaBase()));
    CHECK(following.configurationVersion() == 12);
    CHECK(portsOf(following) == std::vector<uint16_t>{ 80 });
  }
  SUBCASE("a snapshot whose unchanged route has an older revision than the one held")
  {
    following.merge(skipping.changesSince({}));
    CHECK(following.configurationVersion() == 12);
    CHECK(portsOf(following) == std::vector<uint16_t>{ 80 });
  }
  SUBCASE("a delta of a host that held both versions")
  {
    following.merge(complete.changesSince(following.deltaBase()));
    CHECK(following.configurationVersion() == 12);
    CHECK(portsOf(following) == std::vector<uint16_t>{ 80 });
  }
  SUBCASE("a mixture that a host of an earlier build sends does not reach this host")
  {
    Delta mixed = complete.changesSince(Revision{ .m_number = 300 });
    for (Change& change : mixed.m_changes) {
      if (change.m_key.m_kind == RecordKind::Route) {
        change = route(change.m_key.m_name, 367, 443);
      }
    }
    skipping.merge(mixed);
    CHECK(portsOf(skipping) == std::vector<uint16_t>{ 80 });
  }
}

TEST_CASE("warm-up progress is not reported as a change, its end and a new warm-up are")
{
  Registry registry;
  registry.merge(snapshot(1, { upstream("a", 1, 2000) }), false);
  CHECK(
    registry
      .merge(StoreUpdate{ .m_revision = { .m_number = 2 }, .m_changes = { upstream("a", 2, 800) } },
             false)
      .empty());
  CHECK(
    registry
      .merge(StoreUpdate{ .m_revision = { .m_number = 3 }, .m_changes = { upstream("a", 3, 0) } },
             false)
      .size() == 1);
  // A new warm-up starts.
  CHECK(
    registry
      .merge(StoreUpdate{ .m_revision = { .m_number = 4 }, .m_changes = { upstream("a", 4, 900) } },
             false)
      .size() == 1);
}

TEST_CASE("renewals of unchanged entries are told, also to a host that gets a delta")
{
  Registry reader;
  Registry host;
  reader.merge(snapshot(2, { upstream("a", 1), upstream("b", 2, 2000) }), false);
  host.merge(reader.changesSince({}));
  const StoreUpdate heartbeats{ .m_revision = { .m_number = 4 },
                                .m_changes = { upstream("a", 3), upstream("b", 4, 800) } };
  CHECK(reader.merge(heartbeats, false).empty());
  CHECK(reader.renewals().size() == 2);
  CHECK(host.merge(reader.changesSince({ .m_number = 2 })).empty());
  REQUIRE(host.renewals().size() == 2);
  CHECK(host.renewals()[0].m_name == "a");
  CHECK(host.renewals()[0].m_revision == Revision{ .m_number = 3 });
  // Merged again, and as part of a restored store, the same entries show no sign of life.
  reader.merge(heartbeats, false);
  CHECK(reader.renewals().empty());
  StoreUpdate restored = snapshot(3, { upstream("a", 3) });
  restored.m_revision.m_history = 1;
  restored.m_changes[0].m_revision.m_history = 1;
  reader.merge(restored, false);
  CHECK(reader.renewals().empty());
}

TEST_CASE("a host gets missing changes from another host as a delta, or as a snapshot")
{
  Registry reader;
  reader.merge(snapshot(10, { upstream("a", 1), upstream("b", 2) }), false);
  Registry host;
  CHECK(reader.changesSince({}).m_isSnapshot);
  host.merge(reader.changesSince({}));
  CHECK(host.appliedRevision() == Revision{ .m_number = 10 });
  reader.merge(StoreUpdate{ .m_revision = { .m_number = 12 },
                            .m_changes = { removal("a", 11), upstream("c", 12) } },
               false);
  const Delta delta = reader.changesSince({ .m_number = 10 });
  CHECK_FALSE(delta.m_isSnapshot);
  CHECK(delta.m_changes.size() == 2);
  // A host that has not applied the changes up to the base of the delta ignores it.
  Registry emptyHost;
  CHECK(emptyHost.merge(delta).empty());
  CHECK(emptyHost.appliedRevision() == Revision{ .m_number = 0 });
  CHECK(host.merge(delta).size() == 2);
  CHECK(host.appliedRevision() == Revision{ .m_number = 12 });
  // A host that started later has no entries for earlier removals, so it sends a snapshot.
  Registry lateReader;
  lateReader.merge(snapshot(12, { upstream("b", 2), upstream("c", 12) }), false);
  Registry outdatedHost;
  outdatedHost.merge(snapshot(10, { upstream("a", 1), upstream("b", 2) }), false);
  outdatedHost.merge(lateReader.changesSince(outdatedHost.appliedRevision()));
  CHECK(encodeDelta(outdatedHost.changesSince({ .m_number = 12 })) ==
        encodeDelta(lateReader.changesSince({ .m_number = 12 })));
  CHECK(outdatedHost.changesSince({}).m_changes.size() == 2);
}

TEST_CASE("a removed route stays removed when the configuration is newer than the other records")
{
  // Pages of one response of the store may be of different revisions: here the configuration of
  // revision 89, which removed a route, comes with the upstreams of revision 50. Afterwards the
  // host continues to watch the store.
  StoreUpdate firstResponse = snapshot(50, { upstream("a", 1) });
  firstResponse.m_configuration = configuration(9, 89, { route("kept", 89) });
  Registry lateStarter;
  lateStarter.merge(firstResponse, false);
  StoreUpdate later{ .m_revision = { .m_number = 100 } };
  later.m_configuration = configuration(9, 89, { route("kept", 89) });
  lateStarter.merge(later, false);

  // Another host still holds the removed route. It must remove the route when it merges the changes
  // that it lacks from the host that has just started.
  StoreUpdate olderResponse = snapshot(54, { upstream("a", 1) });
  olderResponse.m_configuration =
    configuration(5, 40, { route("kept", 40), route("dropped", 40, 80) });
  Registry longRunning;
  longRunning.merge(olderResponse, false);
  longRunning.merge(lateStarter.changesSince(longRunning.appliedRevision()));
  CHECK(longRunning.configurationVersion() == 9);
  const auto held = keysOf(longRunning.changesSince({}).m_changes);
  CHECK(std::ranges::find(held, RecordKey{ RecordKind::Route, "kept" }) != held.end());
  CHECK(std::ranges::find(held, RecordKey{ RecordKind::Route, "dropped" }) == held.end());
}

TEST_CASE("a snapshot with an older configuration adds no routes to a newer configuration")
{
  StoreUpdate firstPage;
  firstPage.m_configuration = configuration(9, 89, { route("kept", 89) });
  Registry newHost;
  newHost.merge(firstPage, false);

  StoreUpdate olderResponse = snapshot(54, { upstream("a", 1) });
  olderResponse.m_configuration =
    configuration(5, 40, { route("kept", 40), route("dropped", 40, 80) });
  Registry neighbour;
  neighbour.merge(olderResponse, false);
  const auto changed = keysOf(newHost.merge(neighbour.changesSince({})));
  CHECK(changed == std::vector<RecordKey>{ { RecordKind::Upstream, "a" } });
  CHECK(newHost.appliedRevision() == Revision{ .m_number = 54 });

  // The next update of the store has the same configuration.
  StoreUpdate later{ .m_revision = { .m_number = 100 } };
  later.m_configuration = firstPage.m_configuration;
  newHost.merge(later, false);
  const auto held = keysOf(newHost.changesSince({}).m_changes);
  CHECK(std::ranges::find(held, RecordKey{ RecordKind::Route, "kept" }) != held.end());
  CHECK(std::ranges::find(held, RecordKey{ RecordKind::Route, "dropped" }) == held.end());
}

namespace {

/// Returns the change with its revision moved to another history of the store.
Change
withHistory(HistoryId aHistory, Change aChange)
{
  aChange.m_revision.m_history = aHistory;
  return aChange;
}

std::vector<Change>
withHistory(HistoryId aHistory, std::vector<Change> aChanges)
{
  for (Change& change : aChanges) {
    change.m_revision.m_history = aHistory;
  }
  return aChanges;
}

StoreUpdate
restoredSnapshot(HistoryId aHistory, uint64_t aRevision, std::vector<Change> aChanges)
{
  return { .m_revision = { aHistory, aRevision },
           .m_isSnapshot = true,
           .m_changes = withHistory(aHistory, std::move(aChanges)) };
}

/// Returns the names of the records of one kind that a registry holds.
std::set<std::string>
heldNames(const Registry& aRegistry, RecordKind aKind)
{
  std::set<std::string> names;
  for (const Change& change : aRegistry.changesSince({}).m_changes) {
    if (change.m_key.m_kind == aKind && change.m_record) {
      names.insert(change.m_key.m_name);
    }
  }
  return names;
}

} // namespace

TEST_CASE("a snapshot of a newer history replaces all records even if its revision number is lower")
{
  Registry registry;
  registry.merge(snapshot(900, { upstream("kept", 10), upstream("lost", 850) }), false);
  const StoreUpdate afterRestore =
    restoredSnapshot(1, 840, { upstream("kept", 10), upstream("gone before", 20) });
  CHECK(registry.isFromNewerHistory(afterRestore));
  const auto changed = registry.merge(afterRestore, false);
  CHECK(registry.appliedRevision() == Revision{ 1, 840 });
  CHECK(heldNames(registry, RecordKind::Upstream) ==
        std::set<std::string>{ "kept", "gone before" });
  // An unchanged record is not reported. The others are marked as restored, because they may be
  // older than the records they replace.
  REQUIRE(changed.size() == 2);
  for (const Change& change : changed) {
    CHECK(change.m_isRestored);
    CHECK((change.m_record.has_value() || change.m_mayReturn));
  }
  // The new history reuses the number of a lost revision.
  registry.merge(
    StoreUpdate{ .m_revision = { 1, 850 }, .m_changes = { withHistory(1, upstream("lost", 850)) } },
    false);
  CHECK(heldNames(registry, RecordKind::Upstream).contains("lost"));
}

TEST_CASE("an incremental update of a newer history and updates of an older history change nothing")
{
  Registry registry;
  registry.merge(snapshot(100, { upstream("a", 10) }), false);
  const StoreUpdate incremental{ .m_revision = { 1, 105 },
                                 .m_changes = { withHistory(1, upstream("b", 104)) } };
  CHECK(registry.isFromNewerHistory(incremental));
  CHECK(registry.merge(incremental, false).empty());
  CHECK(registry.appliedRevision() == Revision{ 0, 100 });

  registry.merge(restoredSnapshot(1, 90, { upstream("a", 10) }), false);
  CHECK(
    registry
      .merge(StoreUpdate{ .m_revision = { 0, 120 }, .m_changes = { upstream("c", 119) } }, false)
      .empty());
  CHECK(registry.merge(snapshot(130, {}), false).empty());
  CHECK(registry.appliedRevision() == Revision{ 1, 90 });
  CHECK(heldNames(registry, RecordKind::Upstream) == std::set<std::string>{ "a" });
}

TEST_CASE("a configuration that the store lost is kept until it or a newer one is written again")
{
  Registry registry;
  StoreUpdate beforeRestore = snapshot(100, {});
  beforeRestore.m_configuration = configuration(9, 95, { route("kept", 95), route("new", 95, 80) });
  registry.merge(beforeRestore, false);

  StoreUpdate afterRestore = restoredSnapshot(1, 60, {});
  afterRestore.m_configuration =
    withHistory(1, configuration(7, 50, { route("kept", 50), route("dropped", 50, 81) }));
  registry.merge(afterRestore, false);
  CHECK(registry.configurationVersion() == 9);
  CHECK(heldNames(registry, RecordKind::Route) == std::set<std::string>{ "kept", "new" });

  // This host started after the store was restored.
  Registry lateStarter;
  lateStarter.merge(afterRestore, false);
  CHECK(lateStarter.configurationVersion() == 7);

  StoreUpdate rewritten{ .m_revision = { 1, 70 } };
  rewritten.m_configuration =
    withHistory(1, configuration(9, 70, { route("kept", 70), route("new", 70, 80) }));
  registry.merge(rewritten, false);
  // The other host gets the whole configuration, although most of its records did not change on the
  // first host.
  lateStarter.merge(registry.changesSince(lateStarter.appliedRevision()));
  CHECK(lateStarter.configurationVersion() == 9);
  CHECK(heldNames(lateStarter, RecordKind::Route) == std::set<std::string>{ "kept", "new" });
}

TEST_CASE(
  "a configuration that is written again replaces older versions of its records from the backup")
{
  // The first host holds version 9, with a port number that the store lost. The second host started
  // from the restored store.
  Registry registry;
  StoreUpdate beforeRestore = snapshot(100, {});
  beforeRestore.m_configuration = configuration(9, 95, { route("moved", 95, 80) });
  registry.merge(beforeRestore, false);
  StoreUpdate afterRestore = restoredSnapshot(1, 60, {});
  afterRestore.m_configuration = withHistory(1, configuration(7, 50, { route("moved", 50, 81) }));
  registry.merge(afterRestore, false);
  Registry lateStarter;
  lateStarter.merge(afterRestore, false);
  CHECK(lateStarter.changesSince({}).m_isSnapshot);

  StoreUpdate rewritten{ .m_revision = { 1, 70 } };
  rewritten.m_configuration = withHistory(1, configuration(9, 70, { route("moved", 70, 80) }));
  registry.merge(rewritten, false);
  lateStarter.merge(registry.changesSince(lateStarter.deltaBase()));
  for (const Change& change : lateStarter.changesSince({}).m_changes) {
    if (change.m_key.m_kind == RecordKind::Route) {
      CHECK(std::get<RouteRecord>(*change.m_record).m_port == 80);
    }
  }
}

TEST_CASE("a host adopts a newer history from another host before a configuration is written again")
{
  Registry registry;
  registry.merge(snapshot(100, { upstream("a", 10), upstream("lost", 99) }), false);
  Registry other;
  other.merge(registry.changesSince({}));
  registry.merge(restoredSnapshot(1, 60, { upstream("a", 10) }), false);
  other.merge(registry.changesSince(other.deltaBase()));
  CHECK(other.appliedRevision() == Revision{ 1, 60 });
  CHECK(heldNames(other, RecordKind::Upstream) == std::set<std::string>{ "a" });
}

TEST_CASE("a host that holds a lost configuration merges no delta based on another configuration")
{
  // The store lost configuration version 11. This host holds it, the reader has never had it.
  Registry reader;
  StoreUpdate afterRestore = restoredSnapshot(1, 60, {});
  afterRestore.m_configuration = withHistory(1, configuration(9, 50, { route("kept", 50) }));
  reader.merge(afterRestore, false);
  Registry host;
  StoreUpdate beforeRestore = snapshot(100, {});
  beforeRestore.m_configuration =
    configuration(11, 95, { route("kept", 95), route("lost", 95, 80) });
  host.merge(beforeRestore, false);
  host.merge(reader.changesSince(host.appliedRevision()));
  CHECK(host.appliedRevision() == Revision{ 1, 60 });
  CHECK(host.configurationVersion() == 11);

  StoreUpdate newer{ .m_revision = { 1, 80 } };
  newer.m_configuration =
    withHistory(1, configuration(12, 80, { route("kept", 80), route("added", 80, 82) }));
  reader.merge(newer, false);
  CHECK(host.merge(reader.changesSince(host.deltaBase())).empty());
  CHECK(host.deltaBase() == Revision{});
  host.merge(reader.changesSince(host.deltaBase()));
  CHECK(host.configurationVersion() == 12);
  CHECK(heldNames(host, RecordKind::Route) == std::set<std::string>{ "added", "kept" });
  CHECK(host.deltaBase() == host.appliedRevision());
}

TEST_CASE(
  "deltas are unchanged by encoding and decoding, and mutated bytes are rejected or decoded")
{
  Registry registry;
  StoreUpdate update = snapshot(9, { upstream("a", 1, 700), removal("gone", 8) });
  update.m_changes.push_back({ { RecordKind::EvacuatedDataCentre, "natal" },
                               { .m_number = 5 },
                               EvacuatedDataCentreRecord{} });
  update.m_configuration = configuration(4, 6, { route("r", 6) });
  registry.merge(update, false);
  registry.merge(StoreUpdate{ .m_revision = { .m_number = 10 }, .m_changes = { removal("a", 10) } },
                 false);
  const std::vector<uint8_t> bytes = encodeDelta(registry.changesSince({ .m_number = 9 }));
  const auto decoded = decodeDelta(bytes);
  REQUIRE(decoded.ok());
  CHECK(encodeDelta(*decoded) == bytes);

  const std::vector<uint8_t> snapshotBytes = encodeDelta(registry.changesSince({}));
  std::mt19937 random(17);
  for (int round = 0; round < 100'000; ++round) {
    std::vector<uint8_t> mutated = snapshotBytes;
    for (uint32_t change = random() % 4; change < 4; ++change) {
      mutated[random() % mutated.size()] = static_cast<uint8_t>(random());
    }
    mutated.resize(random() % 8 == 0 ? random() % mutated.size() : mutated.size());
    const auto decodedDelta = decodeDelta(mutated);
    if (decodedDelta.ok()) {
      Registry target;
      target.merge(*decodedDelta);
    }
  }
}

namespace {

using Json = nlohmann::json;

constexpr size_t kDeepNesting = 100'000;

/// Returns a value that is nested deeply, as MessagePack.
std::vector<uint8_t>
nestedMessagePack()
{
  std::vector<uint8_t> bytes(kDeepNesting, 0x91);
  bytes.push_back(0xc0);
  return bytes;
}

/// Replaces the text "@" in an encoded value by other bytes.
std::vector<uint8_t>
spliced(std::vector<uint8_t> aBytes, const std::vector<uint8_t>& aInserted)
{
  const std::array<uint8_t, 2> marker{ 0xa1, '@' };
  const auto found = std::search(aBytes.begin(), aBytes.end(), marker.begin(), marker.end());
  REQUIRE(found != aBytes.end());
  const auto position = aBytes.erase(found, found + marker.size());
  aBytes.insert(position, aInserted.begin(), aInserted.end());
  return aBytes;
}

} // namespace

TEST_CASE("an odd entry in the records of another host is left out, and the host follows on")
{
  // Guards against the operators' report: hosts that read such a list ended, or stopped to follow
  // it.
  Registry reader;
  reader.merge(snapshot(10, { upstream("a", 1), upstream("b", 2), upstream("c", 3) }), false);
  const std::vector<uint8_t> bytes = encodeDelta(reader.changesSince({}));
  const Json fields = Json::from_msgpack(bytes);
  const std::vector<Json> oddValues{ 1e300,
                                     -1e300,
                                     0.5,
                                     -1,
                                     -0.5,
                                     nullptr,
                                     true,
                                     "x",
                                     Json::array(),
                                     Json::object(),
                                     std::numeric_limits<uint64_t>::max(),
                                     std::numeric_limits<int64_t>::max(),
                                     std::numeric_limits<int64_t>::min(),
                                     uint64_t{ 1 } << 32,
                                     65'536,
                                     std::string(1'000'000, 'x'),
                                     "@" };
  for (size_t field = 0; field < 9; ++field) {
    for (const Json& value : oddValues) {
      Json mutated = fields;
      mutated[5][1][3][field] = value;
      std::vector<uint8_t> encoded = Json::to_msgpack(mutated);
      if (value == "@") {
        encoded = spliced(encoded, nestedMessagePack());
      }
      Registry host;
      const auto delta = decodeDelta(encoded);
      if (!delta.ok()) {
        // Nothing is merged of a message that is nested too deeply.
        CHECK(value == "@");
        CHECK(delta.status().message().size() < 400);
        continue;
      }
      const auto changes = host.merge(*delta);
      CHECK(std::ranges::count(
              changes, "a", [](const Change& aChange) { return aChange.m_key.m_name; }) == 1);
      CHECK(std::ranges::count(
              changes, "c", [](const Change& aChange) { return aChange.m_key.m_name; }) == 1);
      CHECK(host.appliedRevision() == reader.appliedRevision());
      CHECK(delta->m_rejectedItems.size() == 3 - changes.size());
      for (const std::string& line : delta->m_rejectedItems) {
        CHECK(line.size() < 600);
      }
      for (const Change& change : changes) {
        const auto& record = std::get<UpstreamRecord>(*change.m_record);
        CHECK((TimePoint{ Millis{ 100'000 } } + record.m_warmUpLeft).time_since_epoch().count() >
              0);
      }
      // The next good change of the same upstream is followed.
      Registry next = reader;
      next.merge(
        StoreUpdate{ .m_revision = { .m_number = 12 }, .m_changes = { upstream("b", 12) } }, false);
      const auto later = decodeDelta(encodeDelta(next.changesSince(host.appliedRevision())));
      REQUIRE(later.ok());
      (void)host.merge(*later);
      CHECK(host.changesSince({}).m_changes.size() == 3);
    }
  }
}

TEST_CASE(
  "draining upstreams that a snapshot lacks may return if its sender is uncertain of removals")
{
  // Guards against a verdict on upstreams whose entries expired while the store was down.
  for (const bool areUncertain : { false, true }) {
    Registry sender;
    sender.merge(snapshot(12, { upstream("b", 2) }), false);
    sender.setRemovalsUncertain(areUncertain);
    Registry receiver;
    Change draining = upstream("a", 1);
    std::get<UpstreamRecord>(*draining.m_record).m_state = UpstreamState::Draining;
    receiver.merge(snapshot(10, { draining, upstream("b", 2), upstream("c", 3) }), false);
    const auto received = decodeDelta(encodeDelta(sender.changesSince(receiver.deltaBase())));
    REQUIRE(received.ok());
    CHECK(received->m_isSnapshot);
    const auto changed = receiver.merge(*received);
    REQUIRE(changed.size() == 2);
    CHECK(changed[0].m_key.m_name == "a");
    CHECK(changed[0].m_mayReturn == areUncertain);
    // One that is ready gets no new flows at once, as before.
    CHECK(changed[1].m_key.m_name == "c");
    CHECK_FALSE(changed[1].m_mayReturn);
    CHECK(receiver.changesSince({}).m_changes.size() == 1);
  }
}

TEST_CASE("hosts of an earlier build and of this one read the snapshots of each other")
{
  // An earlier build writes six fields, and ignores further ones.
  Registry sender;
  sender.merge(snapshot(12, { upstream("b", 2) }), false);
  const auto bytesOfEarlierBuild = encodeDelta(sender.changesSince({}));
  const auto earlier = nlohmann::json::from_msgpack(bytesOfEarlierBuild);
  CHECK(earlier.size() == 6);
  const auto received = decodeDelta(bytesOfEarlierBuild);
  REQUIRE(received.ok());
  CHECK_FALSE(received->m_areRemovalsUncertain);
  sender.setRemovalsUncertain(true);
  auto current = nlohmann::json::from_msgpack(encodeDelta(sender.changesSince({})));
  CHECK(current.size() == 7);
  current.erase(6);
  CHECK(current == earlier);
  // A flag of another type is malformed and ends nothing.
  current.push_back("yes");
  CHECK_FALSE(decodeDelta(nlohmann::json::to_msgpack(current)).ok());
}

TEST_CASE("deltas that are nested deeply or have numbers beyond their types do not end the process")
{
  CHECK_FALSE(decodeDelta(nestedMessagePack()).ok());
  Registry reader;
  reader.merge(snapshot(10, { upstream("a", 1) }), false);
  const Json fields = Json::from_msgpack(encodeDelta(reader.changesSince({})));
  for (size_t field = 0; field < 6; ++field) {
    for (const Json& value : { Json(1e300), Json(-1), Json(0.5), Json("@"), Json(nullptr) }) {
      Json mutated = fields;
      mutated[field] = value;
      std::vector<uint8_t> encoded = Json::to_msgpack(mutated);
      if (value == "@") {
        encoded = spliced(encoded, nestedMessagePack());
      }
      const auto delta = decodeDelta(encoded);
      CHECK((!delta.ok() || (field == 5 && value.is_null())));
    }
  }
}
