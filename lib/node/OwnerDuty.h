// The duty of a host that owns buckets: it keeps their pins, copies them to the replica, hands them
// over when ownership moves, asks for grants, and reports when a move can settle.
#pragma once

#include "node/Context.h"

#include <span>

namespace tamarack::node {

/// A new owner waits this long for the pins of the former owner.
inline constexpr Millis kHandoverWait{ 1000 };
/// Pins copied to replicas in one tick, to stay within the budget for control traffic.
inline constexpr size_t kPinsPerTick = 100;
/// The flows of an upstream that is gone are reset for this long before the move settles.
inline constexpr Millis kDeadBaseSettle{ 5000 };

/// One bucket that took a newer value.
struct BucketChange
{
  uint16_t m_bucket{};
  mapping::Bucket m_before;
};

class OwnerDuty
{
public:
  explicit OwnerDuty(Context& aContext)
    : m_context(aContext)
  {
  }

  /// Copies pins, ends idle ones, reports settled buckets.
  void tick(TimePoint aNow);
  /// Call after buckets of a service's map have changed.
  void onBucketsChanged(TimePoint aNow,
                        ServiceState& aService,
                        std::span<const BucketChange> aChanges);
  void onPins(TimePoint aNow, const mapping::PinBatch& aBatch);
  void onGrant(TimePoint aNow, const admission::Grant& aGrant);
  /// A peer lost what it was sent; copies of pins that it should hold are sent again.
  void onReplicaRestarted(HostId aHost);
  /// No pin is left that only this host holds.
  [[nodiscard]] bool hasNothingToHandOver() const;

private:
  void copyPins(ServiceState& aService);
  void takePin(TimePoint aNow, ServiceState& aService, FlowId aFlow, UpstreamId aUpstream);
  void endIdlePins(TimePoint aNow, ServiceState& aService);
  void reportSettled(TimePoint aNow, ServiceState& aService);
  bool canSettle(TimePoint aNow, const ServiceState& aService, uint16_t aBucket) const;
  void startSettling(TimePoint aNow, ServiceState& aService, std::span<const bool> aBuckets);
  void askForGrants(TimePoint aNow, ServiceState& aService);
  void handOver(ServiceState& aService, std::span<const BucketChange> aChanges);
  void prunePins(TimePoint aNow, ServiceState& aService, std::span<const BucketChange> aChanges);

  Context& m_context;
  TimePoint m_sweptAt;
};

} // namespace tamarack::node
