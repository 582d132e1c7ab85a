// Merging, differences between hosts, and their encoding.
#include "registry/RecordCodec.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>

using namespace tamarack;
using namespace tamarack::registry;

namespace {

Change
upstream(const std::string& aName, Revision aRevision, int64_t aWarmUpLeftMs = 0)
{
  return { { RecordKind::Upstream, aName },
           aRevision,
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
removal(const std::string& aName, Revision aRevision)
{
  return { { RecordKind::Upstream, aName }, aRevision, std::nullopt };
}

Change
route(const std::string& aName, Revision aRevision, uint16_t aPort = 443)
{
  return { { RecordKind::Route, aName },
           aRevision,
           RouteRecord{
             Ipv4{ 0xc6120001 }, aPort, RequestKind::Idempotent, { { "reports", 3 } } } };
}

std::vector<Change>
configuration(uint64_t aVersion, Revision aRevision, std::vector<Change> aRoutes)
{
  aRoutes.push_back({ { RecordKind::Configuration, "" },
                      aRevision,
                      ConfigurationRecord{ aVersion, Millis{ 15'000 } } });
  return aRoutes;
}

Reading
snapshot(Revision aRevision, std::vector<Change> aChanges)
{
  return { .m_revision = aRevision, .m_isSnapshot = true, .m_changes = std::move(aChanges) };
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
  first.merge(Reading{ .m_revision = 6, .m_changes = changes }, false);
  for (int round = 0; round < 50; ++round) {
    std::ranges::shuffle(changes, random);
    Registry second;
    second.merge(Reading{ .m_revision = 6, .m_changes = changes }, false);
    CHECK(encodeDifference(second.changesSince(0)) == encodeDifference(first.changesSince(0)));
  }
}

TEST_CASE("a snapshot removes what it lacks, and nothing that came later")
{
  Registry registry;
  registry.merge(snapshot(5, { upstream("a", 1), upstream("b", 2) }), false);
  registry.merge(Reading{ .m_revision = 9, .m_changes = { upstream("c", 9) } }, false);
  const auto changed = registry.merge(snapshot(9, { upstream("a", 1), upstream("c", 9) }), false);
  REQUIRE(changed.size() == 1);
  CHECK(changed[0].m_key.m_name == "b");
  CHECK_FALSE(changed[0].m_record.has_value());
  // A snapshot from the past changes nothing.
  CHECK(registry.merge(snapshot(7, { upstream("a", 1) }), false).empty());
  CHECK(registry.complete() == 9);
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
  Reading reading{ .m_revision = 3 };
  reading.m_configuration = configuration(7, 3, { route("a", 3), route("b", 3) });
  registry.merge(reading, false);
  reading = { .m_revision = 4 };
  reading.m_configuration = configuration(9, 4, { route("a", 4), route("c", 4, 80) });
  const auto changed = keysOf(registry.merge(reading, false));
  CHECK(changed == std::vector<RecordKey>{ { RecordKind::Route, "c" },
                                           { RecordKind::Configuration, "" },
                                           { RecordKind::Route, "b" } });
  reading = { .m_revision = 3 };
  reading.m_configuration = configuration(7, 3, { route("a", 3), route("b", 3) });
  CHECK(registry.merge(reading, false).empty());
  CHECK(registry.configurationVersion() == 9);
}

TEST_CASE("a cold start that goes on is no change, its end is")
{
  Registry registry;
  registry.merge(snapshot(1, { upstream("a", 1, 2000) }), false);
  CHECK(registry.merge(Reading{ .m_revision = 2, .m_changes = { upstream("a", 2, 800) } }, false)
          .empty());
  CHECK(registry.merge(Reading{ .m_revision = 3, .m_changes = { upstream("a", 3, 0) } }, false)
          .size() == 1);
  // It turned cold again.
  CHECK(registry.merge(Reading{ .m_revision = 4, .m_changes = { upstream("a", 4, 900) } }, false)
          .size() == 1);
}

TEST_CASE("a host that lacks changes gets them from another, or everything")
{
  Registry reader;
  reader.merge(snapshot(10, { upstream("a", 1), upstream("b", 2) }), false);
  Registry host;
  CHECK(reader.changesSince(0).m_isSnapshot);
  host.merge(reader.changesSince(0));
  CHECK(host.complete() == 10);
  reader.merge(Reading{ .m_revision = 12, .m_changes = { removal("a", 11), upstream("c", 12) } },
               false);
  const Difference difference = reader.changesSince(10);
  CHECK_FALSE(difference.m_isSnapshot);
  CHECK(difference.m_changes.size() == 2);
  // A host that lacks what the difference builds on takes nothing.
  Registry behind;
  CHECK(behind.merge(difference).empty());
  CHECK(behind.complete() == 0);
  CHECK(host.merge(difference).size() == 2);
  CHECK(host.complete() == 12);
  // A reader that began later does not know what was removed before, so it sends everything.
  Registry late;
  late.merge(snapshot(12, { upstream("b", 2), upstream("c", 12) }), false);
  Registry old;
  old.merge(snapshot(10, { upstream("a", 1), upstream("b", 2) }), false);
  old.merge(late.changesSince(old.complete()));
  CHECK(encodeDifference(old.changesSince(12)) == encodeDifference(late.changesSince(12)));
  CHECK(old.changesSince(0).m_changes.size() == 2);
}

TEST_CASE("a route that was dropped stays dropped when a configuration is newer than other records")
{
  // Pages of the store may be of different age: the configuration of revision 89 dropped a route,
  // and the upstreams were read at 50. After that the host reads on by itself.
  Reading pages = snapshot(50, { upstream("a", 1) });
  pages.m_configuration = configuration(9, 89, { route("kept", 89) });
  Registry started;
  started.merge(pages, false);
  Reading later{ .m_revision = 100 };
  later.m_configuration = configuration(9, 89, { route("kept", 89) });
  started.merge(later, false);

  // A host that ran all along takes from it what it lacks, and the dropped route with it.
  Reading before = snapshot(54, { upstream("a", 1) });
  before.m_configuration = configuration(5, 40, { route("kept", 40), route("dropped", 40, 80) });
  Registry running;
  running.merge(before, false);
  running.merge(started.changesSince(running.complete()));
  CHECK(running.configurationVersion() == 9);
  const auto held = keysOf(running.changesSince(0).m_changes);
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
  const auto changed = keysOf(starting.merge(neighbour.changesSince(0)));
  CHECK(changed == std::vector<RecordKey>{ { RecordKind::Upstream, "a" } });
  CHECK(starting.complete() == 54);

  // The store says nothing new of the configuration.
  Reading later{ .m_revision = 100 };
  later.m_configuration = page.m_configuration;
  starting.merge(later, false);
  const auto held = keysOf(starting.changesSince(0).m_changes);
  CHECK(std::ranges::find(held, RecordKey{ RecordKind::Route, "kept" }) != held.end());
  CHECK(std::ranges::find(held, RecordKey{ RecordKind::Route, "dropped" }) == held.end());
}

TEST_CASE("differences survive their encoding, and mutated bytes are refused or read")
{
  Registry registry;
  Reading reading = snapshot(9, { upstream("a", 1, 700), removal("gone", 8) });
  reading.m_changes.push_back({ { RecordKind::DataCentreOut, "natal" }, 5, DataCentreOutRecord{} });
  reading.m_configuration = configuration(4, 6, { route("r", 6) });
  registry.merge(reading, false);
  registry.merge(Reading{ .m_revision = 10, .m_changes = { removal("a", 10) } }, false);
  const std::vector<uint8_t> bytes = encodeDifference(registry.changesSince(9));
  const auto decoded = decodeDifference(bytes);
  REQUIRE(decoded.ok());
  CHECK(encodeDifference(*decoded) == bytes);

  const std::vector<uint8_t> whole = encodeDifference(registry.changesSince(0));
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
