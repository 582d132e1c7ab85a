// Tests that frames are unchanged after encoding and decoding, and that damaged frames do not crash
// the decoder.
#include "wire/Codec.h"

#include <doctest/doctest.h>
#include <random>

using namespace tamarack;

namespace {

node::Frame
makeFrame()
{
  node::Frame frame;
  frame.m_heartbeat.m_from = HostId{ 77 };
  frame.m_heartbeat.m_sentAt = TimePoint{ Millis{ 123'456 } };
  frame.m_heartbeat.m_votes = { ServiceId{ 5 }, ServiceId{ 6 } };
  frame.m_heartbeat.m_viewStable = true;
  mapping::Bucket bucket{
    .m_base = { 1 }, .m_current = { 2 }, .m_owner = { 3 }, .m_replica = { 4 }
  };
  bucket.m_phase = mapping::Phase::Moving;
  frame.m_bodies = {
    { 1, mapping::MapDelta{ .m_service = { 9 }, .m_groups = { { bucket, { 3, 70, 1000 } } } } },
    { 2, mapping::PinBatch{ .m_service = { 9 }, .m_groups = { { { 2 }, { { 11 }, { 12 } } } } } },
    { 3,
      admission::ModeUpdate{ .m_mode = admission::Mode::Closed, .m_coldDuration = Millis{ 5 } } },
    { 4, membership::PeerExchange{ .m_hosts = { { { 8 }, "recife", true } } } },
  };
  return frame;
}

} // namespace

TEST_CASE("a frame is unchanged after encoding and decoding")
{
  const node::Frame frame = makeFrame();
  const auto decoded = wire::decodeFrame(wire::encodeFrame(frame));
  REQUIRE(decoded.ok());
  CHECK(decoded->m_heartbeat.m_from == frame.m_heartbeat.m_from);
  CHECK(decoded->m_heartbeat.m_sentAt == frame.m_heartbeat.m_sentAt);
  CHECK(decoded->m_heartbeat.m_votes == frame.m_heartbeat.m_votes);
  CHECK(decoded->m_heartbeat.m_viewStable);
  REQUIRE(decoded->m_bodies.size() == 4);
  const auto& delta = std::get<mapping::MapDelta>(decoded->m_bodies[0].m_body);
  CHECK(delta.m_groups[0].m_value ==
        std::get<mapping::MapDelta>(frame.m_bodies[0].m_body).m_groups[0].m_value);
  CHECK(delta.m_groups[0].m_buckets == std::vector<uint16_t>{ 3, 70, 1000 });
  const auto& pins = std::get<mapping::PinBatch>(decoded->m_bodies[1].m_body);
  CHECK(pins.m_groups[0].m_flows == std::vector{ FlowId{ 11 }, FlowId{ 12 } });
  CHECK(std::get<admission::ModeUpdate>(decoded->m_bodies[2].m_body).m_mode ==
        admission::Mode::Closed);
  CHECK(std::get<membership::PeerExchange>(decoded->m_bodies[3].m_body).m_hosts[0].m_leaving);
  CHECK(wire::encodeFrame(*decoded) == wire::encodeFrame(frame));
}

TEST_CASE("the flags of a heartbeat are independent of each other and take one byte in total")
{
  bool membership::Heartbeat::*const flags[] = { &membership::Heartbeat::m_hasCompleteMap,
                                                 &membership::Heartbeat::m_viewStable,
                                                 &membership::Heartbeat::m_leaving,
                                                 &membership::Heartbeat::m_left };
  const size_t size = wire::encodeFrame({}).size();
  for (const auto flag : flags) {
    node::Frame frame;
    frame.m_heartbeat.*flag = true;
    const auto bytes = wire::encodeFrame(frame);
    CHECK(bytes.size() == size);
    const auto decoded = wire::decodeFrame(bytes);
    REQUIRE(decoded.ok());
    for (const auto other : flags) {
      CHECK(decoded->m_heartbeat.*other == (other == flag));
    }
  }
  // One byte each for the three nested arrays, eleven numbers, the empty list of votes and the
  // flags.
  CHECK(size == 16);
}

TEST_CASE("20,000 damaged frames are decoded or rejected without a crash")
{
  const auto original = wire::encodeFrame(makeFrame());
  std::mt19937_64 random(20261204);
  size_t rejectedCount = 0;
  for (int round = 0; round < 20'000; ++round) {
    auto bytes = original;
    for (uint64_t change = 1 + random() % 4; change > 0; --change) {
      bytes[random() % bytes.size()] = static_cast<uint8_t>(random());
    }
    if (random() % 3 == 0) {
      bytes.resize(random() % bytes.size());
    }
    rejectedCount += wire::decodeFrame(bytes).ok() ? 0 : 1;
  }
  CHECK(rejectedCount > 1000);
}

TEST_CASE("frames that are nested deeply or hold an impossible time are rejected")
{
  std::vector<uint8_t> nested(1'000'000, 0x91);
  nested.push_back(0xc0);
  CHECK_FALSE(wire::decodeFrame(nested).ok());
  for (const int64_t time :
       { std::numeric_limits<int64_t>::max(), std::numeric_limits<int64_t>::min() }) {
    node::Frame frame = makeFrame();
    frame.m_heartbeat.m_sentAt = TimePoint{ Millis{ time } };
    CHECK_FALSE(wire::decodeFrame(wire::encodeFrame(frame)).ok());
  }
}
