// Claims of readers, and freshness through them.
#include "dissemination/Peers.h"

#include "base/Hash.h"

#include <algorithm>

namespace tamarack::dissemination {

namespace {

/// Two answers to one peer are at least this far apart.
constexpr Millis kAnswerInterval{ 200 };
/// A newcomer's greetings of seeds get rarer by one interval each, up to this many.
constexpr int kMostNewcomerSteps = 4;

} // namespace

Peers::Peers(PeersOptions aOptions)
  : m_options(std::move(aOptions))
  , m_peers(m_options.m_self, m_options.m_dataCentre)
  , m_random(static_cast<uint32_t>(mixHash(m_options.m_self.m_value, m_options.m_incarnation)))
  , m_nextSeed(m_random())
{
}

bool
Peers::isFreshReader(TimePoint aNow, const Peer& aPeer) const
{
  return aPeer.m_isReader && m_peers.isNeighbour(aPeer) && aPeer.isLive(aNow) &&
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
  const bool isLonely = !m_hasHeardNeighbour && hasSeeds();
  const Millis startWait = isLonely ? kLonelyWait : kDiscoveryWait;
  if (m_unsettledSince == TimePoint{} || aNow - m_unsettledSince < kElectionWait ||
      aNow - m_startedAt < startWait) {
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
    if (m_peers.isNeighbour(peer) && peer.isLive(aNow) && !peer.m_isLeaving) {
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
    if (!m_peers.isNeighbour(peer) || !peer.wasHeard() || peer.m_isLeaving) {
      continue;
    }
    ++known;
    heard += peer.isLive(aNow) ? 1 : 0;
  }
  if (known == 1) {
    // A host that never heard another one cannot tell a cut from an empty data centre.
    return !hasSeeds();
  }
  return 2 * heard >= known;
}

bool
Peers::hasSeeds() const
{
  return std::ranges::any_of(m_options.m_seeds,
                             [this](HostId aSeed) { return aSeed != m_options.m_self; });
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
Peers::learn(TimePoint aNow, const KnownHost& aHost)
{
  Peer* const peer =
    m_peers.remember(aNow,
                     aHost.m_host,
                     { .m_dataCentre = aHost.m_dataCentre, .m_capacity = aHost.m_capacity },
                     false);
  if (peer == nullptr) {
    return;
  }
  peer->m_namedAt = aNow;
  if (!m_peers.isNeighbour(*peer) || peer->isLive(aNow)) {
    return;
  }
  peer->m_capacity = aHost.m_capacity;
  // A host that lost its reader looks for the best of its neighbours, and readers find each other.
  if (aHost.m_isReader || isElecting(aNow)) {
    peer->m_isGreetingDue = true;
    m_isGreetingDue = true;
  }
}

Reaction
Peers::onStatus(TimePoint aNow, const Status& aStatus, registry::Revision aOwnRevision)
{
  if (aStatus.m_sender == m_options.m_self) {
    return {};
  }
  for (const KnownHost& host : aStatus.m_known) {
    learn(aNow, host);
  }
  Peer passing{ .m_dataCentre = aStatus.m_dataCentre,
                .m_capacity = aStatus.m_capacity,
                .m_isReader = aStatus.m_isReader && !aStatus.m_isLeaving };
  Peer* const remembered = m_peers.remember(aNow, aStatus.m_sender, passing, true);
  // A host that there is no room for is answered like any other.
  Peer& peer = remembered == nullptr ? passing : *remembered;
  const bool isNew = !peer.isLive(aNow) || peer.m_incarnation != aStatus.m_incarnation;
  peer.m_incarnation = aStatus.m_incarnation;
  peer.m_capacity = aStatus.m_capacity;
  peer.m_isReader = aStatus.m_isReader && !aStatus.m_isLeaving;
  peer.m_isLeaving = aStatus.m_isLeaving;
  peer.m_isGreetingDue = false;
  peer.m_nominatesSelf =
    std::ranges::find(aStatus.m_nominees, m_options.m_self) != aStatus.m_nominees.end();
  peer.m_heardAt = aNow;
  peer.m_revision = aStatus.m_revision;
  peer.m_confirmedAt =
    aStatus.m_ageMs < 0 ? TimePoint{} : aNow - Millis{ std::max<int64_t>(0, aStatus.m_ageMs) };
  m_hasHeardNeighbour = m_hasHeardNeighbour || m_peers.isNeighbour(peer);
  confirmThrough(peer);
  Reaction reaction{ .m_isPullDue = aStatus.m_revision > aOwnRevision };
  const bool isBehind = aStatus.m_revision < aOwnRevision;
  if ((isNew || isBehind || aStatus.m_isAsking) && aNow - peer.m_answeredAt >= kAnswerInterval &&
      (peer.m_isReader ? m_answersToReaders : m_answers).take(aNow)) {
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
  m_peers.forgetSilent(aNow);
  if (m_isReader || freshReaders(aNow) >= kReadersPerDataCentre) {
    m_unsettledSince = {};
  } else if (m_unsettledSince == TimePoint{}) {
    m_unsettledSince = aNow;
    m_isElectionDue = true;
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
  m_readingSince = m_isReader ? aNow : m_readingSince;
  return m_isReader;
}

std::vector<HostId>
Peers::electors(TimePoint aNow) const
{
  std::vector<std::pair<uint32_t, HostId>> ranked;
  for (const auto& [host, peer] : m_peers) {
    if (m_peers.isNeighbour(peer) && !peer.m_isLeaving && !peer.isQuiet(aNow)) {
      ranked.emplace_back(peer.m_capacity, host);
    }
  }
  const size_t count = std::min(kElectors, ranked.size());
  std::ranges::partial_sort(
    ranked, ranked.begin() + static_cast<long>(count), [](const auto& aLeft, const auto& aRight) {
      return ranksBefore(aLeft.first, aLeft.second, aRight.first, aRight.second);
    });
  std::vector<HostId> best;
  for (size_t index = 0; index < count; ++index) {
    best.push_back(ranked[index].second);
  }
  return best;
}

void
Peers::addGreetings(TimePoint aNow, std::vector<HostId>& aTargets)
{
  if (!std::exchange(m_isGreetingDue, false)) {
    return;
  }
  const bool settled = isSettled(aNow);
  std::vector<std::pair<uint32_t, HostId>> due;
  for (auto& [host, peer] : m_peers) {
    if (peer.m_isGreetingDue && settled && !servesOthers(aNow)) {
      // A listener that hears its reader needs nobody else.
      peer.m_isGreetingDue = false;
    } else if (peer.m_isGreetingDue) {
      due.emplace_back(peer.m_capacity, host);
    }
  }
  std::ranges::sort(due, [](const auto& aLeft, const auto& aRight) {
    return ranksBefore(aLeft.first, aLeft.second, aRight.first, aRight.second);
  });
  for (size_t index = 0; index < std::min(due.size(), kMostGreetings); ++index) {
    m_peers.find(due[index].second)->m_isGreetingDue = false;
    aTargets.push_back(due[index].second);
  }
  m_isGreetingDue = due.size() > kMostGreetings;
}

bool
Peers::isElectionDue(TimePoint aNow) const
{
  if (m_isElectionDue) {
    return true;
  }
  const bool isRepeated = aNow - m_lastElectionAt >= kElectionInterval;
  return isElecting(aNow) || (!isSettled(aNow) && isRepeated);
}

void
Peers::addRegular(TimePoint aNow, std::vector<HostId>& aTargets)
{
  const bool serves = servesOthers(aNow);
  const bool settled = isSettled(aNow);
  const bool isStale = aNow - m_confirmedAt > kOwnReadingAge;
  std::vector<HostId> others;
  for (const auto& [host, peer] : m_peers) {
    const bool isNeighbour = m_peers.isNeighbour(peer);
    if (isNeighbour && (m_isAnnouncementDue || (peer.wasHeard() && (serves || peer.m_isReader)))) {
      aTargets.push_back(host);
    } else if (isStale || (isNeighbour && (!peer.wasHeard() || !settled))) {
      others.push_back(host);
    }
  }
  m_isAnnouncementDue = false;
  if (isElectionDue(aNow)) {
    m_isElectionDue = false;
    m_lastElectionAt = aNow;
    std::ranges::copy(electors(aNow), std::back_inserter(aTargets));
  }
  // Neighbours that are only known from others are greeted, random ones beside the best while there
  // is no reader, and any host when nothing confirms the records of this one.
  std::ranges::sort(others);
  std::ranges::shuffle(others, m_random);
  const size_t greetings = settled && !isStale ? (serves ? 1 : 0) : kMostGreetings;
  others.resize(std::min(others.size(), greetings));
  std::ranges::copy(others, std::back_inserter(aTargets));
}

void
Peers::addSeed(TimePoint aNow, std::vector<HostId>& aTargets)
{
  const auto& seeds = m_options.m_seeds;
  Millis interval = kSeedIntervalWhenSettled;
  if (!m_hasHeardNeighbour && aNow - m_startedAt < kLonelyWait) {
    interval = kSeedIntervalOfNewcomer;
    // A seed that many hosts ask at once has no time for all of them.
    interval *= std::clamp(m_seedGreetings, 1, kMostNewcomerSteps);
  } else if (isElecting(aNow) || (m_isReader && aNow - m_readingSince < kElectionLength)) {
    interval = kSeedInterval;
  } else if (servesOthers(aNow)) {
    interval = kSeedIntervalOfReader;
  } else if (aNow - m_confirmedAt > kOwnReadingAge) {
    interval = kSeedIntervalWhenStale;
  }
  if (seeds.empty() || (m_lastSeedAt != TimePoint{} && aNow - m_lastSeedAt < interval)) {
    return;
  }
  m_lastSeedAt = aNow;
  ++m_seedGreetings;
  const HostId seed = seeds[m_nextSeed++ % seeds.size()];
  if (seed != m_options.m_self) {
    aTargets.push_back(seed);
  }
}

std::vector<HostId>
Peers::dueTargets(TimePoint aNow)
{
  std::vector<HostId> targets;
  addGreetings(aNow, targets);
  const Millis interval =
    isSettled(aNow) && !servesOthers(aNow) ? kListenerInterval : kStatusInterval;
  const bool isDue = m_lastStatusAt == TimePoint{} || aNow - m_lastStatusAt >= interval;
  if (isDue || m_isAnnouncementDue || m_isElectionDue) {
    m_lastStatusAt = aNow;
    addRegular(aNow, targets);
  }
  addSeed(aNow, targets);
  std::ranges::sort(targets);
  const auto repeated = std::ranges::unique(targets);
  targets.erase(repeated.begin(), repeated.end());
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
    if (m_peers.isNeighbour(peer) && peer.isLive(aNow)) {
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
    if (peer.m_isReader && m_peers.isNeighbour(peer) && peer.isLive(aNow)) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

Status
Peers::makeStatus(TimePoint aNow, registry::Revision aRevision)
{
  // Two readers of one data centre learn of each other from the hosts that hear both.
  std::vector<KnownHost> readers;
  if (freshReaders(aNow) > kReadersPerDataCentre) {
    for (const auto& [host, peer] : m_peers) {
      if (isFreshReader(aNow, peer) && readers.size() < kKnownPerAnswer) {
        readers.push_back({ host, peer.m_dataCentre, peer.m_capacity, true });
      }
    }
  }
  return { .m_sender = m_options.m_self,
           .m_dataCentre = m_options.m_dataCentre,
           .m_incarnation = m_options.m_incarnation,
           .m_capacity = m_options.m_capacity,
           .m_isReader = servesOthers(aNow),
           .m_isLeaving = m_isLeaving,
           .m_isAsking = aNow - m_confirmedAt > kOwnReadingAge,
           .m_revision = aRevision,
           .m_ageMs = m_confirmedAt == TimePoint{} ? -1 : (aNow - m_confirmedAt).count(),
           .m_known = std::move(readers),
           .m_nominees = servesOthers(aNow) ? nominees(aNow) : std::vector<HostId>{},
           .m_sightings = {},
           .m_difference = {} };
}

std::vector<KnownHost>
Peers::heardHosts(TimePoint aNow, std::string_view aDataCentre, size_t aMost, size_t aRandom)
{
  std::vector<KnownHost> heard;
  for (const auto& [host, peer] : m_peers) {
    if (peer.wasHeard() && !peer.m_isLeaving) {
      heard.push_back(
        { host, peer.m_dataCentre, peer.m_capacity, peer.m_isReader && !peer.isQuiet(aNow) });
    }
  }
  const auto isPreferred = [&](const KnownHost& aLeft, const KnownHost& aRight) {
    const bool isLeftNear = aLeft.m_dataCentre == aDataCentre;
    const bool isRightNear = aRight.m_dataCentre == aDataCentre;
    if (isLeftNear != isRightNear) {
      return isLeftNear;
    }
    if (aLeft.m_isReader != aRight.m_isReader) {
      return aLeft.m_isReader;
    }
    return ranksBefore(aLeft.m_capacity, aLeft.m_host, aRight.m_capacity, aRight.m_host);
  };
  std::ranges::sort(heard, isPreferred);
  const size_t best = aMost - aRandom;
  if (heard.size() > best) {
    const auto rest = heard.begin() + static_cast<long>(best);
    std::shuffle(rest, heard.end(), m_random);
    std::stable_partition(
      rest, heard.end(), [&](const KnownHost& aHost) { return aHost.m_dataCentre == aDataCentre; });
    heard.resize(std::min(heard.size(), aMost));
  }
  return heard;
}

void
Peers::nameHosts(TimePoint aNow, std::string_view aDataCentre, Status& aStatus)
{
  aStatus.m_known = heardHosts(aNow, aDataCentre, kKnownPerAnswer, kRandomPerAnswer);
}

void
Peers::nameNeighbours(TimePoint aNow, Status& aStatus)
{
  aStatus.m_known = heardHosts(aNow, m_options.m_dataCentre, kKnownPerRegular, kRandomPerRegular);
  std::erase_if(aStatus.m_known, [this](const KnownHost& aHost) {
    return aHost.m_dataCentre != m_options.m_dataCentre;
  });
}

} // namespace tamarack::dissemination
