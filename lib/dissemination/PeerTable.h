// The hosts that a host remembers. What it takes does not grow with the fleet: all hosts of its own
// data centre, which has one reader for all of them, and a few contacts in each other one, which
// can name the rest.
#pragma once

#include "registry/Registry.h"

#include <absl/container/flat_hash_map.h>
#include <algorithm>
#include <string>

namespace tamarack::dissemination {

/// Hosts of the own data centre that are remembered; the design size has 61.
inline constexpr size_t kMostNeighbours = 1024;
/// Hosts of each other data centre that are remembered: its reader and those who may follow it.
inline constexpr size_t kContactsPerDataCentre = 6;
/// Data centres whose hosts are remembered; the design size has 18.
inline constexpr size_t kMostDataCentres = 64;
/// A host that was silent for this long is no longer counted on: two of its messages may be lost.
inline constexpr Millis kSilenceOfReader{ 1300 };
inline constexpr Millis kSilenceOfListener{ 2600 };
/// A host that gave no sign for this long makes room for others first. Readers greet seeds every 2
/// s and name the best of their data centre every 4 s.
inline constexpr Millis kQuietContact{ 6000 };
/// A host that was silent for this long is forgotten.
inline constexpr Millis kForgetPeer{ 15'000 };

struct Peer
{
  std::string m_dataCentre;
  uint32_t m_incarnation{};
  /// Thousandths of a core; 0 when unknown.
  uint32_t m_capacity{};
  bool m_isReader{};
  /// It still wants to know what is new, but nobody counts on it.
  bool m_isLeaving{};
  /// Of a reader: it named this host as one that should read.
  bool m_nominatesSelf{};
  /// Another host named it, and this one has not sent it anything yet.
  bool m_isGreetingDue{};
  /// The epoch when it is only known from others.
  TimePoint m_heardAt;
  /// When another host last named it as one that it hears; the epoch when none did.
  TimePoint m_namedAt;
  /// When the store confirmed its records; the epoch before.
  TimePoint m_confirmedAt;
  TimePoint m_answeredAt;
  registry::Revision m_revision{};

  [[nodiscard]] bool wasHeard() const { return m_heardAt != TimePoint{}; }
  /// Whether neither it nor others gave a sign of it lately.
  [[nodiscard]] bool isQuiet(TimePoint aNow) const
  {
    return aNow - std::max(m_heardAt, m_namedAt) > kQuietContact;
  }
  [[nodiscard]] bool isLive(TimePoint aNow) const
  {
    return wasHeard() && aNow - m_heardAt <= (m_isReader ? kSilenceOfReader : kSilenceOfListener);
  }
};

/// The order in which hosts are preferred as readers: those with more room first.
[[nodiscard]] bool
ranksBefore(uint32_t aLeftCapacity, HostId aLeft, uint32_t aRightCapacity, HostId aRight);

class PeerTable
{
public:
  using Map = absl::flat_hash_map<HostId, Peer>;

  PeerTable(HostId aSelf, std::string aDataCentre)
    : m_self(aSelf)
    , m_dataCentre(std::move(aDataCentre))
  {
  }

  /// Remembers a host and returns it; null when the others of its data centre are preferred. A
  /// host that was only named by others (`aIsHeard` false) displaces nobody who was heard.
  Peer* remember(TimePoint aNow, HostId aHost, const Peer& aPeer, bool aIsHeard);
  void forgetSilent(TimePoint aNow);

  [[nodiscard]] bool isNeighbour(const Peer& aPeer) const
  {
    return aPeer.m_dataCentre == m_dataCentre;
  }
  [[nodiscard]] Peer* find(HostId aHost)
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
  /// Makes room for a host of a full data centre. Returns whether there is some.
  bool displace(TimePoint aNow, HostId aHost, const Peer& aPeer, bool aIsHeard);

  HostId m_self;
  std::string m_dataCentre;
  /// At most kMostNeighbours of m_dataCentre and kContactsPerDataCentre of each other one.
  Map m_peers;
};

} // namespace tamarack::dissemination
