// Applies bucket map changes, both local ones and those received from peers, and notifies the owner
// role of the buckets that changed.
#pragma once

#include "node/OwnerRole.h"

namespace tamarack::node {

class MapUpdater
{
public:
  explicit MapUpdater(OwnerRole& aOwner)
    : m_owner(aOwner)
  {
  }

  /// Merges bucket values into a service's map; a value is taken only if its stamp is higher.
  /// Returns the buckets that changed.
  std::vector<uint16_t> merge(TimePoint aNow,
                              ServiceState& aService,
                              std::span<const mapping::BucketGroup> aGroups)
  {
    std::vector<BucketChange> changes;
    std::vector<uint16_t> changed;
    for (const mapping::BucketGroup& group : aGroups) {
      for (const uint16_t bucket : group.m_buckets) {
        if (bucket >= aService.m_map.size()) {
          continue;
        }
        const mapping::Bucket before = aService.m_map[bucket];
        if (aService.m_map.mergeBucket(bucket, group.m_value)) {
          changes.push_back({ bucket, before });
          changed.push_back(bucket);
        }
      }
    }
    if (!changes.empty()) {
      m_owner.onBucketsChanged(aNow, aService, changes);
    }
    return changed;
  }

private:
  OwnerRole& m_owner;
};

} // namespace tamarack::node
