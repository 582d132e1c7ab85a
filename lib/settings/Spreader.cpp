// Choice of sources, rests after failures, and answers with differences.
#include "settings/Spreader.h"

#include "base/Hash.h"
#include "settings/FieldReader.h"

#include <algorithm>
#include <array>

namespace tamarack::settings {

namespace {

using namespace std::string_view_literals;

constexpr std::array kHostStates{ "live"sv, "leaving"sv };
/// Peers of other data centres that a reader watches beside the platform.
constexpr size_t kFarPeers = 1;

Json
hostsToJson(const HostList& aHosts)
{
  Json entries = Json::array();
  for (const HostEntry& entry : aHosts.m_hosts) {
    entries.push_back({ { "address", formatIpv4(Ipv4{ entry.m_host.m_value }) },
                        { "data_centre", entry.m_dataCentre },
                        { "state", entry.m_leaving ? "leaving" : "live" } });
  }
  return { { "hosts", std::move(entries) } };
}

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
  for (const HostEntry& entry : m_hosts.m_hosts) {
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

std::vector<Source>
Spreader::wantedSources(TimePoint aNow) const
{
  std::vector<Source> wanted;
  if (m_hosts.m_hosts.empty()) {
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
  for (const HostEntry& entry : m_hosts.m_hosts) {
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
  for (const Source source : wantedSources(aNow)) {
    SourceState& state = m_sources[source];
    if (state.m_waiting || aNow < state.m_restUntil) {
      continue;
    }
    state.m_waiting = true;
    state.m_askedAt = aNow;
    watches.push_back({ source, { m_acceptor.form().m_revision, m_hosts.m_revision } });
  }
  return watches;
}

void
Spreader::onPlatformAnswer(TimePoint aNow, const PlatformAnswer& aAnswer)
{
  m_sources[Source{}] = {};
  if (aAnswer.m_settings) {
    const Revision before = m_acceptor.form().m_revision;
    const AcceptOutcome outcome =
      m_acceptor.offerDocument(aAnswer.m_settingsRevision, *aAnswer.m_settings);
    if (aAnswer.m_settingsRevision > before) {
      m_faults = outcome.m_faults;
      noteOutcome(aNow, outcome);
    }
  }
  if (aAnswer.m_hosts) {
    auto hosts = parseHostList(aAnswer.m_hostsRevision, *aAnswer.m_hosts);
    if (hosts.ok()) {
      takeHosts(*std::move(hosts));
    } else {
      m_events.add(
        aNow, EventId::SettingsSourceFailed, "host list: " + std::string(hosts.status().message()));
    }
  }
  // A platform that answers with older state than this host has seen is stale.
  if (aAnswer.m_settingsRevision >= m_acceptor.form().m_revision) {
    m_confirmedAt = aNow;
  }
}

bool
Spreader::onPeerAnswer(TimePoint aNow, HostId aPeer, std::string_view aAnswer)
{
  const Json json = Json::parse(aAnswer, nullptr, false);
  try {
    const Revision revision = json.at("revision").get<Revision>();
    const Millis age(json.at("age_ms").get<int64_t>());
    if (const auto patch = json.find("patch"); patch != json.end()) {
      if (json.at("from").get<Revision>() != m_acceptor.form().m_revision) {
        throw std::invalid_argument("a difference to another revision");
      }
      const Json patched = toJson(m_acceptor.form()).patch(*patch);
      const auto form = acceptedFormFromJson(patched);
      if (!form.ok()) {
        throw std::invalid_argument(std::string(form.status().message()));
      }
      noteOutcome(aNow, m_acceptor.offerForm(*form));
    } else if (const auto whole = json.find("form"); whole != json.end()) {
      const auto form = acceptedFormFromJson(*whole);
      if (!form.ok()) {
        throw std::invalid_argument(std::string(form.status().message()));
      }
      noteOutcome(aNow, m_acceptor.offerForm(*form));
    }
    if (const auto hosts = json.find("hosts"); hosts != json.end()) {
      auto list = parseHostList(json.at("hosts_revision").get<Revision>(), hosts->dump());
      if (list.ok()) {
        takeHosts(*std::move(list));
      }
    }
    if (revision >= m_acceptor.form().m_revision) {
      m_confirmedAt = std::max(m_confirmedAt, aNow - age);
    }
    m_sources[Source{ aPeer }] = {};
    return true;
  } catch (const std::exception& error) {
    m_events.add(
      aNow, EventId::SettingsSourceFailed, "peer " + formatHost(aPeer) + ": " + error.what());
    onFailure(aNow, Source{ aPeer });
    return false;
  }
}

void
Spreader::onFailure(TimePoint aNow, Source aSource)
{
  SourceState& state = m_sources[aSource];
  if (state.m_rest == kLeastRest) {
    m_events.add(aNow,
                 EventId::SettingsSourceFailed,
                 aSource.isPlatform() ? std::string("platform")
                                      : "peer " + formatHost(aSource.m_host));
  }
  state.m_waiting = false;
  const auto jitter =
    static_cast<int64_t>(m_random() % static_cast<uint64_t>(state.m_rest.count()));
  state.m_restUntil = aNow + state.m_rest + Millis(jitter);
  state.m_rest = std::min(2 * state.m_rest, kMostRest);
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
    aNow, EventId::SettingsAccepted, "revision " + std::to_string(m_acceptor.form().m_revision));
  keepForm();
}

void
Spreader::takeHosts(HostList aHosts)
{
  if (aHosts.m_revision > m_hosts.m_revision) {
    m_hosts = std::move(aHosts);
  }
}

void
Spreader::keepForm()
{
  m_forms.emplace_back(m_acceptor.form().m_revision, toJson(m_acceptor.form()));
  if (m_forms.size() > kKeptForms) {
    m_forms.pop_front();
  }
}

bool
Spreader::hasNews(const WatchRequest& aRequest) const
{
  return m_acceptor.form().m_revision > aRequest.m_settings ||
         m_hosts.m_revision > aRequest.m_hosts;
}

std::string
Spreader::answer(TimePoint aNow, const WatchRequest& aRequest) const
{
  const AcceptedForm& form = m_acceptor.form();
  Json answer{ { "revision", form.m_revision },
               { "age_ms", std::max<int64_t>(0, (aNow - m_confirmedAt).count()) } };
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
  if (m_hosts.m_revision > aRequest.m_hosts) {
    answer["hosts_revision"] = m_hosts.m_revision;
    answer["hosts"] = hostsToJson(m_hosts);
  }
  return answer.dump();
}

} // namespace tamarack::settings
