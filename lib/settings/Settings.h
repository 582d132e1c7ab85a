// The settings in force as typed data: data centres, services, upstreams and their limits.
#pragma once

#include "base/Address.h"
#include "base/Types.h"
#include "packet/Packet.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack::settings {

/// The revision of a published document. The platform increases it with every document.
using Revision = uint64_t;

struct DataCentre
{
  std::string m_name;
  std::string m_region;
  /// Operators took the data centre out of service: its upstreams get no packets.
  bool m_out{};
};

/// Slow start: an upstream that has just started gets new flows at a limited rate for a time.
struct ColdStart
{
  /// How long the rate is limited.
  Millis m_duration{};
  uint32_t m_newFlowsPerSecond{};
};

/// The capacity of each upstream of a pool.
struct Limits
{
  /// The number of open connections.
  uint32_t m_connections{};
  /// The number of requests that the upstream processes at the same time.
  uint32_t m_slots{};
  ColdStart m_coldStart;
};

struct Upstream
{
  UpstreamId m_id;
  std::string m_name;
  Ipv4 m_address;
  std::string m_dataCentre;
  /// Increased when a new upstream takes over the name and address of a former one.
  uint32_t m_generation{};
  /// Operators are draining the upstream: it keeps its established flows and gets no new ones.
  bool m_draining{};
};

struct Service
{
  ServiceId m_id;
  std::string m_name;
  /// The team that owns the service.
  std::string m_team;
  /// The virtual IP address of the service.
  Ipv4 m_address;
  packet::Protocol m_protocol{};
  std::vector<uint16_t> m_ports;
  std::vector<Upstream> m_upstreams;
  Limits m_limits;
  /// The number of hash buckets that flows are assigned to. A power of two; it must not change
  /// during the life of the service.
  uint32_t m_buckets{};
  /// A flow without packets for this time has ended.
  Millis m_idleTimeout{};
};

/// All settings in force at one time. Immutable once built.
struct Settings
{
  Revision m_revision{};
  /// The seed of the flow hash; the same on all hosts.
  uint64_t m_seed{};
  std::map<std::string, DataCentre, std::less<>> m_dataCentres;
  std::vector<Service> m_services;

  /// Whether the data centre is out of service. Also true for a data centre that is not in the
  /// settings.
  [[nodiscard]] bool isDataCentreOut(std::string_view aDataCentre) const;
  /// Returns null if there is no service of this name.
  [[nodiscard]] const Service* findService(std::string_view aName) const;
};

using SettingsPtr = std::shared_ptr<const Settings>;

/// The ID of one generation of an upstream: a 32-bit hash of the arguments.
[[nodiscard]] UpstreamId
makeUpstreamId(std::string_view aService,
               std::string_view aName,
               Ipv4 aAddress,
               uint32_t aGeneration);

/// The ID of a service: a 32-bit hash of its name.
[[nodiscard]] ServiceId
makeServiceId(std::string_view aName);

} // namespace tamarack::settings
