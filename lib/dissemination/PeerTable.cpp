// Room for hosts, and who makes it.
#include "dissemination/PeerTable.h"

#include "base/Hash.h"

#include <set>

namespace tamarack::dissemination {

namespace {

/// Whether a remembered host is given up before another one: one that was not heard lately first,
/// then listeners, then the one with less room.
bool
isLessUseful(TimePoint aNow,
             HostId aLeft,
             const Peer& aLeftPeer,
             HostId aRight,
             const Peer& aRightPeer)
{
  if (aLeftPeer.isQuiet(aNow) != aRightPeer.isQuiet(aNow)) {
    return aLeftPeer.isQuiet(aNow);
  }
  if (aLeftPeer.m_isReader != aRightPeer.m_isReader) {
    return !aLeftPeer.m_isReader;
  }
  return ranksBefore(aRightPeer.m_capacity, aRight, aLeftPeer.m_capacity, aLeft);
}

} // namespace

bool
ranksBefore(uint32_t aLeftCapacity, HostId aLeft, uint32_t aRightCapacity, HostId aRight)
{
  if (aLeftCapacity != aRightCapacity) {
    return aLeftCapacity > aRightCapacity;
  }
  return mixHash(aLeft.m_value, 0) < mixHash(aRight.m_value, 0);
}

Peer*
PeerTable::remember(TimePoint aNow, HostId aHost, const Peer& aPeer, bool aIsHeard)
{
  if (aHost == m_self || !aHost) {
    return nullptr;
  }
  if (Peer* const known = find(aHost)) {
    if (known->m_dataCentre == aPeer.m_dataCentre || !aIsHeard) {
      return known;
    }
    // The address belongs to another host now.
    m_peers.erase(aHost);
  }
  size_t neighbours = 0;
  std::set<std::string_view> dataCentres;
  for (const auto& [host, peer] : m_peers) {
    neighbours += peer.m_dataCentre == aPeer.m_dataCentre ? 1 : 0;
    dataCentres.insert(peer.m_dataCentre);
  }
  const bool isOwn = isNeighbour(aPeer);
  if (!isOwn && neighbours == 0 && dataCentres.size() >= kMostDataCentres) {
    return nullptr;
  }
  const size_t most = isOwn ? kMostNeighbours : kContactsPerDataCentre;
  if (neighbours >= most && !displace(aNow, aHost, aPeer, aIsHeard)) {
    return nullptr;
  }
  return &m_peers
            .insert_or_assign(aHost,
                              Peer{ .m_dataCentre = aPeer.m_dataCentre,
                                    .m_capacity = aPeer.m_capacity,
                                    .m_namedAt = aNow })
            .first->second;
}

bool
PeerTable::displace(TimePoint aNow, HostId aHost, const Peer& aPeer, bool aIsHeard)
{
  auto victim = m_peers.end();
  for (auto entry = m_peers.begin(); entry != m_peers.end(); ++entry) {
    if (entry->second.m_dataCentre == aPeer.m_dataCentre &&
        (victim == m_peers.end() ||
         isLessUseful(aNow, entry->first, entry->second, victim->first, victim->second))) {
      victim = entry;
    }
  }
  const Peer& least = victim->second;
  const bool isPreferred =
    aIsHeard && (least.isQuiet(aNow) || isNeighbour(aPeer) || aPeer.m_isReader > least.m_isReader ||
                 (aPeer.m_isReader == least.m_isReader &&
                  ranksBefore(aPeer.m_capacity, aHost, least.m_capacity, victim->first)));
  if (isPreferred) {
    m_peers.erase(victim);
  }
  return isPreferred;
}

void
PeerTable::forgetSilent(TimePoint aNow)
{
  absl::erase_if(m_peers, [aNow](const auto& aEntry) {
    const Peer& peer = aEntry.second;
    return aNow - std::max(peer.m_heardAt, peer.m_namedAt) > kForgetPeer;
  });
}

} // namespace tamarack::dissemination
