// IPv4 addresses and networks as the settings write them.
#pragma once

#include "base/Types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tamarack {

/// An IPv4 address in host byte order.
struct Ipv4
{
  uint32_t m_value{};

  friend auto operator<=>(const Ipv4&, const Ipv4&) = default;
};

/// An IPv4 network, `address/prefix`.
struct Ipv4Network
{
  Ipv4 m_address;
  uint8_t m_prefix{};

  [[nodiscard]] bool contains(Ipv4 aAddress) const;
};

/// Reads `a.b.c.d`; nothing else is accepted.
[[nodiscard]] std::optional<Ipv4>
parseIpv4(std::string_view aText);

/// Reads `a.b.c.d/n`.
[[nodiscard]] std::optional<Ipv4Network>
parseIpv4Network(std::string_view aText);

/// Writes `a.b.c.d`.
[[nodiscard]] std::string
formatIpv4(Ipv4 aAddress);

/// Writes a host as its address.
[[nodiscard]] std::string
formatHost(HostId aHost);

} // namespace tamarack
