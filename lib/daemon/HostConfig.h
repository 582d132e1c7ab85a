// The configuration file of one load balancer host, which all its processes read: the identity of
// the host, and the addresses and ports of its processes, the platform and the seed hosts.
#pragma once

#include "base/Address.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <vector>

namespace tamarack::daemon {

/// Port numbers. They must be the same on every host of a deployment.
struct HostPorts
{
  /// UDP: packets, one in each datagram, from the fabric to hosts and from hosts to upstreams and
  /// callers.
  uint16_t m_packets{};
  /// UDP: packets that one host relays to another.
  uint16_t m_relay{};
  /// TCP: frames between balancer processes.
  uint16_t m_peers{};
  /// TCP: administrative endpoint of the balancer process (dump, explain, probe targets and
  /// reports).
  uint16_t m_operators{};
  /// TCP: the settings process, which serves settings and the host list to local processes and
  /// peers, and its own dump to operators.
  uint16_t m_settings{};
  /// TCP: administrative endpoint of the probe process (dump).
  uint16_t m_probe{};
  /// TCP: health endpoint of the upstreams.
  uint16_t m_health{};
};

struct HostConfig
{
  /// The numeric value of m_address.
  HostId m_self;
  Ipv4 m_address;
  std::string m_dataCentre;
  HostPorts m_ports;
  /// `address:port` of the platform's configuration service.
  std::string m_platform;
  /// Hosts that are contacted before the first host list has been received.
  std::vector<HostId> m_seeds;
};

/// Reads and parses a configuration file. The error message lists every fault with its JSON path.
[[nodiscard]] absl::StatusOr<HostConfig>
readHostConfig(const std::string& aFile);

/// Parses the content of a configuration file.
[[nodiscard]] absl::StatusOr<HostConfig>
parseHostConfig(std::string_view aText);

} // namespace tamarack::daemon
