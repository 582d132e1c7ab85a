// The share of the new flows of a service that goes to other data centres, because the upstreams of
// the own data centre are busier according to the load of the fleet.
#pragma once

#include "base/Types.h"
#include "steering/DataCentreReachability.h"

#include <deque>
#include <span>
#include <vector>

namespace tamarack::steering {

/// Load of the upstreams of a service in one data centre, as the fleet measured it.
struct DataCentreOccupancy
{
  const DataCentre* m_dataCentre{};
  /// Requests that the upstreams process or queue, per slot.
  double m_busyPerSlot{};
  /// Number of requests that the usable upstreams can process concurrently.
  double m_slots{};
};

/// The load is considered unknown when it was last known longer ago than this.
inline constexpr Millis kMaxOccupancyAge{ 2500 };
/// Number of busy requests per slot by which the own data centre may exceed the others before new
/// flows go there. Traffic between data centres is billed.
inline constexpr double kOccupancyMargin = 0.5;
inline constexpr double kMaxRemoteShare = 0.5;

class RemotePlacement
{
public:
  /// Sets the load of the data centres, known at `aKnownAt`. Data centres without an entry and
  /// those without slots get no flows by load.
  void update(TimePoint aKnownAt, std::span<const DataCentreOccupancy> aOccupancy);

  /// Returns whether the load is known at `aNow` and at least one remote data centre has slots.
  [[nodiscard]] bool isKnown(TimePoint aNow) const;
  /// Returns the share of new flows that goes to remote data centres; 0 if the load is unknown.
  [[nodiscard]] double remoteShare(TimePoint aNow) const;
  /// Returns a remote data centre for `aDraw` in [0, 1): less busy ones are returned for
  /// proportionally more values. Requires isKnown().
  [[nodiscard]] const DataCentre* remoteDataCentre(double aDraw) const;

private:
  /// Sets the remote data centres that get flows: those that are less busy than the own one, or all
  /// if there is none.
  void setWeights(std::span<const DataCentreOccupancy> aOccupancy, double aLocalBusyPerSlot);

  struct Weight
  {
    const DataCentre* m_dataCentre{};
    /// Sum of the weights of this data centre and the ones before it.
    double m_cumulative{};
  };

  /// The epoch if the load was never known.
  TimePoint m_knownAt;
  /// Between 0 and kMaxRemoteShare.
  double m_share{};
  /// Whether m_share is large enough to be applied.
  bool m_isApplied{};
  /// The shares since the one that was applied when the load was measured, with their times.
  std::deque<std::pair<TimePoint, double>> m_pastShares;
  /// Remote data centres that get flows.
  std::vector<Weight> m_weights;
  /// Slots and mean load of the data centres in m_weights.
  double m_remoteSlots{};
  double m_remoteBusyPerSlot{};
};

} // namespace tamarack::steering
