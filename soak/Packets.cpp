// The head's layout is written by hand, so that a mistake of the product's codec shows.
#include "Packets.h"

namespace soak {

namespace {

void
write16(std::span<uint8_t> aBytes, size_t aAt, uint16_t aValue)
{
  aBytes[aAt] = static_cast<uint8_t>(aValue >> 8);
  aBytes[aAt + 1] = static_cast<uint8_t>(aValue);
}

} // namespace

asio::ip::udp::endpoint
udp(uint32_t aAddress, uint16_t aPort)
{
  return { asio::ip::address_v4(aAddress), aPort };
}

void
write32(std::span<uint8_t> aBytes, size_t aAt, uint32_t aValue)
{
  write16(aBytes, aAt, static_cast<uint16_t>(aValue >> 16));
  write16(aBytes, aAt + 2, static_cast<uint16_t>(aValue));
}

uint32_t
read32(std::span<const uint8_t> aBytes, size_t aAt)
{
  uint32_t value = 0;
  for (size_t index = 0; index < 4; ++index) {
    value = value << 8 | aBytes[aAt + index];
  }
  return value;
}

uint32_t
checksum(std::span<const uint8_t> aPacket)
{
  uint32_t sum = 2166136261;
  for (size_t index = 4; index < aPacket.size(); ++index) {
    if (index < 27 || index >= kHead) {
      sum = (sum ^ aPacket[index]) * 16777619;
    }
  }
  return sum == 0 ? 1 : sum;
}

std::vector<uint8_t>
build(const Fields& aFields)
{
  std::vector<uint8_t> bytes(kHead + aFields.m_data.size());
  bytes[4] = aFields.m_flags;
  write32(bytes, 5, aFields.m_flow.m_source.m_value);
  write16(bytes, 9, aFields.m_flow.m_destinationPort);
  write16(bytes, 11, aFields.m_flow.m_sourcePort);
  write32(bytes, 13, aFields.m_flow.m_destination.m_value);
  write32(bytes, 17, aFields.m_sequence);
  write32(bytes, 21, aFields.m_acknowledged);
  write16(bytes, 25, static_cast<uint16_t>(aFields.m_data.size()));
  write32(bytes, 27, aFields.m_echo);
  std::copy(aFields.m_data.begin(), aFields.m_data.end(), bytes.begin() + kHead);
  write32(bytes, kSumAt, checksum(bytes));
  return bytes;
}

} // namespace soak
