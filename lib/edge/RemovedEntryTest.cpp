// Tests through whole hosts what the removal of an entry, or its return, shows of an upstream: one
// that answers callers is only cut off from the store, and one that died is left at the same time
// as ever.
#include "edge/HeartbeatFixture.h"

using namespace tamarack;
using namespace tamarack::edge;

namespace {

/// Callers from this one on use a route whose requests are not idempotent.
constexpr uint16_t kFirstEntryCaller = 31;
constexpr uint16_t kCallers = 40;
/// Callers retransmit this long after they have sent a request; the interval doubles each time.
constexpr Millis kRetransmissionDelay{ 200 };

/// Upstream 1, alone in its service, with a flow of each caller through the reader. Upstream 2, of
/// another service, is there for its heartbeats.
class ServedFixture : public HeartbeatFixture
{
public:
  ServedFixture()
  {
    registry::UpstreamRecord other = record(2);
    other.m_service = "manuals";
    start(other);
    start(record(1));
    advance(Millis{ 4000 });
    for (uint16_t caller = 1; caller <= kCallers; ++caller) {
      REQUIRE(openFlow(reader(), caller, caller < kFirstEntryCaller ? kFeedPort : kEntryPort) == 1);
    }
    serve(Millis{ 200 });
  }

  /// The upstream answers a request of each caller at each tick.
  void serve(Millis aTime)
  {
    for (const TimePoint end = m_now + aTime; m_now < end;) {
      advance(kTestTick);
      for (uint16_t caller = 1; caller <= kCallers; ++caller) {
        CHECK(sendRequest(reader(), caller));
        acknowledgeResponse(reader(), caller);
      }
      CHECK(resets().empty());
    }
  }

  /// Callers 1 to `aSenders` send a request every 100 ms, one after the other, and send it again
  /// while there is no answer. Returns the time until a request is not forwarded, or a flow is
  /// reset.
  Millis timeUntilLeft(uint16_t aFirst, uint16_t aSenders)
  {
    const TimePoint begin = m_now;
    while (m_now - begin < Millis{ 10'000 }) {
      for (uint16_t index = 0; index < aSenders; ++index) {
        const Millis sentFor = m_now - begin - kTestTick * index;
        Millis due{};
        for (Millis delay = kRetransmissionDelay; due < sentFor; delay *= 2) {
          due += delay;
        }
        const auto caller = static_cast<uint16_t>(aFirst + index);
        if (due == sentFor && !sendRequest(reader(), caller)) {
          return m_now - begin;
        }
      }
      advance(kTestTick);
      if (!resets().empty()) {
        return m_now - begin;
      }
    }
    return m_now - begin;
  }
};

/// What callers have lost before the entry of a dead upstream is removed.
enum class Loss : uint8_t
{
  Nothing,
  Requests,
  Syn,
};

} // namespace

TEST_CASE("an upstream that is cut off from the store and dies later is left")
{
  // Guards against callers that are kept because the upstream answered without an entry. Requests
  // that are not idempotent may be left waiting until it has been silent for 2 s.
  struct Case
  {
    uint16_t m_firstCaller;
    uint16_t m_senders;
    Millis m_timeUntilLeft;
  };
  for (const Case& row : { Case{ 1, 1, Millis{ 600 } },
                           Case{ 1, 2, Millis{ 600 } },
                           Case{ 1, 10, Millis{ 600 } },
                           Case{ kFirstEntryCaller, 1, Millis{ 3000 } },
                           Case{ kFirstEntryCaller, 10, Millis{ 2100 } } }) {
    CAPTURE(row.m_firstCaller);
    CAPTURE(row.m_senders);
    ServedFixture fixture;
    fixture.crash(1);
    fixture.serve(3 * kHeartbeatInterval + Millis{ 500 });
    CHECK(fixture.timeUntilLeft(row.m_firstCaller, row.m_senders) == row.m_timeUntilLeft);
  }
}

TEST_CASE("an upstream that died is left when its entry is removed, whenever it died")
{
  // Guards against answers before the death that outweigh the removal of the entry.
  for (const Loss loss : { Loss::Nothing, Loss::Requests, Loss::Syn }) {
    for (const int sinceHeartbeat : { 0, 300, 600, 900, 1100 }) {
      CAPTURE(static_cast<int>(loss));
      CAPTURE(sinceHeartbeat);
      ServedFixture fixture;
      fixture.start(HeartbeatFixture::record(1));
      fixture.stopHeartbeats(1);
      const TimePoint removedAt = fixture.m_now + 3 * kHeartbeatInterval;
      fixture.serve(Millis{ sinceHeartbeat });
      fixture.advance(removedAt - fixture.m_now - Millis{ 400 });
      const auto losePackets = [&] {
        if (loss == Loss::Syn) {
          REQUIRE(fixture.sendSyn(fixture.reader(), 200) == 1);
          fixture.advance(kRetransmissionDelay);
          REQUIRE(fixture.sendSyn(fixture.reader(), 200, kFeedPort, 1) == 1);
          return;
        }
        REQUIRE(fixture.sendRequest(fixture.reader(), 1));
        REQUIRE(fixture.sendRequest(fixture.reader(), 2));
        fixture.advance(kRetransmissionDelay);
        REQUIRE(fixture.sendRequest(fixture.reader(), 1));
        (void)fixture.sendRequest(fixture.reader(), 2);
      };
      if (loss != Loss::Nothing) {
        losePackets();
      }
      fixture.advance(removedAt - fixture.m_now);
      fixture.write(HeartbeatFixture::nameOf(1), std::nullopt);
      fixture.advance(kTestTick);
      if (loss == Loss::Nothing) {
        losePackets();
      }
      CHECK_FALSE(fixture.sendRequest(fixture.reader(), 3));
      CHECK_FALSE(fixture.sendRequest(fixture.reader(), kFirstEntryCaller));
    }
  }
}

TEST_CASE("an upstream whose entry did not come back with the store is left at its second lost "
          "request")
{
  // Guards against answers from before the end of the grace period that keep its flows.
  ServedFixture fixture;
  fixture.stopHeartbeats(1);
  fixture.write(HeartbeatFixture::nameOf(1), std::nullopt, true);
  fixture.serve(Millis{ 2300 });
  fixture.advance(Millis{ 300 });
  for (const uint16_t caller : { 1, 2 }) {
    REQUIRE(fixture.sendRequest(fixture.reader(), caller));
  }
  fixture.advance(kRetransmissionDelay);
  CHECK(fixture.sendRequest(fixture.reader(), 1));
  CHECK_FALSE(fixture.sendRequest(fixture.reader(), 2));
  CHECK_FALSE(fixture.sendRequest(fixture.reader(), kFirstEntryCaller));
}

TEST_CASE("a late write under the name of the current process resets no flow although its removal "
          "is heard of late")
{
  // Guards against taking an entry that has expired for one that stays.
  ServedFixture fixture;
  registry::UpstreamRecord current = HeartbeatFixture::record(1);
  current.m_startedAtMs = 9000;
  fixture.start(current);
  fixture.advance(kTestTick);
  for (uint16_t caller = 1; caller <= kCallers; ++caller) {
    REQUIRE(fixture.openFlow(fixture.reader(), caller) == 1);
  }
  fixture.serve(Millis{ 2000 });
  const size_t ended = fixture.countLogged(EventId::UpstreamEnded);
  // The current process does not reach the store from here on.
  fixture.stopHeartbeats(1);
  fixture.writeLate(HeartbeatFixture::record(1));
  fixture.serve(Millis{ 3500 });
  fixture.m_isStoreUp = false;
  fixture.serve(Millis{ 2400 });
  fixture.m_isStoreUp = true;
  fixture.serve(Millis{ 5000 });
  CHECK(fixture.countLogged(EventId::UpstreamEnded) == ended);
}

TEST_CASE("an entry of an earlier start that stays resets no flow of a process that answers")
{
  // Guards against a verdict by the age of an entry alone, for example after a clock went back.
  ServedFixture fixture;
  registry::UpstreamRecord earlier = HeartbeatFixture::record(1);
  earlier.m_startedAtMs = 500;
  fixture.stopHeartbeats(1);
  fixture.write(HeartbeatFixture::nameOf(1), earlier);
  fixture.serve(Millis{ 10'000 });
}

TEST_CASE("requests on flows of a former process are rejected although a late write of it arrives")
{
  // Guards against callers that wait for a process that has gone.
  for (const int delay : { 100, 1000, 2100, 3000, 5000 }) {
    CAPTURE(delay);
    ServedFixture fixture;
    fixture.crash(1);
    fixture.advance(Millis{ 5000 });
    registry::UpstreamRecord successor = HeartbeatFixture::record(1);
    successor.m_identity = 7;
    successor.m_startedAtMs = 16'000;
    fixture.start(successor);
    fixture.advance(Millis{ delay });
    REQUIRE_FALSE(fixture.sendRequest(fixture.reader(), 1));
    fixture.writeLate(HeartbeatFixture::record(1));
    for (uint16_t caller = 2; caller <= kCallers; ++caller) {
      fixture.advance(Millis{ 200 });
      CHECK_FALSE(fixture.sendRequest(fixture.reader(), caller));
    }
  }
}

TEST_CASE("a process whose entry lapsed with the store is served if it returns in the grace period")
{
  // Guards against taking a return for a late write, and a write after that time for a return.
  for (const int returnTime : { 1900, 2700 }) {
    CAPTURE(returnTime);
    ServedFixture fixture;
    fixture.stopHeartbeats(1);
    fixture.write(HeartbeatFixture::nameOf(1), std::nullopt, true);
    fixture.advance(Millis{ 1500 });
    registry::UpstreamRecord successor = HeartbeatFixture::record(1);
    successor.m_identity = 7;
    successor.m_startedAtMs = 16'000;
    fixture.start(successor);
    fixture.advance(kTestTick);
    REQUIRE_FALSE(fixture.sendRequest(fixture.reader(), 1));
    fixture.advance(Millis{ returnTime - 1600 });
    fixture.writeLate(HeartbeatFixture::record(1));
    fixture.advance(kTestTick);
    CHECK(fixture.sendRequest(fixture.reader(), 2) == (returnTime < 2500));
  }
}
