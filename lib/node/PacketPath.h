// The packet path: decides for each packet whether it is forwarded, relayed, retried or refused.
// In the common case, a bucket in the Stable phase on a host with a map lease, this takes three
// look-ups and no per-flow state.
#pragma once

#include "node/NodeContext.h"
#include "packet/Packet.h"

#include <absl/container/flat_hash_map.h>

namespace tamarack::node {

/// A packet that hosts have relayed more often than this is refused.
inline constexpr uint8_t kMaxHops = 3;
/// A packet with the verdict Retry is decided again after this time.
inline constexpr Millis kRetryDelay{ 120 };
/// The maximum number of Retry verdicts for one packet.
inline constexpr uint8_t kMaxRetries = 10;
/// While the settings are not fresh, packets go only to upstreams whose identity a probe has
/// confirmed within this time.
inline constexpr Millis kIdentityConfirmationLifetime{ 2000 };
/// A SYN for a pinned flow that has been idle for longer than this opens a new flow.
inline constexpr Millis kFlowReopenDelay{ 5000 };
/// For this long after it became the owner of a bucket, a host cannot rule out that an earlier SYN
/// of a flow reached an upstream, so it does not answer that a flow was not run.
inline constexpr Millis kRefusalGrace{ 4000 };
/// A pin expires this long after a packet that ends its flow.
inline constexpr Millis kClosedFlowLinger{ 4000 };

enum class Verdict : uint8_t
{
  /// Send the packet to the upstream's address.
  Forward,
  /// Send the packet to another host with the hop count incremented.
  Relay,
  /// Decide again after kRetryDelay.
  Retry,
  /// Do not send the packet on; answer the caller as the error kind prescribes.
  Refuse,
};

struct Decision
{
  Verdict m_verdict{ Verdict::Refuse };
  /// Set for Refuse and Retry.
  ErrorKind m_error{ ErrorKind::NoSuchService };
  ServiceId m_service;
  uint16_t m_bucket{};
  /// Set for Forward, together with m_address.
  UpstreamId m_upstream;
  Ipv4 m_address;
  /// Set for Relay.
  HostId m_relayTo;
};

/// The parsed headers of a packet and how it reached this host.
struct PacketArrival
{
  packet::PacketMeta m_meta;
  /// How many hosts have relayed the packet.
  uint8_t m_hops{};
  /// How often this host has decided the packet before.
  uint8_t m_attempts{};
  /// The service to which the relaying host matched the packet; zero if it came from the fabric.
  ServiceId m_relayedService;
};

class PacketPath
{
public:
  explicit PacketPath(NodeContext& aContext)
    : m_context(aContext)
  {
  }

  /// Must be called after each change of the settings or of the set of services.
  void rebuildIndex();
  /// While decisions are held, all packets are refused. A host holds its decisions after a pause,
  /// until it has received the current state from a peer.
  void setDecisionsHeld(bool aHeld) { m_areDecisionsHeld = aHeld; }
  [[nodiscard]] bool areDecisionsHeld() const { return m_areDecisionsHeld; }

  [[nodiscard]] Decision decide(TimePoint aNow, const PacketArrival& aArrival);
  [[nodiscard]] const ServiceState* serviceOf(const packet::FlowKey& aFlow) const;

private:
  /// The flow of the packet that is being decided.
  struct Flow
  {
    FlowId m_id;
    uint16_t m_bucket{};
    /// The packet opens the flow.
    bool m_opens{};
    /// The packet ends the flow.
    bool m_ends{};
  };

  /// The packet belongs to a running flow without a pin here, and a peer that returned from a
  /// partition may hold a pin or a bucket move for it.
  bool mustWaitForMerge(TimePoint aNow, ServiceState& aService, Flow aFlow) const;
  /// Decides for a bucket in the Stable phase.
  Decision decideStable(TimePoint aNow,
                        const PacketArrival& aArrival,
                        ServiceState& aService,
                        Flow aFlow);
  /// Decides for a bucket in another phase that this host owns.
  Decision decideAsOwner(TimePoint aNow,
                         const PacketArrival& aArrival,
                         ServiceState& aService,
                         Flow aFlow);
  Decision decidePinned(TimePoint aNow, ServiceState& aService, Flow aFlow, mapping::Pin& aPin);
  /// Decides for a running flow without a pin: it goes to the base upstream and is recorded as a
  /// learned pin if there is room.
  Decision decideUnpinned(TimePoint aNow, ServiceState& aService, Flow aFlow);
  /// Chooses the upstream of a new flow and pins the flow to it.
  Decision admitNewFlow(TimePoint aNow,
                        const PacketArrival& aArrival,
                        ServiceState& aService,
                        Flow aFlow);
  Decision relayToOwner(TimePoint aNow,
                        const PacketArrival& aArrival,
                        ServiceState& aService,
                        Flow aFlow);
  Decision forward(TimePoint aNow, ServiceState& aService, Flow aFlow, UpstreamId aUpstream);
  Decision relay(const ServiceState& aService, Flow aFlow, HostId aHost) const;
  Decision refuse(const ServiceState& aService, Flow aFlow, ErrorKind aKind) const;
  /// Returns Retry up to kMaxRetries times for a packet, then Refuse.
  Decision retryOrRefuse(const PacketArrival& aArrival,
                         const ServiceState& aService,
                         Flow aFlow,
                         ErrorKind aKind) const;
  /// Whether a new flow may go to the upstream. Uses up a grant if the upstream is metered.
  bool tryAdmit(TimePoint aNow, ServiceState& aService, UpstreamId aUpstream);
  Decision refuseForCapacity(TimePoint aNow,
                             const PacketArrival& aArrival,
                             const ServiceState& aService,
                             Flow aFlow) const;
  /// Returns a zero upstream if none accepts the flow.
  UpstreamId chooseUpstream(TimePoint aNow, ServiceState& aService, Flow aFlow);
  /// Returns false if the pin table is full.
  bool pinFlow(TimePoint aNow, ServiceState& aService, Flow aFlow, UpstreamId aUpstream);
  /// Chooses an alive peer that holds bucket maps; zero if there is none.
  HostId pickRelayHost(uint16_t aBucket) const;

  NodeContext& m_context;
  bool m_areDecisionsHeld{};
  /// Services by address, port and protocol, packed by indexKey.
  absl::flat_hash_map<uint64_t, ServiceState*> m_index;
};

} // namespace tamarack::node
