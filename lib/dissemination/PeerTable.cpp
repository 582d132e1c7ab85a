// Insertion into the table of known hosts, and the eviction policy.
#include "dissemination/PeerTable.h"

#include "base/Hash.h"

#include <set>

namespace tamarack::dissemination {

namespace {

/// The eviction order: whether the left host is evicted before the right one. Stale hosts are
/// evicted first, then followers before readers, then hosts of lower rank.
bool
isEvictedBefore(TimePoint aNow,
                HostId aLeft,
                const Peer& aLeftPeer,
                HostId aRight,
                const Peer& aRightPeer)
{
  if (aLeftPeer.isStale(aNow) != aRightPeer.isStale(aNow)) {
    return aLeftPeer.isStale(aNow);
  }
  if (aLeftPeer.m_isReader != aRightPeer.m_isReader) {
    return !aLeftPeer.m_isReader;
  }
  return isPreferredReader(aRightPeer.m_capacity, aRight, aLeftPeer.m_capacity, aLeft);
}

} // namespace

bool
isPreferredReader(uint32_t aLeftCapacity, HostId aLeft, uint32_t aRightCapacity, HostId aRight)
{
  if (aLeftCapacity != aRightCapacity) {
    return aLeftCapacity > aRightCapacity;
  }
  return mixHash(aLeft.m_value, 0) < mixHash(aRight.m_value, 0);
}

Peer*
PeerTable::findOrInsert(TimePoint aNow, HostId aHost, const Peer& aPeer, bool aIsDirect)
{
  if (aHost == m_self || !aHost) {
    return nullptr;
  }
  if (Peer* const known = find(aHost)) {
    if (known->m_dataCentre == aPeer.m_dataCentre || !aIsDirect) {
      return known;
    }
    // The address was reassigned to a host in another data centre.
    m_peers.erase(aHost);
  }
  size_t count = 0;
  std::set<std::string_view> dataCentres;
  for (const auto& [host, peer] : m_peers) {
    count += peer.m_dataCentre == aPeer.m_dataCentre ? 1 : 0;
    dataCentres.insert(peer.m_dataCentre);
  }
  const bool isOwnDataCentre = isNeighbour(aPeer);
  if (!isOwnDataCentre && count == 0 && dataCentres.size() >= kMaxDataCentres) {
    return nullptr;
  }
  const size_t limit = isOwnDataCentre ? kMaxNeighbours : kMaxContactsPerDataCentre;
  if (count >= limit && !makeRoom(aNow, aHost, aPeer, aIsDirect)) {
    return nullptr;
  }
  return &m_peers
            .insert_or_assign(aHost,
                              Peer{ .m_dataCentre = aPeer.m_dataCentre,
                                    .m_capacity = aPeer.m_capacity,
                                    .m_advertisedAt = aNow })
            .first->second;
}

bool
PeerTable::makeRoom(TimePoint aNow, HostId aHost, const Peer& aPeer, bool aIsDirect)
{
  auto victim = m_peers.end();
  for (auto entry = m_peers.begin(); entry != m_peers.end(); ++entry) {
    if (entry->second.m_dataCentre == aPeer.m_dataCentre &&
        (victim == m_peers.end() ||
         isEvictedBefore(aNow, entry->first, entry->second, victim->first, victim->second))) {
      victim = entry;
    }
  }
  const Peer& victimPeer = victim->second;
  const bool isPreferred =
    aIsDirect &&
    (victimPeer.isStale(aNow) || isNeighbour(aPeer) || aPeer.m_isReader > victimPeer.m_isReader ||
     (aPeer.m_isReader == victimPeer.m_isReader &&
      isPreferredReader(aPeer.m_capacity, aHost, victimPeer.m_capacity, victim->first)));
  if (isPreferred) {
    m_peers.erase(victim);
  }
  return isPreferred;
}

void
PeerTable::removeExpired(TimePoint aNow)
{
  absl::erase_if(m_peers, [aNow](const auto& aEntry) {
    const Peer& peer = aEntry.second;
    return aNow - std::max(peer.m_lastStatusAt, peer.m_advertisedAt) > kPeerExpiry;
  });
}

} // namespace tamarack::dissemination
