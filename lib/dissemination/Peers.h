// Which host of a data centre reads the store for the others, and how new the records of this host
// are.
//
// A reader says so in each of its messages, and names the best hosts that it hears: those read,
// too, and a reader that hears enough better ones stops. Seeds begin. Nothing is agreed on: two
// views that differ cost some readings more, never a host that goes without. A host whose records
// nobody confirms reads the store itself, whatever the others say.
#pragma once

#include "base/RateLimit.h"
#include "dissemination/Status.h"

#include <absl/container/flat_hash_map.h>
#include <optional>
#include <random>
#include <span>

namespace tamarack::dissemination {

/// The loss of the only one is felt for less than the bounds allow: see kOwnReadingAge.
inline constexpr size_t kReadersPerDataCentre = 1;
/// Between two messages of a reader to its listeners, and of a listener to its reader, which only
/// needs to know that it is there.
inline constexpr Millis kStatusInterval{ 500 };
inline constexpr Millis kListenerInterval{ 1000 };
/// A host that was silent for this long is no longer counted on: two of its messages may be lost.
inline constexpr Millis kSilenceOfReader{ 1300 };
inline constexpr Millis kSilenceOfListener{ 2600 };
/// A host that was silent for this long is forgotten.
inline constexpr Millis kForgetPeer{ 15'000 };
/// A reader whose records were confirmed this long ago does not count as one.
inline constexpr Millis kFreshAge{ 1900 };
/// A host reads the store itself when nothing confirmed its records for this long. A watch takes
/// 1 s, and one lost message half a second more; of the bound of 3 s, the rest is for the reading.
inline constexpr Millis kOwnReadingAge{ 1800 };
/// Hosts that lost their readers at the same time wait a little differently, so that the first one
/// can tell the others: this many steps of this length.
inline constexpr Millis kDelayStep{ 60 };
inline constexpr uint64_t kDelaySteps = 8;
/// A data centre without a reader: hosts tell each other of themselves for this long, and the best
/// of them reads.
inline constexpr Millis kElectionWait{ 250 };
/// A host that has just started must first hear of the others.
inline constexpr Millis kDiscoveryWait{ 800 };
/// After the election, each reads for itself.
inline constexpr Millis kElectionPatience{ 300 };
/// A reader stops only after others have been enough for this long.
inline constexpr Millis kReaderHold{ 400 };
/// Seeds are greeted this often while too few hosts are known, and rarely after.
inline constexpr Millis kSeedInterval{ 1000 };
inline constexpr Millis kSeedIntervalWhenSettled{ 10'000 };
/// Hosts that an answer to a new host names besides its sender.
inline constexpr size_t kKnownPerStatus = 8;
/// Hosts that a host greets at a time while its data centre has no reader, or that it asks while
/// nothing confirms its records. A store that is down makes all hosts ask at once.
inline constexpr size_t kMostGreetings = 4;
/// Answers that a host gives in a second, and at once after a quiet time.
inline constexpr double kAnswersPerSecond = 10;
inline constexpr double kAnswerBurst = 40;
/// One regular message in so many names hosts, too.
inline constexpr uint64_t kKnownShare = 8;
/// Hosts that are remembered; a data centre of the design size has 61.
inline constexpr size_t kMostPeers = 256;

struct PeersOptions
{
  HostId m_self;
  std::string m_dataCentre;
  uint32_t m_capacity{};
  uint32_t m_incarnation{};
  std::vector<HostId> m_seeds;
};

/// What a message asks of this host.
struct Reaction
{
  /// The sender holds newer records than this host: ask it for them.
  bool m_isPullDue{};
  /// The sender is new here or behind: answer with a status.
  bool m_isAnswerDue{};
};

class Peers
{
public:
  explicit Peers(PeersOptions aOptions);

  Reaction onStatus(TimePoint aNow, const Status& aStatus, registry::Revision aOwnRevision);
  /// The store confirmed this host's own records.
  void onOwnConfirmation(TimePoint aAt);
  /// The records of this host reached a revision, by whatever way.
  void onRevision(registry::Revision aRevision);

  /// Decides whether this host reads the store now. Call it at each tick.
  [[nodiscard]] bool updateReading(TimePoint aNow);
  /// Whether this host may use what only one host of its data centre may use at a time. At most two
  /// hosts do, where the data centre is cut into halves.
  [[nodiscard]] bool isSoleReader(TimePoint aNow) const;
  /// Whether this host calls the store; others may count on it only while the store answers.
  [[nodiscard]] bool isReader() const { return m_isReader; }
  [[nodiscard]] bool servesOthers(TimePoint aNow) const
  {
    return m_isReader && aNow - m_confirmedAt <= kFreshAge;
  }
  /// A leaving host reads for itself but not for others.
  void setLeaving() { m_isLeaving = true; }
  void setSeeds(std::vector<HostId> aSeeds) { m_options.m_seeds = std::move(aSeeds); }

  /// When all changes up to this host's revision were last confirmed; the epoch before.
  [[nodiscard]] TimePoint confirmedAt() const { return m_confirmedAt; }

  /// Whom to send a status now, and whether it is one of the regular ones.
  [[nodiscard]] std::vector<HostId> dueTargets(TimePoint aNow);
  /// Whom to send what just changed: everybody, if this is the best reader, and nobody otherwise.
  [[nodiscard]] std::vector<HostId> listeners(TimePoint aNow) const;
  /// A status of this host; sightings and a difference are up to the caller.
  [[nodiscard]] Status makeStatus(TimePoint aNow, registry::Revision aRevision);
  /// Adds hosts that this one hears to a status, those of a data centre first.
  void nameHosts(TimePoint aNow, std::string_view aDataCentre, Status& aStatus);
  /// Whether a regular status shall name other hosts.
  [[nodiscard]] bool isNamingDue() { return m_statuses++ % kKnownShare == 0; }

  /// Live hosts of the data centre that this host hears.
  [[nodiscard]] std::vector<HostId> live(TimePoint aNow) const;
  /// Live readers of the data centre without this host.
  [[nodiscard]] std::vector<HostId> readers(TimePoint aNow) const;
  [[nodiscard]] size_t freshReaders(TimePoint aNow) const;
  [[nodiscard]] size_t size() const { return m_peers.size(); }

private:
  struct Peer
  {
    std::string m_dataCentre;
    uint32_t m_incarnation{};
    uint32_t m_capacity{};
    bool m_isReader{};
    /// It still wants to know what is new, but nobody counts on it.
    bool m_isLeaving{};
    /// The epoch when it is only known from others.
    TimePoint m_heardAt;
    /// When the store confirmed its records; the epoch before.
    TimePoint m_confirmedAt;
    registry::Revision m_revision{};
    TimePoint m_answeredAt;
    /// Of a reader: it named this host as one that should read.
    bool m_nominatesSelf{};
  };

  [[nodiscard]] bool isLive(TimePoint aNow, const Peer& aPeer) const;
  /// Readers that are preferred to this host.
  [[nodiscard]] size_t betterReaders(TimePoint aNow) const;
  /// Whether this host hears at least half of the hosts of its data centre, itself among them.
  [[nodiscard]] bool hearsHalf(TimePoint aNow) const;
  [[nodiscard]] bool isFreshReader(TimePoint aNow, const Peer& aPeer) const;
  /// Whether a peer is preferred to this host as a reader.
  [[nodiscard]] bool isBetter(HostId aHost, const Peer& aPeer) const;
  /// Whether this host should begin to read for others.
  [[nodiscard]] bool isElected(TimePoint aNow) const;
  [[nodiscard]] std::vector<HostId> nominees(TimePoint aNow) const;
  void meet(HostId aHost, const std::string& aDataCentre);
  void forgetSilent(TimePoint aNow);
  void confirmThrough(const Peer& aPeer);

  PeersOptions m_options;
  absl::flat_hash_map<HostId, Peer> m_peers;
  std::minstd_rand m_random;
  bool m_isReader{};
  bool m_isLeaving{};
  /// When enough better readers were first seen; the epoch when there are not enough.
  TimePoint m_dispensableSince;
  /// Everybody known is told once that this host reads now.
  bool m_isAnnouncementDue{};
  TimePoint m_startedAt;
  /// When no reader was left; the epoch while there is one.
  TimePoint m_unsettledSince;
  TimePoint m_confirmedAt;
  registry::Revision m_revision{};
  TimePoint m_lastStatusAt;
  TimePoint m_lastSeedAt;
  uint64_t m_statuses{};
  RateLimit m_answers{ kAnswersPerSecond, kAnswerBurst };
};

} // namespace tamarack::dissemination
