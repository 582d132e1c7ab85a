// A replica of the published settings and host list. It is updated from documents of the platform
// and from the watch responses of settings processes, the local one or a peer's.
#pragma once

#include "settings/LastKnownGoodSettings.h"

#include <absl/status/statusor.h>

namespace tamarack::settings {

/// A balancer host in the published host list.
struct HostEntry
{
  HostId m_host;
  std::string m_dataCentre;
  /// Operators are taking the host out of the fleet.
  bool m_leaving{};
};

/// The published list of all balancer hosts. It has revisions of its own.
struct HostList
{
  Revision m_revision{};
  std::vector<HostEntry> m_hosts;
};

/// Parses `{"hosts": [{"address", "data_centre", "state": "live" | "leaving"}]}`.
[[nodiscard]] absl::StatusOr<HostList>
parseHostList(Revision aRevision, std::string_view aText);

/// Serialises the list in the format that parseHostList accepts.
[[nodiscard]] Json
hostListToJson(const HostList& aHosts);

class StateReplica
{
public:
  /// Applies a response that was made by SettingsDistributor::buildResponse. Returns the result for
  /// the settings part, or an error if the response is malformed or its patch does not apply.
  absl::StatusOr<ApplyResult> applyResponse(TimePoint aNow, std::string_view aResponse);
  /// Applies a settings document of the platform.
  ApplyResult applyDocument(TimePoint aNow, Revision aRevision, std::string_view aText);
  /// Replaces the host list if the given one is newer.
  void mergeHostList(HostList aHosts);
  /// When any host first saw the newest settings revision, on the local clock.
  [[nodiscard]] TimePoint revisionFirstSeenAt() const { return m_revisionFirstSeenAt; }
  /// Records that the platform confirmed the settings as current at the given time.
  void confirm(TimePoint aAt) { m_confirmedAt = std::max(m_confirmedAt, aAt); }

  [[nodiscard]] const SettingsSnapshot& snapshot() const { return m_settings.snapshot(); }
  [[nodiscard]] const SettingsPtr& settings() const { return m_settings.settings(); }
  [[nodiscard]] const HostList& hosts() const { return m_hosts; }
  /// When the platform last confirmed the settings as current, directly or through peers, on the
  /// local clock.
  [[nodiscard]] TimePoint confirmedAt() const { return m_confirmedAt; }

private:
  /// Applies the settings of a response, which are a patch, a full snapshot or absent.
  absl::StatusOr<ApplyResult> applySettings(const Json& aResponse);

  LastKnownGoodSettings m_settings;
  /// Its revision never decreases.
  HostList m_hosts;
  TimePoint m_confirmedAt;
  TimePoint m_revisionFirstSeenAt;
};

} // namespace tamarack::settings
