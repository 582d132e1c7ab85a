// Parses host lists and applies watch responses.
#include "settings/StateReplica.h"

#include "base/BoundedText.h"
#include "base/JsonReader.h"
#include "settings/FieldReader.h"

#include <array>

namespace tamarack::settings {

namespace {

using namespace std::string_view_literals;

constexpr std::array kHostStates{ "live"sv, "leaving"sv };
/// About 31 years; sums with it do not overflow.
constexpr int64_t kMaxAgeMs = 1'000'000'000'000;

} // namespace

absl::StatusOr<HostList>
parseHostList(Revision aRevision, std::string_view aText)
{
  const auto document = parseDocument(aText);
  if (!document.ok()) {
    return document.status();
  }
  std::vector<ValidationError> errors;
  HostList hosts{ .m_revision = aRevision };
  FieldReader reader(*document, "", errors);
  size_t index = 0;
  for (const Json& json : reader.list("hosts")) {
    FieldReader entry(json, "/hosts/" + std::to_string(index++), errors);
    HostEntry host;
    host.m_host = HostId{ entry.address("address").m_value };
    host.m_dataCentre = entry.text("data_centre");
    host.m_leaving = entry.choice("state", kHostStates) == "leaving";
    entry.reportUnknownFields();
    hosts.m_hosts.push_back(std::move(host));
  }
  if (!errors.empty()) {
    return absl::InvalidArgumentError(errors.front().m_path + " " + errors.front().m_message);
  }
  return hosts;
}

Json
hostListToJson(const HostList& aHosts)
{
  Json entries = Json::array();
  for (const HostEntry& entry : aHosts.m_hosts) {
    entries.push_back({ { "address", formatIpv4(Ipv4{ entry.m_host.m_value }) },
                        { "data_centre", entry.m_dataCentre },
                        { "state", entry.m_leaving ? "leaving" : "live" } });
  }
  return { { "hosts", std::move(entries) } };
}

absl::StatusOr<ApplyResult>
StateReplica::applyResponse(TimePoint aNow, std::string_view aResponse)
{
  try {
    const Json json = parseJson(aResponse);
    const auto revision = toInteger<Revision>(json.at("revision"));
    const Millis age{ toNonNegative(json.at("age_ms"), kMaxAgeMs) };
    const Revision previousRevision = snapshot().m_revision;
    auto result = applySettings(json);
    if (snapshot().m_revision > previousRevision) {
      const auto seen = json.find("seen_ms");
      m_revisionFirstSeenAt =
        aNow - Millis{ seen == json.end() ? 0 : toNonNegative(*seen, kMaxAgeMs) };
    }
    if (!result.ok()) {
      return result;
    }
    if (const auto hosts = json.find("hosts"); hosts != json.end()) {
      auto parsed = parseHostList(toInteger<Revision>(json.at("hosts_revision")), hosts->dump());
      if (!parsed.ok()) {
        return parsed.status();
      }
      mergeHostList(*std::move(parsed));
    }
    // A response with an older revision than the local one says nothing about the local settings.
    if (revision >= snapshot().m_revision) {
      confirm(aNow - age);
    }
    return result;
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError("malformed watch response: " + boundedText(error.what()));
  }
}

absl::StatusOr<ApplyResult>
StateReplica::applySettings(const Json& aResponse)
{
  absl::StatusOr<SettingsSnapshot> received = absl::NotFoundError("no settings snapshot");
  if (const auto patch = aResponse.find("patch"); patch != aResponse.end()) {
    if (toInteger<Revision>(aResponse.at("from")) != snapshot().m_revision) {
      return absl::FailedPreconditionError(
        "the settings patch is based on another revision than the local one");
    }
    received = snapshotFromJson(toJson(snapshot()).patch(*patch));
  } else if (const auto full = aResponse.find("form"); full != aResponse.end()) {
    received = snapshotFromJson(*full);
  } else {
    return ApplyResult{};
  }
  if (!received.ok()) {
    return received.status();
  }
  return m_settings.mergeSnapshot(*received);
}

ApplyResult
StateReplica::applyDocument(TimePoint aNow, Revision aRevision, std::string_view aText)
{
  if (aRevision > snapshot().m_revision) {
    m_revisionFirstSeenAt = aNow;
  }
  return m_settings.applyDocument(aRevision, aText);
}

void
StateReplica::mergeHostList(HostList aHosts)
{
  if (aHosts.m_revision > m_hosts.m_revision) {
    m_hosts = std::move(aHosts);
  }
}

} // namespace tamarack::settings
