// IPv4 addresses and networks, with parsing and formatting in the notation of the settings files.
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

/// An IPv4 network in CIDR notation, `address/prefix`.
struct Ipv4Network
{
  Ipv4 m_address;
  /// Prefix length in bits, 0 to 32.
  uint8_t m_prefix{};

  [[nodiscard]] bool contains(Ipv4 aAddress) const;
};

/// Parses dotted-decimal `a.b.c.d`. Returns nullopt for any other text.
[[nodiscard]] std::optional<Ipv4>
parseIpv4(std::string_view aText);

/// Parses `a.b.c.d/n` with n from 0 to 32. Returns nullopt for any other text.
[[nodiscard]] std::optional<Ipv4Network>
parseIpv4Network(std::string_view aText);

/// Formats an address as `a.b.c.d`.
[[nodiscard]] std::string
formatIpv4(Ipv4 aAddress);

/// Formats a host as the IPv4 address of its control interface.
[[nodiscard]] std::string
formatHost(HostId aHost);

} // namespace tamarack
