// Packets as callers and upstreams of the soak write and check them.
#pragma once

#include "platform/PacketHeader.h"

#include <asio.hpp>

#include <span>
#include <vector>

namespace soak {

inline constexpr uint8_t kOpens = 4;
inline constexpr uint8_t kFinishes = 16;
inline constexpr uint8_t kResets = 32;
inline constexpr uint8_t kAcknowledges = 64;
inline constexpr size_t kHead = tamarack::platform::PacketHeader::kBytes;
/// Where the sender's checksum stands; a reset by an entry host has none.
inline constexpr size_t kSumAt = 0;

struct Fields
{
  uint8_t m_flags{};
  tamarack::packet::FlowKey m_flow;
  uint32_t m_sequence{};
  uint32_t m_acknowledged{};
  uint32_t m_echo{};
  std::vector<uint8_t> m_data;
};

[[nodiscard]] std::vector<uint8_t>
build(const Fields& aFields);

/// Of all bytes but the token, which the system may change.
[[nodiscard]] uint32_t
checksum(std::span<const uint8_t> aPacket);

void
write32(std::span<uint8_t> aBytes, size_t aAt, uint32_t aValue);

[[nodiscard]] uint32_t
read32(std::span<const uint8_t> aBytes, size_t aAt);

[[nodiscard]] asio::ip::udp::endpoint
udp(uint32_t aAddress, uint16_t aPort);

} // namespace soak
