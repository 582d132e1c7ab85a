// Assigns buckets to upstreams: the initial assignment of a service, and a reassignment with few
// moves after the set of upstreams has changed. In both, the bucket counts of two upstreams differ
// by at most one.
#pragma once

#include "mapping/Bucket.h"

#include <cstdint>
#include <span>
#include <vector>

namespace tamarack::mapping {

/// Returns the upstream of each bucket. The result depends on the arguments only, so that all hosts
/// compute the same one. Without upstreams all entries are zero.
[[nodiscard]] std::vector<UpstreamId>
assignInitial(ServiceId aService, std::span<const UpstreamId> aUpstreams, size_t aBuckets);

/// Returns a balanced assignment that keeps each bucket's upstream in `aCurrent` if that upstream
/// is still in `aUpstreams` and has not reached its quota. The other buckets go, by rendezvous
/// hashing, to upstreams below their quota.
[[nodiscard]] std::vector<UpstreamId>
reassign(ServiceId aService,
         std::span<const UpstreamId> aUpstreams,
         std::span<const UpstreamId> aCurrent);

} // namespace tamarack::mapping
