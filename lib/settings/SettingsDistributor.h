// Distributes the published settings and host list to every host. A few readers in each data centre
// watch the platform; the other hosts of the data centre watch a reader. Every host serves the
// state that it has accepted, so that a new host obtains the newest state from any peer while the
// platform is down. This is decision code: it does no I/O and reads no clock.
#pragma once

#include "base/EventLog.h"
#include "settings/StateReplica.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace tamarack::settings {

/// A watch is a long poll: its server responds after this time even if nothing has changed.
inline constexpr Millis kLongPollTimeout{ 2000 };
/// A watch that has had no response for this time has failed. It exceeds kLongPollTimeout.
inline constexpr Millis kWatchResponseTimeout{ 3000 };
/// The minimum delay before a failed source is tried again; random jitter adds up to as much again.
/// At the resulting mean of 0.75 s, 1,100 hosts make at most 1,467 calls per second to the
/// platform, whose limit is 2,000. Delays of up to 2 s were too long: new flows still reached a
/// draining upstream 3 s after the change was published.
inline constexpr Millis kMinRetryDelay{ 500 };
/// The number of hosts in one data centre that watch the platform.
inline constexpr size_t kReadersPerDataCentre = 2;
/// The number of former snapshots kept, so that responses can be patches against them.
inline constexpr size_t kMaxSnapshotHistory = 16;

/// The target of a watch: the platform if the host is zero, otherwise that host.
struct Source
{
  HostId m_host;

  [[nodiscard]] bool isPlatform() const { return !m_host; }
  friend auto operator<=>(const Source&, const Source&) = default;
};

/// The newest revisions that the watcher already has; the response holds only what is newer.
struct WatchRequest
{
  Revision m_settingsRevision{};
  Revision m_hostsRevision{};
};

/// The platform's response to a watch. The text of a part that has not changed is absent.
struct PlatformResponse
{
  Revision m_settingsRevision{};
  std::optional<std::string> m_settings;
  Revision m_hostsRevision{};
  std::optional<std::string> m_hosts;
};

struct SettingsDistributorOptions
{
  HostId m_self;
  std::string m_dataCentre;
  /// Seed hosts: the peers to watch until the first host list has been received.
  std::vector<HostId> m_seeds;
  /// The seed of the random generator for the jitter of retry delays.
  uint64_t m_jitterSeed{};
};

class SettingsDistributor
{
public:
  SettingsDistributor(SettingsDistributorOptions aOptions, EventLog& aEvents);

  /// Returns the watches that the caller must start now and marks them as pending. Also fails the
  /// pending watches that have timed out.
  [[nodiscard]] std::vector<std::pair<Source, WatchRequest>> takeDueWatches(TimePoint aNow);
  void onPlatformResponse(TimePoint aNow, const PlatformResponse& aResponse);
  /// Applies a response that a peer made with buildResponse. Returns false, and treats the watch as
  /// failed, if the response cannot be applied.
  bool onPeerResponse(TimePoint aNow, HostId aPeer, std::string_view aResponse);
  /// Records that a watch of the source failed or timed out, and delays the next attempt.
  void onFailure(TimePoint aNow, Source aSource);
  /// Records the settings revision that a peer reported. If it is newer than the local one, the
  /// next call of takeDueWatches also watches that peer. Without this, readers that were waiting
  /// out a retry delay when a partition healed put new settings into force 4 s to 16 s late.
  void onPeerRevision(HostId aPeer, Revision aRevision);

  /// Whether this host has newer settings or a newer host list than the watcher.
  [[nodiscard]] bool hasNewerState(const WatchRequest& aRequest) const;
  /// The response to a peer's watch: the parts that are newer than the request. The settings are
  /// sent as a JSON patch if the watcher's revision is in the snapshot history, otherwise in full.
  [[nodiscard]] std::string buildResponse(TimePoint aNow, const WatchRequest& aRequest) const;

  [[nodiscard]] const SettingsPtr& settings() const { return m_replica.settings(); }
  [[nodiscard]] const SettingsSnapshot& snapshot() const { return m_replica.snapshot(); }
  [[nodiscard]] const HostList& hosts() const { return m_replica.hosts(); }
  /// The validation errors of the newest document that this host read from the platform.
  [[nodiscard]] const std::vector<ValidationError>& errors() const { return m_errors; }
  /// When the platform last confirmed the settings as current, directly or through peers, on the
  /// local clock.
  [[nodiscard]] TimePoint confirmedAt() const { return m_replica.confirmedAt(); }
  /// When any host first saw the newest revision, on the local clock.
  [[nodiscard]] TimePoint revisionFirstSeenAt() const { return m_replica.revisionFirstSeenAt(); }
  /// Whether this host is one of the readers of its data centre.
  [[nodiscard]] bool isReader() const;

private:
  struct SourceState
  {
    /// A watch was started and has neither been answered nor failed.
    bool m_isPending{};
    /// When the newest watch was started.
    TimePoint m_startedAt;
    /// No watch is started before this time.
    TimePoint m_retryAt;
    /// The newest attempt failed.
    bool m_failed{};
  };

  /// The readers of a data centre, chosen by rendezvous hashing among its hosts that do not leave.
  [[nodiscard]] std::vector<HostId> readersOf(std::string_view aDataCentre) const;
  /// The sources that this host should be watching.
  [[nodiscard]] std::vector<Source> selectSources(TimePoint aNow) const;
  /// Whether the source has no retry delay running.
  bool isAvailable(TimePoint aNow, Source aSource) const;
  /// Logs the result and records a snapshot if the settings in force changed.
  void recordResult(TimePoint aNow, const ApplyResult& aResult);
  void recordSnapshot();

  SettingsDistributorOptions m_options;
  EventLog& m_events;
  StateReplica m_replica;
  std::vector<ValidationError> m_errors;
  std::map<Source, SourceState> m_sourceStates;
  /// The peer that reported m_newerRevision; zero if none has reported a newer revision.
  HostId m_newerPeer;
  Revision m_newerRevision{};
  /// Snapshots in the form in which they are sent, by revision, oldest first; at most
  /// kMaxSnapshotHistory.
  std::deque<std::pair<Revision, Json>> m_snapshotHistory;
  std::mt19937_64 m_jitterGenerator;
};

} // namespace tamarack::settings
