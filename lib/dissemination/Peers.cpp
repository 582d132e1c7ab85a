// Claims of readers, and freshness through them.
#include "dissemination/Peers.h"

#include "base/Hash.h"

#include <algorithm>

namespace tamarack::dissemination {

namespace {

/// Two answers to one peer are at least this far apart.
constexpr Millis kAnswerInterval{ 200 };

/// The order in which hosts are preferred as readers: those with more room first.
bool
ranksBefore(uint32_t aLeftCapacity, HostId aLeft, uint32_t aRightCapacity, HostId aRight)
{
  if (aLeftCapacity != aRightCapacity) {
    return aLeftCapacity > aRightCapacity;
  }
  return mixHash(aLeft.m_value, 0) < mixHash(aRight.m_value, 0);
}

} // namespace

Peers::Peers(PeersOptions aOptions)
  : m_options(std::move(aOptions))
  , m_random(static_cast<uint32_t>(mixHash(m_options.m_self.m_value, m_options.m_incarnation)))
{
}

bool
Peers::isLive(TimePoint aNow, const Peer& aPeer) const
{
  const Millis silence = aPeer.m_isReader ? kSilenceOfReader : kSilenceOfListener;
  return aPeer.m_heardAt != TimePoint{} && aNow - aPeer.m_heardAt <= silence;
}

bool
Peers::isFreshReader(TimePoint aNow, const Peer& aPeer) const
{
  return aPeer.m_isReader && aPeer.m_dataCentre == m_options.m_dataCentre && isLive(aNow, aPeer) &&
         aPeer.m_confirmedAt != TimePoint{} && aNow - aPeer.m_confirmedAt <= kFreshAge;
}

bool
Peers::isBetter(HostId aHost, const Peer& aPeer) const
{
  return ranksBefore(aPeer.m_capacity, aHost, m_options.m_capacity, m_options.m_self);
}

bool
Peers::isElected(TimePoint aNow) const
{
  for (const auto& [host, peer] : m_peers) {
    if (peer.m_nominatesSelf && isFreshReader(aNow, peer)) {
      return true;
    }
  }
  if (m_unsettledSince == TimePoint{} || aNow - m_unsettledSince < kElectionWait ||
      aNow - m_startedAt < kDiscoveryWait) {
    return false;
  }
  const auto best = nominees(aNow);
  return std::ranges::find(best, m_options.m_self) != best.end();
}

std::vector<HostId>
Peers::nominees(TimePoint aNow) const
{
  struct Candidate
  {
    uint32_t m_capacity{};
    HostId m_host;
  };
  std::vector<Candidate> candidates;
  if (!m_isLeaving) {
    candidates.push_back({ m_options.m_capacity, m_options.m_self });
  }
  for (const auto& [host, peer] : m_peers) {
    if (peer.m_dataCentre == m_options.m_dataCentre && isLive(aNow, peer) && !peer.m_isLeaving) {
      candidates.push_back({ peer.m_capacity, host });
    }
  }
  const auto isPreferred = [](const Candidate& aLeft, const Candidate& aRight) {
    return ranksBefore(aLeft.m_capacity, aLeft.m_host, aRight.m_capacity, aRight.m_host);
  };
  const size_t count = std::min(kReadersPerDataCentre, candidates.size());
  std::ranges::partial_sort(candidates, candidates.begin() + static_cast<long>(count), isPreferred);
  std::vector<HostId> best;
  for (size_t index = 0; index < count; ++index) {
    best.push_back(candidates[index].m_host);
  }
  return best;
}

size_t
Peers::betterReaders(TimePoint aNow) const
{
  return static_cast<size_t>(
    std::count_if(m_peers.begin(), m_peers.end(), [this, aNow](const auto& aEntry) {
      return isFreshReader(aNow, aEntry.second) && isBetter(aEntry.first, aEntry.second);
    }));
}

bool
Peers::isSoleReader(TimePoint aNow) const
{
  return servesOthers(aNow) && betterReaders(aNow) == 0 && hearsHalf(aNow);
}

bool
Peers::hearsHalf(TimePoint aNow) const
{
  // Hosts that said they leave do not count; hosts that were heard until lately may be cut off.
  size_t known = 1;
  size_t heard = 1;
  for (const auto& [host, peer] : m_peers) {
    if (peer.m_dataCentre != m_options.m_dataCentre || peer.m_heardAt == TimePoint{} ||
        peer.m_isLeaving) {
      continue;
    }
    ++known;
    heard += isLive(aNow, peer) ? 1 : 0;
  }
  if (known == 1) {
    // A host that never heard another one cannot tell a cut from an empty data centre.
    return std::ranges::all_of(m_options.m_seeds,
                               [this](HostId aSeed) { return aSeed == m_options.m_self; });
  }
  return 2 * heard >= known;
}

size_t
Peers::freshReaders(TimePoint aNow) const
{
  return static_cast<size_t>(
    std::count_if(m_peers.begin(), m_peers.end(), [this, aNow](const auto& aEntry) {
      return isFreshReader(aNow, aEntry.second);
    }));
}

void
Peers::meet(HostId aHost, const std::string& aDataCentre)
{
  if (aHost == m_options.m_self || !aHost || m_peers.contains(aHost)) {
    return;
  }
  if (m_peers.size() >= kMostPeers) {
    // A host that was never heard makes room.
    const auto stranger = std::ranges::find_if(
      m_peers, [](const auto& aEntry) { return aEntry.second.m_heardAt == TimePoint{}; });
    if (stranger == m_peers.end()) {
      return;
    }
    m_peers.erase(stranger);
  }
  m_peers.emplace(aHost, Peer{ .m_dataCentre = aDataCentre });
}

Reaction
Peers::onStatus(TimePoint aNow, const Status& aStatus, registry::Revision aOwnRevision)
{
  if (aStatus.m_sender == m_options.m_self) {
    return {};
  }
  for (const KnownHost& host : aStatus.m_known) {
    meet(host.m_host, host.m_dataCentre);
  }
  meet(aStatus.m_sender, aStatus.m_dataCentre);
  const auto found = m_peers.find(aStatus.m_sender);
  if (found == m_peers.end()) {
    return {};
  }
  Peer& peer = found->second;
  const bool isNew = !isLive(aNow, peer) || peer.m_incarnation != aStatus.m_incarnation;
  peer.m_dataCentre = aStatus.m_dataCentre;
  peer.m_incarnation = aStatus.m_incarnation;
  peer.m_capacity = aStatus.m_capacity;
  peer.m_isReader = aStatus.m_isReader && !aStatus.m_isLeaving;
  peer.m_isLeaving = aStatus.m_isLeaving;
  peer.m_nominatesSelf =
    std::ranges::find(aStatus.m_nominees, m_options.m_self) != aStatus.m_nominees.end();
  peer.m_heardAt = aNow;
  peer.m_revision = aStatus.m_revision;
  peer.m_confirmedAt =
    aStatus.m_ageMs < 0 ? TimePoint{} : aNow - Millis{ std::max<int64_t>(0, aStatus.m_ageMs) };
  confirmThrough(peer);
  Reaction reaction{ .m_isPullDue = aStatus.m_revision > aOwnRevision };
  const bool isBehind = aStatus.m_revision < aOwnRevision;
  if ((isNew || isBehind || aStatus.m_isAsking) && aNow - peer.m_answeredAt >= kAnswerInterval &&
      m_answers.take(aNow)) {
    peer.m_answeredAt = aNow;
    reaction.m_isAnswerDue = true;
  }
  return reaction;
}

void
Peers::confirmThrough(const Peer& aPeer)
{
  if (aPeer.m_revision <= m_revision && aPeer.m_confirmedAt > m_confirmedAt && m_revision > 0) {
    m_confirmedAt = aPeer.m_confirmedAt;
  }
}

void
Peers::onOwnConfirmation(TimePoint aAt)
{
  m_confirmedAt = std::max(m_confirmedAt, aAt);
}

void
Peers::onRevision(registry::Revision aRevision)
{
  if (aRevision <= m_revision) {
    return;
  }
  m_revision = aRevision;
  for (const auto& [host, peer] : m_peers) {
    confirmThrough(peer);
  }
}

bool
Peers::updateReading(TimePoint aNow)
{
  if (m_startedAt == TimePoint{}) {
    m_startedAt = aNow;
  }
  forgetSilent(aNow);
  if (m_isReader || freshReaders(aNow) >= kReadersPerDataCentre) {
    m_unsettledSince = {};
  } else if (m_unsettledSince == TimePoint{}) {
    m_unsettledSince = aNow;
    m_isAnnouncementDue = true;
  }
  if (m_isLeaving) {
    m_isReader = false;
    return aNow - m_confirmedAt > kOwnReadingAge;
  }
  if (m_isReader && !servesOthers(aNow) && freshReaders(aNow) >= kReadersPerDataCentre) {
    // It never reached the store, and others do.
    m_isReader = false;
  }
  if (m_isReader) {
    if (betterReaders(aNow) < kReadersPerDataCentre) {
      m_dispensableSince = {};
    } else if (m_dispensableSince == TimePoint{}) {
      m_dispensableSince = aNow;
    } else if (aNow - m_dispensableSince >= kReaderHold) {
      m_isReader = false;
    }
    return m_isReader;
  }
  m_dispensableSince = {};
  const auto step = static_cast<int64_t>(mixHash(m_options.m_self.m_value, 1) % kDelaySteps);
  const Millis age = aNow - std::max(m_confirmedAt, m_startedAt);
  m_isReader = isElected(aNow) || age > kOwnReadingAge + kElectionPatience + kDelayStep * step;
  m_isAnnouncementDue = m_isAnnouncementDue || m_isReader;
  return m_isReader;
}

void
Peers::forgetSilent(TimePoint aNow)
{
  for (auto entry = m_peers.begin(); entry != m_peers.end();) {
    const bool wasHeard = entry->second.m_heardAt != TimePoint{};
    if (wasHeard && aNow - entry->second.m_heardAt > kForgetPeer) {
      m_peers.erase(entry++);
    } else {
      ++entry;
    }
  }
}

std::vector<HostId>
Peers::dueTargets(TimePoint aNow)
{
  std::vector<HostId> targets;
  const bool serves = servesOthers(aNow);
  const bool isSettled = serves || freshReaders(aNow) >= kReadersPerDataCentre;
  const bool isStale = aNow - m_confirmedAt > kOwnReadingAge;
  const Millis ownInterval = isSettled && !serves ? kListenerInterval : kStatusInterval;
  const bool isDue = m_lastStatusAt == TimePoint{} || aNow - m_lastStatusAt >= ownInterval;
  if (!isDue && !m_isAnnouncementDue) {
    return targets;
  }
  m_lastStatusAt = aNow;
  std::vector<HostId> others;
  for (const auto& [host, peer] : m_peers) {
    const bool isNeighbour = peer.m_dataCentre == m_options.m_dataCentre;
    const bool wasHeard = peer.m_heardAt != TimePoint{};
    if (isNeighbour && (m_isAnnouncementDue || (wasHeard && (serves || peer.m_isReader)))) {
      targets.push_back(host);
    } else if (isStale || (isNeighbour && (!wasHeard || !isSettled))) {
      others.push_back(host);
    }
  }
  m_isAnnouncementDue = false;
  // Neighbours that are only known from others are greeted, all neighbours while there is no
  // reader, and any host when nothing confirms the records of this one.
  std::ranges::shuffle(others, m_random);
  const size_t greetings = isSettled && !isStale ? (serves ? 1 : 0) : kMostGreetings;
  others.resize(std::min(others.size(), greetings));
  targets.insert(targets.end(), others.begin(), others.end());
  const Millis interval = isSettled && !isStale ? kSeedIntervalWhenSettled : kSeedInterval;
  if (m_lastSeedAt == TimePoint{} || aNow - m_lastSeedAt >= interval) {
    m_lastSeedAt = aNow;
    for (const HostId seed : m_options.m_seeds) {
      if (seed != m_options.m_self && std::ranges::find(targets, seed) == targets.end()) {
        targets.push_back(seed);
      }
    }
  }
  return targets;
}

std::vector<HostId>
Peers::listeners(TimePoint aNow) const
{
  const bool isFirst = servesOthers(aNow) && betterReaders(aNow) == 0;
  return isFirst ? live(aNow) : std::vector<HostId>{};
}

std::vector<HostId>
Peers::live(TimePoint aNow) const
{
  std::vector<HostId> hosts;
  for (const auto& [host, peer] : m_peers) {
    if (peer.m_dataCentre == m_options.m_dataCentre && isLive(aNow, peer)) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

std::vector<HostId>
Peers::readers(TimePoint aNow) const
{
  std::vector<HostId> hosts;
  for (const auto& [host, peer] : m_peers) {
    if (peer.m_isReader && peer.m_dataCentre == m_options.m_dataCentre && isLive(aNow, peer)) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

Status
Peers::makeStatus(TimePoint aNow, registry::Revision aRevision)
{
  return { .m_sender = m_options.m_self,
           .m_dataCentre = m_options.m_dataCentre,
           .m_incarnation = m_options.m_incarnation,
           .m_capacity = m_options.m_capacity,
           .m_isReader = servesOthers(aNow),
           .m_isLeaving = m_isLeaving,
           .m_isAsking = aNow - m_confirmedAt > kOwnReadingAge,
           .m_revision = aRevision,
           .m_ageMs = m_confirmedAt == TimePoint{} ? -1 : (aNow - m_confirmedAt).count(),
           .m_known = {},
           .m_nominees = servesOthers(aNow) ? nominees(aNow) : std::vector<HostId>{},
           .m_sightings = {},
           .m_difference = {} };
}

void
Peers::nameHosts(TimePoint aNow, std::string_view aDataCentre, Status& aStatus)
{
  std::vector<KnownHost> heard;
  for (const auto& [host, peer] : m_peers) {
    if (peer.m_heardAt != TimePoint{} && aNow - peer.m_heardAt <= kForgetPeer) {
      heard.push_back({ host, peer.m_dataCentre });
    }
  }
  std::ranges::shuffle(heard, m_random);
  std::stable_partition(heard.begin(), heard.end(), [&](const KnownHost& aHost) {
    return aHost.m_dataCentre == aDataCentre;
  });
  heard.resize(std::min(heard.size(), kKnownPerStatus));
  aStatus.m_known = std::move(heard);
}

} // namespace tamarack::dissemination
