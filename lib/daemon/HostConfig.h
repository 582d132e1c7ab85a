// The configuration file of one entry host, shared by its processes: who the host is and where its
// processes, the platform and a few other hosts are reached.
#pragma once

#include "base/Address.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <vector>

namespace tamarack::daemon {

/// Ports, the same on every host of a fleet.
struct HostPorts
{
  /// Datagrams with packets: from the fabric to hosts, from hosts to upstreams and callers.
  uint16_t m_packets{};
  /// Packets that hosts relay to each other.
  uint16_t m_relay{};
  /// Frames between balancers.
  uint16_t m_peers{};
  /// The operators' address of a balancer.
  uint16_t m_operators{};
  /// The settings process: state for local processes and peers, and its dump.
  uint16_t m_settings{};
  /// The operators' address of a probe process.
  uint16_t m_probe{};
  /// The health endpoint of upstreams.
  uint16_t m_health{};
};

struct HostConfig
{
  HostId m_self;
  Ipv4 m_address;
  std::string m_dataCentre;
  HostPorts m_ports;
  /// `address:port` of the platform's configuration service.
  std::string m_platform;
  /// Hosts to greet before a host list is known.
  std::vector<HostId> m_seeds;
};

/// Reads a configuration file. The error names every fault with its JSON path.
[[nodiscard]] absl::StatusOr<HostConfig>
readHostConfig(const std::string& aFile);

/// Reads the text of a configuration file.
[[nodiscard]] absl::StatusOr<HostConfig>
parseHostConfig(std::string_view aText);

} // namespace tamarack::daemon
