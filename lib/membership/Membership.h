// Fleet membership: which hosts are alive, from heartbeats that this host received itself and from
// the platform's host list, which lags behind; and the map leases and votes that depend on when
// each host was heard. Lease times always count from this host's own clock: a peer echoes the send
// time of the newest frame that it received, so clocks need not be synchronised.
//
// Each host selects a coordinator per service from the candidates in its view by rendezvous
// hashing. The views of two hosts may differ, so that a service may have two coordinators, for
// example one on each side of a partition. A coordinator therefore uses only its share of the
// votes.
#pragma once

#include "base/EventLog.h"
#include "membership/Heartbeat.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace tamarack::membership {

/// The interval of heartbeats to each live peer.
inline constexpr Millis kHeartbeatInterval{ 400 };
/// A host may rely on its bucket maps for this long after it sent the heartbeat that a peer echoed.
inline constexpr Millis kMapLease{ 1000 };
/// A host does not vote for another coordinator of the service for this long after a vote.
inline constexpr Millis kVoteLease{ 1000 };
/// A host counts as lost when no heartbeat has arrived for longer than this.
inline constexpr Millis kFailureTimeout{ 1600 };
/// A peer that is neither on the host list nor a seed is removed when no heartbeat has arrived for
/// longer than this.
inline constexpr Millis kPeerRemovalTimeout{ 60'000 };

struct MembershipOptions
{
  HostId m_self;
  std::string m_dataCentre;
  /// Increases with each restart of this host.
  uint32_t m_incarnation{};
  /// Hosts to contact before a host list is known.
  std::vector<HostId> m_seeds;
};

/// The state of one peer as this host knows it. Fields without a comment hold the value in the
/// peer's newest heartbeat.
struct Peer
{
  /// From the host list or from another host; empty if unknown.
  std::string m_dataCentre;
  uint32_t m_incarnation{};
  /// The peer is on the platform's host list.
  bool m_listed{};
  /// The host list marks the peer as leaving.
  bool m_listedLeaving{};
  /// A heartbeat of the peer has been received.
  bool m_heard{};
  bool m_hasCompleteMap{};
  bool m_viewStable{};
  bool m_leaving{};
  bool m_left{};
  /// The newest heartbeat is not older than kFailureTimeout and did not announce that the peer
  /// left.
  bool m_alive{};
  /// When the newest heartbeat arrived, or when the host list first named the peer.
  TimePoint m_heardAt;
  /// The send time of the peer's newest frame, on the peer's clock.
  TimePoint m_peerSentAt;
  /// The send time of this host's newest frame that the peer has echoed, on this host's clock.
  TimePoint m_echoedAt;
  /// When the map lease from this peer expires, on this host's clock.
  TimePoint m_leaseUntil;
  uint64_t m_settingsRevision{};
  uint64_t m_mapDigest{};
  /// When m_mapDigest last changed.
  TimePoint m_digestChangedAt;
  /// When the peer's vote for this host expires, by service, on this host's clock.
  std::map<ServiceId, TimePoint> m_votes;
};

/// The effect of a heartbeat on the state of its sender.
struct HeartbeatOutcome
{
  /// The heartbeat is not from a former incarnation of the host, so the bodies of its frame are
  /// valid.
  bool m_accepted{};
  /// The sender has restarted or was heard for the first time; state of a former run is invalid.
  bool m_newIncarnation{};
  /// The sender had been lost and is heard again without a restart.
  bool m_recovered{};
  /// The sender was unknown.
  bool m_newPeer{};
};

class Membership
{
public:
  Membership(MembershipOptions aOptions, EventLog& aEvents);

  /// Replaces the platform's host list. A host is added as a peer but counts as alive only after it
  /// was heard.
  void onHostList(TimePoint aNow, std::span<const ListedHost> aHosts);
  /// Adds hosts that other hosts know. They are contacted, but count as alive only after they were
  /// heard.
  void addDiscoveredPeers(std::span<const ListedHost> aHosts);
  /// Updates the sender's state. A heartbeat of a former incarnation is rejected. A reordered one,
  /// sent before the newest that was received, is accepted but changes nothing.
  HeartbeatOutcome onHeartbeat(TimePoint aNow, const Heartbeat& aHeartbeat);
  /// Renews the map lease from a peer, counted from its newest echo. To be called only when this
  /// host has applied all messages on which the lease depends.
  void renewLease(HostId aPeer);
  /// Marks silent peers as lost, removes peers that have been silent beyond kPeerRemovalTimeout,
  /// and returns the hosts that are newly lost.
  std::vector<HostId> expirePeers(TimePoint aNow);

  /// This host holds the bucket maps of all services.
  void setHasCompleteMap();
  /// Sets whether this host has observed the fleet for long enough to own buckets and to coordinate
  /// services. Has no effect before setHasCompleteMap().
  void setViewStable(bool aStable);
  /// This host is shutting down as planned and is no longer a candidate.
  void setLeaving();

  [[nodiscard]] HostId self() const { return m_options.m_self; }
  [[nodiscard]] const MembershipOptions& options() const { return m_options; }
  [[nodiscard]] const std::map<HostId, Peer>& peers() const { return m_peers; }
  [[nodiscard]] const Peer* find(HostId aHost) const;
  [[nodiscard]] bool isLeaving() const { return m_leaving; }
  [[nodiscard]] bool hasCompleteMap() const { return m_hasCompleteMap; }

  /// The hosts, in ascending order, that may own buckets and coordinate services: alive, with a
  /// stable view and not leaving. Includes this host if the same holds for it.
  [[nodiscard]] const std::vector<HostId>& candidates() const { return m_candidates; }
  /// Whether packets can be relayed to a host, because it is alive and holds all bucket maps.
  [[nodiscard]] bool isReachable(HostId aHost) const;
  [[nodiscard]] bool isAlive(HostId aHost) const;
  /// Returns the data centre of a host, or an empty string if it is unknown.
  [[nodiscard]] std::string_view dataCentreOf(HostId aHost) const;
  /// Whether no other host is alive in this host's view.
  [[nodiscard]] bool isAlone() const;
  /// Whether every host on the host list is alive, apart from those that are leaving or have left.
  [[nodiscard]] bool allListedHostsAlive() const;

  /// Returns the coordinator of a service in this host's view; zero if there is no candidate.
  [[nodiscard]] HostId coordinatorOf(ServiceId aService) const;
  /// Whether this host may rely on its map of a service with the given coordinator. A lease from
  /// the coordinator is needed or, if this host is the coordinator, a recent echo from any peer.
  [[nodiscard]] bool hasLease(HostId aCoordinator, TimePoint aNow) const;

  /// Votes for `aPeer` as coordinator of a service, unless a vote for another host is in force.
  /// Returns whether the vote was cast.
  bool castVote(TimePoint aNow, ServiceId aService, HostId aPeer);
  /// Votes for this host if possible, and returns the share of the electorate whose votes for this
  /// host are in force, from 0 to 1.
  [[nodiscard]] double voteShare(TimePoint aNow, ServiceId aService);

  /// Returns the header of a frame to `aPeer` with the fields that are membership state; the caller
  /// sets the others.
  [[nodiscard]] Heartbeat makeHeartbeat(TimePoint aNow, HostId aPeer) const;

private:
  struct Vote
  {
    HostId m_candidate;
    /// Until then this host votes for no other host.
    TimePoint m_expiresAt;
  };

  void refreshCandidates();
  /// The number of hosts by which votes are counted: this host, the live peers, and the listed
  /// peers that are not leaving, without those that have left.
  [[nodiscard]] size_t electorateSize() const;

  MembershipOptions m_options;
  EventLog& m_events;
  std::map<HostId, Peer> m_peers;
  /// In ascending order; contains this host if and only if its view is stable and it is not
  /// leaving.
  std::vector<HostId> m_candidates;
  /// This host's last vote for each service.
  std::map<ServiceId, Vote> m_votesCast;
  bool m_hasCompleteMap{};
  /// Implies m_hasCompleteMap.
  bool m_viewStable{};
  bool m_leaving{};
};

} // namespace tamarack::membership
