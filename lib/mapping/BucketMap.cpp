// Merging, hashing and grouping of buckets.
#include "mapping/BucketMap.h"

#include "base/Hash.h"

#include <bit>
#include <cassert>
#include <map>
#include <numeric>

namespace tamarack::mapping {

namespace {

uint64_t
hashBucket(size_t aIndex, const Bucket& aBucket)
{
  const uint64_t upstreams =
    (uint64_t{ aBucket.m_base.m_value } << 32U) | aBucket.m_current.m_value;
  const uint64_t hosts = (uint64_t{ aBucket.m_owner.m_value } << 32U) | aBucket.m_replica.m_value;
  const uint64_t version =
    (uint64_t{ aBucket.m_version.m_counter } << 32U) | aBucket.m_version.m_coordinator.m_value;
  const uint64_t position = (aIndex << 8U) | static_cast<uint64_t>(aBucket.m_phase);
  return mixHash(mixHash(upstreams, hosts), mixHash(version, position));
}

/// Whether an incoming bucket replaces the stored one. Buckets of equal version are compared by
/// value, so that all hosts converge to the same one.
bool
supersedes(const Bucket& aIncoming, const Bucket& aStored)
{
  if (aIncoming.m_version != aStored.m_version) {
    return aIncoming.m_version > aStored.m_version;
  }
  return aIncoming > aStored;
}

} // namespace

BucketMap::BucketMap(std::vector<Bucket> aInitial)
  : m_buckets(std::move(aInitial))
{
  assert(std::has_single_bit(m_buckets.size()) && "the number of buckets is not a power of two");
  for (size_t index = 0; index < m_buckets.size(); ++index) {
    m_digest ^= hashBucket(index, m_buckets[index]);
    m_highestCounter = std::max(m_highestCounter, m_buckets[index].m_version.m_counter);
    m_migrating += m_buckets[index].m_phase == Phase::Stable ? 0 : 1;
  }
}

bool
BucketMap::mergeBucket(size_t aIndex, const Bucket& aIncoming)
{
  if (aIndex >= m_buckets.size() || !supersedes(aIncoming, m_buckets[aIndex])) {
    return false;
  }
  Bucket& stored = m_buckets[aIndex];
  m_digest ^= hashBucket(aIndex, stored) ^ hashBucket(aIndex, aIncoming);
  m_migrating -= stored.m_phase == Phase::Stable ? 0 : 1;
  m_migrating += aIncoming.m_phase == Phase::Stable ? 0 : 1;
  m_highestCounter = std::max(m_highestCounter, aIncoming.m_version.m_counter);
  stored = aIncoming;
  return true;
}

std::vector<BucketGroup>
groupBuckets(const BucketMap& aMap, std::span<const uint16_t> aIndices)
{
  std::map<Bucket, std::vector<uint16_t>> byValue;
  for (const uint16_t index : aIndices) {
    byValue[aMap[index]].push_back(index);
  }
  std::vector<BucketGroup> groups;
  groups.reserve(byValue.size());
  for (auto& [value, indices] : byValue) {
    groups.push_back({ value, std::move(indices) });
  }
  return groups;
}

MapDelta
makeSnapshot(ServiceId aService, const BucketMap& aMap)
{
  std::vector<uint16_t> all(aMap.size());
  std::iota(all.begin(), all.end(), uint16_t{ 0 });
  return { .m_service = aService, .m_isSnapshot = true, .m_groups = groupBuckets(aMap, all) };
}

std::vector<Bucket>
expandSnapshot(const MapDelta& aDelta, size_t aBuckets)
{
  std::vector<Bucket> buckets(aBuckets);
  size_t filled = 0;
  for (const BucketGroup& group : aDelta.m_groups) {
    for (const uint16_t index : group.m_buckets) {
      if (index >= aBuckets) {
        return {};
      }
      buckets[index] = group.m_value;
      ++filled;
    }
  }
  return filled == aBuckets ? buckets : std::vector<Bucket>{};
}

} // namespace tamarack::mapping
