// Acceptance part by part and the exchange form.
#include "settings/Acceptor.h"

#include <set>

namespace tamarack::settings {

namespace {

/// Takes `aOffered` when it is newer. Returns whether `aHeld` changed.
bool
takeNewer(AcceptedPart& aHeld, const AcceptedPart& aOffered)
{
  if (aOffered.m_revision <= aHeld.m_revision) {
    return false;
  }
  aHeld = aOffered;
  return true;
}

Json
partToJson(const AcceptedPart& aPart)
{
  return { { "revision", aPart.m_revision }, { "value", aPart.m_value } };
}

AcceptedPart
partFromJson(const Json& aJson)
{
  return { .m_revision = aJson.at("revision").get<Revision>(), .m_value = aJson.at("value") };
}

void
append(std::vector<Fault>& aTo, const std::vector<Fault>& aFrom)
{
  aTo.insert(aTo.end(), aFrom.begin(), aFrom.end());
}

/// Services of different teams must not share a name, for names are identities.
void
addServices(Settings& aSettings, std::vector<Service> aServices, std::vector<Fault>& aFaults)
{
  for (Service& service : aServices) {
    const bool taken = std::ranges::any_of(
      aSettings.m_services, [&](const Service& aOther) { return aOther.m_id == service.m_id; });
    if (taken) {
      aFaults.push_back({ "/teams/" + service.m_team + "/services/" + service.m_name,
                          "has the identity of another service" });
      continue;
    }
    aSettings.m_services.push_back(std::move(service));
  }
}

} // namespace

Json
toJson(const AcceptedForm& aForm)
{
  Json teams = Json::object();
  for (const auto& [team, part] : aForm.m_teams) {
    teams[team] = partToJson(part);
  }
  return { { "revision", aForm.m_revision },
           { "root", partToJson(aForm.m_root) },
           { "teams", std::move(teams) } };
}

absl::StatusOr<AcceptedForm>
acceptedFormFromJson(const Json& aJson)
{
  try {
    AcceptedForm form;
    form.m_revision = aJson.at("revision").get<Revision>();
    form.m_root = partFromJson(aJson.at("root"));
    for (const auto& [team, part] : aJson.at("teams").items()) {
      form.m_teams.emplace(team, partFromJson(part));
    }
    return form;
  } catch (const Json::exception& error) {
    return absl::InvalidArgumentError(std::string("not an accepted form: ") + error.what());
  }
}

AcceptOutcome
Acceptor::offerDocument(Revision aRevision, std::string_view aText)
{
  if (aRevision <= m_form.m_revision) {
    return {};
  }
  m_form.m_revision = aRevision;
  const auto document = parseDocument(aText);
  if (!document.ok()) {
    return { .m_faults = { { "", std::string(document.status().message()) } } };
  }
  std::vector<Fault> faults;
  const Root root = readRoot(*document, faults);
  if (!faults.empty()) {
    return { .m_faults = std::move(faults) };
  }
  const Json& teams = document->at("teams");
  Json rootValue = *document;
  rootValue["teams"] = Json::object();
  m_form.m_root = { .m_revision = aRevision, .m_value = std::move(rootValue) };
  for (const auto& [team, subtree] : teams.items()) {
    std::vector<Fault> teamFaults;
    (void)readTeam(root, team, subtree, teamFaults);
    if (teamFaults.empty()) {
      m_form.m_teams[team] = { .m_revision = aRevision, .m_value = subtree };
    }
    append(faults, teamFaults);
  }
  for (auto& [team, part] : m_form.m_teams) {
    if (!teams.contains(team)) {
      part = { .m_revision = aRevision, .m_value = nullptr };
    }
  }
  return rebuild(std::move(faults));
}

AcceptOutcome
Acceptor::offerForm(const AcceptedForm& aForm)
{
  bool changed = takeNewer(m_form.m_root, aForm.m_root);
  for (const auto& [team, part] : aForm.m_teams) {
    changed = takeNewer(m_form.m_teams[team], part) || changed;
  }
  const bool isNewer = aForm.m_revision > m_form.m_revision;
  m_form.m_revision = std::max(m_form.m_revision, aForm.m_revision);
  if (!changed && !isNewer) {
    return {};
  }
  return rebuild({});
}

AcceptOutcome
Acceptor::rebuild(std::vector<Fault> aFaults)
{
  std::vector<Fault> rootFaults;
  const Root root = readRoot(m_form.m_root.m_value, rootFaults);
  if (!rootFaults.empty()) {
    append(aFaults, rootFaults);
    return { .m_faults = std::move(aFaults) };
  }
  auto settings = std::make_shared<Settings>();
  settings->m_revision = m_form.m_revision;
  settings->m_seed = root.m_seed;
  settings->m_dataCentres = root.m_dataCentres;
  for (const auto& [team, part] : m_form.m_teams) {
    if (part.m_value.is_null()) {
      continue;
    }
    std::vector<Fault> teamFaults;
    std::vector<Service> services = readTeam(root, team, part.m_value, teamFaults);
    if (teamFaults.empty()) {
      addServices(*settings, std::move(services), aFaults);
    }
    append(aFaults, teamFaults);
  }
  m_settings = std::move(settings);
  return { .m_changed = true, .m_faults = std::move(aFaults) };
}

} // namespace tamarack::settings
