// Parsing and validation of the host configuration file.
#include "daemon/HostConfig.h"

#include "program/Program.h"
#include "settings/FieldReader.h"

namespace tamarack::daemon {

namespace {

using settings::FieldReader;
using settings::ValidationError;

constexpr settings::NumberRange kPortRange{ 1, 65535 };

HostPorts
readPorts(const settings::Json& aJson, std::vector<ValidationError>& aFaults)
{
  FieldReader reader(aJson, "/ports", aFaults);
  const auto port = [&](std::string_view aName) {
    return static_cast<uint16_t>(reader.number(aName, kPortRange));
  };
  const HostPorts ports{ .m_packets = port("packets"),
                         .m_relay = port("relay"),
                         .m_peers = port("peers"),
                         .m_operators = port("operators"),
                         .m_settings = port("settings"),
                         .m_probe = port("probe"),
                         .m_health = port("health") };
  reader.reportUnknownFields();
  return ports;
}

} // namespace

absl::StatusOr<HostConfig>
parseHostConfig(std::string_view aText)
{
  const auto document = settings::parseDocument(aText);
  if (!document.ok()) {
    return document.status();
  }
  std::vector<ValidationError> faults;
  FieldReader reader(*document, "", faults);
  HostConfig config;
  config.m_address = reader.address("address");
  config.m_self = HostId{ config.m_address.m_value };
  config.m_dataCentre = reader.text("data_centre");
  config.m_platform = reader.text("platform");
  config.m_ports = readPorts(reader.object("ports"), faults);
  for (const settings::Json& item : reader.list("seeds")) {
    const auto seed = item.is_string() ? parseIpv4(item.get<std::string>()) : std::nullopt;
    if (!seed) {
      reader.addError("seeds", "must hold IPv4 addresses only");
      continue;
    }
    config.m_seeds.push_back(HostId{ seed->m_value });
  }
  reader.reportUnknownFields();
  if (faults.empty()) {
    return config;
  }
  return absl::InvalidArgumentError(settings::joinErrors(faults));
}

absl::StatusOr<HostConfig>
readHostConfig(const std::string& aFile)
{
  const auto text = program::readFile(aFile);
  if (!text.ok()) {
    return text.status();
  }
  return parseHostConfig(*text);
}

} // namespace tamarack::daemon
