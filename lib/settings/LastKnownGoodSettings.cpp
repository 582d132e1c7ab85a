// Validates documents part by part, merges snapshots and converts snapshots to and from JSON.
#include "settings/LastKnownGoodSettings.h"

#include "base/BoundedText.h"
#include "base/JsonReader.h"

#include <set>

namespace tamarack::settings {

namespace {

/// Replaces `aCurrent` by `aCandidate` if the latter has a higher revision. Returns whether it did.
bool
replaceIfNewer(VersionedPart& aCurrent, const VersionedPart& aCandidate)
{
  if (aCandidate.m_revision <= aCurrent.m_revision) {
    return false;
  }
  aCurrent = aCandidate;
  return true;
}

Json
partToJson(const VersionedPart& aPart)
{
  return { { "revision", aPart.m_revision }, { "value", aPart.m_value } };
}

/// Reads a part of a snapshot. Throws if the part is newer than the snapshot: such a part would win
/// over those of all later documents when snapshots are merged.
VersionedPart
partFromJson(const Json& aJson, Revision aSnapshotRevision)
{
  const auto revision = toInteger<Revision>(aJson.at("revision"));
  if (revision > aSnapshotRevision) {
    throw std::out_of_range("a part is newer than the snapshot");
  }
  return { .m_revision = revision, .m_value = aJson.at("value") };
}

void
appendErrors(std::vector<ValidationError>& aTo, const std::vector<ValidationError>& aFrom)
{
  aTo.insert(aTo.end(), aFrom.begin(), aFrom.end());
}

/// Adds the services of one team. A service whose ID is already in use is left out and reported:
/// the ID is a hash of the name alone, so it is not distinct if two teams use one name or two names
/// collide.
void
addServices(Settings& aSettings,
            std::vector<Service> aServices,
            std::vector<ValidationError>& aErrors)
{
  for (Service& service : aServices) {
    const bool isDuplicate = std::ranges::any_of(
      aSettings.m_services, [&](const Service& aOther) { return aOther.m_id == service.m_id; });
    if (isDuplicate) {
      aErrors.push_back({ "/teams/" + service.m_team + "/services/" + service.m_name,
                          "has the same name, or the same hash of the name, as another service" });
      continue;
    }
    aSettings.m_services.push_back(std::move(service));
  }
}

} // namespace

Json
toJson(const SettingsSnapshot& aSnapshot)
{
  Json teams = Json::object();
  for (const auto& [team, part] : aSnapshot.m_teams) {
    teams[team] = partToJson(part);
  }
  return { { "revision", aSnapshot.m_revision },
           { "root", partToJson(aSnapshot.m_root) },
           { "teams", std::move(teams) } };
}

absl::StatusOr<SettingsSnapshot>
snapshotFromJson(const Json& aJson)
{
  try {
    SettingsSnapshot snapshot;
    snapshot.m_revision = toInteger<Revision>(aJson.at("revision"));
    snapshot.m_root = partFromJson(aJson.at("root"), snapshot.m_revision);
    for (const auto& [team, part] : aJson.at("teams").items()) {
      snapshot.m_teams.emplace(team, partFromJson(part, snapshot.m_revision));
    }
    return snapshot;
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError("malformed settings snapshot: " + boundedText(error.what()));
  }
}

ApplyResult
LastKnownGoodSettings::applyDocument(Revision aRevision, std::string_view aText)
{
  if (aRevision <= m_snapshot.m_revision) {
    return {};
  }
  m_snapshot.m_revision = aRevision;
  const auto document = parseDocument(aText);
  if (!document.ok()) {
    return { .m_errors = { { "", std::string(document.status().message()) } } };
  }
  std::vector<ValidationError> errors;
  const RootSettings root = readRootSettings(*document, errors);
  if (!errors.empty()) {
    return { .m_errors = std::move(errors) };
  }
  const Json& teams = document->at("teams");
  Json rootValue = *document;
  rootValue["teams"] = Json::object();
  m_snapshot.m_root = { .m_revision = aRevision, .m_value = std::move(rootValue) };
  for (const auto& [team, subtree] : teams.items()) {
    std::vector<ValidationError> teamErrors;
    (void)readTeamSubtree(root, team, subtree, teamErrors);
    if (teamErrors.empty()) {
      m_snapshot.m_teams[team] = { .m_revision = aRevision, .m_value = subtree };
    }
    appendErrors(errors, teamErrors);
  }
  for (auto& [team, part] : m_snapshot.m_teams) {
    if (!teams.contains(team)) {
      // Marks the removal; see VersionedPart.
      part = { .m_revision = aRevision, .m_value = nullptr };
    }
  }
  return rebuild(std::move(errors));
}

ApplyResult
LastKnownGoodSettings::mergeSnapshot(const SettingsSnapshot& aSnapshot)
{
  bool changed = replaceIfNewer(m_snapshot.m_root, aSnapshot.m_root);
  for (const auto& [team, part] : aSnapshot.m_teams) {
    changed = replaceIfNewer(m_snapshot.m_teams[team], part) || changed;
  }
  const bool isNewer = aSnapshot.m_revision > m_snapshot.m_revision;
  m_snapshot.m_revision = std::max(m_snapshot.m_revision, aSnapshot.m_revision);
  if (!changed && !isNewer) {
    return {};
  }
  return rebuild({});
}

ApplyResult
LastKnownGoodSettings::rebuild(std::vector<ValidationError> aErrors)
{
  std::vector<ValidationError> rootErrors;
  const RootSettings root = readRootSettings(m_snapshot.m_root.m_value, rootErrors);
  if (!rootErrors.empty()) {
    appendErrors(aErrors, rootErrors);
    return { .m_errors = std::move(aErrors) };
  }
  auto settings = std::make_shared<Settings>();
  settings->m_revision = m_snapshot.m_revision;
  settings->m_seed = root.m_seed;
  settings->m_dataCentres = root.m_dataCentres;
  for (const auto& [team, part] : m_snapshot.m_teams) {
    if (part.m_value.is_null()) {
      continue;
    }
    std::vector<ValidationError> teamErrors;
    std::vector<Service> services = readTeamSubtree(root, team, part.m_value, teamErrors);
    if (teamErrors.empty()) {
      addServices(*settings, std::move(services), aErrors);
    }
    appendErrors(aErrors, teamErrors);
  }
  m_settings = std::move(settings);
  return { .m_changed = true, .m_errors = std::move(aErrors) };
}

} // namespace tamarack::settings
