// Brings published state to every host: a few readers of each data centre watch the platform, the
// other hosts watch a reader. Everybody serves what it has accepted, so that a new host learns the
// newest state from any peer while the platform is down. Decision code: it does no I/O.
#pragma once

#include "base/EventLog.h"
#include "settings/StateCopy.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace tamarack::settings {

/// A watch is answered after this long even when nothing changed.
inline constexpr Millis kWatchTime{ 2000 };
/// A watch without an answer for this long has failed.
inline constexpr Millis kWatchDeadline{ 3000 };
/// A source that failed rests at least this long, and up to twice as long by chance.
inline constexpr Millis kRest{ 500 };
/// Hosts of one data centre that watch the platform.
inline constexpr size_t kReadersPerDataCentre = 2;
/// Accepted forms that are kept to answer with a difference.
inline constexpr size_t kKeptForms = 16;

/// Where a watch goes: to the platform when the host is zero, else to that host.
struct Source
{
  HostId m_host;

  [[nodiscard]] bool isPlatform() const { return !m_host; }
  friend auto operator<=>(const Source&, const Source&) = default;
};

/// What a watcher has already.
struct WatchRequest
{
  Revision m_settings{};
  Revision m_hosts{};
};

/// The platform's answer to a watch. A part that did not change is empty.
struct PlatformAnswer
{
  Revision m_settingsRevision{};
  std::optional<std::string> m_settings;
  Revision m_hostsRevision{};
  std::optional<std::string> m_hosts;
};

struct SpreaderOptions
{
  HostId m_self;
  std::string m_dataCentre;
  /// Hosts to ask before a host list is known.
  std::vector<HostId> m_seeds;
  /// Seeds the jitter of retries.
  uint64_t m_seed{};
};

class Spreader
{
public:
  Spreader(SpreaderOptions aOptions, EventLog& aEvents);

  /// Watches to start now.
  [[nodiscard]] std::vector<std::pair<Source, WatchRequest>> takeWatches(TimePoint aNow);
  void onPlatformAnswer(TimePoint aNow, const PlatformAnswer& aAnswer);
  /// `aAnswer` is what a peer's `answer` returned. Returns false when it was not usable.
  bool onPeerAnswer(TimePoint aNow, HostId aPeer, std::string_view aAnswer);
  void onFailure(TimePoint aNow, Source aSource);
  /// A peer is known to have a newer revision; it is asked next.
  void onNewerPeer(HostId aPeer, Revision aRevision);

  /// Whether this host has something that the watcher lacks.
  [[nodiscard]] bool hasNews(const WatchRequest& aRequest) const;
  /// The answer to a watch: what changed, as a difference when one is smaller.
  [[nodiscard]] std::string answer(TimePoint aNow, const WatchRequest& aRequest) const;

  [[nodiscard]] const SettingsPtr& settings() const { return m_state.settings(); }
  [[nodiscard]] const AcceptedForm& form() const { return m_state.form(); }
  [[nodiscard]] const HostList& hosts() const { return m_state.hosts(); }
  [[nodiscard]] const std::vector<Fault>& faults() const { return m_faults; }
  /// When the platform last confirmed the state, directly or through others, by our clock.
  [[nodiscard]] TimePoint confirmedAt() const { return m_state.confirmedAt(); }
  /// When any host first saw the newest revision, by our clock.
  [[nodiscard]] TimePoint seenAt() const { return m_state.seenAt(); }
  [[nodiscard]] bool isReader() const;

private:
  struct SourceState
  {
    bool m_waiting{};
    TimePoint m_askedAt;
    TimePoint m_restUntil;
    /// The newest attempt failed.
    bool m_failed{};
  };

  [[nodiscard]] std::vector<HostId> readersOf(std::string_view aDataCentre) const;
  [[nodiscard]] std::vector<Source> wantedSources(TimePoint aNow) const;
  bool isUsable(TimePoint aNow, Source aSource) const;
  void noteOutcome(TimePoint aNow, const AcceptOutcome& aOutcome);
  void keepForm();

  SpreaderOptions m_options;
  EventLog& m_events;
  StateCopy m_state;
  std::vector<Fault> m_faults;
  std::map<Source, SourceState> m_sources;
  /// A peer that has a newer revision; zero when none is known.
  HostId m_newerPeer;
  Revision m_newerRevision{};
  /// Former accepted forms, oldest first; at most kKeptForms.
  std::deque<std::pair<Revision, Json>> m_forms;
  std::mt19937_64 m_random;
};

} // namespace tamarack::settings
