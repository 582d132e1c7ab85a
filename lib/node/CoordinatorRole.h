// The coordinator role: one host coordinates each service. The coordinator evaluates the health of
// the upstreams, plans, starts and settles bucket moves, and grants new flows to metered upstreams.
#pragma once

#include "admission/AdmissionBudget.h"
#include "admission/UpstreamTracker.h"
#include "node/MapUpdater.h"

#include <set>

namespace tamarack::node {

/// A move stays in the Prepare phase for at least this long, so that a retransmitted SYN reaches
/// the owner and finds its pin.
inline constexpr Millis kMinPrepareTime{ 1200 };
/// After this time a prepared move starts without the missing acknowledgements: a host that has not
/// acknowledged it no longer has a map lease.
inline constexpr Millis kMaxPrepareTime{ membership::kMapLease + Millis{ 200 } };
/// No move is started only to rebalance load while this many buckets of the service are moving.
inline constexpr size_t kMaxRebalanceMoves = 128;
/// The buckets of an upstream that has been lost for this long are reassigned.
inline constexpr Millis kLostUpstreamReassignDelay{ 10'000 };
/// The mode of an upstream in a cold start is sent again this often, so that a new coordinator can
/// continue the cold start from its progress.
inline constexpr Millis kModeRefreshInterval{ 5000 };

class CoordinatorRole
{
public:
  CoordinatorRole(NodeContext& aContext, MapUpdater& aMapUpdater)
    : m_context(aContext)
    , m_mapUpdater(aMapUpdater)
  {
  }

  void tick(TimePoint aNow);
  /// Begins cold starts of upstreams that the settings added or returned to service. Does nothing
  /// unless this host is the service's coordinator.
  void startColdStarts(TimePoint aNow, ServiceId aService, std::span<const UpstreamId> aUpstreams);
  void onUpstreamReport(TimePoint aNow, const admission::UpstreamReport& aReport);
  void onBucketReport(TimePoint aNow, const mapping::BucketReport& aReport);
  void onGrantRequest(TimePoint aNow, HostId aFrom, const admission::GrantRequest& aRequest);
  /// Opens all upstreams without a known mode. Used at the first start of a whole cluster, where
  /// the upstreams may have been running for long; one that reports a cold start becomes cold
  /// again.
  static void assumeWarm(ServiceState& aService);

  /// The health record of an upstream, for the state dump. Returns null when this host does not
  /// decide for the service or has no record of the upstream.
  [[nodiscard]] const admission::UpstreamTracker* tracker(ServiceId aService,
                                                          UpstreamId aUpstream) const;

private:
  /// Buckets that entered the Prepare phase together.
  struct PreparedMove
  {
    std::vector<uint16_t> m_buckets;
    TimePoint m_startedAt;
    /// The message to each peer that announces the move; it tells whether the peer has
    /// acknowledged.
    std::map<HostId, channel::MessageId> m_messageIds;
  };

  /// State of one service that this host decides for.
  struct DecidedService
  {
    std::map<UpstreamId, admission::UpstreamTracker> m_trackers;
    std::map<UpstreamId, admission::AdmissionBudget> m_budgets;
    /// The reason given in the last mode update of each upstream.
    std::map<UpstreamId, std::string_view> m_lastReasons;
    /// When each lost upstream was found lost.
    std::map<UpstreamId, TimePoint> m_lostSince;
    /// When the mode of each upstream was last broadcast.
    std::map<UpstreamId, TimePoint> m_modeSentAt;
    std::vector<PreparedMove> m_preparedMoves;
    /// Upstreams to which buckets may be assigned, sorted.
    std::vector<UpstreamId> m_eligibleUpstreams;
    /// The upstream that each bucket should move to or stay at.
    std::vector<UpstreamId> m_targets;
    TimePoint m_targetsComputedAt;
  };

  /// Takes over a service from a former coordinator, including moves that it has prepared.
  void startCoordinating(TimePoint aNow, ServiceState& aService);
  void evaluateUpstreams(TimePoint aNow, ServiceState& aService, DecidedService& aDecided);
  void evaluateUpstream(TimePoint aNow,
                        ServiceState& aService,
                        DecidedService& aDecided,
                        const settings::Upstream& aUpstream);
  void broadcastMode(ServiceState& aService,
                     UpstreamId aUpstream,
                     const admission::UpstreamStatus& aStatus,
                     Millis aColdFor);
  /// Recomputes the target upstream of each bucket.
  void refreshTargets(TimePoint aNow, ServiceState& aService, DecidedService& aDecided);
  /// Prepares or starts moves and replaces owners where the map differs from the targets.
  void planMoves(TimePoint aNow, ServiceState& aService, DecidedService& aDecided);
  /// Returns the new value of a bucket, or nothing if it stays as it is.
  std::optional<mapping::Bucket> planBucket(const ServiceState& aService,
                                            const DecidedService& aDecided,
                                            uint16_t aIndex,
                                            bool aMayRebalance) const;
  std::optional<mapping::Bucket> planStableBucket(const ServiceState& aService,
                                                  const DecidedService& aDecided,
                                                  const mapping::Bucket& aBucket,
                                                  uint16_t aIndex,
                                                  bool aMayRebalance) const;
  /// Changes prepared buckets to Moving once no host forwards to their base by itself.
  void startPreparedMoves(TimePoint aNow, ServiceState& aService, DecidedService& aDecided);
  /// Whether a prepared move may start: after kMinPrepareTime if all alive peers have acknowledged
  /// it, after kMaxPrepareTime in any case, since peers that have not acknowledged it have no map
  /// lease by then. Sends the move again to peers whose channel has dropped it.
  bool mayStartMove(TimePoint aNow, ServiceState& aService, PreparedMove& aMove);
  /// Stamps new bucket values, applies them and sends them to all alive peers. Returns the
  /// identifiers of the messages.
  std::map<HostId, channel::MessageId> publish(
    TimePoint aNow,
    ServiceState& aService,
    std::span<const std::pair<uint16_t, mapping::Bucket>> aChanges);
  /// Keeps the owner and the replica if they are candidates. A replica succeeds an owner that is
  /// not, because it holds the pins.
  void assignOwnerAndReplica(mapping::Bucket& aBucket, uint16_t aIndex) const;
  bool needsNewOwnerOrReplica(const mapping::Bucket& aBucket) const;
  /// Whether a host may own buckets, see membership::Membership::candidates.
  bool isCandidate(HostId aHost) const;

  NodeContext& m_context;
  MapUpdater& m_mapUpdater;
  std::map<ServiceId, DecidedService> m_decidedServices;
};

} // namespace tamarack::node
