// The table of the other hosts that a host knows. Its size does not grow with the whole fleet: it
// contains all hosts of the own data centre (called neighbours), which share one reader, and a few
// contacts in each other data centre, which can advertise the remaining hosts there.
#pragma once

#include "registry/Registry.h"

#include <absl/container/flat_hash_map.h>
#include <algorithm>
#include <string>

namespace tamarack::dissemination {

/// Maximum number of neighbours in the table. The system is designed for 61 hosts per data centre.
inline constexpr size_t kMaxNeighbours = 1024;
/// Maximum number of hosts of each other data centre: its reader and the hosts that may succeed it.
inline constexpr size_t kMaxContactsPerDataCentre = 6;
/// Maximum number of data centres in the table. The system is designed for 18.
inline constexpr size_t kMaxDataCentres = 64;
/// Time without a status after which a reader or a follower is not considered live. Two consecutive
/// messages may be lost.
inline constexpr Millis kReaderTimeout{ 1300 };
inline constexpr Millis kFollowerTimeout{ 2600 };
/// Time after which a host that neither sent a status nor was advertised is stale and is evicted
/// before others. Readers send a status to a seed every 2 s and advertise the highest-ranked hosts
/// of their data centre every 4 s.
inline constexpr Millis kStalePeerTimeout{ 6000 };
/// Time after which a host that neither sent a status nor was advertised is removed from the table.
inline constexpr Millis kPeerExpiry{ 15'000 };

/// What a host knows about another host. A TimePoint is zero if the event has not happened.
struct Peer
{
  std::string m_dataCentre;
  uint32_t m_incarnation{};
  /// CPU capacity in thousandths of a core; 0 if unknown.
  uint32_t m_capacity{};
  bool m_isReader{};
  /// Whether the last host that advertised the peer considered it a reader.
  bool m_isAdvertisedReader{};
  /// The host is shutting down. It still gets updates, but is not eligible as a reader.
  bool m_isLeaving{};
  /// Whether the last status of the peer nominated this host as a reader.
  bool m_nominatesThisHost{};
  /// Whether a status is to be sent to the peer because another host has advertised it.
  bool m_isHelloDue{};
  /// When the last status of the peer arrived; zero if the peer is only known from other hosts.
  TimePoint m_lastStatusAt;
  /// When another host last advertised the peer.
  TimePoint m_advertisedAt;
  /// When the store last confirmed the records of the peer.
  TimePoint m_confirmedAt;
  /// When this host last replied to a status of the peer.
  TimePoint m_repliedAt;
  registry::Revision m_revision{};

  [[nodiscard]] bool hasSentStatus() const { return m_lastStatusAt != TimePoint{}; }
  /// Whether the peer has neither sent a status nor been advertised for kStalePeerTimeout.
  [[nodiscard]] bool isStale(TimePoint aNow) const
  {
    return aNow - std::max(m_lastStatusAt, m_advertisedAt) > kStalePeerTimeout;
  }
  [[nodiscard]] bool isLive(TimePoint aNow) const
  {
    return hasSentStatus() &&
           aNow - m_lastStatusAt <= (m_isReader ? kReaderTimeout : kFollowerTimeout);
  }
};

/// Strict ordering of hosts by their rank as readers: whether the left host is preferred to the
/// right one. Hosts with more capacity are preferred, hosts of equal capacity are ordered by a hash
/// of the address.
[[nodiscard]] bool
isPreferredReader(uint32_t aLeftCapacity, HostId aLeft, uint32_t aRightCapacity, HostId aRight);

class PeerTable
{
public:
  using Map = absl::flat_hash_map<HostId, Peer>;

  PeerTable(HostId aSelf, std::string aDataCentre)
    : m_self(aSelf)
    , m_dataCentre(std::move(aDataCentre))
  {
  }

  /// Returns the entry of a host, which is added if missing; null if the table is full and no entry
  /// can be evicted. `aIsDirect` means that the host itself has sent a status. A host that was only
  /// advertised by others evicts no entry.
  Peer* findOrInsert(TimePoint aNow, HostId aHost, const Peer& aPeer, bool aIsDirect);
  /// Removes the hosts that have been silent for longer than kPeerExpiry.
  void removeExpired(TimePoint aNow);

  /// Whether a host belongs to the own data centre.
  [[nodiscard]] bool isNeighbour(const Peer& aPeer) const
  {
    return aPeer.m_dataCentre == m_dataCentre;
  }
  [[nodiscard]] Peer* find(HostId aHost)
  {
    const auto found = m_peers.find(aHost);
    return found == m_peers.end() ? nullptr : &found->second;
  }
  [[nodiscard]] const Peer* find(HostId aHost) const
  {
    const auto found = m_peers.find(aHost);
    return found == m_peers.end() ? nullptr : &found->second;
  }
  [[nodiscard]] Map::iterator begin() { return m_peers.begin(); }
  [[nodiscard]] Map::iterator end() { return m_peers.end(); }
  [[nodiscard]] Map::const_iterator begin() const { return m_peers.begin(); }
  [[nodiscard]] Map::const_iterator end() const { return m_peers.end(); }
  [[nodiscard]] size_t size() const { return m_peers.size(); }

private:
  /// Evicts the least useful host of the data centre of `aPeer` if `aPeer` is preferred to it.
  /// Returns whether a host was evicted.
  bool makeRoom(TimePoint aNow, HostId aHost, const Peer& aPeer, bool aIsDirect);

  HostId m_self;
  std::string m_dataCentre;
  /// At most kMaxNeighbours of m_dataCentre and kMaxContactsPerDataCentre of each other one.
  Map m_peers;
};

} // namespace tamarack::dissemination
