// Parses IPv4 packets as they cross the fabric, and builds TCP, UDP and TCP reset packets. Parsing
// never reads past the end of the given bytes and allocates no memory.
#pragma once

#include "base/Address.h"
#include "base/Errors.h"

#include <cstdint>
#include <span>
#include <variant>
#include <vector>

namespace tamarack::packet {

/// Transport protocols that are load-balanced, with their IANA protocol numbers.
enum class Protocol : uint8_t
{
  Tcp = 6,
  Udp = 17,
};

/// The five-tuple of a flow, in the direction from the caller to the address of the service. In
/// PacketOptions the source is the sender of the packet, which may be either end.
struct FlowKey
{
  Ipv4 m_source;
  Ipv4 m_destination;
  uint16_t m_sourcePort{};
  uint16_t m_destinationPort{};
  Protocol m_protocol{ Protocol::Tcp };

  friend auto operator<=>(const FlowKey&, const FlowKey&) = default;
};

/// The properties of one packet on which forwarding decisions are based.
struct PacketMeta
{
  FlowKey m_flow;
  /// TCP SYN without ACK.
  bool m_opensFlow{};
  /// TCP FIN or RST.
  bool m_endsFlow{};
  /// The packet is an ICMP error message. m_flow is the flow that it refers to, so that the error
  /// is forwarded like a packet of that flow.
  bool m_isIcmpError{};
};

/// Hashes a five-tuple with the given seed. The result identifies the flow.
[[nodiscard]] FlowId
flowId(const FlowKey& aFlow, uint64_t aSeed);

/// Parses one IPv4 packet. An ICMP error message is attributed to the flow of the packet that it
/// quotes.
[[nodiscard]] std::variant<PacketMeta, ErrorKind>
parsePacket(std::span<const uint8_t> aPacket);

/// Builds the TCP reset that answers a packet of a caller. Returns an empty vector if the packet
/// cannot be parsed, is not TCP or is itself a reset.
[[nodiscard]] std::vector<uint8_t>
buildReset(std::span<const uint8_t> aPacket);

/// Header fields and payload of a TCP or UDP packet to build.
struct PacketOptions
{
  FlowKey m_flow;
  uint32_t m_sequence{};
  uint32_t m_acknowledgement{};
  uint8_t m_tcpFlags{};
  std::span<const uint8_t> m_payload{};
};

/// Builds a complete IPv4 packet with valid checksums.
[[nodiscard]] std::vector<uint8_t>
buildPacket(const PacketOptions& aOptions);

} // namespace tamarack::packet
