// Choice of sources, rests after failures, and answers with differences.
#include "settings/Spreader.h"

#include "base/Hash.h"

#include <algorithm>

namespace tamarack::settings {

namespace {

/// Peers of other data centres that a reader watches beside the platform.
constexpr size_t kFarPeers = 1;

} // namespace

Spreader::Spreader(SpreaderOptions aOptions, EventLog& aEvents)
  : m_options(std::move(aOptions))
  , m_events(aEvents)
  , m_random(m_options.m_seed)
{
}

std::vector<HostId>
Spreader::readersOf(std::string_view aDataCentre) const
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
Spreader::isReader() const
{
  const auto readers = readersOf(m_options.m_dataCentre);
  return std::ranges::find(readers, m_options.m_self) != readers.end();
}

bool
Spreader::isUsable(TimePoint aNow, Source aSource) const
{
  const auto state = m_sources.find(aSource);
  return state == m_sources.end() || aNow >= state->second.m_restUntil;
}

void
Spreader::onNewerPeer(HostId aPeer, Revision aRevision)
{
  if (aRevision > form().m_revision && aPeer != m_options.m_self) {
    m_newerPeer = aPeer;
    m_newerRevision = aRevision;
  }
}

std::vector<Source>
Spreader::wantedSources(TimePoint aNow) const
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
      if (isUsable(aNow, { reader })) {
        return { { reader } };
      }
    }
  }
  // Readers, and hosts whose readers all fail, ask the platform and somebody far away.
  wanted.push_back({});
  std::vector<HostId> far;
  for (const HostEntry& entry : hosts().m_hosts) {
    const bool isOther = entry.m_host != m_options.m_self && !entry.m_leaving;
    if (isOther && isUsable(aNow, { entry.m_host })) {
      far.push_back(entry.m_host);
    }
  }
  for (size_t count = 0; count < kFarPeers && !far.empty(); ++count) {
    wanted.push_back({ pickByRendezvous(m_options.m_self.m_value + count, far) });
    std::erase(far, wanted.back().m_host);
  }
  return wanted;
}

std::vector<std::pair<Source, WatchRequest>>
Spreader::takeWatches(TimePoint aNow)
{
  for (auto& [source, state] : m_sources) {
    if (state.m_waiting && aNow - state.m_askedAt > kWatchDeadline) {
      onFailure(aNow, source);
    }
  }
  std::vector<std::pair<Source, WatchRequest>> watches;
  std::vector<Source> sources = wantedSources(aNow);
  const Source newer{ m_newerPeer };
  if (m_newerRevision > form().m_revision && std::ranges::find(sources, newer) == sources.end()) {
    sources.push_back(newer);
  }
  for (const Source source : sources) {
    SourceState& state = m_sources[source];
    if (state.m_waiting || aNow < state.m_restUntil) {
      continue;
    }
    state.m_waiting = true;
    state.m_askedAt = aNow;
    watches.push_back({ source, { m_state.form().m_revision, hosts().m_revision } });
  }
  return watches;
}

void
Spreader::onPlatformAnswer(TimePoint aNow, const PlatformAnswer& aAnswer)
{
  m_sources[Source{}] = {};
  if (aAnswer.m_settings) {
    const Revision before = m_state.form().m_revision;
    const AcceptOutcome outcome =
      m_state.offerDocument(aNow, aAnswer.m_settingsRevision, *aAnswer.m_settings);
    if (aAnswer.m_settingsRevision > before) {
      m_faults = outcome.m_faults;
      noteOutcome(aNow, outcome);
    }
  }
  if (aAnswer.m_hosts) {
    auto hosts = parseHostList(aAnswer.m_hostsRevision, *aAnswer.m_hosts);
    if (hosts.ok()) {
      m_state.offerHosts(*std::move(hosts));
    } else {
      m_events.add(
        aNow, EventId::SettingsSourceFailed, "host list: " + std::string(hosts.status().message()));
    }
  }
  // A platform that answers with older state than this host has seen is stale.
  if (aAnswer.m_settingsRevision >= m_state.form().m_revision) {
    m_state.confirm(aNow);
  }
}

bool
Spreader::onPeerAnswer(TimePoint aNow, HostId aPeer, std::string_view aAnswer)
{
  const auto outcome = m_state.apply(aNow, aAnswer);
  if (!outcome.ok()) {
    m_events.add(aNow,
                 EventId::SettingsSourceFailed,
                 "peer " + formatHost(aPeer) + ": " + std::string(outcome.status().message()));
    onFailure(aNow, Source{ aPeer });
    return false;
  }
  noteOutcome(aNow, *outcome);
  m_sources[Source{ aPeer }] = {};
  return true;
}

void
Spreader::onFailure(TimePoint aNow, Source aSource)
{
  SourceState& state = m_sources[aSource];
  if (!state.m_failed) {
    m_events.add(aNow,
                 EventId::SettingsSourceFailed,
                 aSource.isPlatform() ? std::string("platform")
                                      : "peer " + formatHost(aSource.m_host));
  }
  state.m_failed = true;
  state.m_waiting = false;
  const auto jitter = static_cast<int64_t>(m_random() % static_cast<uint64_t>(kRest.count()));
  state.m_restUntil = aNow + kRest + Millis(jitter);
}

void
Spreader::noteOutcome(TimePoint aNow, const AcceptOutcome& aOutcome)
{
  for (const Fault& fault : aOutcome.m_faults) {
    m_events.add(aNow, EventId::SubtreeRefused, fault.m_path + " " + fault.m_text);
  }
  if (!aOutcome.m_changed) {
    return;
  }
  m_events.add(
    aNow, EventId::SettingsAccepted, "revision " + std::to_string(m_state.form().m_revision));
  keepForm();
}

void
Spreader::keepForm()
{
  m_forms.emplace_back(m_state.form().m_revision, toJson(m_state.form()));
  if (m_forms.size() > kKeptForms) {
    m_forms.pop_front();
  }
}

bool
Spreader::hasNews(const WatchRequest& aRequest) const
{
  return m_state.form().m_revision > aRequest.m_settings || hosts().m_revision > aRequest.m_hosts;
}

std::string
Spreader::answer(TimePoint aNow, const WatchRequest& aRequest) const
{
  const AcceptedForm& form = m_state.form();
  Json answer{ { "revision", form.m_revision },
               { "seen_ms", std::max<int64_t>(0, (aNow - m_state.seenAt()).count()) },
               { "age_ms", std::max<int64_t>(0, (aNow - confirmedAt()).count()) } };
  if (form.m_revision > aRequest.m_settings) {
    const Json whole = toJson(form);
    const auto known = std::ranges::find(
      m_forms, aRequest.m_settings, [](const auto& aEntry) { return aEntry.first; });
    if (known != m_forms.end()) {
      answer["from"] = aRequest.m_settings;
      answer["patch"] = Json::diff(known->second, whole);
    } else {
      answer["form"] = whole;
    }
  }
  if (hosts().m_revision > aRequest.m_hosts) {
    answer["hosts_revision"] = hosts().m_revision;
    answer["hosts"] = hostListToJson(hosts());
  }
  return answer.dump();
}

} // namespace tamarack::settings
