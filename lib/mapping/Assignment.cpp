// Rendezvous hashing with a quota of buckets for each upstream.
#include "mapping/Assignment.h"

#include "base/Hash.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <unordered_map>

namespace tamarack::mapping {

namespace {

/// Limits the number of buckets of each upstream to the floor of the average, or to one more for as
/// many upstreams as the remainder of the division requires.
class Quota
{
public:
  Quota(size_t aBuckets, size_t aUpstreams)
    : m_floor(aBuckets / aUpstreams)
    , m_extras(aBuckets % aUpstreams)
  {
  }

  /// Reserves one more bucket for an upstream that has `aCount` buckets. Returns false if the
  /// upstream has reached its quota.
  bool tryReserve(size_t aCount)
  {
    if (aCount < m_floor) {
      return true;
    }
    if (aCount == m_floor && m_extras > 0) {
      --m_extras;
      return true;
    }
    return false;
  }

private:
  size_t m_floor;
  /// The number of upstreams that may still get m_floor + 1 buckets.
  size_t m_extras;
};

uint64_t
rendezvousWeight(ServiceId aService, size_t aBucket, UpstreamId aUpstream)
{
  return mixHash(mixHash(aService.m_value, aBucket), aUpstream.m_value);
}

} // namespace

std::vector<UpstreamId>
assignInitial(ServiceId aService, std::span<const UpstreamId> aUpstreams, size_t aBuckets)
{
  return reassign(aService, aUpstreams, std::vector<UpstreamId>(aBuckets));
}

std::vector<UpstreamId>
reassign(ServiceId aService,
         std::span<const UpstreamId> aUpstreams,
         std::span<const UpstreamId> aCurrent)
{
  std::vector<UpstreamId> assigned(aCurrent.size());
  if (aUpstreams.empty()) {
    return assigned;
  }
  std::unordered_map<UpstreamId, size_t> counts;
  for (const UpstreamId upstream : aUpstreams) {
    counts[upstream] = 0;
  }
  Quota quota(aCurrent.size(), aUpstreams.size());
  std::vector<size_t> unassigned;
  // The buckets are visited in a hashed order, so that the buckets which an upstream over its quota
  // gives up are spread over the index range.
  std::vector<size_t> order(aCurrent.size());
  std::iota(order.begin(), order.end(), size_t{ 0 });
  std::ranges::sort(order, {}, [&](size_t aBucket) { return mixHash(aService.m_value, aBucket); });
  for (const size_t bucket : order) {
    const auto entry = counts.find(aCurrent[bucket]);
    if (entry != counts.end() && quota.tryReserve(entry->second)) {
      ++entry->second;
      assigned[bucket] = aCurrent[bucket];
      continue;
    }
    unassigned.push_back(bucket);
  }
  for (const size_t bucket : unassigned) {
    std::vector<UpstreamId> ranked(aUpstreams.begin(), aUpstreams.end());
    std::ranges::sort(ranked, std::greater{}, [&](UpstreamId aUpstream) {
      return rendezvousWeight(aService, bucket, aUpstream);
    });
    for (const UpstreamId upstream : ranked) {
      if (quota.tryReserve(counts[upstream])) {
        ++counts[upstream];
        assigned[bucket] = upstream;
        break;
      }
    }
  }
  return assigned;
}

} // namespace tamarack::mapping
