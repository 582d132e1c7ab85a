// The settings of the edge process: the identity and the addresses of the host, and the addresses
// of the store and of other hosts.
#pragma once

#include "base/Address.h"
#include "base/Mechanisms.h"

#include <absl/status/statusor.h>
#include <string>
#include <vector>

namespace tamarack::edge {

struct Endpoint
{
  Ipv4 m_address;
  uint16_t m_port{};

  friend bool operator==(const Endpoint&, const Endpoint&) = default;
};

struct EdgeSettings
{
  std::string m_host;
  std::string m_dataCentre;
  /// Receives the datagrams that carry packets. Packets to callers are sent to the same port
  /// number.
  Endpoint m_packetEndpoint;
  Endpoint m_readinessEndpoint;
  std::string m_readinessPath;
  /// HTTP/2 server: differences for other hosts, dumps and explanations for operators.
  Endpoint m_controlEndpoint;
  Endpoint m_metricsEndpoint;
  /// Port of the datagrams between hosts; the same on all hosts.
  uint16_t m_peerPort{};
  Endpoint m_storeEndpoint;
  /// Hosts to contact first after the start, to learn of the others.
  std::vector<HostId> m_seeds;
  /// Processor share of the host, in cores.
  double m_cpuShare{ 1.0 };
  /// Time from the stop signal until the process is killed.
  Millis m_stopLimit{};
  /// The limit of new flows to cold upstreams of a service, which holds for all hosts together, is
  /// multiplied by m_coldFactor; m_coldSlack flows per second are added.
  double m_coldFactor{ 1.0 };
  double m_coldSlack{};
  /// Number of flows that are remembered to recognise retransmitted packets.
  size_t m_flowTableCapacity{};
  /// A change takes effect only after a restart.
  Mechanisms m_mechanisms;

  friend bool operator==(const EdgeSettings&, const EdgeSettings&) = default;
};

/// Parses the text of a settings file. The error lists every fault with its JSON path.
[[nodiscard]] absl::StatusOr<EdgeSettings>
parseEdgeSettings(std::string_view aText);

} // namespace tamarack::edge
