// The bucket, which is the unit of flow assignment, and the messages that replicate bucket maps and
// flow pins between hosts.
//
// Every flow of a service hashes to one bucket, and a bucket maps to an upstream. To move a bucket
// to another upstream without breaking its running flows, an owner host keeps a pin (flow to
// upstream) for each flow that does not go where the bucket now points. One host per service, the
// coordinator, writes the buckets; dumps and events call it the decider.
#pragma once

#include "base/Types.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace tamarack::mapping {

/// The phase of a bucket's move from one upstream to another, in the order in which a move passes
/// through them. In every phase but Stable all hosts relay the bucket's packets to its owner.
enum class Phase : uint8_t
{
  /// No move is in progress: m_base == m_current, and each host forwards to m_base without an
  /// owner.
  Stable,
  /// The move is announced. The owner still sends new flows to m_base, because hosts that have not
  /// received the announcement forward to m_base themselves.
  Prepare,
  /// The owner pins new flows to m_current. Flows without a pin go to m_base.
  Moving,
  /// m_base has been set to m_current. The owner keeps the pins of flows that run on other
  /// upstreams until these flows end.
  Pinned,
};

/// A Lamport timestamp that orders the changes of a bucket. The higher counter wins, then the
/// higher host, so that all hosts resolve concurrent changes alike.
struct BucketVersion
{
  uint32_t m_counter{};
  /// The host that made the change.
  HostId m_coordinator;

  friend auto operator<=>(const BucketVersion&, const BucketVersion&) = default;
};

struct Bucket
{
  /// Receives the flows that have no pin.
  UpstreamId m_base;
  /// The target of the move: receives the new flows in Moving. Equal to m_base in Stable and
  /// Pinned.
  UpstreamId m_current;
  /// The host that holds the pins and forwards the bucket's packets. Zero if and only if m_phase is
  /// Stable.
  HostId m_owner;
  /// The host that holds copies of the owner's pins; zero if no second host is available.
  HostId m_replica;
  BucketVersion m_version;
  Phase m_phase{ Phase::Stable };

  friend auto operator<=>(const Bucket&, const Bucket&) = default;
};

/// The buckets of a map that have the same value.
struct BucketGroup
{
  Bucket m_value;
  /// Bucket indices in ascending order.
  std::vector<uint16_t> m_buckets;
};

/// Changed buckets of a service's map, or a snapshot of the map.
struct MapDelta
{
  ServiceId m_service;
  /// The message contains every bucket of the map.
  bool m_isSnapshot{};
  std::vector<BucketGroup> m_groups;
};

/// Requests map snapshots of the listed services, or of all services if the list is empty.
struct MapRequest
{
  std::vector<ServiceId> m_services;
};

/// The digests of the sender's maps, so that a peer can send the maps that differ (anti-entropy).
struct MapDigests
{
  struct Entry
  {
    ServiceId m_service;
    uint64_t m_digest{};
  };
  std::vector<Entry> m_entries;
  /// The message ends a response: every map that the receiver lacked precedes it in the channel.
  bool m_completesSync{};
};

/// Flows that are pinned to one upstream. The bucket of a flow is computed from its identity.
struct PinGroup
{
  UpstreamId m_upstream;
  std::vector<FlowId> m_flows;
};

/// Pins of a service, sent by an owner to the replica or to the new owner of their buckets.
struct PinBatch
{
  ServiceId m_service;
  std::vector<PinGroup> m_groups;
  /// Flows whose pins the owner has deleted.
  std::vector<FlowId> m_removed;
  /// Buckets that the sender no longer owns and all of whose pins it has sent.
  std::vector<uint16_t> m_handedOver;
};

/// An owner reports to the coordinator the buckets whose phase is complete.
struct BucketReport
{
  ServiceId m_service;
  /// Bucket indices. A Moving bucket is complete when all running flows have pins at the owner and
  /// the replica, a Pinned bucket when no pin is left.
  std::vector<uint16_t> m_completed;
  /// The version counters of the buckets in m_completed, in the same order. The coordinator ignores
  /// a bucket that has changed since.
  std::vector<uint32_t> m_counters;
};

} // namespace tamarack::mapping
