// Applying of answers, whole or as a difference.
#include "settings/StateCopy.h"

#include "settings/FieldReader.h"

#include <array>

namespace tamarack::settings {

namespace {

using namespace std::string_view_literals;

constexpr std::array kHostStates{ "live"sv, "leaving"sv };

} // namespace

absl::StatusOr<HostList>
parseHostList(Revision aRevision, std::string_view aText)
{
  const auto document = parseDocument(aText);
  if (!document.ok()) {
    return document.status();
  }
  std::vector<Fault> faults;
  HostList hosts{ .m_revision = aRevision };
  FieldReader reader(*document, "", faults);
  size_t index = 0;
  for (const Json& json : reader.list("hosts")) {
    FieldReader entry(json, "/hosts/" + std::to_string(index++), faults);
    HostEntry host;
    host.m_host = HostId{ entry.address("address").m_value };
    host.m_dataCentre = entry.text("data_centre");
    host.m_leaving = entry.choice("state", kHostStates) == "leaving";
    entry.refuseUnknown();
    hosts.m_hosts.push_back(std::move(host));
  }
  if (!faults.empty()) {
    return absl::InvalidArgumentError(faults.front().m_path + " " + faults.front().m_text);
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

absl::StatusOr<AcceptOutcome>
StateCopy::apply(TimePoint aNow, std::string_view aAnswer)
{
  const Json json = Json::parse(aAnswer, nullptr, false);
  try {
    const Revision revision = json.at("revision").get<Revision>();
    const Millis age(json.at("age_ms").get<int64_t>());
    const Revision before = form().m_revision;
    auto outcome = applyForm(json);
    if (form().m_revision > before) {
      m_seenAt = aNow - Millis(json.value("seen_ms", int64_t{ 0 }));
    }
    if (!outcome.ok()) {
      return outcome;
    }
    if (const auto hosts = json.find("hosts"); hosts != json.end()) {
      auto list = parseHostList(json.at("hosts_revision").get<Revision>(), hosts->dump());
      if (!list.ok()) {
        return list.status();
      }
      offerHosts(*std::move(list));
    }
    if (revision >= form().m_revision) {
      confirm(aNow - age);
    }
    return outcome;
  } catch (const Json::exception& error) {
    return absl::InvalidArgumentError(std::string("not a state answer: ") + error.what());
  }
}

absl::StatusOr<AcceptOutcome>
StateCopy::applyForm(const Json& aAnswer)
{
  absl::StatusOr<AcceptedForm> offered = absl::NotFoundError("no form");
  if (const auto patch = aAnswer.find("patch"); patch != aAnswer.end()) {
    if (aAnswer.at("from").get<Revision>() != form().m_revision) {
      return absl::FailedPreconditionError("the difference starts from another revision");
    }
    offered = acceptedFormFromJson(toJson(form()).patch(*patch));
  } else if (const auto whole = aAnswer.find("form"); whole != aAnswer.end()) {
    offered = acceptedFormFromJson(*whole);
  } else {
    return AcceptOutcome{};
  }
  if (!offered.ok()) {
    return offered.status();
  }
  return m_acceptor.offerForm(*offered);
}

AcceptOutcome
StateCopy::offerDocument(TimePoint aNow, Revision aRevision, std::string_view aText)
{
  if (aRevision > form().m_revision) {
    m_seenAt = aNow;
  }
  return m_acceptor.offerDocument(aRevision, aText);
}

void
StateCopy::offerHosts(HostList aHosts)
{
  if (aHosts.m_revision > m_hosts.m_revision) {
    m_hosts = std::move(aHosts);
  }
}

} // namespace tamarack::settings
