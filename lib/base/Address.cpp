// Parses and formats IPv4 addresses with inet_pton and inet_ntop.
#include "base/Address.h"

#include <arpa/inet.h>
#include <charconv>

namespace tamarack {

bool
Ipv4Network::contains(Ipv4 aAddress) const
{
  if (m_prefix == 0) {
    return true;
  }
  const uint32_t mask = ~uint32_t{ 0 } << (32U - m_prefix);
  return (aAddress.m_value & mask) == (m_address.m_value & mask);
}

std::optional<Ipv4>
parseIpv4(std::string_view aText)
{
  in_addr parsed{};
  if (inet_pton(AF_INET, std::string(aText).c_str(), &parsed) != 1) {
    return std::nullopt;
  }
  return Ipv4{ ntohl(parsed.s_addr) };
}

std::optional<Ipv4Network>
parseIpv4Network(std::string_view aText)
{
  const size_t slash = aText.find('/');
  if (slash == std::string_view::npos) {
    return std::nullopt;
  }
  const auto address = parseIpv4(aText.substr(0, slash));
  const std::string_view digits = aText.substr(slash + 1);
  uint8_t prefix = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), prefix);
  if (!address || error != std::errc{} || end != digits.data() + digits.size() || prefix > 32) {
    return std::nullopt;
  }
  return Ipv4Network{ *address, prefix };
}

std::string
formatIpv4(Ipv4 aAddress)
{
  const in_addr raw{ htonl(aAddress.m_value) };
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &raw, text, sizeof(text));
  return text;
}

std::string
formatHost(HostId aHost)
{
  return formatIpv4(Ipv4{ aHost.m_value });
}

} // namespace tamarack
