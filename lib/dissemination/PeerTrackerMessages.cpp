// Selection of the hosts to which a status is sent and of the hosts that a status advertises.
#include "dissemination/PeerTracker.h"

#include <algorithm>
#include <map>

namespace tamarack::dissemination {

namespace {

/// After the start of a host, the interval between messages to seeds grows by
/// kSeedIntervalAtStartup with each message, up to this multiple of it.
constexpr int kMaxStartupBackoffFactor = 4;

} // namespace

std::vector<HostId>
PeerTracker::readerCandidates(TimePoint aNow) const
{
  std::vector<std::pair<uint32_t, HostId>> ranked;
  for (const auto& [host, peer] : m_peers) {
    if (m_peers.isNeighbour(peer) && !peer.m_isLeaving && !peer.isStale(aNow)) {
      ranked.emplace_back(peer.m_capacity, host);
    }
  }
  const size_t count = std::min(kMaxReaderCandidates, ranked.size());
  std::ranges::partial_sort(
    ranked, ranked.begin() + static_cast<long>(count), [](const auto& aLeft, const auto& aRight) {
      return isPreferredReader(aLeft.first, aLeft.second, aRight.first, aRight.second);
    });
  std::vector<HostId> best;
  for (size_t index = 0; index < count; ++index) {
    best.push_back(ranked[index].second);
  }
  return best;
}

void
PeerTracker::addHellos(TimePoint aNow, std::vector<HostId>& aTargets)
{
  if (!std::exchange(m_isHelloDue, false)) {
    return;
  }
  const bool hasActiveReader = hasReader(aNow);
  std::vector<std::pair<uint32_t, HostId>> due;
  for (auto& [host, peer] : m_peers) {
    if (peer.m_isHelloDue && hasActiveReader && !isActiveReader(aNow)) {
      // A follower with an active reader needs no other host.
      peer.m_isHelloDue = false;
    } else if (peer.m_isHelloDue) {
      due.emplace_back(peer.m_capacity, host);
    }
  }
  std::ranges::sort(due, [](const auto& aLeft, const auto& aRight) {
    return isPreferredReader(aLeft.first, aLeft.second, aRight.first, aRight.second);
  });
  for (size_t index = 0; index < std::min(due.size(), kMaxHellos); ++index) {
    m_peers.find(due[index].second)->m_isHelloDue = false;
    aTargets.push_back(due[index].second);
  }
  m_isHelloDue = due.size() > kMaxHellos;
}

bool
PeerTracker::isElectionDue(TimePoint aNow) const
{
  if (m_isElectionDue) {
    return true;
  }
  const bool isRepeated = aNow - m_lastElectionAt >= kElectionRetryInterval;
  return isElecting(aNow) || (!hasReader(aNow) && isRepeated);
}

void
PeerTracker::addRegularTargets(TimePoint aNow, std::vector<HostId>& aTargets)
{
  const bool isActive = isActiveReader(aNow);
  const bool hasActiveReader = hasReader(aNow);
  const bool isStale = aNow - m_confirmedAt > kSelfReadAge;
  std::vector<HostId> others;
  for (const auto& [host, peer] : m_peers) {
    const bool isNeighbour = m_peers.isNeighbour(peer);
    if (isNeighbour &&
        (m_isAnnouncementDue || (peer.hasSentStatus() && (isActive || peer.m_isReader)))) {
      aTargets.push_back(host);
    } else if (isStale || (isNeighbour && (!peer.hasSentStatus() || !hasActiveReader))) {
      others.push_back(host);
    }
  }
  m_isAnnouncementDue = false;
  if (isElectionDue(aNow)) {
    m_isElectionDue = false;
    m_lastElectionAt = aNow;
    std::ranges::copy(readerCandidates(aNow), std::back_inserter(aTargets));
  }
  // A few random hosts are contacted in addition. A reader contacts neighbours that have sent no
  // status yet, a host without a reader any neighbour, and a host with unconfirmed records any
  // host.
  std::ranges::sort(others);
  std::ranges::shuffle(others, m_random);
  const size_t maxOthers = hasActiveReader && !isStale ? (isActive ? 1 : 0) : kMaxHellos;
  others.resize(std::min(others.size(), maxOthers));
  std::ranges::copy(others, std::back_inserter(aTargets));
  if (isActive && m_loadExchange.m_isEnabled) {
    addRemoteReaders(aNow, aTargets);
  }
}

void
PeerTracker::addRemoteReaders(TimePoint aNow, std::vector<HostId>& aTargets)
{
  std::map<std::string_view, std::vector<std::pair<HostId, const Peer*>>> hosts;
  for (const auto& [host, peer] : m_peers) {
    if (!m_peers.isNeighbour(peer) && !peer.m_isLeaving && !peer.isStale(aNow)) {
      hosts[peer.m_dataCentre].emplace_back(host, &peer);
    }
  }
  const auto isLiveReader = [aNow](const Peer& aPeer) {
    return aPeer.m_isReader && aPeer.isLive(aNow);
  };
  const auto isPreferred = [&](const auto& aLeft, const auto& aRight) {
    const auto& [leftHost, left] = aLeft;
    const auto& [rightHost, right] = aRight;
    if (isLiveReader(*left) != isLiveReader(*right)) {
      return isLiveReader(*left);
    }
    if (left->m_isAdvertisedReader != right->m_isAdvertisedReader) {
      return left->m_isAdvertisedReader;
    }
    return isPreferredReader(left->m_capacity, leftHost, right->m_capacity, rightHost);
  };
  size_t count = 0;
  for (auto& [dataCentre, candidates] : hosts) {
    std::ranges::sort(candidates, isPreferred);
    const bool isReaderKnown = isLiveReader(*candidates.front().second);
    const size_t index = isReaderKnown ? 0 : m_remoteReaderRounds % candidates.size();
    if (count++ < kMaxRemoteReaders) {
      aTargets.push_back(candidates[index].first);
    }
  }
  ++m_remoteReaderRounds;
}

void
PeerTracker::addSeedTarget(TimePoint aNow, std::vector<HostId>& aTargets)
{
  const auto& seeds = m_options.m_seeds;
  Millis interval = kSeedIntervalWithReader;
  if (!m_hasSeenNeighbour && aNow - m_startedAt < kIsolatedStartupDelay) {
    interval = kSeedIntervalAtStartup;
    // Backs off, because a seed that many hosts contact at once cannot reply to all of them.
    interval *= std::clamp(m_seedMessages, 1, kMaxStartupBackoffFactor);
  } else if (isElecting(aNow) || (m_isReader && aNow - m_readerSince < kElectionDuration)) {
    interval = kSeedIntervalDuringElection;
  } else if (isActiveReader(aNow)) {
    interval = kSeedIntervalOfReader;
  } else if (aNow - m_confirmedAt > kSelfReadAge) {
    interval = kSeedIntervalWhenStale;
  }
  if (seeds.empty() || (m_lastSeedAt != TimePoint{} && aNow - m_lastSeedAt < interval)) {
    return;
  }
  m_lastSeedAt = aNow;
  ++m_seedMessages;
  const HostId seed = seeds[m_nextSeed++ % seeds.size()];
  if (seed != m_options.m_self) {
    aTargets.push_back(seed);
  }
}

void
PeerTracker::addRemoteProbes(TimePoint aNow, std::vector<HostId>& aTargets)
{
  if (!m_isProbingRemote || aNow - m_lastRemoteProbeAt < kRemoteProbeInterval) {
    return;
  }
  m_lastRemoteProbeAt = aNow;
  std::vector<HostId> remoteHosts;
  for (const auto& [host, peer] : m_peers) {
    if (!m_peers.isNeighbour(peer) && !peer.m_isLeaving) {
      remoteHosts.push_back(host);
    }
  }
  for (const HostId seed : m_options.m_seeds) {
    if (seed != m_options.m_self && m_peers.find(seed) == nullptr) {
      remoteHosts.push_back(seed);
    }
  }
  std::ranges::sort(remoteHosts);
  std::ranges::shuffle(remoteHosts, m_random);
  remoteHosts.resize(std::min(remoteHosts.size(), kRemoteProbesPerInterval));
  std::ranges::copy(remoteHosts, std::back_inserter(aTargets));
}

Millis
PeerTracker::followerInterval() const
{
  if (!m_loadExchange.m_isEnabled || !m_loadExchange.m_isUrgent) {
    return kFollowerInterval;
  }
  return std::clamp(kMinServiceReportSpacing * m_loadExchange.m_serviceReports,
                    kMinBusyFollowerInterval,
                    kFollowerInterval);
}

std::vector<HostId>
PeerTracker::dueTargets(TimePoint aNow)
{
  std::vector<HostId> targets;
  addHellos(aNow, targets);
  const Millis interval =
    hasReader(aNow) && !isActiveReader(aNow) ? followerInterval() : kStatusInterval;
  const bool isDue = m_lastRegularSendAt == TimePoint{} || aNow - m_lastRegularSendAt >= interval;
  if (isDue || m_isAnnouncementDue || m_isElectionDue) {
    m_lastRegularSendAt = aNow;
    addRegularTargets(aNow, targets);
  }
  addSeedTarget(aNow, targets);
  addRemoteProbes(aNow, targets);
  std::ranges::sort(targets);
  targets.erase(std::unique(targets.begin(), targets.end()), targets.end());
  return targets;
}

std::vector<HostId>
PeerTracker::followers(TimePoint aNow) const
{
  const bool isHighestRanked = isActiveReader(aNow) && preferredReaders(aNow) == 0;
  return isHighestRanked ? liveNeighbours(aNow) : std::vector<HostId>{};
}

std::vector<HostId>
PeerTracker::liveNeighbours(TimePoint aNow) const
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
PeerTracker::readers(TimePoint aNow) const
{
  std::vector<HostId> hosts;
  for (const auto& [host, peer] : m_peers) {
    if (peer.m_isReader && m_peers.isNeighbour(peer) && peer.isLive(aNow)) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

StatusMessage
PeerTracker::makeStatus(TimePoint aNow, registry::Revision aRevision)
{
  // If a data centre has more readers than needed, they learn of each other from hosts that receive
  // messages of several of them.
  std::vector<KnownHost> readers;
  if (freshReaders(aNow) > kReadersPerDataCentre) {
    for (const auto& [host, peer] : m_peers) {
      if (isFreshReader(aNow, peer) && readers.size() < kHostsPerReply) {
        readers.push_back({ host, peer.m_dataCentre, peer.m_capacity, true });
      }
    }
  }
  return { .m_sender = m_options.m_self,
           .m_dataCentre = m_options.m_dataCentre,
           .m_incarnation = m_options.m_incarnation,
           .m_capacity = m_options.m_capacity,
           .m_isReader = isActiveReader(aNow),
           .m_isLeaving = m_isLeaving,
           .m_requestsReply = m_isProbingRemote || aNow - m_confirmedAt > kSelfReadAge,
           .m_revision = aRevision,
           .m_confirmationAgeMs =
             m_confirmedAt == TimePoint{} ? -1 : (aNow - m_confirmedAt).count(),
           .m_knownHosts = std::move(readers),
           .m_nominees = isActiveReader(aNow) ? nominees(aNow) : std::vector<HostId>{},
           .m_healthReports = {},
           .m_delta = {},
           .m_load = {} };
}

std::vector<KnownHost>
PeerTracker::selectAdvertisedHosts(TimePoint aNow,
                                   std::string_view aDataCentre,
                                   size_t aCount,
                                   size_t aRandomCount)
{
  std::vector<KnownHost> candidates;
  for (const auto& [host, peer] : m_peers) {
    // Only hosts that sent a status to this host themselves are advertised. Otherwise hosts could
    // go on advertising a terminated host to each other without end.
    const bool isRecent = peer.hasSentStatus() && aNow - peer.m_lastStatusAt <= kPeerExpiry;
    if (isRecent && !peer.m_isLeaving) {
      candidates.push_back(
        { host, peer.m_dataCentre, peer.m_capacity, peer.m_isReader && !peer.isStale(aNow) });
    }
  }
  const auto isPreferred = [&](const KnownHost& aLeft, const KnownHost& aRight) {
    const bool isLeftLocal = aLeft.m_dataCentre == aDataCentre;
    const bool isRightLocal = aRight.m_dataCentre == aDataCentre;
    if (isLeftLocal != isRightLocal) {
      return isLeftLocal;
    }
    if (aLeft.m_isReader != aRight.m_isReader) {
      return aLeft.m_isReader;
    }
    return isPreferredReader(aLeft.m_capacity, aLeft.m_host, aRight.m_capacity, aRight.m_host);
  };
  std::ranges::sort(candidates, isPreferred);
  const size_t rankedCount = aCount - aRandomCount;
  if (candidates.size() > rankedCount) {
    const auto remaining = candidates.begin() + static_cast<long>(rankedCount);
    std::shuffle(remaining, candidates.end(), m_random);
    std::stable_partition(remaining, candidates.end(), [&](const KnownHost& aHost) {
      return aHost.m_dataCentre == aDataCentre;
    });
    candidates.resize(std::min(candidates.size(), aCount));
  }
  return candidates;
}

void
PeerTracker::advertiseHosts(TimePoint aNow, std::string_view aDataCentre, StatusMessage& aStatus)
{
  aStatus.m_knownHosts =
    selectAdvertisedHosts(aNow, aDataCentre, kHostsPerReply, kRandomHostsPerReply);
  if (m_loadExchange.m_isEnabled) {
    advertiseReaders(aNow, aStatus);
  }
}

void
PeerTracker::advertiseReaders(TimePoint aNow, StatusMessage& aStatus) const
{
  // Readers of different data centres receive no statuses of each other until one of them learns
  // which host the other is.
  size_t count = 0;
  for (const auto& [host, peer] : m_peers) {
    const bool isReader = peer.m_isReader && !peer.isStale(aNow) && !peer.m_isLeaving;
    if (isReader && count < kMaxRemoteReaders &&
        std::ranges::find(aStatus.m_knownHosts, host, &KnownHost::m_host) ==
          aStatus.m_knownHosts.end()) {
      aStatus.m_knownHosts.push_back({ host, peer.m_dataCentre, peer.m_capacity, true });
      ++count;
    }
  }
}

void
PeerTracker::advertiseNeighbours(TimePoint aNow, StatusMessage& aStatus)
{
  aStatus.m_knownHosts = selectAdvertisedHosts(
    aNow, m_options.m_dataCentre, kHostsPerAdvertisement, kRandomHostsPerAdvertisement);
  std::erase_if(aStatus.m_knownHosts, [this](const KnownHost& aHost) {
    return aHost.m_dataCentre != m_options.m_dataCentre;
  });
}

} // namespace tamarack::dissemination
