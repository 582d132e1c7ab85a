// Merging, differences between hosts, and their encoding.
#include "registry/RecordCodec.h"

#include <algorithm>
#include <doctest/doctest.h>
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

Reading
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

TEST_CASE("changes that arrive in any order end in the same records")
{
  std::vector<Change> changes{ upstream("a", 1), upstream("b", 2), removal("a", 3),
                               upstream("a", 4), removal("b", 5),  upstream("c", 6) };
  std::mt19937 random(3);
  Registry first;
  first.merge(Reading{ .m_revision = { .m_number = 6 }, .m_changes = changes }, false);
  for (int round = 0; round < 50; ++round) {
    std::ranges::shuffle(changes, random);
    Registry second;
    second.merge(Reading{ .m_revision = { .m_number = 6 }, .m_changes = changes }, false);
    CHECK(encodeDifference(second.changesSince({})) == encodeDifference(first.changesSince({})));
  }
}

TEST_CASE("a snapshot removes what it lacks, and nothing that came later")
{
  Registry registry;
  registry.merge(snapshot(5, { upstream("a", 1), upstream("b", 2) }), false);
  registry.merge(Reading{ .m_revision = { .m_number = 9 }, .m_changes = { upstream("c", 9) } },
                 false);
  const auto changed = registry.merge(snapshot(9, { upstream("a", 1), upstream("c", 9) }), false);
  REQUIRE(changed.size() == 1);
  CHECK(changed[0].m_key.m_name == "b");
  CHECK_FALSE(changed[0].m_record.has_value());
  // A snapshot from the past changes nothing.
  CHECK(registry.merge(snapshot(7, { upstream("a", 1) }), false).empty());
  CHECK(registry.complete() == Revision{ .m_number = 9 });
}

TEST_CASE("removals while the store is disturbed say that the upstream may return")
{
  Registry registry;
  registry.merge(snapshot(5, { upstream("a", 1) }), false);
  const auto changed = registry.merge(snapshot(6, {}), true);
  REQUIRE(changed.size() == 1);
  CHECK(changed[0].m_mayReturn);
}

TEST_CASE("a new configuration changes what differs and never goes back")
{
  Registry registry;
  Reading reading{ .m_revision = { .m_number = 3 } };
  reading.m_configuration = configuration(7, 3, { route("a", 3), route("b", 3) });
  registry.merge(reading, false);
  reading = { .m_revision = { .m_number = 4 } };
  reading.m_configuration = configuration(9, 4, { route("a", 4), route("c", 4, 80) });
  const auto changed = keysOf(registry.merge(reading, false));
  CHECK(changed == std::vector<RecordKey>{ { RecordKind::Route, "c" },
                                           { RecordKind::Configuration, "" },
                                           { RecordKind::Route, "b" } });
  reading = { .m_revision = { .m_number = 3 } };
  reading.m_configuration = configuration(7, 3, { route("a", 3), route("b", 3) });
  CHECK(registry.merge(reading, false).empty());
  CHECK(registry.configurationVersion() == 9);
}

TEST_CASE("a cold start that goes on is no change, its end is")
{
  Registry registry;
  registry.merge(snapshot(1, { upstream("a", 1, 2000) }), false);
  CHECK(registry
          .merge(Reading{ .m_revision = { .m_number = 2 }, .m_changes = { upstream("a", 2, 800) } },
                 false)
          .empty());
  CHECK(registry
          .merge(Reading{ .m_revision = { .m_number = 3 }, .m_changes = { upstream("a", 3, 0) } },
                 false)
          .size() == 1);
  // It turned cold again.
  CHECK(registry
          .merge(Reading{ .m_revision = { .m_number = 4 }, .m_changes = { upstream("a", 4, 900) } },
                 false)
          .size() == 1);
}

TEST_CASE("a host that lacks changes gets them from another, or everything")
{
  Registry reader;
  reader.merge(snapshot(10, { upstream("a", 1), upstream("b", 2) }), false);
  Registry host;
  CHECK(reader.changesSince({}).m_isSnapshot);
  host.merge(reader.changesSince({}));
  CHECK(host.complete() == Revision{ .m_number = 10 });
  reader.merge(Reading{ .m_revision = { .m_number = 12 },
                        .m_changes = { removal("a", 11), upstream("c", 12) } },
               false);
  const Difference difference = reader.changesSince({ .m_number = 10 });
  CHECK_FALSE(difference.m_isSnapshot);
  CHECK(difference.m_changes.size() == 2);
  // A host that lacks what the difference builds on takes nothing.
  Registry behind;
  CHECK(behind.merge(difference).empty());
  CHECK(behind.complete() == Revision{ .m_number = 0 });
  CHECK(host.merge(difference).size() == 2);
  CHECK(host.complete() == Revision{ .m_number = 12 });
  // A reader that began later does not know what was removed before, so it sends everything.
  Registry late;
  late.merge(snapshot(12, { upstream("b", 2), upstream("c", 12) }), false);
  Registry old;
  old.merge(snapshot(10, { upstream("a", 1), upstream("b", 2) }), false);
  old.merge(late.changesSince(old.complete()));
  CHECK(encodeDifference(old.changesSince({ .m_number = 12 })) ==
        encodeDifference(late.changesSince({ .m_number = 12 })));
  CHECK(old.changesSince({}).m_changes.size() == 2);
}

TEST_CASE("a route that was dropped stays dropped when a configuration is newer than other records")
{
  // Pages of the store may be of different age: the configuration of revision 89 dropped a route,
  // and the upstreams were read at 50. After that the host reads on by itself.
  Reading pages = snapshot(50, { upstream("a", 1) });
  pages.m_configuration = configuration(9, 89, { route("kept", 89) });
  Registry started;
  started.merge(pages, false);
  Reading later{ .m_revision = { .m_number = 100 } };
  later.m_configuration = configuration(9, 89, { route("kept", 89) });
  started.merge(later, false);

  // A host that ran all along takes from it what it lacks, and the dropped route with it.
  Reading before = snapshot(54, { upstream("a", 1) });
  before.m_configuration = configuration(5, 40, { route("kept", 40), route("dropped", 40, 80) });
  Registry running;
  running.merge(before, false);
  running.merge(started.changesSince(running.complete()));
  CHECK(running.configurationVersion() == 9);
  const auto held = keysOf(running.changesSince({}).m_changes);
  CHECK(std::ranges::find(held, RecordKey{ RecordKind::Route, "kept" }) != held.end());
  CHECK(std::ranges::find(held, RecordKey{ RecordKind::Route, "dropped" }) == held.end());
}

TEST_CASE("a snapshot adds no routes of an older configuration to those of a newer one")
{
  Reading page;
  page.m_configuration = configuration(9, 89, { route("kept", 89) });
  Registry starting;
  starting.merge(page, false);

  Reading before = snapshot(54, { upstream("a", 1) });
  before.m_configuration = configuration(5, 40, { route("kept", 40), route("dropped", 40, 80) });
  Registry neighbour;
  neighbour.merge(before, false);
  const auto changed = keysOf(starting.merge(neighbour.changesSince({})));
  CHECK(changed == std::vector<RecordKey>{ { RecordKind::Upstream, "a" } });
  CHECK(starting.complete() == Revision{ .m_number = 54 });

  // The store says nothing new of the configuration.
  Reading later{ .m_revision = { .m_number = 100 } };
  later.m_configuration = page.m_configuration;
  starting.merge(later, false);
  const auto held = keysOf(starting.changesSince({}).m_changes);
  CHECK(std::ranges::find(held, RecordKey{ RecordKind::Route, "kept" }) != held.end());
  CHECK(std::ranges::find(held, RecordKey{ RecordKind::Route, "dropped" }) == held.end());
}

namespace {

/// A change as of a later history of the store.
Change
inHistory(History aHistory, Change aChange)
{
  aChange.m_revision.m_history = aHistory;
  return aChange;
}

std::vector<Change>
inHistory(History aHistory, std::vector<Change> aChanges)
{
  for (Change& change : aChanges) {
    change.m_revision.m_history = aHistory;
  }
  return aChanges;
}

Reading
restored(History aHistory, uint64_t aRevision, std::vector<Change> aChanges)
{
  return { .m_revision = { aHistory, aRevision },
           .m_isSnapshot = true,
           .m_changes = inHistory(aHistory, std::move(aChanges)) };
}

/// Names of the records of one kind that are held.
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

TEST_CASE("a later history is taken as a whole, whatever its revisions")
{
  Registry registry;
  registry.merge(snapshot(900, { upstream("kept", 10), upstream("lost", 850) }), false);
  const Reading back = restored(1, 840, { upstream("kept", 10), upstream("gone before", 20) });
  CHECK(registry.isSuperseded(back));
  const auto changed = registry.merge(back, false);
  CHECK(registry.complete() == Revision{ 1, 840 });
  CHECK(heldNames(registry, RecordKind::Upstream) ==
        std::set<std::string>{ "kept", "gone before" });
  // What did not change is no change; the rest may be older than what was known.
  REQUIRE(changed.size() == 2);
  for (const Change& change : changed) {
    CHECK(change.m_isRestored);
    CHECK((change.m_record.has_value() || change.m_mayReturn));
  }
  // The revision is given out again.
  registry.merge(
    Reading{ .m_revision = { 1, 850 }, .m_changes = { inHistory(1, upstream("lost", 850)) } },
    false);
  CHECK(heldNames(registry, RecordKind::Upstream).contains("lost"));
}

TEST_CASE(
  "a watch whose revisions were overtaken, and answers of an earlier history, change nothing")
{
  Registry registry;
  registry.merge(snapshot(100, { upstream("a", 10) }), false);
  const Reading overtaken{ .m_revision = { 1, 105 },
                           .m_changes = { inHistory(1, upstream("b", 104)) } };
  CHECK(registry.isSuperseded(overtaken));
  CHECK(registry.merge(overtaken, false).empty());
  CHECK(registry.complete() == Revision{ 0, 100 });

  registry.merge(restored(1, 90, { upstream("a", 10) }), false);
  CHECK(
    registry.merge(Reading{ .m_revision = { 0, 120 }, .m_changes = { upstream("c", 119) } }, false)
      .empty());
  CHECK(registry.merge(snapshot(130, {}), false).empty());
  CHECK(registry.complete() == Revision{ 1, 90 });
  CHECK(heldNames(registry, RecordKind::Upstream) == std::set<std::string>{ "a" });
}

TEST_CASE("a configuration that the store lost is held until it or a newer one is written again")
{
  Registry registry;
  Reading before = snapshot(100, {});
  before.m_configuration = configuration(9, 95, { route("kept", 95), route("new", 95, 80) });
  registry.merge(before, false);

  Reading back = restored(1, 60, {});
  back.m_configuration =
    inHistory(1, configuration(7, 50, { route("kept", 50), route("dropped", 50, 81) }));
  registry.merge(back, false);
  CHECK(registry.configurationVersion() == 9);
  CHECK(heldNames(registry, RecordKind::Route) == std::set<std::string>{ "kept", "new" });

  // A host that started from the copy.
  Registry started;
  started.merge(back, false);
  CHECK(started.configurationVersion() == 7);

  Reading again{ .m_revision = { 1, 70 } };
  again.m_configuration =
    inHistory(1, configuration(9, 70, { route("kept", 70), route("new", 70, 80) }));
  registry.merge(again, false);
  // The other host learns all of it, though most records did not change at the first one.
  started.merge(registry.changesSince(started.complete()));
  CHECK(started.configurationVersion() == 9);
  CHECK(heldNames(started, RecordKind::Route) == std::set<std::string>{ "kept", "new" });
}

TEST_CASE(
  "a configuration that is written again replaces records that the copy has in an older form")
{
  // This host holds version 9 with the port that the store lost; the other one started from the
  // copy.
  Registry registry;
  Reading before = snapshot(100, {});
  before.m_configuration = configuration(9, 95, { route("moved", 95, 80) });
  registry.merge(before, false);
  Reading back = restored(1, 60, {});
  back.m_configuration = inHistory(1, configuration(7, 50, { route("moved", 50, 81) }));
  registry.merge(back, false);
  Registry started;
  started.merge(back, false);
  CHECK(started.changesSince({}).m_isSnapshot);

  Reading again{ .m_revision = { 1, 70 } };
  again.m_configuration = inHistory(1, configuration(9, 70, { route("moved", 70, 80) }));
  registry.merge(again, false);
  started.merge(registry.changesSince(started.mergeBase()));
  for (const Change& change : started.changesSince({}).m_changes) {
    if (change.m_key.m_kind == RecordKind::Route) {
      CHECK(std::get<RouteRecord>(*change.m_record).m_port == 80);
    }
  }
}

TEST_CASE("hosts follow one that joined a later history before any configuration is written again")
{
  Registry registry;
  registry.merge(snapshot(100, { upstream("a", 10), upstream("lost", 99) }), false);
  Registry other;
  other.merge(registry.changesSince({}));
  registry.merge(restored(1, 60, { upstream("a", 10) }), false);
  other.merge(registry.changesSince(other.mergeBase()));
  CHECK(other.complete() == Revision{ 1, 60 });
  CHECK(heldNames(other, RecordKind::Upstream) == std::set<std::string>{ "a" });
}

TEST_CASE("a host that holds a lost configuration takes no difference between two others")
{
  // The reader never saw version 11, which this host holds and the store lost.
  Registry reader;
  Reading back = restored(1, 60, {});
  back.m_configuration = inHistory(1, configuration(9, 50, { route("kept", 50) }));
  reader.merge(back, false);
  Registry host;
  Reading before = snapshot(100, {});
  before.m_configuration = configuration(11, 95, { route("kept", 95), route("lost", 95, 80) });
  host.merge(before, false);
  host.merge(reader.changesSince(host.complete()));
  CHECK(host.complete() == Revision{ 1, 60 });
  CHECK(host.configurationVersion() == 11);

  Reading newer{ .m_revision = { 1, 80 } };
  newer.m_configuration =
    inHistory(1, configuration(12, 80, { route("kept", 80), route("added", 80, 82) }));
  reader.merge(newer, false);
  CHECK(host.merge(reader.changesSince(host.mergeBase())).empty());
  CHECK(host.mergeBase() == Revision{});
  host.merge(reader.changesSince(host.mergeBase()));
  CHECK(host.configurationVersion() == 12);
  CHECK(heldNames(host, RecordKind::Route) == std::set<std::string>{ "added", "kept" });
  CHECK(host.mergeBase() == host.complete());
}

TEST_CASE("differences survive their encoding, and mutated bytes are refused or read")
{
  Registry registry;
  Reading reading = snapshot(9, { upstream("a", 1, 700), removal("gone", 8) });
  reading.m_changes.push_back(
    { { RecordKind::DataCentreOut, "natal" }, { .m_number = 5 }, DataCentreOutRecord{} });
  reading.m_configuration = configuration(4, 6, { route("r", 6) });
  registry.merge(reading, false);
  registry.merge(Reading{ .m_revision = { .m_number = 10 }, .m_changes = { removal("a", 10) } },
                 false);
  const std::vector<uint8_t> bytes = encodeDifference(registry.changesSince({ .m_number = 9 }));
  const auto decoded = decodeDifference(bytes);
  REQUIRE(decoded.ok());
  CHECK(encodeDifference(*decoded) == bytes);

  const std::vector<uint8_t> whole = encodeDifference(registry.changesSince({}));
  std::mt19937 random(17);
  for (int round = 0; round < 100'000; ++round) {
    std::vector<uint8_t> mutated = whole;
    for (uint32_t change = random() % 4; change < 4; ++change) {
      mutated[random() % mutated.size()] = static_cast<uint8_t>(random());
    }
    mutated.resize(random() % 8 == 0 ? random() % mutated.size() : mutated.size());
    const auto read = decodeDifference(mutated);
    if (read.ok()) {
      Registry target;
      target.merge(*read);
    }
  }
}
