// Processing of status messages, election of the reader, and the age of the records of this host.
#include "dissemination/PeerTracker.h"

#include "base/Hash.h"

#include <algorithm>

namespace tamarack::dissemination {

namespace {

/// Minimum interval between two replies to the same peer.
constexpr Millis kReplyInterval{ 200 };

} // namespace

PeerTracker::PeerTracker(PeerTrackerOptions aOptions)
  : m_options(std::move(aOptions))
  , m_peers(m_options.m_self, m_options.m_dataCentre)
  , m_random(static_cast<uint32_t>(mixHash(m_options.m_self.m_value, m_options.m_incarnation)))
  , m_nextSeed(m_random())
{
}

bool
PeerTracker::isFreshReader(TimePoint aNow, const Peer& aPeer) const
{
  return aPeer.m_isReader && m_peers.isNeighbour(aPeer) && aPeer.isLive(aNow) &&
         aPeer.m_confirmedAt != TimePoint{} && aNow - aPeer.m_confirmedAt <= kMaxReaderAge;
}

bool
PeerTracker::isPreferredToSelf(HostId aHost, const Peer& aPeer) const
{
  return isPreferredReader(aPeer.m_capacity, aHost, m_options.m_capacity, m_options.m_self);
}

bool
PeerTracker::isElected(TimePoint aNow) const
{
  for (const auto& [host, peer] : m_peers) {
    if (peer.m_nominatesThisHost && isFreshReader(aNow, peer)) {
      return true;
    }
  }
  const bool isIsolated = !m_hasSeenNeighbour && hasOtherSeeds();
  const Millis startupDelay = isIsolated ? kIsolatedStartupDelay : kStartupDiscoveryDelay;
  if (m_noReaderSince == TimePoint{} || aNow - m_noReaderSince < kElectionDelay ||
      aNow - m_startedAt < startupDelay) {
    return false;
  }
  const auto best = nominees(aNow);
  return std::ranges::find(best, m_options.m_self) != best.end();
}

std::vector<HostId>
PeerTracker::nominees(TimePoint aNow) const
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
    return isPreferredReader(aLeft.m_capacity, aLeft.m_host, aRight.m_capacity, aRight.m_host);
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
PeerTracker::preferredReaders(TimePoint aNow) const
{
  return static_cast<size_t>(
    std::count_if(m_peers.begin(), m_peers.end(), [this, aNow](const auto& aEntry) {
      return isFreshReader(aNow, aEntry.second) && isPreferredToSelf(aEntry.first, aEntry.second);
    }));
}

bool
PeerTracker::isSoleReader(TimePoint aNow) const
{
  return isActiveReader(aNow) && preferredReaders(aNow) == 0 && isAtLeastHalfLive(aNow);
}

bool
PeerTracker::isAtLeastHalfLive(TimePoint aNow) const
{
  // Hosts that announced that they leave are not counted. Other hosts that were live until recently
  // are, because they may be separated from this host by a network partition.
  size_t known = 1;
  size_t live = 1;
  for (const auto& [host, peer] : m_peers) {
    if (!m_peers.isNeighbour(peer) || !peer.hasSentStatus() || peer.m_isLeaving) {
      continue;
    }
    ++known;
    live += peer.isLive(aNow) ? 1 : 0;
  }
  if (known == 1) {
    // A host that never received a status cannot distinguish a partition from an empty data centre.
    return !hasOtherSeeds();
  }
  return 2 * live >= known;
}

bool
PeerTracker::hasOtherSeeds() const
{
  return std::ranges::any_of(m_options.m_seeds,
                             [this](HostId aSeed) { return aSeed != m_options.m_self; });
}

size_t
PeerTracker::freshReaders(TimePoint aNow) const
{
  return static_cast<size_t>(
    std::count_if(m_peers.begin(), m_peers.end(), [this, aNow](const auto& aEntry) {
      return isFreshReader(aNow, aEntry.second);
    }));
}

void
PeerTracker::onAdvertisedHost(TimePoint aNow, const KnownHost& aHost)
{
  Peer* const peer =
    m_peers.findOrInsert(aNow,
                         aHost.m_host,
                         { .m_dataCentre = aHost.m_dataCentre, .m_capacity = aHost.m_capacity },
                         false);
  if (peer == nullptr) {
    return;
  }
  peer->m_advertisedAt = aNow;
  peer->m_isAdvertisedReader = aHost.m_isReader;
  if (!m_peers.isNeighbour(*peer) || peer->isLive(aNow)) {
    return;
  }
  peer->m_capacity = aHost.m_capacity;
  // A host without a reader contacts the neighbours it learns of, as they may be the next reader.
  // An advertised reader is contacted in any case, so that readers discover each other.
  if (aHost.m_isReader || isElecting(aNow)) {
    peer->m_isHelloDue = true;
    m_isHelloDue = true;
  }
}

StatusActions
PeerTracker::onStatus(TimePoint aNow, const StatusMessage& aStatus, registry::Revision aOwnRevision)
{
  if (aStatus.m_sender == m_options.m_self) {
    return {};
  }
  for (const KnownHost& host : aStatus.m_knownHosts) {
    onAdvertisedHost(aNow, host);
  }
  Peer untracked{ .m_dataCentre = aStatus.m_dataCentre,
                  .m_capacity = aStatus.m_capacity,
                  .m_isReader = aStatus.m_isReader && !aStatus.m_isLeaving };
  Peer* const tracked = m_peers.findOrInsert(aNow, aStatus.m_sender, untracked, true);
  // A host for which the table has no room gets replies like any other host.
  Peer& peer = tracked == nullptr ? untracked : *tracked;
  const bool isNew = !peer.isLive(aNow) || peer.m_incarnation != aStatus.m_incarnation;
  peer.m_incarnation = aStatus.m_incarnation;
  peer.m_capacity = aStatus.m_capacity;
  peer.m_isReader = aStatus.m_isReader && !aStatus.m_isLeaving;
  peer.m_isLeaving = aStatus.m_isLeaving;
  peer.m_isHelloDue = false;
  peer.m_nominatesThisHost =
    std::ranges::find(aStatus.m_nominees, m_options.m_self) != aStatus.m_nominees.end();
  peer.m_lastStatusAt = aNow;
  peer.m_revision = aStatus.m_revision;
  peer.m_confirmedAt = aStatus.m_confirmationAgeMs < 0
                         ? TimePoint{}
                         : aNow - Millis{ std::max<int64_t>(0, aStatus.m_confirmationAgeMs) };
  m_hasSeenNeighbour = m_hasSeenNeighbour || m_peers.isNeighbour(peer);
  m_lastRemoteStatusAt = m_peers.isNeighbour(peer) ? m_lastRemoteStatusAt : aNow;
  applyConfirmation(peer);
  StatusActions actions{ .m_isPullDue = aStatus.m_revision > aOwnRevision };
  const bool isBehind = aStatus.m_revision < aOwnRevision;
  if ((isNew || isBehind || aStatus.m_requestsReply) && aNow - peer.m_repliedAt >= kReplyInterval &&
      (peer.m_isReader ? m_replyToReadersLimit : m_replyLimit).tryAcquire(aNow)) {
    peer.m_repliedAt = aNow;
    actions.m_isReplyDue = true;
  }
  return actions;
}

void
PeerTracker::applyConfirmation(const Peer& aPeer)
{
  // A host with records of an older history cannot know which records a restored store has lost.
  const bool isCovered = m_revision.isSet() && aPeer.m_revision <= m_revision &&
                         aPeer.m_revision.m_history == m_revision.m_history;
  if (isCovered && aPeer.m_confirmedAt > m_confirmedAt) {
    m_confirmedAt = aPeer.m_confirmedAt;
  }
}

void
PeerTracker::onStoreConfirmation(TimePoint aAt)
{
  m_confirmedAt = std::max(m_confirmedAt, aAt);
}

void
PeerTracker::onRevision(registry::Revision aRevision)
{
  if (aRevision <= m_revision) {
    return;
  }
  m_revision = aRevision;
  for (const auto& [host, peer] : m_peers) {
    applyConfirmation(peer);
  }
}

bool
PeerTracker::updateReaderRole(TimePoint aNow)
{
  if (m_startedAt == TimePoint{}) {
    m_startedAt = aNow;
  }
  m_peers.removeExpired(aNow);
  if (m_isReader || freshReaders(aNow) >= kReadersPerDataCentre) {
    m_noReaderSince = {};
  } else if (m_noReaderSince == TimePoint{}) {
    m_noReaderSince = aNow;
    m_isElectionDue = true;
  }
  if (m_isLeaving) {
    m_isReader = false;
    return aNow - m_confirmedAt > kSelfReadAge;
  }
  if (m_isReader && !isActiveReader(aNow) && freshReaders(aNow) >= kReadersPerDataCentre) {
    // The store does not answer this host but answers other readers.
    m_isReader = false;
  }
  if (m_isReader) {
    if (preferredReaders(aNow) < kReadersPerDataCentre) {
      m_redundantSince = {};
    } else if (m_redundantSince == TimePoint{}) {
      m_redundantSince = aNow;
    } else if (aNow - m_redundantSince >= kReaderStepDownDelay) {
      m_isReader = false;
    }
    return m_isReader;
  }
  m_redundantSince = {};
  const auto step =
    static_cast<int64_t>(mixHash(m_options.m_self.m_value, 1) % kSelfReadDelaySteps);
  const Millis age = aNow - std::max(m_confirmedAt, m_startedAt);
  m_isReader = isElected(aNow) || age > kSelfReadAge + kElectionTimeout + kSelfReadDelayStep * step;
  m_isAnnouncementDue = m_isAnnouncementDue || m_isReader;
  m_readerSince = m_isReader ? aNow : m_readerSince;
  return m_isReader;
}

} // namespace tamarack::dissemination
