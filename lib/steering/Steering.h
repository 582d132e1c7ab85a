// Interface between the packet path of a host and its steering method. With token-based steering,
// both ends of a flow echo a token that identifies the upstream, so any host can forward any packet
// without shared state. With bucket-based steering (node::Node), the ends echo nothing, and the
// hosts agree on an assignment of hash buckets of flows.
#pragma once

#include "base/Errors.h"
#include "base/Types.h"
#include "packet/Packet.h"

#include <concepts>

namespace tamarack::steering {

/// Identifies one process instance of an upstream. Every host computes the same token from the
/// registry record, without coordination; 0 means no upstream.
using Token = StrongId<struct TokenTag, uint32_t>;

/// The fields of a packet from a caller that token-based steering uses.
struct FlowPacket
{
  packet::FlowKey m_flow;
  /// A SYN, first or retransmitted.
  bool m_isSyn{};
  /// The packet has the FIN or RST flag.
  bool m_isFinOrRst{};
  /// Number of times the caller sent the SYN before this packet; 0 for other packets.
  uint32_t m_synRetransmissions{};
  uint32_t m_sequence{};
  uint32_t m_acknowledged{};
  uint16_t m_length{};
  /// The token that the caller last received on this flow; 0 if none.
  Token m_token;
};

enum class Action : uint8_t
{
  Forward,
  /// Answer the caller with a TCP reset.
  Reset,
  Drop,
};

struct ForwardingDecision
{
  Action m_action{ Action::Drop };
  /// Cause of a Reset or Drop; meaningless for Forward.
  ErrorKind m_error{ ErrorKind::TokenUnknown };
  /// Destination of a Forward; meaningless otherwise.
  Token m_token;
  uint64_t m_identity{};
  Ipv4 m_address;
  uint16_t m_port{};
};

/// A steering method for packets whose ends echo a token.
template<typename Policy>
concept TokenSteeringPolicy = requires(Policy& aPolicy, TimePoint aNow, const FlowPacket& aPacket)
{
  {
    aPolicy.decide(aNow, aPacket)
    } -> std::same_as<ForwardingDecision>;
};

} // namespace tamarack::steering
