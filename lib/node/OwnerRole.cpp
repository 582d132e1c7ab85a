// Replication, hand-over and expiry of the pins of owned buckets, and settling of their moves.
#include "node/OwnerRole.h"

#include <algorithm>
#include <map>
#include <set>

namespace tamarack::node {

namespace {

using mapping::Bucket;
using mapping::Phase;
using mapping::Pin;
using mapping::PinBatch;

/// Interval at which idle pins are expired and settled buckets are reported.
constexpr Millis kSweepInterval{ 1000 };
/// Pins of a bucket that another host owns are kept for this long, because a merge of maps may
/// return the bucket to this host.
constexpr Millis kReleasedPinRetention{ 5000 };
/// A bucket is reported as settled no earlier than this after its learned pins were queued for
/// replication, so that they have reached the replica.
constexpr Millis kPinReplicationDelay{ 1500 };

/// Collects the pins, removals and handed-over buckets to send to one host.
struct PinBatchBuilder
{
  std::map<UpstreamId, std::vector<FlowId>> m_pins;
  std::vector<FlowId> m_removed;
  std::vector<uint16_t> m_handedOver;

  PinBatch build(ServiceId aService)
  {
    PinBatch batch{ .m_service = aService,
                    .m_removed = std::move(m_removed),
                    .m_handedOver = std::move(m_handedOver) };
    for (auto& [upstream, flows] : m_pins) {
      batch.m_groups.push_back({ upstream, std::move(flows) });
    }
    return batch;
  }
};

} // namespace

void
OwnerRole::tick(TimePoint aNow)
{
  const bool isSweepDue = aNow - m_lastSweepAt >= kSweepInterval;
  for (auto& [id, service] : m_context.m_services) {
    replicatePins(*service);
    requestGrants(aNow, *service);
    if (isSweepDue) {
      expireIdlePins(aNow, *service);
      reportSettledBuckets(aNow, *service);
    }
  }
  if (isSweepDue) {
    m_lastSweepAt = aNow;
  }
}

void
OwnerRole::replicatePins(ServiceState& aService)
{
  std::map<HostId, PinBatchBuilder> batches;
  const size_t count = std::min(aService.m_unreplicatedPins.size(), kMaxPinsReplicatedPerTick);
  const HostId self = m_context.m_membership.self();
  for (size_t index = 0; index < count; ++index) {
    const FlowId flow = aService.m_unreplicatedPins[index];
    Pin* pin = aService.m_pins.find(flow);
    if (pin == nullptr || pin->m_replicated) {
      continue;
    }
    pin->m_replicated = true;
    pin->m_observedOnly = false;
    const Bucket& bucket = aService.m_map[pin->m_bucket];
    if (bucket.m_owner == self && bucket.m_replica) {
      batches[bucket.m_replica].m_pins[pin->m_upstream].push_back(flow);
    }
  }
  aService.m_unreplicatedPins.erase(aService.m_unreplicatedPins.begin(),
                                    aService.m_unreplicatedPins.begin() +
                                      static_cast<ptrdiff_t>(count));
  for (const auto& [index, flow] : aService.m_removedPins) {
    const Bucket& bucket = aService.m_map[index];
    if (bucket.m_owner == self && bucket.m_replica) {
      batches[bucket.m_replica].m_removed.push_back(flow);
    }
  }
  aService.m_removedPins.clear();
  for (auto& [replica, builder] : batches) {
    m_context.send(replica, builder.build(aService.id()));
  }
}

void
OwnerRole::expireIdlePins(TimePoint aNow, ServiceState& aService)
{
  const HostId self = m_context.m_membership.self();
  aService.m_pins.eraseIf([&](FlowId aFlow, const Pin& aPin) {
    const Bucket& bucket = aService.m_map[aPin.m_bucket];
    if (bucket.m_owner != self && bucket.m_replica != self) {
      return aNow - aService.m_owned[aPin.m_bucket].m_releasedAt > kReleasedPinRetention;
    }
    const bool isIdle = aNow - aPin.m_lastSeen > aService.m_settings.m_idleTimeout;
    if (bucket.m_owner != self || !isIdle) {
      return false;
    }
    if (aPin.m_replicated) {
      aService.m_removedPins.emplace_back(aPin.m_bucket, aFlow);
    }
    return true;
  });
}

bool
OwnerRole::canSettle(TimePoint aNow, const ServiceState& aService, uint16_t aBucket) const
{
  const Bucket& bucket = aService.m_map[aBucket];
  const OwnedBucket& owned = aService.m_owned[aBucket];
  if (bucket.m_phase != Phase::Moving || owned.m_hasUnlearnedFlows) {
    return false;
  }
  if (aService.admissionModeOf(bucket.m_current) != admission::Mode::Open) {
    return false;
  }
  const Millis settleTime = aService.isLive(bucket.m_base)
                              ? aService.m_settings.m_idleTimeout + kSweepInterval
                              : kGoneUpstreamSettleTime;
  return aNow - settleTime > m_context.learningStart(owned);
}

void
OwnerRole::startSettling(TimePoint aNow, ServiceState& aService, std::span<const bool> aBuckets)
{
  for (size_t bucket = 0; bucket < aBuckets.size(); ++bucket) {
    if (aBuckets[bucket]) {
      aService.m_owned[bucket].m_settling = true;
      aService.m_owned[bucket].m_settlingSince = aNow;
    }
  }
  aService.m_pins.forEach([&](FlowId aFlow, const Pin& aPin) {
    if (aBuckets[aPin.m_bucket] && aPin.m_observedOnly) {
      aService.m_unreplicatedPins.push_back(aFlow);
    }
  });
}

void
OwnerRole::reportSettledBuckets(TimePoint aNow, ServiceState& aService)
{
  const HostId self = m_context.m_membership.self();
  const size_t buckets = aService.m_map.size();
  std::vector<uint32_t> pins(buckets);
  std::vector<uint32_t> unreplicated(buckets);
  aService.m_pins.forEach([&](FlowId, const Pin& aPin) {
    ++pins[aPin.m_bucket];
    unreplicated[aPin.m_bucket] += aPin.m_replicated ? 0 : 1;
  });
  mapping::BucketReport report{ .m_service = aService.id() };
  const auto startsSettling = std::make_unique<bool[]>(buckets);
  bool anyStarts = false;
  for (size_t index = 0; index < buckets; ++index) {
    const auto bucketIndex = static_cast<uint16_t>(index);
    const Bucket& bucket = aService.m_map[index];
    if (bucket.m_owner != self) {
      continue;
    }
    const OwnedBucket& owned = aService.m_owned[index];
    const bool isHandoverComplete =
      aNow >= owned.m_handoverDeadline && aNow - owned.m_ownedSince >= kHandoverTimeout;
    const bool isEmpty = bucket.m_phase == Phase::Pinned && pins[index] == 0 && isHandoverComplete;
    const bool canSettleNow = canSettle(aNow, aService, bucketIndex);
    if (canSettleNow && !owned.m_settling) {
      startsSettling[index] = true;
      anyStarts = true;
    }
    const bool isReplicated = owned.m_settling && unreplicated[index] == 0 &&
                              aNow - owned.m_settlingSince >= kPinReplicationDelay;
    if (isEmpty || (canSettleNow && isReplicated)) {
      report.m_completed.push_back(bucketIndex);
      report.m_counters.push_back(bucket.m_version.m_counter);
    }
  }
  if (anyStarts) {
    startSettling(aNow, aService, { startsSettling.get(), buckets });
  }
  const HostId coordinator = m_context.m_membership.coordinatorOf(aService.id());
  if (!report.m_completed.empty() && coordinator) {
    m_context.send(coordinator, std::move(report));
  }
}

void
OwnerRole::requestGrants(TimePoint aNow, ServiceState& aService)
{
  const HostId coordinator = m_context.m_membership.coordinatorOf(aService.id());
  if (!coordinator) {
    return;
  }
  for (auto& [upstream, pool] : aService.m_grants) {
    const uint32_t wanted = pool.takeDemand(aNow);
    if (wanted > 0) {
      m_context.send(coordinator,
                     admission::GrantRequest{ .m_service = aService.id(),
                                              .m_upstream = upstream,
                                              .m_requestedCount = wanted,
                                              .m_requestedAt = aNow });
    }
  }
}

void
OwnerRole::onGrant(TimePoint aNow, const admission::Grant& aGrant)
{
  ServiceState* service = m_context.findService(aGrant.m_service);
  if (service == nullptr) {
    return;
  }
  if (aGrant.m_count == 0) {
    service->m_grantDeniedAt[aGrant.m_upstream] = aNow;
    return;
  }
  service->m_grants[aGrant.m_upstream].add(aGrant);
}

void
OwnerRole::onBucketsChanged(TimePoint aNow,
                            ServiceState& aService,
                            std::span<const BucketChange> aChanges)
{
  const HostId self = m_context.m_membership.self();
  handOver(aService, aChanges);
  for (const BucketChange& change : aChanges) {
    const Bucket& bucket = aService.m_map[change.m_bucket];
    OwnedBucket& owned = aService.m_owned[change.m_bucket];
    if (bucket.m_owner != self) {
      owned = { .m_releasedAt = aNow };
      continue;
    }
    const Bucket& before = change.m_before;
    const bool isNewOwner = before.m_owner != self;
    if (isNewOwner) {
      owned = { .m_ownedSince = aNow, .m_learningSince = aNow };
      const bool hadOwner = before.m_phase != Phase::Stable && before.m_owner;
      if (hadOwner && m_context.m_membership.isReachable(before.m_owner)) {
        owned.m_handoverDeadline = aNow + kHandoverTimeout;
      }
    }
    const bool restartsLearning = before.m_base != bucket.m_base || before.m_phase == Phase::Pinned;
    if (restartsLearning) {
      owned.m_learningSince = aNow;
    }
    if (restartsLearning || bucket.m_phase != Phase::Moving) {
      owned.m_settling = false;
      owned.m_hasUnlearnedFlows = false;
    }
  }
  updatePins(aNow, aService, aChanges);
}

void
OwnerRole::handOver(ServiceState& aService, std::span<const BucketChange> aChanges)
{
  const HostId self = m_context.m_membership.self();
  std::map<HostId, PinBatchBuilder> batches;
  std::set<uint16_t> handedOver;
  for (const BucketChange& change : aChanges) {
    const Bucket& bucket = aService.m_map[change.m_bucket];
    if (change.m_before.m_owner == self && bucket.m_owner != self && bucket.m_owner) {
      batches[bucket.m_owner].m_handedOver.push_back(change.m_bucket);
      handedOver.insert(change.m_bucket);
    }
  }
  if (batches.empty()) {
    return;
  }
  aService.m_pins.forEach([&](FlowId aFlow, const Pin& aPin) {
    if (handedOver.contains(aPin.m_bucket)) {
      batches[aService.m_map[aPin.m_bucket].m_owner].m_pins[aPin.m_upstream].push_back(aFlow);
    }
  });
  for (auto& [owner, builder] : batches) {
    m_context.send(owner, builder.build(aService.id()));
  }
}

void
OwnerRole::updatePins(TimePoint aNow,
                      ServiceState& aService,
                      std::span<const BucketChange> aChanges)
{
  const HostId self = m_context.m_membership.self();
  std::map<uint16_t, const BucketChange*> changes;
  for (const BucketChange& change : aChanges) {
    changes.emplace(change.m_bucket, &change);
  }
  aService.m_pins.eraseIf([&](FlowId aFlow, Pin& aPin) {
    const auto found = changes.find(aPin.m_bucket);
    if (found == changes.end()) {
      return false;
    }
    const Bucket& bucket = aService.m_map[aPin.m_bucket];
    const Bucket& before = found->second->m_before;
    const bool isMine = bucket.m_owner == self;
    if (bucket.m_phase == Phase::Stable) {
      return true;
    }
    if (bucket.m_phase == Phase::Pinned && aPin.m_upstream == bucket.m_base) {
      return true;
    }
    if (isMine && before.m_owner != self) {
      aPin.m_lastSeen = aNow;
    }
    const bool needsCopy = isMine && bucket.m_replica != before.m_replica;
    if (needsCopy && !aPin.m_observedOnly) {
      aPin.m_replicated = false;
      aService.m_unreplicatedPins.push_back(aFlow);
    }
    return false;
  });
}

void
OwnerRole::onPinBatch(TimePoint aNow, const PinBatch& aBatch)
{
  ServiceState* service = m_context.findService(aBatch.m_service);
  if (service == nullptr) {
    return;
  }
  for (const mapping::PinGroup& group : aBatch.m_groups) {
    for (const FlowId flow : group.m_flows) {
      storePin(aNow, *service, flow, group.m_upstream);
    }
  }
  const HostId self = m_context.m_membership.self();
  for (const FlowId flow : aBatch.m_removed) {
    if (service->m_map[service->m_map.indexOf(flow)].m_owner != self) {
      service->m_pins.erase(flow);
    }
  }
  for (const uint16_t bucket : aBatch.m_handedOver) {
    if (bucket < service->m_owned.size()) {
      service->m_owned[bucket].m_handoverDeadline = {};
    }
  }
}

void
OwnerRole::storePin(TimePoint aNow, ServiceState& aService, FlowId aFlow, UpstreamId aUpstream)
{
  const uint16_t index = aService.m_map.indexOf(aFlow);
  const Bucket& bucket = aService.m_map[index];
  const bool isMine = bucket.m_owner == m_context.m_membership.self();
  const Pin* existing = aService.m_pins.find(aFlow);
  const bool isKnown = isMine && existing != nullptr && !existing->m_observedOnly;
  const bool followsBase = bucket.m_phase == Phase::Pinned && aUpstream == bucket.m_base;
  if (isKnown || (isMine && followsBase)) {
    return;
  }
  const Pin pin{ .m_upstream = aUpstream, .m_lastSeen = aNow, .m_bucket = index };
  if (aService.m_pins.insertOrAssign(aFlow, pin) != nullptr && isMine) {
    aService.m_unreplicatedPins.push_back(aFlow);
  }
}

void
OwnerRole::onReplicaReset(HostId aHost)
{
  const HostId self = m_context.m_membership.self();
  for (auto& entry : m_context.m_services) {
    ServiceState* service = entry.second.get();
    service->m_pins.forEach([&](FlowId aFlow, Pin& aPin) {
      const Bucket& bucket = service->m_map[aPin.m_bucket];
      if (bucket.m_owner == self && bucket.m_replica == aHost && aPin.m_replicated) {
        aPin.m_replicated = false;
        service->m_unreplicatedPins.push_back(aFlow);
      }
    });
  }
}

bool
OwnerRole::ownsNoBuckets() const
{
  const HostId self = m_context.m_membership.self();
  for (const auto& [id, service] : m_context.m_services) {
    for (const Bucket& bucket : service->m_map.buckets()) {
      if (bucket.m_owner == self) {
        return false;
      }
    }
  }
  return true;
}

} // namespace tamarack::node
