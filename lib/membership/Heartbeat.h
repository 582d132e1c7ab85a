// The header of every frame between two hosts, and the host list. A frame without a body serves as
// a heartbeat.
#pragma once

#include "base/Types.h"

#include <cstdint>
#include <string>
#include <vector>

namespace tamarack::membership {

/// The state of the sender, and acknowledgements of what it has received from the receiver.
struct Heartbeat
{
  HostId m_from;
  /// Increases with each restart of the sending host.
  uint32_t m_incarnation{};
  /// The sender's clock when it sent the frame.
  TimePoint m_sentAt;
  /// The highest m_sentAt that the sender has received from the receiver, on the receiver's clock;
  /// zero if none.
  TimePoint m_echo;
  /// The sender holds the bucket maps of all services.
  bool m_hasCompleteMap{};
  /// The sender has observed the fleet for long enough to own buckets and to coordinate services.
  bool m_viewStable{};
  /// The sender is shutting down as planned and hands over its buckets.
  bool m_leaving{};
  /// The sender has finished its handover and will not answer any more.
  bool m_left{};
  uint64_t m_settingsRevision{};
  /// The time since the platform confirmed the sender's settings, directly or through other hosts.
  Millis m_settingsAge{};
  /// The combined digest of all bucket maps of the sender.
  uint64_t m_mapDigest{};
  /// Services for which the sender votes for the receiver as coordinator, for kVoteLease.
  std::vector<ServiceId> m_votes;
  /// The epoch of the sender's channel to the receiver. This and the following fields are the state
  /// of channel::PeerChannel.
  uint32_t m_channelEpoch{};
  /// The receiver may renew its map lease only after it has received the bodies up to this sequence
  /// number.
  uint32_t m_leaseBarrier{};
  /// The epoch of the receiver's channel to which m_ack refers.
  uint32_t m_ackEpoch{};
  /// All bodies up to this sequence number have been received.
  uint32_t m_ack{};
};

/// An entry of the platform's host list.
struct ListedHost
{
  HostId m_host;
  std::string m_dataCentre;
  /// The host is shutting down as planned.
  bool m_leaving{};

  friend bool operator==(const ListedHost&, const ListedHost&) = default;
};

/// Hosts that the sender knows. The receiver contacts them and counts them as alive only after it
/// has received a heartbeat from them.
struct PeerExchange
{
  std::vector<ListedHost> m_hosts;
};

} // namespace tamarack::membership
