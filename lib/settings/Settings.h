// The accepted settings as typed data: data centres, services, upstreams and their limits.
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

/// A number that rises with every document that the platform publishes.
using Revision = uint64_t;

struct DataCentre
{
  std::string m_name;
  std::string m_region;
  /// Operators took the data centre out: it gets no packets.
  bool m_out{};
};

/// How an upstream is brought from cold to warm.
struct ColdStart
{
  Millis m_duration{};
  uint32_t m_newFlowsPerSecond{};
};

struct Limits
{
  uint32_t m_connections{};
  uint32_t m_slots{};
  ColdStart m_coldStart;
};

struct Upstream
{
  UpstreamId m_id;
  std::string m_name;
  Ipv4 m_address;
  std::string m_dataCentre;
  uint32_t m_generation{};
  /// Operators ask the upstream to leave: it keeps running flows and gets no new ones.
  bool m_draining{};
};

struct Service
{
  ServiceId m_id;
  std::string m_name;
  std::string m_team;
  Ipv4 m_address;
  packet::Protocol m_protocol{};
  std::vector<uint16_t> m_ports;
  std::vector<Upstream> m_upstreams;
  Limits m_limits;
  /// A power of two; it never changes while the service lives.
  uint32_t m_buckets{};
  Millis m_idleTimeout{};
};

/// One accepted state of everything. Immutable once built.
struct Settings
{
  Revision m_revision{};
  uint64_t m_seed{};
  std::map<std::string, DataCentre, std::less<>> m_dataCentres;
  std::vector<Service> m_services;

  [[nodiscard]] bool isOut(std::string_view aDataCentre) const;
  [[nodiscard]] const Service* findService(std::string_view aName) const;
};

using SettingsPtr = std::shared_ptr<const Settings>;

/// The identity of one generation of an upstream of a service.
[[nodiscard]] UpstreamId
makeUpstreamId(std::string_view aService,
               std::string_view aName,
               Ipv4 aAddress,
               uint32_t aGeneration);

/// The identity of a service.
[[nodiscard]] ServiceId
makeServiceId(std::string_view aName);

} // namespace tamarack::settings
