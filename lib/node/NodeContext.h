// State that all components of one host's node share: cluster membership, per-service state, the
// settings in force and the message channels to its peers.
#pragma once

#include "base/EventLog.h"
#include "membership/Membership.h"
#include "node/Messages.h"
#include "node/ServiceState.h"

#include <algorithm>
#include <map>

namespace tamarack::node {

/// The settings count as fresh while their last confirmation by any source is younger than this.
inline constexpr Millis kMaxSettingsAge{ 10'000 };

/// After a peer returns from a partition, running flows without a pin are not answered for at most
/// this long, because the peer may hold pins that have not been merged yet.
inline constexpr Millis kMapMergeTimeout{ 2000 };

struct NodeContext
{
  explicit NodeContext(membership::MembershipOptions aOptions)
    : m_membership(std::move(aOptions), m_events)
  {
  }

  /// Queues a message for a host. A message to this host goes to the loopback queue, so that the
  /// roles address each other in the same way whether or not they run on the same host.
  channel::MessageId send(HostId aTo, Body aBody)
  {
    if (aTo == m_membership.self()) {
      m_loopbackQueue.push_back(std::move(aBody));
      return {};
    }
    Channel& channel = m_channels[aTo];
    const bool concernsMaps = std::holds_alternative<mapping::MapDelta>(aBody);
    const channel::MessageId messageId = channel.send(std::move(aBody));
    if (concernsMaps) {
      channel.setLeaseBarrier();
    }
    return messageId;
  }

  /// Queues a message for every alive peer.
  void broadcast(const Body& aBody)
  {
    for (const auto& [host, peer] : m_membership.peers()) {
      if (peer.m_alive) {
        send(host, aBody);
      }
    }
  }

  /// Returns null when this host has no state for the service.
  [[nodiscard]] ServiceState* findService(ServiceId aService)
  {
    const auto found = m_services.find(aService);
    return found == m_services.end() ? nullptr : found->second.get();
  }

  /// The time since which the owner has seen all packets of a bucket. Before all listed hosts were
  /// alive, a host cut off from this one may have relayed packets to another owner.
  [[nodiscard]] TimePoint learningStart(const OwnedBucket& aOwned) const
  {
    return std::max(aOwned.m_learningSince, m_allHostsAliveSince);
  }

  /// The maps of a returned peer may still have to be merged. Packets of running flows without a
  /// pin are dropped meanwhile; the callers retransmit them.
  [[nodiscard]] bool isMergingMaps(TimePoint aNow) const
  {
    return std::ranges::any_of(m_peersPendingMerge, [&](const auto& aEntry) {
      return aNow < aEntry.second + kMapMergeTimeout;
    });
  }

  [[nodiscard]] bool areSettingsFresh(TimePoint aNow) const
  {
    return aNow - m_settingsConfirmedAt < kMaxSettingsAge;
  }

  /// Returns an alive peer that has a newer settings revision, or a zero host if there is none.
  [[nodiscard]] HostId peerWithNewerSettings() const
  {
    const settings::Revision own = m_settings ? m_settings->m_revision : 0;
    for (const auto& [host, peer] : m_membership.peers()) {
      if (peer.m_alive && peer.m_settingsRevision > own) {
        return host;
      }
    }
    return {};
  }

  /// Whether a peer has newer settings. An upstream that this host does not know may then have been
  /// added by them.
  [[nodiscard]] bool areSettingsOutdated() const
  {
    return static_cast<bool>(peerWithNewerSettings());
  }

  EventLog m_events;
  membership::Membership m_membership;
  /// One reliable channel for each peer.
  std::map<HostId, Channel> m_channels;
  /// Messages from this host to itself. Node delivers them before the call that queued them
  /// returns.
  std::vector<Body> m_loopbackQueue;
  settings::SettingsPtr m_settings;
  /// When a source last confirmed the settings in force, by the local clock.
  TimePoint m_settingsConfirmedAt;
  ServiceTable m_services;
  /// Peers that returned after a partition and whose maps this host has not merged yet, with the
  /// time of their return. They may hold pins and bucket moves that this host does not.
  std::map<HostId, TimePoint> m_peersPendingMerge;
  /// The time since which all listed hosts are alive; TimePoint::max() while one is not.
  TimePoint m_allHostsAliveSince{ TimePoint::max() };
};

} // namespace tamarack::node
