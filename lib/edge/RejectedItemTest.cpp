// Tests through whole hosts that entries of other writers that cannot be read, any number of them,
// neither fill the log or the memory nor cost callers anything.
#include "edge/HeartbeatFixture.h"

using namespace tamarack;
using namespace tamarack::edge;

namespace {

/// Returns the answer of a store with items that cannot be read.
registry::StoreUpdate
unreadableItems(uint64_t aRevision, size_t aItems)
{
  registry::StoreUpdate update{ .m_revision = { .m_number = aRevision } };
  for (size_t item = 0; item < aItems; ++item) {
    const std::string name = "odd-" + std::to_string(item);
    update.m_rejectedItems.push_back("servers/" + name + ": is not a number" +
                                     std::string(100'000, '\n'));
    update.m_changes.push_back({ .m_key = { registry::RecordKind::Upstream, name },
                                 .m_revision = { .m_number = aRevision },
                                 .m_record = std::nullopt,
                                 .m_mayReturn = true });
  }
  return update;
}

} // namespace

TEST_CASE("any number of items that cannot be read are told in a few short lines")
{
  HeartbeatFixture fixture;
  fixture.start(HeartbeatFixture::record(1));
  fixture.advance(Millis{ 1000 });
  for (uint64_t round = 0; round < 20; ++round) {
    fixture.reader().onStoreAnswer(
      fixture.m_now, unreadableItems(1000 + round, 1000), false, fixture.m_now);
    fixture.advance(kTestTick);
  }
  CHECK(fixture.countLogged(EventId::RecordRefused) > 0);
  CHECK(fixture.countLogged(EventId::RecordRefused) <= 12);
  const std::string line = fixture.lastLogged(EventId::RecordRefused);
  CHECK(line.size() < 700);
  CHECK(line.find('\n') == std::string::npos);
  // The next line says how many were left out.
  fixture.advance(Millis{ 2000 });
  fixture.reader().onStoreAnswer(fixture.m_now, unreadableItems(2000, 1), false, fixture.m_now);
  fixture.advance(kTestTick);
  CHECK(fixture.lastLogged(EventId::RecordRefused).find(" omitted=") != std::string::npos);
}

TEST_CASE("an item that cannot be read in the place of an upstream's entry costs no open flow")
{
  for (const auto state : { registry::UpstreamState::Ready, registry::UpstreamState::Draining }) {
    HeartbeatFixture fixture;
    fixture.start(HeartbeatFixture::record(1));
    fixture.start(HeartbeatFixture::record(2));
    fixture.advance(Millis{ 2000 });
    REQUIRE(fixture.openFlow(fixture.reader(), 1) != 0);
    REQUIRE(fixture.openFlow(fixture.follower(), 2) != 0);
    for (const uint64_t identity : { 1, 2 }) {
      registry::UpstreamRecord record = HeartbeatFixture::record(identity);
      record.m_state = state;
      fixture.start(record);
    }
    fixture.advance(Millis{ 400 });
    for (const uint64_t identity : { 1, 2 }) {
      fixture.write(HeartbeatFixture::nameOf(identity), std::nullopt, true);
    }
    for (int tick = 0; tick < 14; ++tick) {
      fixture.advance(kTestTick);
      CHECK(fixture.sendRequest(fixture.reader(), 1));
      fixture.acknowledgeResponse(fixture.reader(), 1);
      CHECK(fixture.sendRequest(fixture.follower(), 2));
      fixture.acknowledgeResponse(fixture.follower(), 2);
    }
    CHECK(fixture.resets().empty());
    CHECK(fixture.countLogged(EventId::UpstreamEnded) == 0);
  }
}

TEST_CASE("entries that name ever new services and data centres do not fill the memory")
{
  HeartbeatFixture fixture;
  fixture.start(HeartbeatFixture::record(1));
  fixture.advance(Millis{ 2000 });
  REQUIRE(fixture.openFlow(fixture.reader(), 1) == 1);
  for (uint64_t identity = 100; identity < 2100; ++identity) {
    registry::UpstreamRecord record =
      HeartbeatFixture::record(identity, "odd-" + std::to_string(identity));
    record.m_service = "odd-" + std::to_string(identity);
    fixture.write(HeartbeatFixture::nameOf(identity), record);
  }
  fixture.advance(kTestTick);
  for (uint64_t identity = 100; identity < 2100; ++identity) {
    fixture.write(HeartbeatFixture::nameOf(identity), std::nullopt);
  }
  CHECK(fixture.sendRequest(fixture.reader(), 1));
  fixture.acknowledgeResponse(fixture.reader(), 1);
  fixture.advance(steering::kTokenRetention + Millis{ 1000 });
  const steering::ServiceDirectory& directory = fixture.reader().directory();
  CHECK(directory.dataCentres().size() <= steering::kMaxDataCentres);
  CHECK(directory.services().size() <= 2);
  CHECK(directory.upstreams().size() == 1);
  CHECK(fixture.countLogged(EventId::RecordRefused) == 2);
  CHECK(fixture.openFlow(fixture.reader(), 2) == 1);
}
