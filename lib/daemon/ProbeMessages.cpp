// JSON serialization of probe targets and probe reports, and parsing of health responses.
#include "daemon/ProbeMessages.h"

#include "base/BoundedText.h"
#include "base/JsonReader.h"

namespace tamarack::daemon {

namespace {

using Json = nlohmann::json;

admission::UpstreamReport
reportFromJson(const Json& aJson)
{
  return { .m_service = ServiceId{ toInteger<uint32_t>(aJson.at("service")) },
           .m_upstream = UpstreamId{ toInteger<uint32_t>(aJson.at("upstream")) },
           .m_answered = aJson.at("answered").get<bool>(),
           .m_identityMatches = aJson.at("identity_matches").get<bool>(),
           .m_claimsCold = aJson.at("claims_cold").get<bool>(),
           .m_sheds = aJson.at("sheds").get<bool>(),
           .m_draining = aJson.at("draining").get<bool>(),
           .m_run = toInteger<uint32_t>(aJson.at("run")),
           .m_connections = toInteger<uint32_t>(aJson.at("connections")),
           .m_busySlots = toInteger<uint32_t>(aJson.at("busy_slots")) };
}

} // namespace

std::string
serializeTargets(const std::vector<node::ProbeTarget>& aTargets)
{
  Json list = Json::array();
  for (const node::ProbeTarget& target : aTargets) {
    list.push_back({ { "service", target.m_service.m_value },
                     { "upstream", target.m_upstream.m_value },
                     { "address", formatIpv4(target.m_address) },
                     { "service_name", target.m_serviceName },
                     { "upstream_name", target.m_upstreamName } });
  }
  return list.dump();
}

absl::StatusOr<std::vector<node::ProbeTarget>>
parseTargets(std::string_view aText)
{
  std::vector<node::ProbeTarget> targets;
  try {
    for (const Json& json : parseJson(aText)) {
      const auto address = parseIpv4(json.at("address").get<std::string>());
      if (!address) {
        return absl::InvalidArgumentError("probe target has an invalid IPv4 address");
      }
      targets.push_back({ .m_service = ServiceId{ toInteger<uint32_t>(json.at("service")) },
                          .m_upstream = UpstreamId{ toInteger<uint32_t>(json.at("upstream")) },
                          .m_address = *address,
                          .m_serviceName = json.at("service_name").get<std::string>(),
                          .m_upstreamName = json.at("upstream_name").get<std::string>() });
    }
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError("invalid list of probe targets: " +
                                      boundedText(error.what()));
  }
  return targets;
}

std::string
serializeReports(const std::vector<admission::UpstreamReport>& aReports)
{
  Json list = Json::array();
  for (const admission::UpstreamReport& report : aReports) {
    list.push_back({ { "service", report.m_service.m_value },
                     { "upstream", report.m_upstream.m_value },
                     { "answered", report.m_answered },
                     { "identity_matches", report.m_identityMatches },
                     { "claims_cold", report.m_claimsCold },
                     { "sheds", report.m_sheds },
                     { "draining", report.m_draining },
                     { "run", report.m_run },
                     { "connections", report.m_connections },
                     { "busy_slots", report.m_busySlots } });
  }
  return list.dump();
}

absl::StatusOr<std::vector<admission::UpstreamReport>>
parseReports(std::string_view aText, std::vector<std::string>& aErrors)
{
  Json list;
  try {
    list = parseJson(aText);
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError("invalid list of probe reports: " +
                                      boundedText(error.what()));
  }
  if (!list.is_array()) {
    return absl::InvalidArgumentError("invalid list of probe reports: is not an array");
  }
  std::vector<admission::UpstreamReport> reports;
  for (const Json& json : list) {
    try {
      reports.push_back(reportFromJson(json));
    } catch (const std::exception& error) {
      aErrors.push_back("invalid probe report: " + boundedText(error.what()));
    }
  }
  return reports;
}

admission::UpstreamReport
parseHealthResponse(const node::ProbeTarget& aTarget, std::string_view aText)
{
  admission::UpstreamReport report{ .m_service = aTarget.m_service,
                                    .m_upstream = aTarget.m_upstream };
  try {
    const Json json = parseJson(aText);
    const auto service = json.at("service").get<std::string>();
    const auto upstream = json.at("upstream").get<std::string>();
    const auto generation = toInteger<uint32_t>(json.at("generation"));
    const auto state = json.at("state").get<std::string>();
    admission::UpstreamReport answered = report;
    answered.m_answered = true;
    answered.m_identityMatches =
      settings::makeUpstreamId(service, upstream, aTarget.m_address, generation) ==
      aTarget.m_upstream;
    answered.m_claimsCold = state == "cold";
    answered.m_draining = state == "draining";
    answered.m_sheds = json.at("sheds").get<bool>();
    answered.m_run = toInteger<uint32_t>(json.at("run"));
    answered.m_connections = toInteger<uint32_t>(json.at("connections"));
    answered.m_busySlots = toInteger<uint32_t>(json.at("busy_slots"));
    return answered;
  } catch (const std::exception&) {
    return report;
  }
}

} // namespace tamarack::daemon
