// Request handlers of the settings process. The platform adapter is watchPlatform and
// onPlatformDocument: GET /settings?after=REVISION and GET /hosts?after=REVISION are long-poll
// requests, answered with status 200 and the header x-revision, or with 304 when nothing changed
// within the wait time.
#include "daemon/SettingsDaemon.h"

#include "base/Clock.h"
#include "logging/Log.h"

#include <nlohmann/json.hpp>

namespace tamarack::daemon {

namespace {

constexpr Millis kTickInterval{ 50 };
constexpr Millis kWatchTimeout = settings::kWatchResponseTimeout;

} // namespace

SettingsDaemon::SettingsDaemon(asio::io_context& aIo, HostConfig aConfig)
  : m_io(aIo)
  , m_config(std::move(aConfig))
  , m_distributor(settings::SettingsDistributorOptions{ .m_self = m_config.m_self,
                                                        .m_dataCentre = m_config.m_dataCentre,
                                                        .m_seeds = m_config.m_seeds,
                                                        .m_jitterSeed = m_config.m_self.m_value },
                  m_events)
  , m_platformClient(aIo, transport::parseEndpoint(m_config.m_platform))
  , m_tickTimer(aIo)
  , m_server(aIo,
             { asio::ip::address_v4(m_config.m_address.m_value), m_config.m_ports.m_settings },
             [this](const transport::Request& aRequest, const transport::Responder& aRespond) {
               onRequest(aRequest, aRespond);
             })
{
  logging::logEvent(EventId::ProcessStarted, "host " + formatIpv4(m_config.m_address));
  tick();
}

void
SettingsDaemon::tick()
{
  const TimePoint now = readClock();
  startWatches(now);
  answerPendingWatches(now);
  logging::logEvents(m_events.takeUnlogged());
  m_tickTimer.expires_after(kTickInterval);
  m_tickTimer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      tick();
    }
  });
}

void
SettingsDaemon::startWatches(TimePoint aNow)
{
  for (const auto& [source, request] : m_distributor.takeDueWatches(aNow)) {
    if (source.isPlatform()) {
      watchPlatform(request);
    } else {
      watchPeer(source.m_host, request);
    }
  }
}

void
SettingsDaemon::watchPlatform(const settings::WatchRequest& aRequest)
{
  watchPlatformDocument("/settings", aRequest.m_settingsRevision, m_isWatchingSettings);
  watchPlatformDocument("/hosts", aRequest.m_hostsRevision, m_isWatchingHosts);
}

void
SettingsDaemon::watchPlatformDocument(const std::string& aPath,
                                      settings::Revision aAfter,
                                      bool& aIsWatching)
{
  // Settings and host list are answered independently, so the request for one may still be pending
  // when the other is requested again.
  if (aIsWatching) {
    return;
  }
  aIsWatching = true;
  transport::Request request{ .m_method = "GET", .m_path = aPath };
  request.m_query["after"] = std::to_string(aAfter);
  request.m_query["wait_ms"] = std::to_string(settings::kLongPollTimeout.count());
  m_platformClient.request(
    request, kWatchTimeout, [this, &aIsWatching](const transport::Response& aResponse) {
      aIsWatching = false;
      onPlatformDocument(aResponse, &aIsWatching == &m_isWatchingSettings);
    });
}

void
SettingsDaemon::onPlatformDocument(const transport::Response& aResponse, bool aIsSettings)
{
  const TimePoint now = readClock();
  if (aResponse.m_status != 200 && aResponse.m_status != 304) {
    m_distributor.onFailure(now, {});
    m_platformClient.close();
    return;
  }
  settings::PlatformResponse answer;
  settings::Revision& revision = aIsSettings ? answer.m_settingsRevision : answer.m_hostsRevision;
  revision = aResponse.m_revision;
  if (aResponse.m_status == 200) {
    (aIsSettings ? answer.m_settings : answer.m_hosts) = aResponse.m_body;
  }
  m_distributor.onPlatformResponse(now, answer);
  startWatches(now);
  answerPendingWatches(now);
}

transport::Http2Client&
SettingsDaemon::peerClient(HostId aPeer)
{
  auto& client = m_peerClients[aPeer];
  if (!client) {
    client = std::make_unique<transport::Http2Client>(
      m_io,
      asio::ip::tcp::endpoint(asio::ip::address_v4(aPeer.m_value), m_config.m_ports.m_settings));
  }
  return *client;
}

void
SettingsDaemon::watchPeer(HostId aPeer, const settings::WatchRequest& aRequest)
{
  transport::Request request{ .m_method = "GET", .m_path = "/state" };
  request.m_query["settings"] = std::to_string(aRequest.m_settingsRevision);
  request.m_query["hosts"] = std::to_string(aRequest.m_hostsRevision);
  peerClient(aPeer).request(
    request, kWatchTimeout, [this, aPeer](const transport::Response& aResponse) {
      const TimePoint now = readClock();
      if (aResponse.m_status != 200) {
        m_distributor.onFailure(now, { aPeer });
        peerClient(aPeer).close();
        return;
      }
      m_distributor.onPeerResponse(now, aPeer, aResponse.m_body);
      answerPendingWatches(now);
    });
}

void
SettingsDaemon::answerPendingWatches(TimePoint aNow)
{
  std::list<PendingWatch> waiting;
  std::swap(waiting, m_pendingWatches);
  for (PendingWatch& watch : waiting) {
    const bool isExpired = aNow - watch.m_receivedAt >= settings::kLongPollTimeout;
    if (isExpired || m_distributor.hasNewerState(watch.m_request)) {
      watch.m_respond(
        { .m_status = 200, .m_body = m_distributor.buildResponse(aNow, watch.m_request) });
      continue;
    }
    m_pendingWatches.push_back(std::move(watch));
  }
}

void
SettingsDaemon::onRequest(const transport::Request& aRequest, const transport::Responder& aRespond)
{
  if (aRequest.m_path == "/dump") {
    aRespond(dump());
    return;
  }
  if (aRequest.m_path == "/newer") {
    const auto host = aRequest.m_query.find("host");
    const auto address = host == aRequest.m_query.end() ? std::nullopt : parseIpv4(host->second);
    if (address) {
      m_distributor.onPeerRevision(HostId{ address->m_value },
                                   transport::queryNumber(aRequest, "revision"));
    }
    aRespond({ .m_status = address ? 200 : 400 });
    return;
  }
  if (aRequest.m_path != "/state") {
    aRespond({ .m_status = 404, .m_body = "no such path\n" });
    return;
  }
  const TimePoint now = readClock();
  m_pendingWatches.push_back({ .m_request = { transport::queryNumber(aRequest, "settings"),
                                              transport::queryNumber(aRequest, "hosts") },
                               .m_receivedAt = now,
                               .m_respond = aRespond });
  answerPendingWatches(now);
}

transport::Response
SettingsDaemon::dump() const
{
  using Json = nlohmann::ordered_json;
  const TimePoint now = readClock();
  Json faults = Json::array();
  for (const settings::ValidationError& fault : m_distributor.errors()) {
    faults.push_back({ { "path", fault.m_path }, { "fault", fault.m_message } });
  }
  Json teams = Json::object();
  for (const auto& [team, part] : m_distributor.snapshot().m_teams) {
    teams[team] = part.m_revision;
  }
  Json history = Json::array();
  for (const Event& event : m_events.history()) {
    history.push_back({ { "ms_ago", (now - event.m_at).count() },
                        { "event", static_cast<int>(event.m_id) },
                        { "name", eventName(event.m_id) },
                        { "text", event.m_text } });
  }
  const TimePoint confirmed = m_distributor.confirmedAt();
  const Json json{ { "host", formatIpv4(m_config.m_address) },
                   { "settings_revision", m_distributor.snapshot().m_revision },
                   { "root_from_revision", m_distributor.snapshot().m_root.m_revision },
                   { "teams_from_revision", std::move(teams) },
                   { "hosts_revision", m_distributor.hosts().m_revision },
                   { "confirmed_ms_ago",
                     confirmed == TimePoint{} ? Json(nullptr) : Json((now - confirmed).count()) },
                   { "reads_the_platform", m_distributor.isReader() },
                   { "watchers", m_pendingWatches.size() },
                   { "faults", std::move(faults) },
                   { "history", std::move(history) } };
  return { .m_status = 200, .m_body = json.dump(2) + "\n" };
}

} // namespace tamarack::daemon
