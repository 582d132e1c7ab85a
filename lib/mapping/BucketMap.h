// The bucket map of one service as a last-writer-wins replicated structure: each bucket keeps the
// value with the highest version, and a digest allows two hosts to compare their maps.
#pragma once

#include "mapping/Bucket.h"

#include <span>
#include <vector>

namespace tamarack::mapping {

class BucketMap
{
public:
  explicit BucketMap(std::vector<Bucket> aInitial);

  [[nodiscard]] const Bucket& operator[](size_t aIndex) const { return m_buckets[aIndex]; }
  [[nodiscard]] size_t size() const { return m_buckets.size(); }
  [[nodiscard]] std::span<const Bucket> buckets() const { return m_buckets; }

  /// Returns the index of the bucket that contains a flow.
  [[nodiscard]] uint16_t indexOf(FlowId aFlow) const
  {
    return static_cast<uint16_t>(aFlow.m_value & (m_buckets.size() - 1));
  }

  /// Replaces the stored bucket if the incoming one has a higher version, or the same version and a
  /// higher value. Returns whether it was replaced. An index out of range is ignored.
  bool mergeBucket(size_t aIndex, const Bucket& aIncoming);

  /// Maps with equal contents have equal digests.
  [[nodiscard]] uint64_t digest() const { return m_digest; }
  [[nodiscard]] uint32_t highestCounter() const { return m_highestCounter; }
  /// The number of buckets in a phase other than Stable.
  [[nodiscard]] size_t migratingCount() const { return m_migrating; }

private:
  /// The size is a power of two.
  std::vector<Bucket> m_buckets;
  /// The exclusive or of the hashes of all buckets, so that it can be updated per bucket.
  uint64_t m_digest{};
  /// The highest version counter of all buckets.
  uint32_t m_highestCounter{};
  /// The number of buckets in a phase other than Stable.
  size_t m_migrating{};
};

/// Groups the buckets with the given indices by value.
[[nodiscard]] std::vector<BucketGroup>
groupBuckets(const BucketMap& aMap, std::span<const uint16_t> aIndices);

/// Returns a delta that contains every bucket of the map.
[[nodiscard]] MapDelta
makeSnapshot(ServiceId aService, const BucketMap& aMap);

/// Returns the buckets of a snapshot of `aBuckets` buckets. Returns an empty vector if the delta
/// has an index out of range or does not contain `aBuckets` indices.
[[nodiscard]] std::vector<Bucket>
expandSnapshot(const MapDelta& aDelta, size_t aBuckets);

} // namespace tamarack::mapping
