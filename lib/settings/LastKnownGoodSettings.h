// Decides which settings are in force. The root and each team's subtree are validated separately:
// if a part of a new document is invalid, its last valid value stays in force. Each part carries
// the revision of the document that it came from, so that hosts that missed different revisions
// converge when they exchange snapshots.
#pragma once

#include "settings/Document.h"

#include <map>

namespace tamarack::settings {

/// A valid part of the settings, either the root or the subtree of one team.
struct VersionedPart
{
  /// The revision of the document that the part came from.
  Revision m_revision{};
  /// Null for a team that was removed. The entry is kept with the revision of the removal, so that
  /// merging the snapshot of a peer that still has the team does not bring the team back.
  Json m_value;

  friend bool operator==(const VersionedPart&, const VersionedPart&) = default;
};

/// The last valid value of every part. Hosts exchange snapshots.
struct SettingsSnapshot
{
  /// The revision of the newest document that was read, valid or not. It never decreases, and no
  /// part has a higher one.
  Revision m_revision{};
  VersionedPart m_root;
  /// By team name.
  std::map<std::string, VersionedPart, std::less<>> m_teams;
};

[[nodiscard]] Json
toJson(const SettingsSnapshot& aSnapshot);

/// Returns an error if the snapshot is malformed or a part is newer than the snapshot.
[[nodiscard]] absl::StatusOr<SettingsSnapshot>
snapshotFromJson(const Json& aJson);

/// The result of applying a document or of merging a snapshot.
struct ApplyResult
{
  /// The settings in force were rebuilt.
  bool m_changed{};
  /// What is invalid; the parts concerned keep their former values.
  std::vector<ValidationError> m_errors;
};

class LastKnownGoodSettings
{
public:
  /// Validates a document of the platform and puts its valid parts into force. If the root is
  /// invalid, nothing changes. A document that is not newer than the newest one read is ignored.
  ApplyResult applyDocument(Revision aRevision, std::string_view aText);

  /// Merges a peer's snapshot: for each part, the value with the higher revision wins.
  ApplyResult mergeSnapshot(const SettingsSnapshot& aSnapshot);

  [[nodiscard]] const SettingsSnapshot& snapshot() const { return m_snapshot; }
  /// The settings in force; null until the first valid document or snapshot.
  [[nodiscard]] const SettingsPtr& settings() const { return m_settings; }

private:
  /// Builds the settings in force from the snapshot. Adds its own errors to those given.
  ApplyResult rebuild(std::vector<ValidationError> aErrors);

  SettingsSnapshot m_snapshot;
  SettingsPtr m_settings;
};

} // namespace tamarack::settings
