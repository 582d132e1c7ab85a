// The flow table: what a state keeps in few bits, and whose place a new flow takes.
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

TEST_CASE("a state gives back the flow that it was made for")
{
  const FlowState state(kStart, flowFrom(65'534), kToken, 100);
  CHECK(state.flow() == flowFrom(65'534));
  CHECK(state.isOf(flowFrom(65'534)));
  CHECK_FALSE(state.isOf(flowFrom(65'533)));
  CHECK_FALSE(state.isFree());
  CHECK_FALSE(FlowState{}.isOf({}));
}

TEST_CASE("a request waits from its first packet until its answer")
{
  FlowState state(kStart, flowFrom(1), kToken, 100);
  CHECK_FALSE(state.waited(kStart));
  CHECK(state.beginRequest(kStart + Millis{ 5 }));
  CHECK_FALSE(state.beginRequest(kStart + Millis{ 300 }));
  CHECK(state.waited(kStart + Millis{ 605 }) == Millis{ 600 });
  state.endRequest();
  CHECK_FALSE(state.waited(kStart + Millis{ 605 }));
}

TEST_CASE("times are right where their short forms wrap")
{
  for (const int bits : { 26, 32 }) {
    const TimePoint before{ Millis{ (int64_t{ 3 } << bits) - 10 } };
    FlowState state(before, flowFrom(1), kToken, 100);
    state.beginRequest(before);
    CHECK(state.waited(before + Millis{ 250 }) == Millis{ 250 });
    CHECK(state.quietFor(before + Millis{ 250 }) == Millis{ 250 });
  }
}

TEST_CASE("repeats are counted up to a bound and do not touch their neighbours")
{
  FlowState state(kStart, flowFrom(1), kToken, 100);
  for (int repeat = 0; repeat < 40; ++repeat) {
    state.addRepeat();
  }
  CHECK(state.repeats() == 15);
  CHECK_FALSE(state.isOpen());
  CHECK_FALSE(state.waited(kStart));
  state.clearRepeats();
  CHECK(state.repeats() == 0);
}

TEST_CASE("a new flow takes a free place, then that of the flow that was quiet for longest")
{
  FlowTable table(2);
  REQUIRE(table.all().size() == 4);
  for (uint16_t port = 1; port <= 4; ++port) {
    const TimePoint now = kStart + Millis{ port };
    table.findOrFree(now, flowFrom(port)) = FlowState(now, flowFrom(port), kToken, port);
  }
  for (uint16_t port = 1; port <= 4; ++port) {
    REQUIRE(table.find(flowFrom(port)) != nullptr);
    CHECK(table.find(flowFrom(port))->m_sequenceEnd == port);
  }
  table.find(flowFrom(1))->touch(kStart + Millis{ 50 });
  const TimePoint now = kStart + Millis{ 100 };
  table.findOrFree(now, flowFrom(5)) = FlowState(now, flowFrom(5), kToken, 5);
  CHECK(table.find(flowFrom(1)) != nullptr);
  CHECK(table.find(flowFrom(2)) == nullptr);
  CHECK(table.find(flowFrom(5)) != nullptr);
}

TEST_CASE("a table holds nearly all of the flows that it is made for")
{
  constexpr uint16_t kFlows = 20'000;
  FlowTable table(kFlows);
  for (uint16_t port = 1; port <= kFlows; ++port) {
    table.findOrFree(kStart, flowFrom(port)) = FlowState(kStart, flowFrom(port), kToken, port);
  }
  int held = 0;
  for (uint16_t port = 1; port <= kFlows; ++port) {
    held += table.find(flowFrom(port)) != nullptr ? 1 : 0;
  }
  CHECK(held >= kFlows * 95 / 100);
}

TEST_CASE("a table of any size finds what it holds")
{
  for (const size_t places : { 1, 63, 1000, 32'768 }) {
    FlowTable table(places);
    CHECK(table.all().size() >= places);
    for (uint16_t port = 1; port <= 60'000; port += 7) {
      table.findOrFree(kStart, flowFrom(port)) = FlowState(kStart, flowFrom(port), kToken, port);
      REQUIRE(table.find(flowFrom(port)) != nullptr);
      CHECK(table.find(flowFrom(port))->m_sequenceEnd == port);
    }
  }
}
