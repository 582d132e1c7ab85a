// Tracks the other hosts, elects the host of each data centre that reads the store for the others
// (the reader; the others are its followers), and tracks how recent the records of this host are.
//
// A reader announces its role in each of its messages and nominates the highest-ranked hosts from
// which it receives messages. Nominated hosts become readers, too, and a reader steps down when
// there are enough readers of higher rank. Seeds, whose addresses are configured, are the first
// contacts. There is no consensus: if hosts disagree on the reader, the store gets a few additional
// reads, but no host is left without updates. A host whose records are not confirmed reads the
// store itself, regardless of the state of the others.
#pragma once

#include "base/RateLimiter.h"
#include "dissemination/PeerTable.h"
#include "dissemination/StatusMessage.h"

#include <optional>
#include <random>
#include <span>

namespace tamarack::dissemination {

/// Number of readers in each data centre. One is sufficient, because the delay that its loss causes
/// is within the bounds, see kSelfReadAge.
inline constexpr size_t kReadersPerDataCentre = 1;
/// Interval between regular messages of a reader to its followers, and of a follower to its reader.
/// The latter is longer, because the reader only needs to know that the follower is alive.
inline constexpr Millis kStatusInterval{ 500 };
inline constexpr Millis kFollowerInterval{ 1000 };
/// As kFollowerInterval, while load is exchanged and a service is short of slots. Crowds arrive
/// within a second, and the reader needs their load to reject flows in time.
inline constexpr Millis kMinBusyFollowerInterval{ 500 };
/// The interval is longer, up to kFollowerInterval, where the reader would receive reports on more
/// than one service in this time on average. With 30 hosts, intervals of 500 ms would exceed the
/// limit of its control traffic.
inline constexpr Millis kMinServiceReportSpacing{ 25 };
/// While load is exchanged, a reader sends its regular status to one host in each of at most this
/// many other data centres. The system is designed for 18 data centres.
inline constexpr size_t kMaxRemoteReaders = 17;
/// A reader whose records were last confirmed longer ago than this is not considered a reader.
inline constexpr Millis kMaxReaderAge{ 1900 };
/// A host reads the store itself when its records have not been confirmed for this long. A watch
/// takes 1 s, and one lost message adds 0.5 s. The rest of the bound of 3 s remains for the read
/// itself.
inline constexpr Millis kSelfReadAge{ 1800 };
/// Hosts that lose their reader at the same time start to read with different delays, so that the
/// first one can update the others before they start. The delay is a number of steps, derived from
/// the address, below kSelfReadDelaySteps.
inline constexpr Millis kSelfReadDelayStep{ 60 };
inline constexpr uint64_t kSelfReadDelaySteps = 8;
/// Duration for which the hosts of a data centre without a reader exchange messages before the
/// highest-ranked one becomes the reader.
inline constexpr Millis kElectionDelay{ 250 };
/// Minimum time between the start of a host and its election, in which it discovers the other
/// hosts. The longer one applies as long as no host of its data centre has sent a status.
inline constexpr Millis kStartupDiscoveryDelay{ 800 };
inline constexpr Millis kIsolatedStartupDelay{ 1500 };
/// If the election yields no reader within this time after kSelfReadAge, each host reads for
/// itself.
inline constexpr Millis kElectionTimeout{ 300 };
/// A reader steps down only after there have been enough readers of higher rank for this long.
inline constexpr Millis kReaderStepDownDelay{ 400 };
/// Intervals at which a host sends a status to one of its seeds, in turn. In the order of the
/// constants: after the start, as long as no neighbour has sent a status; after the host has lost
/// its reader or become one; as a reader, so that seeds can advertise it and inform it of a reader
/// of higher rank; while its records are unconfirmed; and otherwise.
inline constexpr Millis kSeedIntervalAtStartup{ 50 };
inline constexpr Millis kSeedIntervalDuringElection{ 500 };
inline constexpr Millis kSeedIntervalOfReader{ 2000 };
inline constexpr Millis kSeedIntervalWhenStale{ 4000 };
inline constexpr Millis kSeedIntervalWithReader{ 10'000 };
/// Number of hosts that a reply advertises: readers, the highest-ranked others and, among the
/// total, random ones, in case the highest-ranked ones are unavailable.
inline constexpr size_t kHostsPerReply = 8;
inline constexpr size_t kRandomHostsPerReply = 2;
/// One in kAdvertisementPeriod regular messages advertises neighbours, too: kHostsPerAdvertisement
/// in total, of which kRandomHostsPerAdvertisement are chosen at random.
inline constexpr uint64_t kAdvertisementPeriod = 8;
inline constexpr size_t kHostsPerAdvertisement = 5;
inline constexpr size_t kRandomHostsPerAdvertisement = 1;
/// Maximum number of hellos that a host sends at a time. A hello is a status outside the regular
/// exchange with followers or a reader: to a host that has just been advertised, or to a random
/// host while the data centre has no reader or the records of the sender are unconfirmed. The
/// number is small because all hosts send hellos at once when the store is down.
inline constexpr size_t kMaxHellos = 4;
/// A host that checks whether it can reach other data centres sends a status to
/// kRemoteProbesPerInterval of their hosts in each interval.
inline constexpr Millis kRemoteProbeInterval{ 150 };
inline constexpr size_t kRemoteProbesPerInterval = 2;
/// A host that has lost its reader sends its status to this many of the highest-ranked neighbours,
/// one of which will be the next reader: immediately, in each regular round during
/// kElectionDuration, and then every kElectionRetryInterval, because by then no host reaches the
/// store.
inline constexpr size_t kMaxReaderCandidates = 8;
inline constexpr Millis kElectionDuration{ 2000 };
inline constexpr Millis kElectionRetryInterval{ 2000 };
/// Rate limit of replies: replies per second, and the burst allowed after a time without any. In a
/// fleet of the size that the system is designed for, 370 hosts contact a seed when all hosts start
/// at once.
inline constexpr double kRepliesPerSecond = 100;
inline constexpr double kReplyBurst = 400;
/// Separate rate limit of replies to readers, so that readers find each other even while all other
/// hosts request replies.
inline constexpr double kRepliesToReadersPerSecond = 20;
inline constexpr double kReplyToReadersBurst = 100;

struct PeerTrackerOptions
{
  HostId m_self;
  std::string m_dataCentre;
  /// CPU capacity in thousandths of a core.
  uint32_t m_capacity{};
  /// Distinguishes two runs of the process.
  uint32_t m_incarnation{};
  /// Hosts that are contacted first, because their addresses are configured.
  std::vector<HostId> m_seeds;
};

/// Whether and how often hosts exchange load.
struct LoadExchange
{
  /// Readers send their regular status to readers of other data centres, too.
  bool m_isEnabled{};
  /// A service is short of slots, so followers send their status more often.
  bool m_isUrgent{};
  /// Number of hosts of the data centre that report to the reader, times the number of services
  /// that each of them reports; 0 if unknown.
  uint32_t m_serviceReports{};

  friend bool operator==(const LoadExchange&, const LoadExchange&) = default;
};

/// What the receiver of a status has to do.
struct StatusActions
{
  /// The sender has newer records than this host, which shall request them.
  bool m_isPullDue{};
  /// A status shall be sent in reply, because the sender is new, has older records or requested a
  /// reply.
  bool m_isReplyDue{};
};

class PeerTracker
{
public:
  explicit PeerTracker(PeerTrackerOptions aOptions);

  /// Processes a status of another host.
  StatusActions onStatus(TimePoint aNow,
                         const StatusMessage& aStatus,
                         registry::Revision aOwnRevision);
  /// Called when the store confirmed that the records of this host were up to date at `aAt`.
  void onStoreConfirmation(TimePoint aAt);
  /// Called when the records of this host have reached a revision, from whichever source.
  void onRevision(registry::Revision aRevision);
  /// Called when the records turned out to be invalid.
  void resetRevision()
  {
    m_revision = {};
    m_confirmedAt = {};
  }

  /// Updates the role of this host and returns whether it is to read the store now. Must be called
  /// at each tick.
  [[nodiscard]] bool updateReaderRole(TimePoint aNow);
  /// Whether this host may use a resource that is meant for one host per data centre. It must
  /// receive messages of at least half of the hosts, so that at most two hosts use it if the
  /// network of the data centre is partitioned into halves.
  [[nodiscard]] bool isSoleReader(TimePoint aNow) const;
  /// Whether this host has the role of a reader, even if the store does not answer it.
  [[nodiscard]] bool isReader() const { return m_isReader; }
  /// Whether this host is a reader and its records are recent enough for its followers.
  [[nodiscard]] bool isActiveReader(TimePoint aNow) const
  {
    return m_isReader && aNow - m_confirmedAt <= kMaxReaderAge;
  }
  /// Makes this host give up the role of a reader. It continues to read the store for itself if
  /// needed.
  void setLeaving() { m_isLeaving = true; }
  /// Enables or disables probing of hosts in other data centres, which checks whether they are
  /// reachable.
  void setRemoteProbing(bool aIsEnabled) { m_isProbingRemote = aIsEnabled; }
  /// Sets whether and how often hosts exchange load; disabled by default.
  void setLoadExchange(LoadExchange aLoadExchange) { m_loadExchange = aLoadExchange; }
  /// When the last status of a host of another data centre arrived; zero if none did.
  [[nodiscard]] TimePoint lastRemoteStatusAt() const { return m_lastRemoteStatusAt; }
  void setSeeds(std::vector<HostId> aSeeds) { m_options.m_seeds = std::move(aSeeds); }

  /// Whether the seeds include a host other than this one.
  [[nodiscard]] bool hasOtherSeeds() const;

  /// When the records of this host were last known to be up to date; zero if never.
  [[nodiscard]] TimePoint confirmedAt() const { return m_confirmedAt; }

  /// Returns the hosts to which a status is due now.
  [[nodiscard]] std::vector<HostId> dueTargets(TimePoint aNow);
  /// Whether a status is due, without waiting for the next tick, to a host that has just been
  /// advertised.
  [[nodiscard]] bool isHelloDue() const { return m_isHelloDue; }
  /// Returns the hosts to which changes are to be sent at once: all live neighbours if this host is
  /// the highest-ranked reader, otherwise none.
  [[nodiscard]] std::vector<HostId> followers(TimePoint aNow) const;
  /// Returns a status of this host. The caller adds health reports and a delta.
  [[nodiscard]] StatusMessage makeStatus(TimePoint aNow, registry::Revision aRevision);
  /// Adds known live hosts to a reply, those of `aDataCentre`, the data centre of the receiver,
  /// first.
  void advertiseHosts(TimePoint aNow, std::string_view aDataCentre, StatusMessage& aStatus);
  /// Adds known live neighbours to a regular status.
  void advertiseNeighbours(TimePoint aNow, StatusMessage& aStatus);
  /// Whether the next regular status is one that advertises neighbours. Counts the statuses.
  [[nodiscard]] bool isAdvertisementDue()
  {
    return m_regularStatuses++ % kAdvertisementPeriod == 0;
  }

  /// Returns the live hosts of the own data centre, without this host.
  [[nodiscard]] std::vector<HostId> liveNeighbours(TimePoint aNow) const;
  /// Returns the live readers of the own data centre, without this host.
  [[nodiscard]] std::vector<HostId> readers(TimePoint aNow) const;
  /// Returns the number of readers() whose records are recent enough to rely on.
  [[nodiscard]] size_t freshReaders(TimePoint aNow) const;
  /// Returns the number of known hosts.
  [[nodiscard]] size_t size() const { return m_peers.size(); }
  /// Returns the data centre of a host; empty if the host is not known.
  [[nodiscard]] std::string_view dataCentreOf(HostId aHost) const
  {
    const Peer* const peer = m_peers.find(aHost);
    return peer == nullptr ? std::string_view{} : std::string_view(peer->m_dataCentre);
  }

private:
  /// Processes a host that another host has advertised.
  void onAdvertisedHost(TimePoint aNow, const KnownHost& aHost);
  /// Whether the data centre has enough active readers, this host included.
  [[nodiscard]] bool hasReader(TimePoint aNow) const
  {
    return isActiveReader(aNow) || freshReaders(aNow) >= kReadersPerDataCentre;
  }
  /// Whether this host has lost its reader less than kElectionDuration ago and there is no new one.
  [[nodiscard]] bool isElecting(TimePoint aNow) const
  {
    return !hasReader(aNow) && m_noReaderSince != TimePoint{} &&
           aNow - m_noReaderSince < kElectionDuration;
  }
  /// Returns the number of fresh readers of higher rank than this host.
  [[nodiscard]] size_t preferredReaders(TimePoint aNow) const;
  /// Whether at least half of the known hosts of the data centre are live, this host included.
  [[nodiscard]] bool isAtLeastHalfLive(TimePoint aNow) const;
  /// Adds random hosts of other data centres, and seeds whose data centre is unknown, if a probe is
  /// due.
  void addRemoteProbes(TimePoint aNow, std::vector<HostId>& aTargets);
  /// Adds one host of each other data centre: its reader if this host receives statuses of it, or
  /// else one of its known hosts in turn, which may be the reader.
  void addRemoteReaders(TimePoint aNow, std::vector<HostId>& aTargets);
  /// Adds the known readers of all data centres that a reply does not advertise yet.
  void advertiseReaders(TimePoint aNow, StatusMessage& aStatus) const;
  /// Returns the interval between regular messages to the reader.
  [[nodiscard]] Millis followerInterval() const;
  /// Whether a peer is a live reader of the own data centre with recently confirmed records.
  [[nodiscard]] bool isFreshReader(TimePoint aNow, const Peer& aPeer) const;
  /// Whether a peer ranks higher than this host as a reader.
  [[nodiscard]] bool isPreferredToSelf(HostId aHost, const Peer& aPeer) const;
  /// Whether this host is to become a reader.
  [[nodiscard]] bool isElected(TimePoint aNow) const;
  /// Returns the highest-ranked live hosts of the data centre, this host included: those that
  /// should be readers.
  [[nodiscard]] std::vector<HostId> nominees(TimePoint aNow) const;
  /// Returns at most `aCount` known hosts to advertise, those of `aDataCentre` first and then
  /// others. All but the last `aRandomCount` are the highest-ranked ones; the rest is chosen at
  /// random.
  [[nodiscard]] std::vector<KnownHost> selectAdvertisedHosts(TimePoint aNow,
                                                             std::string_view aDataCentre,
                                                             size_t aCount,
                                                             size_t aRandomCount);
  /// Adopts the confirmation time of a peer if this host's records are at least as recent as the
  /// peer's and of the same history.
  void applyConfirmation(const Peer& aPeer);
  /// Returns the neighbours that may become the next reader, in the order of their rank.
  [[nodiscard]] std::vector<HostId> readerCandidates(TimePoint aNow) const;
  /// Adds hosts that other hosts have advertised and that shall get a status.
  void addHellos(TimePoint aNow, std::vector<HostId>& aTargets);
  /// Whether a status is due to the hosts that may become the next reader.
  [[nodiscard]] bool isElectionDue(TimePoint aNow) const;
  /// Adds the targets of a regular round: followers or readers, candidates of an election, and
  /// hosts to be discovered.
  void addRegularTargets(TimePoint aNow, std::vector<HostId>& aTargets);
  /// Adds the next seed if it is due.
  void addSeedTarget(TimePoint aNow, std::vector<HostId>& aTargets);

  // A TimePoint below is zero if the event has not happened or the condition does not hold.
  PeerTrackerOptions m_options;
  PeerTable m_peers;
  std::minstd_rand m_random;
  bool m_isReader{};
  bool m_isLeaving{};
  /// When this host last became a reader.
  TimePoint m_readerSince;
  /// Since when there have been enough readers of higher rank.
  TimePoint m_redundantSince;
  TimePoint m_lastElectionAt;
  /// Whether all known neighbours are still to be notified that this host has become a reader.
  bool m_isAnnouncementDue{};
  /// Whether the reader candidates are still to be notified that this host has lost its reader.
  bool m_isElectionDue{};
  /// Whether a peer has m_isHelloDue set.
  bool m_isHelloDue{};
  /// Whether any neighbour has ever sent a status.
  bool m_hasSeenNeighbour{};
  bool m_isProbingRemote{};
  LoadExchange m_loadExchange;
  /// Number of rounds in which addRemoteReaders() was called. Selects the host of a data centre
  /// whose reader is unknown.
  size_t m_remoteReaderRounds{};
  TimePoint m_lastRemoteProbeAt;
  TimePoint m_lastRemoteStatusAt;
  TimePoint m_startedAt;
  /// Since when the data centre has had no reader, as far as this host knows.
  TimePoint m_noReaderSince;
  TimePoint m_confirmedAt;
  registry::Revision m_revision{};
  TimePoint m_lastRegularSendAt;
  TimePoint m_lastSeedAt;
  /// The next seed to contact, modulo the number of seeds.
  size_t m_nextSeed{};
  /// Number of seeds contacted so far.
  int m_seedMessages{};
  /// Number of regular statuses so far.
  uint64_t m_regularStatuses{};
  RateLimiter m_replyLimit{ kRepliesPerSecond, kReplyBurst };
  RateLimiter m_replyToReadersLimit{ kRepliesToReadersPerSecond, kReplyToReadersBurst };
};

} // namespace tamarack::dissemination
