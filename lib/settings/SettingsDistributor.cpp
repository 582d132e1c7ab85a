// Selects the sources to watch, delays retries after failures, and builds full or patch responses.
#include "settings/SettingsDistributor.h"

#include "base/BoundedText.h"
#include "base/Hash.h"

#include <algorithm>

namespace tamarack::settings {

namespace {

/// The number of peers that a reader watches in addition to the platform, chosen among all hosts.
constexpr size_t kExtraPeers = 1;
/// Limit of the errors of one document that are logged; `tamarackctl check` lists all of them.
constexpr size_t kMaxReportedErrors = 16;

} // namespace

SettingsDistributor::SettingsDistributor(SettingsDistributorOptions aOptions, EventLog& aEvents)
  : m_options(std::move(aOptions))
  , m_events(aEvents)
  , m_jitterGenerator(m_options.m_jitterSeed)
{
}

std::vector<HostId>
SettingsDistributor::readersOf(std::string_view aDataCentre) const
{
  std::vector<HostId> candidates;
  for (const HostEntry& entry : hosts().m_hosts) {
    if (entry.m_dataCentre == aDataCentre && !entry.m_leaving) {
      candidates.push_back(entry.m_host);
    }
  }
  std::vector<HostId> readers;
  const uint64_t key = hashText(aDataCentre);
  while (readers.size() < kReadersPerDataCentre && !candidates.empty()) {
    readers.push_back(pickByRendezvous(key, candidates));
    std::erase(candidates, readers.back());
  }
  return readers;
}

bool
SettingsDistributor::isReader() const
{
  const auto readers = readersOf(m_options.m_dataCentre);
  return std::ranges::find(readers, m_options.m_self) != readers.end();
}

bool
SettingsDistributor::isAvailable(TimePoint aNow, Source aSource) const
{
  const auto state = m_sourceStates.find(aSource);
  return state == m_sourceStates.end() || aNow >= state->second.m_retryAt;
}

void
SettingsDistributor::onPeerRevision(HostId aPeer, Revision aRevision)
{
  if (aRevision > snapshot().m_revision && aPeer != m_options.m_self) {
    m_newerPeer = aPeer;
    m_newerRevision = aRevision;
  }
}

std::vector<Source>
SettingsDistributor::selectSources(TimePoint aNow) const
{
  std::vector<Source> wanted;
  if (hosts().m_hosts.empty()) {
    wanted.push_back({});
    for (const HostId seed : m_options.m_seeds) {
      if (seed != m_options.m_self) {
        wanted.push_back({ seed });
      }
    }
    return wanted;
  }
  if (!isReader()) {
    for (const HostId reader : readersOf(m_options.m_dataCentre)) {
      if (isAvailable(aNow, { reader })) {
        return { { reader } };
      }
    }
  }
  // Readers, and hosts whose readers have all failed, watch the platform and kExtraPeers peers.
  wanted.push_back({});
  std::vector<HostId> candidates;
  for (const HostEntry& entry : hosts().m_hosts) {
    const bool isPeer = entry.m_host != m_options.m_self && !entry.m_leaving;
    if (isPeer && isAvailable(aNow, { entry.m_host })) {
      candidates.push_back(entry.m_host);
    }
  }
  for (size_t count = 0; count < kExtraPeers && !candidates.empty(); ++count) {
    wanted.push_back({ pickByRendezvous(m_options.m_self.m_value + count, candidates) });
    std::erase(candidates, wanted.back().m_host);
  }
  return wanted;
}

std::vector<std::pair<Source, WatchRequest>>
SettingsDistributor::takeDueWatches(TimePoint aNow)
{
  for (auto& [source, state] : m_sourceStates) {
    if (state.m_isPending && aNow - state.m_startedAt > kWatchResponseTimeout) {
      onFailure(aNow, source);
    }
  }
  std::vector<std::pair<Source, WatchRequest>> watches;
  std::vector<Source> sources = selectSources(aNow);
  const Source peerWithNewerSettings{ m_newerPeer };
  if (m_newerRevision > snapshot().m_revision &&
      std::ranges::find(sources, peerWithNewerSettings) == sources.end()) {
    sources.push_back(peerWithNewerSettings);
  }
  for (const Source source : sources) {
    SourceState& state = m_sourceStates[source];
    if (state.m_isPending || aNow < state.m_retryAt) {
      continue;
    }
    state.m_isPending = true;
    state.m_startedAt = aNow;
    watches.push_back({ source, { m_replica.snapshot().m_revision, hosts().m_revision } });
  }
  return watches;
}

void
SettingsDistributor::onPlatformResponse(TimePoint aNow, const PlatformResponse& aResponse)
{
  m_sourceStates[Source{}] = {};
  if (aResponse.m_settings) {
    const Revision previousRevision = m_replica.snapshot().m_revision;
    const ApplyResult result =
      m_replica.applyDocument(aNow, aResponse.m_settingsRevision, *aResponse.m_settings);
    if (aResponse.m_settingsRevision > previousRevision) {
      m_errors = result.m_errors;
      recordResult(aNow, result);
    }
  }
  if (aResponse.m_hosts) {
    auto hosts = parseHostList(aResponse.m_hostsRevision, *aResponse.m_hosts);
    if (hosts.ok()) {
      m_replica.mergeHostList(*std::move(hosts));
    } else {
      m_events.add(
        aNow, EventId::SettingsSourceFailed, "host list: " + std::string(hosts.status().message()));
    }
  }
  // A response with an older revision than this host has comes from a stale replica of the platform
  // and must not confirm the settings.
  if (aResponse.m_settingsRevision >= m_replica.snapshot().m_revision) {
    m_replica.confirm(aNow);
  }
}

bool
SettingsDistributor::onPeerResponse(TimePoint aNow, HostId aPeer, std::string_view aResponse)
{
  const auto result = m_replica.applyResponse(aNow, aResponse);
  if (!result.ok()) {
    m_events.add(aNow,
                 EventId::SettingsSourceFailed,
                 "peer " + formatHost(aPeer) + ": " + std::string(result.status().message()));
    onFailure(aNow, Source{ aPeer });
    return false;
  }
  recordResult(aNow, *result);
  m_sourceStates[Source{ aPeer }] = {};
  return true;
}

void
SettingsDistributor::onFailure(TimePoint aNow, Source aSource)
{
  SourceState& state = m_sourceStates[aSource];
  if (!state.m_failed) {
    m_events.add(aNow,
                 EventId::SettingsSourceFailed,
                 aSource.isPlatform() ? std::string("platform")
                                      : "peer " + formatHost(aSource.m_host));
  }
  state.m_failed = true;
  state.m_isPending = false;
  const auto jitter =
    static_cast<int64_t>(m_jitterGenerator() % static_cast<uint64_t>(kMinRetryDelay.count()));
  state.m_retryAt = aNow + kMinRetryDelay + Millis(jitter);
}

void
SettingsDistributor::recordResult(TimePoint aNow, const ApplyResult& aResult)
{
  const size_t reported = std::min(aResult.m_errors.size(), kMaxReportedErrors);
  for (size_t index = 0; index < reported; ++index) {
    const ValidationError& error = aResult.m_errors[index];
    const size_t others = aResult.m_errors.size() - reported;
    m_events.add(aNow,
                 EventId::SubtreeRefused,
                 boundedText(error.m_path) + " " + boundedText(error.m_message) +
                   (index + 1 == reported && others > 0
                      ? " (further errors: " + std::to_string(others) + ")"
                      : std::string()));
  }
  if (!aResult.m_changed) {
    return;
  }
  m_events.add(
    aNow, EventId::SettingsAccepted, "revision " + std::to_string(m_replica.snapshot().m_revision));
  recordSnapshot();
}

void
SettingsDistributor::recordSnapshot()
{
  m_snapshotHistory.emplace_back(m_replica.snapshot().m_revision, toJson(m_replica.snapshot()));
  if (m_snapshotHistory.size() > kMaxSnapshotHistory) {
    m_snapshotHistory.pop_front();
  }
}

bool
SettingsDistributor::hasNewerState(const WatchRequest& aRequest) const
{
  return m_replica.snapshot().m_revision > aRequest.m_settingsRevision ||
         hosts().m_revision > aRequest.m_hostsRevision;
}

std::string
SettingsDistributor::buildResponse(TimePoint aNow, const WatchRequest& aRequest) const
{
  const SettingsSnapshot& snapshot = m_replica.snapshot();
  Json response{ { "revision", snapshot.m_revision },
                 { "seen_ms",
                   std::max<int64_t>(0, (aNow - m_replica.revisionFirstSeenAt()).count()) },
                 { "age_ms", std::max<int64_t>(0, (aNow - confirmedAt()).count()) } };
  if (snapshot.m_revision > aRequest.m_settingsRevision) {
    const Json snapshotJson = toJson(snapshot);
    const auto base = std::ranges::find(m_snapshotHistory,
                                        aRequest.m_settingsRevision,
                                        [](const auto& aEntry) { return aEntry.first; });
    if (base != m_snapshotHistory.end()) {
      response["from"] = aRequest.m_settingsRevision;
      response["patch"] = Json::diff(base->second, snapshotJson);
    } else {
      response["form"] = snapshotJson;
    }
  }
  if (hosts().m_revision > aRequest.m_hostsRevision) {
    response["hosts_revision"] = hosts().m_revision;
    response["hosts"] = hostListToJson(hosts());
  }
  return response.dump();
}

} // namespace tamarack::settings
