// A copy of the published state that is kept up to date by the answers of a settings process, the
// local one or a peer's.
#pragma once

#include "settings/Acceptor.h"

#include <absl/status/statusor.h>

namespace tamarack::settings {

/// One entry of the published host list.
struct HostEntry
{
  HostId m_host;
  std::string m_dataCentre;
  bool m_leaving{};
};

/// The published host list.
struct HostList
{
  Revision m_revision{};
  std::vector<HostEntry> m_hosts;
};

/// Reads `{"hosts": [{"address", "data_centre", "state": "live" | "leaving"}]}`.
[[nodiscard]] absl::StatusOr<HostList>
parseHostList(Revision aRevision, std::string_view aText);

/// Writes what `parseHostList` reads.
[[nodiscard]] Json
hostListToJson(const HostList& aHosts);

class StateCopy
{
public:
  /// Takes an answer of Spreader::answer. Returns what became of the settings.
  absl::StatusOr<AcceptOutcome> apply(TimePoint aNow, std::string_view aAnswer);
  /// Takes a document of the platform.
  AcceptOutcome offerDocument(TimePoint aNow, Revision aRevision, std::string_view aText);
  /// Takes a host list if it is newer.
  void offerHosts(HostList aHosts);
  /// When any host first saw the newest revision, by our clock.
  [[nodiscard]] TimePoint seenAt() const { return m_seenAt; }
  void confirm(TimePoint aAt) { m_confirmedAt = std::max(m_confirmedAt, aAt); }

  [[nodiscard]] const AcceptedForm& form() const { return m_acceptor.form(); }
  [[nodiscard]] const SettingsPtr& settings() const { return m_acceptor.settings(); }
  [[nodiscard]] const HostList& hosts() const { return m_hosts; }
  /// When the platform last confirmed the state, directly or through others, by our clock.
  [[nodiscard]] TimePoint confirmedAt() const { return m_confirmedAt; }

private:
  absl::StatusOr<AcceptOutcome> applyForm(const Json& aAnswer);

  Acceptor m_acceptor;
  /// Its revision only rises.
  HostList m_hosts;
  TimePoint m_confirmedAt;
  TimePoint m_seenAt;
};

} // namespace tamarack::settings
