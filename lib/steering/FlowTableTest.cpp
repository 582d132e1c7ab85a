// Tests the flow table: the packed fields of a state, and which entry a new flow replaces.
#include "steering/FlowTable.h"

#include <doctest/doctest.h>

using namespace tamarack;
using namespace tamarack::steering;

namespace {

constexpr TimePoint kStart{ Millis{ 1'000'000 } };
constexpr Token kToken{ 7 };

packet::FlowKey
flowFrom(uint16_t aPort)
{
  return { Ipv4{ 0xf0000001 }, Ipv4{ 0xc6120001 }, aPort, 65'535 };
}

} // namespace

TEST_CASE("a flow state returns the flow key it was constructed with")
{
  const FlowState state(kStart, flowFrom(65'534), kToken, 100);
  CHECK(state.flow() == flowFrom(65'534));
  CHECK(state.matches(flowFrom(65'534)));
  CHECK_FALSE(state.matches(flowFrom(65'533)));
  CHECK_FALSE(state.isFree());
  CHECK_FALSE(FlowState{}.matches({}));
}

TEST_CASE("a request is pending from its first packet until its response")
{
  FlowState state(kStart, flowFrom(1), kToken, 100);
  CHECK_FALSE(state.pendingTime(kStart));
  CHECK(state.beginRequest(kStart + Millis{ 5 }));
  CHECK_FALSE(state.beginRequest(kStart + Millis{ 300 }));
  CHECK(state.pendingTime(kStart + Millis{ 605 }) == Millis{ 600 });
  state.endRequest();
  CHECK_FALSE(state.pendingTime(kStart + Millis{ 605 }));
}

TEST_CASE("time differences are correct when the truncated times wrap")
{
  for (const int bits : { 24, 32 }) {
    const TimePoint before{ Millis{ (int64_t{ 3 } << bits) - 10 } };
    FlowState state(before, flowFrom(1), kToken, 100);
    state.beginRequest(before);
    CHECK(state.pendingTime(before + Millis{ 250 }) == Millis{ 250 });
    CHECK(state.idleTime(before + Millis{ 250 }) == Millis{ 250 });
  }
}

TEST_CASE("the retransmission counter saturates without changing adjacent bit fields")
{
  FlowState state(kStart, flowFrom(1), kToken, 100);
  for (int repeat = 0; repeat < 40; ++repeat) {
    state.addRetransmission();
  }
  CHECK(state.retransmissions() == 15);
  CHECK_FALSE(state.hasCompleteMap());
  CHECK_FALSE(state.pendingTime(kStart));
  state.clearRetransmissions();
  CHECK(state.retransmissions() == 0);
}

TEST_CASE("a new flow takes a free entry, or replaces the flow that was idle for longest")
{
  FlowTable table(2);
  REQUIRE(table.entries().size() == 4);
  for (uint16_t port = 1; port <= 4; ++port) {
    const TimePoint now = kStart + Millis{ port };
    table.findOrAllocate(now, flowFrom(port)) = FlowState(now, flowFrom(port), kToken, port);
  }
  for (uint16_t port = 1; port <= 4; ++port) {
    REQUIRE(table.find(flowFrom(port)) != nullptr);
    CHECK(table.find(flowFrom(port))->m_sequenceEnd == port);
  }
  table.find(flowFrom(1))->touch(kStart + Millis{ 50 });
  const TimePoint now = kStart + Millis{ 100 };
  table.findOrAllocate(now, flowFrom(5)) = FlowState(now, flowFrom(5), kToken, 5);
  CHECK(table.find(flowFrom(1)) != nullptr);
  CHECK(table.find(flowFrom(2)) == nullptr);
  CHECK(table.find(flowFrom(5)) != nullptr);
}

TEST_CASE("a table holds at least 95 % of the flows of its nominal capacity")
{
  constexpr uint16_t kFlows = 20'000;
  FlowTable table(kFlows);
  for (uint16_t port = 1; port <= kFlows; ++port) {
    table.findOrAllocate(kStart, flowFrom(port)) = FlowState(kStart, flowFrom(port), kToken, port);
  }
  int held = 0;
  for (uint16_t port = 1; port <= kFlows; ++port) {
    held += table.find(flowFrom(port)) != nullptr ? 1 : 0;
  }
  CHECK(held >= kFlows * 95 / 100);
}

TEST_CASE("look-ups succeed in tables of any size")
{
  for (const size_t capacity : { 1, 63, 1000, 32'768 }) {
    FlowTable table(capacity);
    CHECK(table.entries().size() >= capacity);
    for (uint16_t port = 1; port <= 60'000; port += 7) {
      table.findOrAllocate(kStart, flowFrom(port)) =
        FlowState(kStart, flowFrom(port), kToken, port);
      REQUIRE(table.find(flowFrom(port)) != nullptr);
      CHECK(table.find(flowFrom(port))->m_sequenceEnd == port);
    }
  }
}
