// Liveness, map leases, and votes for coordinators.
#include "membership/Membership.h"

#include "base/Address.h"
#include "base/Hash.h"

#include <algorithm>

namespace tamarack::membership {

Membership::Membership(MembershipOptions aOptions, EventLog& aEvents)
  : m_options(std::move(aOptions))
  , m_events(aEvents)
{
  for (const HostId seed : m_options.m_seeds) {
    if (seed != m_options.m_self) {
      m_peers.try_emplace(seed);
    }
  }
}

void
Membership::onHostList(TimePoint aNow, std::span<const ListedHost> aHosts)
{
  for (auto& [host, peer] : m_peers) {
    peer.m_listed = false;
  }
  for (const ListedHost& listed : aHosts) {
    if (listed.m_host == m_options.m_self) {
      continue;
    }
    const auto [entry, isNew] = m_peers.try_emplace(listed.m_host);
    Peer& peer = entry->second;
    if (isNew) {
      peer.m_heardAt = aNow;
    }
    peer.m_listed = true;
    peer.m_listedLeaving = listed.m_leaving;
    peer.m_dataCentre = listed.m_dataCentre;
  }
  refreshCandidates();
}

void
Membership::addDiscoveredPeers(std::span<const ListedHost> aHosts)
{
  for (const ListedHost& discovered : aHosts) {
    if (discovered.m_host == m_options.m_self) {
      continue;
    }
    Peer& peer = m_peers[discovered.m_host];
    if (peer.m_dataCentre.empty()) {
      peer.m_dataCentre = discovered.m_dataCentre;
    }
  }
}

HeartbeatOutcome
Membership::onHeartbeat(TimePoint aNow, const Heartbeat& aHeartbeat)
{
  HeartbeatOutcome outcome;
  outcome.m_newPeer = !m_peers.contains(aHeartbeat.m_from);
  Peer& peer = m_peers[aHeartbeat.m_from];
  if (peer.m_heard && aHeartbeat.m_incarnation < peer.m_incarnation) {
    return outcome;
  }
  const bool isSameIncarnation = peer.m_heard && aHeartbeat.m_incarnation == peer.m_incarnation;
  if (isSameIncarnation && aHeartbeat.m_sentAt < peer.m_peerSentAt) {
    // The bodies of a reordered frame are still needed, but a newer header has been processed.
    outcome.m_accepted = true;
    return outcome;
  }
  outcome.m_accepted = true;
  outcome.m_newIncarnation = !isSameIncarnation;
  outcome.m_recovered = isSameIncarnation && !peer.m_alive;
  if (!isSameIncarnation) {
    peer.m_leaseUntil = {};
    peer.m_echoedAt = {};
    peer.m_votes.clear();
  }
  if (!peer.m_alive) {
    m_events.add(aNow, EventId::HostHeard, "host " + formatHost(aHeartbeat.m_from));
  }
  if (aHeartbeat.m_leaving && !peer.m_leaving) {
    m_events.add(aNow, EventId::HostLeaving, "host " + formatHost(aHeartbeat.m_from));
  }
  if (aHeartbeat.m_mapDigest != peer.m_mapDigest) {
    peer.m_digestChangedAt = aNow;
  }
  peer.m_incarnation = aHeartbeat.m_incarnation;
  peer.m_heard = true;
  peer.m_alive = !aHeartbeat.m_left;
  peer.m_hasCompleteMap = aHeartbeat.m_hasCompleteMap;
  peer.m_viewStable = aHeartbeat.m_viewStable;
  peer.m_leaving = aHeartbeat.m_leaving;
  peer.m_left = aHeartbeat.m_left;
  peer.m_heardAt = aNow;
  peer.m_peerSentAt = aHeartbeat.m_sentAt;
  peer.m_echoedAt = std::max(peer.m_echoedAt, aHeartbeat.m_echo);
  peer.m_settingsRevision = aHeartbeat.m_settingsRevision;
  peer.m_mapDigest = aHeartbeat.m_mapDigest;
  for (const ServiceId service : aHeartbeat.m_votes) {
    peer.m_votes[service] = peer.m_echoedAt + kVoteLease;
  }
  refreshCandidates();
  return outcome;
}

void
Membership::renewLease(HostId aPeer)
{
  const auto found = m_peers.find(aPeer);
  if (found == m_peers.end() || found->second.m_echoedAt == TimePoint{}) {
    return;
  }
  found->second.m_leaseUntil = found->second.m_echoedAt + kMapLease;
}

std::vector<HostId>
Membership::expirePeers(TimePoint aNow)
{
  std::vector<HostId> lost;
  for (auto& [host, peer] : m_peers) {
    if (!peer.m_alive || aNow - peer.m_heardAt <= kFailureTimeout) {
      continue;
    }
    peer.m_alive = false;
    peer.m_votes.clear();
    lost.push_back(host);
    m_events.add(aNow, EventId::HostLost, "host " + formatHost(host) + " was silent too long");
  }
  const size_t peersBefore = m_peers.size();
  std::erase_if(m_peers, [&](const auto& aEntry) {
    const Peer& peer = aEntry.second;
    const bool isSeed =
      std::ranges::find(m_options.m_seeds, aEntry.first) != m_options.m_seeds.end();
    return !peer.m_listed && !isSeed && peer.m_heard && aNow - peer.m_heardAt > kPeerRemovalTimeout;
  });
  if (!lost.empty() || peersBefore != m_peers.size()) {
    refreshCandidates();
  }
  return lost;
}

void
Membership::setHasCompleteMap()
{
  m_hasCompleteMap = true;
}

void
Membership::setViewStable(bool aStable)
{
  const bool isStable = aStable && m_hasCompleteMap;
  if (isStable != m_viewStable) {
    m_viewStable = isStable;
    refreshCandidates();
  }
}

void
Membership::setLeaving()
{
  m_leaving = true;
  refreshCandidates();
}

const Peer*
Membership::find(HostId aHost) const
{
  const auto found = m_peers.find(aHost);
  return found == m_peers.end() ? nullptr : &found->second;
}

bool
Membership::isReachable(HostId aHost) const
{
  const Peer* peer = find(aHost);
  return peer != nullptr && peer->m_alive && peer->m_hasCompleteMap;
}

bool
Membership::isAlive(HostId aHost) const
{
  const Peer* peer = find(aHost);
  return aHost == m_options.m_self || (peer != nullptr && peer->m_alive);
}

std::string_view
Membership::dataCentreOf(HostId aHost) const
{
  if (aHost == m_options.m_self) {
    return m_options.m_dataCentre;
  }
  const Peer* peer = find(aHost);
  return peer == nullptr ? std::string_view{} : std::string_view(peer->m_dataCentre);
}

bool
Membership::isAlone() const
{
  return std::ranges::none_of(m_peers, [](const auto& aEntry) { return aEntry.second.m_alive; });
}

bool
Membership::allListedHostsAlive() const
{
  return std::ranges::all_of(m_peers, [](const auto& aEntry) {
    const Peer& peer = aEntry.second;
    return !peer.m_listed || peer.m_listedLeaving || peer.m_left || peer.m_alive;
  });
}

HostId
Membership::coordinatorOf(ServiceId aService) const
{
  return pickByRendezvous(aService.m_value, m_candidates);
}

bool
Membership::hasLease(HostId aCoordinator, TimePoint aNow) const
{
  if (aCoordinator == m_options.m_self) {
    return std::ranges::any_of(
      m_peers, [&](const auto& aEntry) { return aNow < aEntry.second.m_echoedAt + kMapLease; });
  }
  const Peer* peer = find(aCoordinator);
  return peer != nullptr && aNow < peer->m_leaseUntil;
}

bool
Membership::castVote(TimePoint aNow, ServiceId aService, HostId aPeer)
{
  Vote& vote = m_votesCast[aService];
  if (vote.m_candidate != aPeer && aNow < vote.m_expiresAt) {
    return false;
  }
  vote = { aPeer, aNow + kVoteLease };
  return true;
}

double
Membership::voteShare(TimePoint aNow, ServiceId aService)
{
  size_t votes = castVote(aNow, aService, m_options.m_self) ? 1 : 0;
  for (const auto& [host, peer] : m_peers) {
    const auto vote = peer.m_votes.find(aService);
    if (vote != peer.m_votes.end() && aNow < vote->second) {
      ++votes;
    }
  }
  return static_cast<double>(votes) / static_cast<double>(electorateSize());
}

Heartbeat
Membership::makeHeartbeat(TimePoint aNow, HostId aPeer) const
{
  Heartbeat heartbeat;
  heartbeat.m_from = m_options.m_self;
  heartbeat.m_incarnation = m_options.m_incarnation;
  heartbeat.m_sentAt = aNow;
  heartbeat.m_hasCompleteMap = m_hasCompleteMap;
  heartbeat.m_viewStable = m_viewStable;
  heartbeat.m_leaving = m_leaving;
  if (const Peer* peer = find(aPeer); peer != nullptr && peer->m_heard) {
    heartbeat.m_echo = peer->m_peerSentAt;
  }
  return heartbeat;
}

void
Membership::refreshCandidates()
{
  m_candidates.clear();
  if (m_viewStable && !m_leaving) {
    m_candidates.push_back(m_options.m_self);
  }
  for (const auto& [host, peer] : m_peers) {
    if (peer.m_alive && peer.m_viewStable && !peer.m_leaving) {
      m_candidates.push_back(host);
    }
  }
  std::ranges::sort(m_candidates);
}

size_t
Membership::electorateSize() const
{
  const auto isInElectorate = [](const auto& aEntry) {
    const Peer& peer = aEntry.second;
    return !peer.m_left && (peer.m_alive || (peer.m_listed && !peer.m_listedLeaving));
  };
  return 1 + static_cast<size_t>(std::ranges::count_if(m_peers, isInElectorate));
}

} // namespace tamarack::membership
