// Parses and validates the settings file.
#include "edge/EdgeSettings.h"

#include "settings/FieldReader.h"

#include <charconv>

namespace tamarack::edge {

namespace {

using settings::FieldReader;
using settings::ValidationError;

constexpr settings::NumberRange kPortRange{ 1, 65535 };
/// Range of the stop limit in seconds. A planned stop takes at least the time in which the fabric
/// takes a host out of rotation.
constexpr settings::NumberRange kStopLimitRangeS{ 1, 600 };
/// Number of flows.
constexpr settings::NumberRange kFlowTableCapacityRange{ 64, 1 << 20 };
/// A host at the design size has 28,000 open flows.
constexpr uint64_t kDefaultFlowTableCapacity = 32'768;
constexpr uint64_t kDefaultStopLimitS = 6;

std::optional<Endpoint>
parseEndpoint(std::string_view aText)
{
  const size_t colon = aText.rfind(':');
  const auto address = parseIpv4(aText.substr(0, colon));
  if (colon == std::string_view::npos || !address) {
    return std::nullopt;
  }
  uint16_t port = 0;
  const char* const end = aText.data() + aText.size();
  const auto [last, error] = std::from_chars(aText.data() + colon + 1, end, port);
  if (error != std::errc{} || last != end || port == 0) {
    return std::nullopt;
  }
  return Endpoint{ *address, port };
}

Endpoint
readEndpoint(FieldReader& aReader, std::string_view aName)
{
  const std::string text = aReader.text(aName);
  const auto endpoint = parseEndpoint(text);
  if (!endpoint && !text.empty()) {
    aReader.addError(aName, "must be an IPv4 address and port");
  }
  return endpoint.value_or(Endpoint{});
}

/// Reads a non-negative decimal number that is written as a JSON string.
double
readDecimal(FieldReader& aReader, std::string_view aName)
{
  const std::string text = aReader.text(aName);
  double value = 0;
  const auto [last, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || last != text.data() + text.size() || value < 0) {
    aReader.addError(aName, "must be a non-negative decimal number, written as a string");
    return 0;
  }
  return value;
}

std::string
joinNames(std::span<const std::string_view> aNames)
{
  std::string joined;
  for (const std::string_view name : aNames) {
    joined += (joined.empty() ? "" : ", ") + std::string(name);
  }
  return joined;
}

} // namespace

absl::StatusOr<EdgeSettings>
parseEdgeSettings(std::string_view aText)
{
  const auto document = settings::parseDocument(aText);
  if (!document.ok()) {
    return document.status();
  }
  std::vector<ValidationError> faults;
  FieldReader reader(*document, "", faults);
  EdgeSettings edge;
  edge.m_host = reader.text("host");
  edge.m_dataCentre = reader.text("data_centre");
  edge.m_packetEndpoint = readEndpoint(reader, "packets");
  edge.m_readinessEndpoint = readEndpoint(reader, "readiness");
  edge.m_readinessPath = reader.text("readiness_path");
  edge.m_controlEndpoint = readEndpoint(reader, "control");
  edge.m_metricsEndpoint = readEndpoint(reader, "metrics");
  edge.m_peerPort = static_cast<uint16_t>(reader.number("peer_port", kPortRange));
  edge.m_storeEndpoint = readEndpoint(reader, "store");
  for (const settings::Json& item : reader.list("seeds")) {
    const auto seed = item.is_string() ? parseEndpoint(item.get<std::string>()) : std::nullopt;
    if (!seed) {
      reader.addError("seeds", "must hold IPv4 addresses and ports only");
      continue;
    }
    edge.m_seeds.push_back(HostId{ seed->m_address.m_value });
  }
  edge.m_cpuShare = readDecimal(reader, "cpu_share");
  edge.m_coldFactor = readDecimal(reader, "cold_factor");
  edge.m_coldSlack = readDecimal(reader, "cold_slack");
  edge.m_stopLimit = std::chrono::seconds(
    reader.optionalNumber("stop_limit_s", kStopLimitRangeS, kDefaultStopLimitS));
  edge.m_flowTableCapacity =
    reader.optionalNumber("flow_places", kFlowTableCapacityRange, kDefaultFlowTableCapacity);
  for (const settings::Json& item : reader.optionalList("off")) {
    if (!item.is_string() || !edge.m_mechanisms.disable(item.get<std::string>())) {
      reader.addError("off", "must hold names of mechanisms only: " + joinNames(kMechanismNames));
    }
  }
  reader.reportUnknownFields();
  if (faults.empty()) {
    return edge;
  }
  return absl::InvalidArgumentError(settings::joinErrors(faults));
}

} // namespace tamarack::edge
