// Tests of the bucket assignment, of merging and snapshots of bucket maps, and of the pin table.
#include "mapping/Assignment.h"
#include "mapping/BucketMap.h"
#include "mapping/PinTable.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <random>

using namespace tamarack;
using namespace tamarack::mapping;

namespace {

constexpr ServiceId kService{ 99 };

std::vector<UpstreamId>
makeUpstreams(uint32_t aCount)
{
  std::vector<UpstreamId> upstreams;
  for (uint32_t index = 1; index <= aCount; ++index) {
    upstreams.push_back({ index * 1000 });
  }
  return upstreams;
}

std::pair<size_t, size_t>
minAndMaxBuckets(const std::vector<UpstreamId>& aAssigned)
{
  std::map<UpstreamId, size_t> counts;
  for (const UpstreamId upstream : aAssigned) {
    ++counts[upstream];
  }
  const auto [least, most] =
    std::ranges::minmax_element(counts, {}, [](const auto& aEntry) { return aEntry.second; });
  return { least->second, most->second };
}

size_t
countMoves(const std::vector<UpstreamId>& aBefore, const std::vector<UpstreamId>& aAfter)
{
  size_t moves = 0;
  for (size_t index = 0; index < aBefore.size(); ++index) {
    moves += aBefore[index] != aAfter[index] ? 1 : 0;
  }
  return moves;
}

} // namespace

TEST_CASE("the initial assignment is deterministic and balanced to within one bucket")
{
  for (const uint32_t count : { 1U, 4U, 7U, 14U, 100U }) {
    const auto assigned = assignInitial(kService, makeUpstreams(count), 1024);
    const auto [least, most] = minAndMaxBuckets(assigned);
    CHECK(most - least <= 1);
    CHECK(assigned == assignInitial(kService, makeUpstreams(count), 1024));
  }
}

TEST_CASE("adding or removing an upstream moves no more buckets than its share plus one")
{
  const auto before = assignInitial(kService, makeUpstreams(14), 1024);
  const auto joined = reassign(kService, makeUpstreams(15), before);
  CHECK(countMoves(before, joined) <= 1024 / 15 + 1);
  auto fewer = makeUpstreams(14);
  fewer.pop_back();
  const auto drained = reassign(kService, fewer, before);
  CHECK(countMoves(before, drained) <= 1024 / 14 + 1);
  CHECK(minAndMaxBuckets(drained).second - minAndMaxBuckets(drained).first <= 1);
  CHECK(reassign(kService, fewer, drained) == drained);
}

TEST_CASE("an assignment without upstreams leaves every bucket unassigned")
{
  CHECK(assignInitial(kService, {}, 16) == std::vector<UpstreamId>(16));
}

TEST_CASE("bucket maps converge to the same contents and digest in any merge order")
{
  std::mt19937_64 random(11);
  std::vector<std::pair<size_t, Bucket>> changes;
  for (int count = 0; count < 400; ++count) {
    Bucket bucket;
    bucket.m_base = { static_cast<uint32_t>(random() % 5) };
    bucket.m_current = { static_cast<uint32_t>(random() % 5) };
    bucket.m_version = { static_cast<uint32_t>(random() % 20),
                         { static_cast<uint32_t>(random() % 3) } };
    bucket.m_phase = static_cast<Phase>(random() % 4);
    changes.emplace_back(random() % 16, bucket);
  }
  BucketMap first{ std::vector<Bucket>(16) };
  for (const auto& [index, bucket] : changes) {
    first.mergeBucket(index, bucket);
  }
  for (int round = 0; round < 20; ++round) {
    std::ranges::shuffle(changes, random);
    BucketMap other{ std::vector<Bucket>(16) };
    for (const auto& [index, bucket] : changes) {
      other.mergeBucket(index, bucket);
    }
    CHECK(std::ranges::equal(first.buckets(), other.buckets()));
    CHECK(first.digest() == other.digest());
    CHECK(first.migratingCount() == other.migratingCount());
  }
}

TEST_CASE("a snapshot expands to the original buckets, and an incomplete one is rejected")
{
  const auto assigned = assignInitial(kService, makeUpstreams(7), 64);
  std::vector<Bucket> buckets(64);
  for (size_t index = 0; index < 64; ++index) {
    buckets[index].m_base = assigned[index];
    buckets[index].m_current = assigned[index];
  }
  const BucketMap map(buckets);
  MapDelta delta = makeSnapshot(kService, map);
  CHECK(delta.m_groups.size() == 7);
  CHECK(expandSnapshot(delta, 64) == buckets);
  delta.m_groups.pop_back();
  CHECK(expandSnapshot(delta, 64).empty());
}

TEST_CASE("a full pin table rejects new flows and still updates existing ones")
{
  PinTable pins(2);
  CHECK(pins.insertOrAssign({ 1 }, { .m_upstream = { 10 } }) != nullptr);
  CHECK(pins.insertOrAssign({ 2 }, { .m_upstream = { 10 } }) != nullptr);
  CHECK(pins.insertOrAssign({ 3 }, { .m_upstream = { 10 } }) == nullptr);
  CHECK(pins.insertOrAssign({ 2 }, { .m_upstream = { 20 } }) != nullptr);
  CHECK(pins.find({ 2 })->m_upstream == UpstreamId{ 20 });
  pins.erase({ 1 });
  CHECK(pins.insertOrAssign({ 3 }, { .m_upstream = { 10 } }) != nullptr);
}
