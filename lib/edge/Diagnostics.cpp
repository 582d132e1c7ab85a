// Writes metrics in the Prometheus text format, and dumps and explanations as JSON.
#include "edge/Diagnostics.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_replace.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace tamarack::edge {

namespace {

using Json = nlohmann::json;

std::string_view
presenceName(steering::RegistrationState aPresence)
{
  switch (aPresence) {
    case steering::RegistrationState::Registered:
      return "registered";
    case steering::RegistrationState::Lapsed:
      return "lapsed";
    case steering::RegistrationState::Missing:
      return "missing";
    case steering::RegistrationState::Ended:
      return "ended";
  }
  return "";
}

void
addMetric(std::string& aText, std::string_view aName, double aValue)
{
  aText += "tamarack_";
  aText += aName;
  aText += " " + Json(aValue).dump() + "\n";
}

/// Adds the quantiles of measured times in seconds, and their number.
void
addSummary(std::string& aText, const std::string& aName, const logging::LatencyHistogram& aLatency)
{
  for (const double quantile : { 0.5, 0.9, 0.99 }) {
    addMetric(aText,
              aName + "{quantile=\"" + Json(quantile).dump() + "\"}",
              aLatency.quantile(quantile) / 1e9);
  }
  addMetric(aText, aName + "_count", static_cast<double>(aLatency.count()));
}

/// Escapes a name for a label of the Prometheus text format.
std::string
escapeLabel(std::string_view aName)
{
  return absl::StrReplaceAll(std::string(aName),
                             { { "\\", "\\\\" }, { "\"", "\\\"" }, { "\n", "\\n" } });
}

void
addOverloadMetrics(std::string& aText, const Host& aHost)
{
  const steering::ServiceDirectory& directory = aHost.directory();
  const auto services = aHost.overloadControl().controller().services();
  addMetric(aText,
            "overload_services",
            static_cast<double>(
              std::ranges::count(services, true, &overload::ServiceAdmission::m_isOverloaded)));
  for (const overload::ServiceAdmission& service : services) {
    const std::string label =
      "{service=\"" + escapeLabel(directory.serviceName(service.m_service)) + "\"";
    addMetric(aText, "overload_busy_requests" + label + "}", service.m_busyRequests);
    addMetric(aText, "overload_slots" + label + "}", service.m_slots);
    for (const auto& [route, share] : service.m_admittedShares) {
      addMetric(aText,
                "overload_admitted_share" + label + ",route=\"" +
                  escapeLabel(directory.routeName(route)) + "\"}",
                share);
    }
  }
}

/// Formats JSON as text. Names may come from other hosts and need not be valid UTF-8; invalid bytes
/// are replaced.
std::string
formatJson(const Json& aJson)
{
  return aJson.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

Json
describeUpstream(const steering::Upstream& aUpstream, TimePoint aNow)
{
  return { { "name", aUpstream.m_name },
           { "token", steering::formatToken(aUpstream.m_token) },
           { "service", aUpstream.m_record.m_service },
           { "data_centre", aUpstream.m_record.m_dataCentre },
           { "address", formatIpv4(aUpstream.m_record.m_address) },
           { "port", aUpstream.m_record.m_port },
           { "presence", presenceName(aUpstream.m_registration) },
           { "draining", aUpstream.m_record.m_state == registry::UpstreamState::Draining },
           { "cold", aUpstream.isCold(aNow) },
           { "data_centre_out", aUpstream.m_isDataCentreOut },
           { "address_conflict", aUpstream.m_hasAddressConflict },
           { "avoided", aUpstream.m_health.isAvoided(aNow) },
           { "evidence_of_silence", aUpstream.m_health.evidence() },
           { "evidence_of_unanswered_syns", aUpstream.m_health.synEvidence() },
           { "slow", aUpstream.m_outlierDetector.isSlow(aNow) },
           { "evidence_of_slowness", aUpstream.m_outlierDetector.evidence(aNow) },
           { "requests", aUpstream.m_recentRequests.value(aNow) } };
}

Json
describeRouteLoad(const steering::ServiceDirectory& aDirectory,
                  overload::RouteId aRoute,
                  double aShare,
                  const overload::ServiceLoad* aLoad)
{
  Json route = { { "route", aDirectory.routeName(aRoute) }, { "admitted_share", aShare } };
  const overload::RouteLoad* load = nullptr;
  if (aLoad != nullptr) {
    const auto found = std::ranges::find(aLoad->m_routes, aRoute, &overload::RouteLoad::m_route);
    load = found == aLoad->m_routes.end() ? nullptr : &*found;
  }
  if (load != nullptr) {
    route["new_flows_per_s"] = load->m_newFlowsPerSecond;
    route["further_requests_per_s"] = load->m_furtherRequestsPerSecond;
    route["responses_per_s"] = load->m_responsesPerSecond;
    route["busy_requests"] = load->m_busyRequests;
  }
  return route;
}

Json
describeOverload(const Host& aHost, TimePoint aNow)
{
  const OverloadControl& control = aHost.overloadControl();
  const LoadKnowledge knowledge = control.knowledge(aNow);
  Json overload = { { "active", control.isActive() },
                    { "load_known", knowledge.m_isKnown },
                    { "load_age_ms", knowledge.m_age.count() },
                    { "hosts", knowledge.m_hosts },
                    { "remote_data_centres", knowledge.m_remoteDataCentres },
                    { "services", Json::array() } };
  for (const overload::ServiceAdmission& admission : control.controller().services()) {
    const overload::ServiceLoad* const load =
      findServiceLoad(control.totalLoad(), admission.m_service);
    Json service = { { "service", aHost.directory().serviceName(admission.m_service) },
                     { "overloaded", admission.m_isOverloaded },
                     { "slots", admission.m_slots },
                     { "busy_requests", admission.m_busyRequests } };
    for (const auto& [route, share] : admission.m_admittedShares) {
      service["routes"].push_back(describeRouteLoad(aHost.directory(), route, share, load));
    }
    overload["services"].push_back(std::move(service));
  }
  return overload;
}

/// Describes what the configuration states about the requests of a route, and the share of its new
/// flows that each of its services gets now.
Json
describeTerms(const Host& aHost, const steering::Route& aRoute)
{
  Json terms = { { "priority", aRoute.m_record.m_priority },
                 { "slo_ms", aRoute.m_record.m_latencyObjective.count() },
                 { "timeout_ms", aRoute.m_record.m_deadline.count() },
                 { "admitted_shares", Json::object() } };
  const auto admissions = aHost.overloadControl().controller().services();
  for (const registry::WeightedService& weighted : aRoute.m_record.m_services) {
    // Services that overload control does not apply to admit every flow.
    double share = 1;
    for (const overload::ServiceAdmission& admission : admissions) {
      for (const auto& [route, admittedShare] : admission.m_admittedShares) {
        if (admission.m_service == steering::makeServiceId(weighted.m_service) &&
            route == aRoute.m_id) {
          share = admittedShare;
        }
      }
    }
    terms["admitted_shares"][weighted.m_service] = share;
  }
  return terms;
}

} // namespace

std::string
writeMetrics(const DiagnosticInputs& aInputs)
{
  const Host& host = aInputs.m_host;
  const steering::SteeringCounters& steering = host.steering().counters();
  std::string text;
  addMetric(text, "packets_total", static_cast<double>(steering.m_packets));
  addMetric(text, "packets_forwarded_total", static_cast<double>(steering.m_forwarded));
  addMetric(text, "flows_opened_total", static_cast<double>(steering.m_flowsOpened));
  addMetric(text, "flows_opened_again_total", static_cast<double>(steering.m_flowsReopened));
  addMetric(text, "syn_copies_forwarded_total", static_cast<double>(steering.m_synCopiesForwarded));
  addMetric(text, "packets_repeated_total", static_cast<double>(steering.m_retransmissions));
  for (const ErrorRow& row : errorTable()) {
    const auto index = static_cast<size_t>(row.m_kind);
    const uint64_t count = steering.m_errors[index] + aInputs.m_counters.m_inputErrors[index];
    addMetric(
      text, "errors_total{kind=\"" + std::string(row.m_name) + "\"}", static_cast<double>(count));
  }
  addMetric(
    text, "datagrams_not_sent_total", static_cast<double>(aInputs.m_counters.m_datagramsDropped));
  addMetric(text, "store_failures_total", static_cast<double>(aInputs.m_counters.m_storeFailures));
  addMetric(
    text, "status_bytes_sent_total", static_cast<double>(aInputs.m_counters.m_statusBytesSent));
  addMetric(text,
            "status_bytes_received_total",
            static_cast<double>(aInputs.m_counters.m_statusBytesReceived));
  addMetric(
    text, "statuses_dropped_total", static_cast<double>(aInputs.m_counters.m_statusesDropped));
  addMetric(text, "pulls_total", static_cast<double>(aInputs.m_counters.m_pulls));
  addMetric(text, "log_lines_omitted_total", static_cast<double>(host.omittedLogLines()));
  addMetric(
    text, "store_revision", static_cast<double>(host.registry().appliedRevision().m_number));
  addMetric(
    text, "store_history", static_cast<double>(host.registry().appliedRevision().m_history));
  addMetric(text, "store_history_changes_total", static_cast<double>(host.historyChanges()));
  addMetric(text, "records_held_back", static_cast<double>(host.directory().heldRecordCount()));
  addMetric(
    text, "configuration_version", static_cast<double>(host.registry().configurationVersion()));
  addMetric(
    text, "view_age_seconds", static_cast<double>(host.viewAge(aInputs.m_now).count()) / 1000);
  addMetric(text, "is_reader", host.isReader() ? 1 : 0);
  addMetric(text, "hosts_known", static_cast<double>(host.peers().size()));
  addMetric(text, "upstreams", static_cast<double>(host.directory().upstreams().size()));
  addMetric(text, "routes", static_cast<double>(host.directory().routes()));
  addOverloadMetrics(text, host);
  addSummary(text, "decision_seconds", aInputs.m_decisionTimes);
  addSummary(text, "response_seconds", aInputs.m_responseTimes);
  return text;
}

std::string
writeDump(const DiagnosticInputs& aInputs)
{
  const Host& host = aInputs.m_host;
  Json dump = { { "revision", registry::formatRevision(host.registry().appliedRevision()) },
                { "configuration_version", host.registry().configurationVersion() },
                { "view_age_ms", host.viewAge(aInputs.m_now).count() },
                { "reader", host.isReader() },
                { "fresh_readers", host.peers().freshReaders(aInputs.m_now) },
                { "routes", host.directory().routes() },
                { "overload", describeOverload(host, aInputs.m_now) } };
  for (const auto& upstream : host.directory().upstreams()) {
    dump["upstreams"].push_back(describeUpstream(*upstream, aInputs.m_now));
  }
  for (const HostId peer : host.peers().liveNeighbours(aInputs.m_now)) {
    dump["hosts"].push_back(formatHost(peer));
  }
  return formatJson(dump);
}

absl::StatusOr<std::string>
writeExplanation(const DiagnosticInputs& aInputs, std::string_view aFlow)
{
  // A leading protocol is accepted, because tamarack-balancer requires it in its flow syntax.
  constexpr std::string_view kProtocol = "tcp,";
  if (aFlow.starts_with(kProtocol)) {
    aFlow.remove_prefix(kProtocol.size());
  }
  const std::vector<std::string> parts = absl::StrSplit(std::string(aFlow), ',');
  const std::vector<std::string> destination =
    parts.size() < 2 ? std::vector<std::string>{} : absl::StrSplit(parts[1], ':');
  uint32_t port = 0;
  const auto address = destination.size() == 2 ? parseIpv4(destination[0]) : std::optional<Ipv4>{};
  if (!address || !absl::SimpleAtoi(destination[1], &port)) {
    return absl::InvalidArgumentError("a flow is written SOURCE:PORT,DESTINATION:PORT[,TOKEN]");
  }
  const steering::ServiceDirectory& directory = aInputs.m_host.directory();
  const steering::Route* route = directory.findRoute(*address, static_cast<uint16_t>(port));
  Json json = { { "view_age_ms", aInputs.m_host.viewAge(aInputs.m_now).count() },
                { "revision",
                  registry::formatRevision(aInputs.m_host.registry().appliedRevision()) },
                { "route", route == nullptr ? Json(nullptr) : Json(route->m_name) } };
  uint32_t token = 0;
  if (parts.size() > 2 && absl::SimpleHexAtoi(parts[2], &token)) {
    const steering::Upstream* upstream = directory.findUpstream(steering::Token{ token });
    json["upstream"] =
      upstream == nullptr ? Json(nullptr) : describeUpstream(*upstream, aInputs.m_now);
  } else if (route != nullptr) {
    json["terms"] = describeTerms(aInputs.m_host, *route);
    for (const auto& upstream : directory.upstreams()) {
      for (const registry::WeightedService& service : route->m_record.m_services) {
        if (service.m_service == upstream->m_record.m_service) {
          json["upstreams"].push_back(describeUpstream(*upstream, aInputs.m_now));
        }
      }
    }
  }
  return formatJson(json);
}

} // namespace tamarack::edge
