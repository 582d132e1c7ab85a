// Builds and parses packets: a head of 31 bytes, big-endian, and the data.
#include "Wire.h"

namespace review {

namespace {

/// The key of the sum. Only the ends of a flow know it.
constexpr uint64_t kSumKey = 0x5eed5eed1234;

void
put(std::string& aBytes, uint64_t aValue, int aWidth)
{
  for (int shift = 8 * (aWidth - 1); shift >= 0; shift -= 8) {
    aBytes += static_cast<char>(aValue >> shift & 0xff);
  }
}

uint64_t
get(std::string_view aBytes, size_t aOffset, int aWidth)
{
  uint64_t value = 0;
  for (int index = 0; index < aWidth; ++index) {
    value = value << 8 | static_cast<uint8_t>(aBytes[aOffset + static_cast<size_t>(index)]);
  }
  return value;
}

/// The sum covers all fields but the echo, and the data.
uint32_t
sumOf(const Packet& aPacket)
{
  uint64_t sum = mix(kSumKey, aPacket.m_flags);
  sum = mix(sum, uint64_t{ aPacket.m_source } << 16 | aPacket.m_sourcePort);
  sum = mix(sum, uint64_t{ aPacket.m_destination } << 16 | aPacket.m_destinationPort);
  sum = mix(sum, uint64_t{ aPacket.m_sequence } << 32 | aPacket.m_acknowledged);
  sum = mix(sum, aPacket.m_data.size());
  for (const char byte : aPacket.m_data) {
    sum = mix(sum, static_cast<uint8_t>(byte));
  }
  // 0 marks a reset of the system.
  return static_cast<uint32_t>(sum | 1);
}

} // namespace

uint64_t
mix(uint64_t aLeft, uint64_t aRight)
{
  uint64_t value = aLeft ^ (aRight + 0x9e3779b97f4a7c15 + (aLeft << 6) + (aLeft >> 2));
  value = (value ^ value >> 30) * 0xbf58476d1ce4e5b9;
  value = (value ^ value >> 27) * 0x94d049bb133111eb;
  return value ^ value >> 31;
}

std::string
buildPacket(const Packet& aPacket)
{
  std::string bytes;
  put(bytes, sumOf(aPacket), 4);
  put(bytes, aPacket.m_flags, 1);
  put(bytes, aPacket.m_source, 4);
  put(bytes, aPacket.m_destinationPort, 2);
  put(bytes, aPacket.m_sourcePort, 2);
  put(bytes, aPacket.m_destination, 4);
  put(bytes, aPacket.m_sequence, 4);
  put(bytes, aPacket.m_acknowledged, 4);
  put(bytes, aPacket.m_data.size(), 2);
  put(bytes, aPacket.m_echo, 4);
  return bytes + aPacket.m_data;
}

std::optional<Packet>
parsePacket(std::string_view aBytes)
{
  if (aBytes.size() < kHeadBytes || aBytes.size() != kHeadBytes + get(aBytes, 25, 2)) {
    return std::nullopt;
  }
  Packet packet{ .m_source = static_cast<uint32_t>(get(aBytes, 5, 4)),
                 .m_sourcePort = static_cast<uint16_t>(get(aBytes, 11, 2)),
                 .m_destination = static_cast<uint32_t>(get(aBytes, 13, 4)),
                 .m_destinationPort = static_cast<uint16_t>(get(aBytes, 9, 2)),
                 .m_flags = static_cast<uint8_t>(aBytes[4]),
                 .m_sequence = static_cast<uint32_t>(get(aBytes, 17, 4)),
                 .m_acknowledged = static_cast<uint32_t>(get(aBytes, 21, 4)),
                 .m_echo = static_cast<uint32_t>(get(aBytes, 27, 4)),
                 .m_data = std::string(aBytes.substr(kHeadBytes)),
                 .m_sum = static_cast<uint32_t>(get(aBytes, 0, 4)) };
  packet.m_isGenuine = packet.m_sum == sumOf(packet);
  return packet;
}

uint64_t
readIdentity(std::string_view aBytes)
{
  return get(aBytes, 0, kIdentityBytes);
}

std::string
formatAddress(uint32_t aAddress)
{
  return std::to_string(aAddress >> 24) + "." + std::to_string(aAddress >> 16 & 0xff) + "." +
         std::to_string(aAddress >> 8 & 0xff) + "." + std::to_string(aAddress & 0xff);
}

} // namespace review
