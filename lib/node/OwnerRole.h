// The owner role: a host that owns buckets holds the pins of their flows, replicates them, hands
// them over when the ownership changes, requests grants for new flows from the service's
// coordinator and reports the buckets whose move can be settled.
#pragma once

#include "node/NodeContext.h"

#include <span>

namespace tamarack::node {

/// A new owner waits at most this long for the pins of the former owner.
inline constexpr Millis kHandoverTimeout{ 1000 };
/// Pins of one service that are copied to replicas per tick, limited by the control traffic budget.
inline constexpr size_t kMaxPinsReplicatedPerTick = 100;
/// The owner resets flows of an upstream that is gone for this long before the move can be settled.
inline constexpr Millis kGoneUpstreamSettleTime{ 5000 };

/// A bucket whose value was replaced, and its former value.
struct BucketChange
{
  uint16_t m_bucket{};
  mapping::Bucket m_before;
};

class OwnerRole
{
public:
  explicit OwnerRole(NodeContext& aContext)
    : m_context(aContext)
  {
  }

  /// Replicates and expires pins, requests grants and reports buckets that can be settled.
  void tick(TimePoint aNow);
  /// Must be called after each change of buckets in a service's map.
  void onBucketsChanged(TimePoint aNow,
                        ServiceState& aService,
                        std::span<const BucketChange> aChanges);
  void onPinBatch(TimePoint aNow, const mapping::PinBatch& aBatch);
  void onGrant(TimePoint aNow, const admission::Grant& aGrant);
  /// A peer restarted or its channel was reset, so the pins that it replicates are queued again.
  void onReplicaReset(HostId aHost);
  /// This host owns no bucket of any service, so a planned stop has no pins left to hand over.
  [[nodiscard]] bool ownsNoBuckets() const;

private:
  void replicatePins(ServiceState& aService);
  void storePin(TimePoint aNow, ServiceState& aService, FlowId aFlow, UpstreamId aUpstream);
  void expireIdlePins(TimePoint aNow, ServiceState& aService);
  void reportSettledBuckets(TimePoint aNow, ServiceState& aService);
  bool canSettle(TimePoint aNow, const ServiceState& aService, uint16_t aBucket) const;
  void startSettling(TimePoint aNow, ServiceState& aService, std::span<const bool> aBuckets);
  void requestGrants(TimePoint aNow, ServiceState& aService);
  void handOver(ServiceState& aService, std::span<const BucketChange> aChanges);
  void updatePins(TimePoint aNow, ServiceState& aService, std::span<const BucketChange> aChanges);

  NodeContext& m_context;
  TimePoint m_lastSweepAt;
};

} // namespace tamarack::node
