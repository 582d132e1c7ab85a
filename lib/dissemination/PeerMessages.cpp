// Whom a host sends a status to, and which hosts a status names.
#include "dissemination/Peers.h"

#include <algorithm>

namespace tamarack::dissemination {

namespace {

/// A newcomer's greetings of seeds get rarer by one interval each, up to this many.
constexpr int kMostNewcomerSteps = 4;

} // namespace

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

void
Peers::addSearched(TimePoint aNow, std::vector<HostId>& aTargets)
{
  if (!m_isSearching || aNow - m_lastSearchAt < kSearchInterval) {
    return;
  }
  m_lastSearchAt = aNow;
  std::vector<HostId> elsewhere;
  for (const auto& [host, peer] : m_peers) {
    if (!m_peers.isNeighbour(peer) && !peer.m_isLeaving) {
      elsewhere.push_back(host);
    }
  }
  for (const HostId seed : m_options.m_seeds) {
    if (seed != m_options.m_self && m_peers.find(seed) == nullptr) {
      elsewhere.push_back(seed);
    }
  }
  std::ranges::sort(elsewhere);
  std::ranges::shuffle(elsewhere, m_random);
  elsewhere.resize(std::min(elsewhere.size(), kMostSearched));
  std::ranges::copy(elsewhere, std::back_inserter(aTargets));
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
  addSearched(aNow, targets);
  std::ranges::sort(targets);
  targets.erase(std::unique(targets.begin(), targets.end()), targets.end());
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
           .m_isAsking = m_isSearching || aNow - m_confirmedAt > kOwnReadingAge,
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
    // A host that is gone would be named for ever if those that were told of it named it, too.
    const bool isHeard = peer.wasHeard() && aNow - peer.m_heardAt <= kForgetPeer;
    if (isHeard && !peer.m_isLeaving) {
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
