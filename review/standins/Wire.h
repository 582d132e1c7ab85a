// The packets of clients and endpoints, as PROTOCOL.md describes them.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace review {

inline constexpr uint8_t kSyn = 4;
inline constexpr uint8_t kFin = 16;
inline constexpr uint8_t kRst = 32;
inline constexpr uint8_t kAck = 64;
inline constexpr size_t kHeadBytes = 31;
inline constexpr size_t kIdentityBytes = 8;

/// The two ends of a flow, as its client writes them.
struct FlowKey
{
  uint32_t m_client{};
  uint16_t m_clientPort{};
  uint32_t m_route{};
  uint16_t m_routePort{};

  friend bool operator<(const FlowKey& aLeft, const FlowKey& aRight)
  {
    return std::tie(aLeft.m_client, aLeft.m_clientPort, aLeft.m_route, aLeft.m_routePort) <
           std::tie(aRight.m_client, aRight.m_clientPort, aRight.m_route, aRight.m_routePort);
  }
};

struct Packet
{
  uint32_t m_source{};
  uint16_t m_sourcePort{};
  uint32_t m_destination{};
  uint16_t m_destinationPort{};
  uint8_t m_flags{};
  uint32_t m_sequence{};
  uint32_t m_acknowledged{};
  uint32_t m_echo{};
  std::string m_data;
  /// The sum that arrived; ignored when a packet is built.
  uint32_t m_sum{};
  /// The sum is the one that an end of the flow computes.
  bool m_isGenuine{};

  [[nodiscard]] bool has(uint8_t aFlag) const { return (m_flags & aFlag) != 0; }
  /// The flow of a packet that a client sent, or that goes to a client.
  [[nodiscard]] FlowKey flowFromClient() const
  {
    return { m_source, m_sourcePort, m_destination, m_destinationPort };
  }
  [[nodiscard]] FlowKey flowToClient() const
  {
    return { m_destination, m_destinationPort, m_source, m_sourcePort };
  }
};

[[nodiscard]] std::string
buildPacket(const Packet& aPacket);

/// Returns nothing for bytes that are no packet.
[[nodiscard]] std::optional<Packet>
parsePacket(std::string_view aBytes);

[[nodiscard]] uint64_t
readIdentity(std::string_view aBytes);

/// Formats an address in host byte order.
[[nodiscard]] std::string
formatAddress(uint32_t aAddress);

/// A mixing hash for rendezvous hashing and sums.
[[nodiscard]] uint64_t
mix(uint64_t aLeft, uint64_t aRight);

} // namespace review
