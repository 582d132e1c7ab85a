// The decision logic of one load balancer host. It owns the owner role, the coordinator role and
// the packet path, dispatches messages to them and handles what concerns all of them: bootstrap,
// pauses of the process and the planned stop. It does no I/O and takes the time as an argument.
#pragma once

#include "node/CoordinatorRole.h"
#include "node/PacketPath.h"

#include <set>
#include <span>
#include <vector>

namespace tamarack::node {

/// The interval at which the caller must call `tick`.
inline constexpr Millis kTickInterval{ 100 };
/// If no tick came for longer than this, the process is taken to have been paused.
inline constexpr Millis kPauseThreshold{ 800 };
/// A host that hears no peer for this long after a pause resumes decisions with the state that it
/// had before.
inline constexpr Millis kMaxHoldTime{ 3000 };
/// A starting host waits this long for a peer with bucket maps before it computes its own; twice as
/// long while a listed host has not been heard.
inline constexpr Millis kBootstrapWait{ 2500 };
/// For this long after it received its maps or resumed after a pause, a host neither owns buckets
/// nor acts as coordinator, because it may not have heard all hosts that its peers hear.
inline constexpr Millis kMembershipSettleTime{ 2000 };
/// A planned stop takes at least this long, so that every peer learns of it from a heartbeat.
inline constexpr Millis kMinLeaveTime{ 2000 };
/// A probe report that differs from the last one at most in its connection and slot counts is sent
/// to the coordinator at this interval.
inline constexpr Millis kUnchangedReportInterval{ 900 };
/// Number of hosts that probe each upstream.
inline constexpr size_t kProbersPerUpstream = 2;

using NodeOptions = membership::MembershipOptions;

/// An upstream that this host has to probe.
struct ProbeTarget
{
  ServiceId m_service;
  UpstreamId m_upstream;
  Ipv4 m_address;
  std::string m_serviceName;
  std::string m_upstreamName;
};

/// Counts of packet decisions since the process started.
struct NodeCounters
{
  /// Refused packets by error kind.
  ErrorCounters m_errors{};
  uint64_t m_forwarded{};
  uint64_t m_relayed{};
  uint64_t m_retried{};
};

class Node
{
public:
  Node(NodeOptions aOptions, TimePoint aNow);

  /// Takes new settings into force unless their revision is not newer. `aAge` is how long ago any
  /// host first saw this revision.
  void onSettings(TimePoint aNow, settings::SettingsPtr aSettings, Millis aAge = Millis{ 0 });
  /// Records that the platform confirmed the settings, directly or through other hosts, at the
  /// local time `aAt`.
  void onSettingsConfirmed(TimePoint aAt);
  void onHostList(TimePoint aNow, std::span<const membership::ListedHost> aHosts);
  void onFrame(TimePoint aNow, Frame aFrame);
  void onProbeResult(TimePoint aNow, const admission::UpstreamReport& aReport);
  void tick(TimePoint aNow);
  [[nodiscard]] Decision decide(TimePoint aNow, const PacketArrival& aArrival);

  /// Returns the frames that are due. Must be called after each of the calls above except
  /// `decide`.
  [[nodiscard]] std::vector<OutgoingFrame> takeFrames(TimePoint aNow);
  /// Returns the upstreams that this host has to probe, sorted by upstream.
  [[nodiscard]] std::vector<ProbeTarget> probeTargets(TimePoint aNow) const;

  /// Returns a peer that has newer settings than this host and their revision, or a zero host if
  /// there is none.
  [[nodiscard]] std::pair<HostId, settings::Revision> peerWithNewerSettings() const;

  /// Begins a planned stop.
  void startLeaving(TimePoint aNow);
  /// Whether the planned stop is complete. The process may exit once the last frames are sent.
  [[nodiscard]] bool hasLeft() const { return m_left; }

  [[nodiscard]] NodeContext& context() { return m_context; }
  [[nodiscard]] const NodeContext& context() const { return m_context; }
  [[nodiscard]] EventLog& events() { return m_context.m_events; }
  /// The revision of the settings in force; zero if there are none yet.
  [[nodiscard]] settings::Revision revision() const
  {
    return m_context.m_settings ? m_context.m_settings->m_revision : 0;
  }
  [[nodiscard]] const NodeCounters& counters() const { return m_counters; }
  [[nodiscard]] const PacketPath& packetPath() const { return m_path; }
  [[nodiscard]] const CoordinatorRole& coordinator() const { return m_coordinator; }
  /// A digest over the bucket maps of all services.
  [[nodiscard]] uint64_t mapDigest() const;

private:
  void receive(TimePoint aNow, HostId aFrom, const mapping::MapDelta& aDelta);
  void receive(TimePoint aNow, HostId aFrom, const mapping::MapRequest& aRequest);
  void receive(TimePoint aNow, HostId aFrom, const mapping::MapDigests& aSummary);
  void receive(TimePoint aNow, HostId aFrom, const mapping::PinBatch& aBatch);
  void receive(TimePoint aNow, HostId aFrom, const mapping::BucketReport& aReport);
  void receive(TimePoint aNow, HostId aFrom, const admission::UpstreamReport& aReport);
  void receive(TimePoint aNow, HostId aFrom, const admission::ModeUpdate& aUpdate);
  void receive(TimePoint aNow, HostId aFrom, const admission::GrantRequest& aRequest);
  void receive(TimePoint aNow, HostId aFrom, const admission::Grant& aGrant);
  void receive(TimePoint aNow, HostId aFrom, const membership::PeerExchange& aIntroduction);

  void deliver(TimePoint aNow, HostId aFrom, std::span<const Body> aBodies);
  void deliverLoopback(TimePoint aNow);
  void onHeartbeatOutcome(HostId aPeer,
                          const membership::HeartbeatOutcome& aOutcome,
                          TimePoint aNow);
  void onPeerLost(HostId aPeer);
  /// Renews the map lease from the sender if this host has applied all map changes that the sender
  /// had sent before the heartbeat; otherwise requests a synchronisation.
  void renewLease(TimePoint aNow, const membership::Heartbeat& aHeartbeat, const Channel& aChannel);
  /// Tells a newly heard host and the other alive peers of each other.
  void introduceHost(HostId aNewcomer);
  [[nodiscard]] OutgoingFrame makeFrame(TimePoint aNow, HostId aPeer);
  /// `aEndsAnswer` marks the summary as the end of an answer: all maps that the receiver lacked
  /// precede it in the channel.
  [[nodiscard]] mapping::MapDigests makeMapSummary(bool aEndsAnswer) const;
  void sendMap(HostId aTo, const ServiceState& aService);
  /// Records that this host has merged all maps of a peer. Later changes arrive through the
  /// channel.
  void markSynced(HostId aPeer);
  void requestSync(TimePoint aNow, HostId aPeer);
  /// Sends a map summary to each peer whose map digest has differed for some time.
  void reconcileMaps(TimePoint aNow);

  /// Requests the bucket maps from a peer, or computes them from the settings if no peer has any
  /// after the bootstrap wait.
  void tryBootstrap(TimePoint aNow);
  void computeMissingMaps(TimePoint aNow);
  void addService(const settings::Service& aService, std::vector<mapping::Bucket> aBuckets);
  /// Applies a service's settings to its state. Returns the upstreams that need a cold start: those
  /// that are new and those whose data centre has returned to service.
  std::vector<UpstreamId> updateUpstreams(const settings::SettingsPtr& aBefore,
                                          const settings::Service& aService,
                                          ServiceState& aState,
                                          TimePoint aSeenAt);
  void markCold(TimePoint aNow, ServiceState& aState, std::span<const UpstreamId> aUpstreams);
  void logDataCentreChanges(TimePoint aNow, const settings::SettingsPtr& aBefore);

  /// Holds all decisions if the time since the last tick shows that the process was paused.
  void detectPause(TimePoint aNow);
  void resumeDecisions(TimePoint aNow, std::string_view aCause);
  void tryCompleteLeave(TimePoint aNow);

  NodeContext m_context;
  OwnerRole m_owner;
  MapUpdater m_mapUpdater;
  CoordinatorRole m_coordinator;
  PacketPath m_path;
  NodeCounters m_counters;

  TimePoint m_startedAt;
  TimePoint m_lastTickAt;
  /// When the last pause was detected.
  TimePoint m_heldSince;
  /// The time since which this host has received heartbeats without being paused itself.
  TimePoint m_viewUninterruptedSince;
  TimePoint m_mapRequestedAt;
  TimePoint m_reconciledAt;
  /// The time since which this host's own map digest has been m_lastDigest.
  TimePoint m_digestUnchangedSince;
  uint64_t m_lastDigest{};
  /// When the last frame to each peer was built.
  std::map<HostId, TimePoint> m_lastFrameAt;
  /// Peers whose maps this host has merged completely. Their channel delivers all later changes, so
  /// they may renew this host's map lease.
  std::set<HostId> m_syncedPeers;
  std::map<HostId, TimePoint> m_syncRequestedAt;
  /// A tick has passed since the last call of takeFrames.
  bool m_areHeartbeatsDue{};
  TimePoint m_leavingSince;
  /// The planned stop is complete.
  bool m_left{};
};

} // namespace tamarack::node
