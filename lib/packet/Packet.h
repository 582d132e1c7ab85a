// Views of IPv4 packets as they cross the fabric, and the reset that ends a TCP flow. Parsing never
// reads past the view and never allocates.
#pragma once

#include "base/Address.h"
#include "base/Errors.h"

#include <cstdint>
#include <span>
#include <variant>
#include <vector>

namespace tamarack::packet {

enum class Protocol : uint8_t
{
  Tcp = 6,
  Udp = 17,
};

/// The five-tuple of a flow as the caller writes it.
struct FlowKey
{
  Ipv4 m_source;
  Ipv4 m_destination;
  uint16_t m_sourcePort{};
  uint16_t m_destinationPort{};
  Protocol m_protocol{ Protocol::Tcp };

  friend auto operator<=>(const FlowKey&, const FlowKey&) = default;
};

/// What the decision code needs to know of one packet.
struct PacketMeta
{
  FlowKey m_flow;
  /// TCP SYN without ACK.
  bool m_opensFlow{};
  /// TCP FIN or RST.
  bool m_endsFlow{};
  /// The packet is an ICMP error about the flow; it follows the flow.
  bool m_isIcmpError{};
};

/// The seeded hash that names a flow.
[[nodiscard]] FlowId
flowId(const FlowKey& aFlow, uint64_t aSeed);

/// Reads one IPv4 packet. An ICMP error is read as a packet of the flow that it is about.
[[nodiscard]] std::variant<PacketMeta, ErrorKind>
parsePacket(std::span<const uint8_t> aPacket);

/// Builds the TCP reset that answers a packet of a caller; empty for UDP and for resets.
[[nodiscard]] std::vector<uint8_t>
buildReset(std::span<const uint8_t> aPacket);

/// Fields of a TCP or UDP packet to build.
struct PacketOptions
{
  FlowKey m_flow;
  uint32_t m_sequence{};
  uint32_t m_acknowledgement{};
  uint8_t m_tcpFlags{};
  std::span<const uint8_t> m_payload{};
};

/// Builds a whole IPv4 packet with valid checksums.
[[nodiscard]] std::vector<uint8_t>
buildPacket(const PacketOptions& aOptions);

} // namespace tamarack::packet
