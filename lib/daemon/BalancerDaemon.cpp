// Timers and request handlers of the balancer process.
#include "daemon/BalancerDaemon.h"

#include "base/Clock.h"
#include "daemon/ProbeMessages.h"
#include "logging/Log.h"
#include "operator/Dump.h"
#include "wire/Codec.h"

#include <random>

namespace tamarack::daemon {

namespace {

/// Timeout of requests to the local settings process. It exceeds settings::kLongPollTimeout, after
/// which a long-poll request is answered even without a change.
constexpr Millis kWatchTimeout{ 4000 };
/// Delay before a failed long-poll request is repeated.
constexpr Millis kWatchRetryDelay{ 300 };
/// A planned stop that has not completed after this time is cut short.
constexpr Millis kStopTimeout{ 15'000 };
/// Packets and frames in flight are still processed for this long after a planned stop has
/// completed.
constexpr Millis kStopDrainTime{ 500 };

asio::ip::tcp::endpoint
tcpEndpoint(const HostConfig& aConfig, uint16_t aPort)
{
  return { asio::ip::address_v4(aConfig.m_address.m_value), aPort };
}

node::NodeOptions
nodeOptions(const HostConfig& aConfig)
{
  // The incarnation number has to increase with each start of a host. Hosts persist no state, so it
  // is taken from the wall clock, in units of 100 ms.
  const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  const auto tenthsOfSecond =
    std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count() / 100;
  return { .m_self = aConfig.m_self,
           .m_dataCentre = aConfig.m_dataCentre,
           .m_incarnation = static_cast<uint32_t>(tenthsOfSecond),
           .m_seeds = aConfig.m_seeds };
}

transport::Response
jsonResponse(const diagnostics::Json& aJson)
{
  return { .m_status = 200, .m_body = aJson.dump(2) + "\n" };
}

} // namespace

BalancerDaemon::BalancerDaemon(asio::io_context& aIo, HostConfig aConfig)
  : m_io(aIo)
  , m_config(std::move(aConfig))
  , m_node(nodeOptions(m_config), readClock())
  , m_packetForwarder(aIo, m_config, m_node)
  , m_peerConnections(aIo, m_config.m_ports.m_peers)
  , m_settingsClient(aIo, tcpEndpoint(m_config, m_config.m_ports.m_settings))
  , m_tickTimer(aIo)
  , m_watchRetryTimer(aIo)
  , m_peerServer(
      aIo,
      tcpEndpoint(m_config, m_config.m_ports.m_peers),
      [](const transport::Request&, const transport::Responder& aRespond) {
        aRespond({ .m_status = 404 });
      },
      [this](std::span<const uint8_t> aBytes) { onEncodedFrame(aBytes); })
  , m_adminServer(aIo,
                  tcpEndpoint(m_config, m_config.m_ports.m_operators),
                  [this](const transport::Request& aRequest, const transport::Responder& aRespond) {
                    onRequest(aRequest, aRespond);
                  })
{
  watchSettings();
  tick();
}

void
BalancerDaemon::stop()
{
  m_stoppingSince = readClock();
  m_node.startLeaving(m_stoppingSince);
}

void
BalancerDaemon::tick()
{
  const TimePoint now = readClock();
  m_node.tick(now);
  m_packetForwarder.retryDuePackets(now);
  m_peerConnections.replaceStalledConnections(now, m_node.context().m_membership);
  sendFrames(now);
  reportNewerPeer();
  logging::logEvents(m_node.events().takeUnlogged());
  if (m_node.hasLeft() && m_leftAt == TimePoint{}) {
    m_leftAt = now;
  }
  const bool isDone = m_leftAt != TimePoint{} && now - m_leftAt >= kStopDrainTime;
  const bool isTimedOut = m_stoppingSince != TimePoint{} && now - m_stoppingSince >= kStopTimeout;
  if (isDone || isTimedOut) {
    m_io.stop();
    return;
  }
  m_tickTimer.expires_after(node::kTickInterval);
  m_tickTimer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      tick();
    }
  });
}

void
BalancerDaemon::reportNewerPeer()
{
  const auto [peer, revision] = m_node.peerWithNewerSettings();
  if (!peer || revision <= m_reportedRevision) {
    return;
  }
  m_reportedRevision = revision;
  transport::Request request{ .m_method = "GET", .m_path = "/newer" };
  request.m_query["host"] = formatHost(peer);
  request.m_query["revision"] = std::to_string(revision);
  m_settingsClient.request(request, kWatchTimeout, [](const transport::Response&) {});
}

void
BalancerDaemon::sendFrames(TimePoint aNow)
{
  for (const node::OutgoingFrame& frame : m_node.takeFrames(aNow)) {
    m_peerConnections.send(aNow, frame);
  }
}

void
BalancerDaemon::onEncodedFrame(std::span<const uint8_t> aBytes)
{
  auto frame = wire::decodeFrame(aBytes);
  if (!frame.ok()) {
    ++m_malformedFrames;
    return;
  }
  const TimePoint now = readClock();
  m_node.onFrame(now, *std::move(frame));
  sendFrames(now);
}

void
BalancerDaemon::watchSettings()
{
  transport::Request request{ .m_method = "GET", .m_path = "/state" };
  request.m_query["settings"] = std::to_string(m_publishedState.snapshot().m_revision);
  request.m_query["hosts"] = std::to_string(m_publishedState.hosts().m_revision);
  m_settingsClient.request(request, kWatchTimeout, [this](const transport::Response& aResponse) {
    onStateResponse(aResponse);
  });
}

void
BalancerDaemon::onStateResponse(const transport::Response& aResponse)
{
  const TimePoint now = readClock();
  if (aResponse.m_status == 200) {
    const auto outcome = m_publishedState.applyResponse(now, aResponse.m_body);
    if (outcome.ok()) {
      applySettings(now);
      sendFrames(now);
      watchSettings();
      return;
    }
    logging::logEvent(EventId::SettingsSourceFailed,
                      "local settings process: " + std::string(outcome.status().message()));
  }
  m_settingsClient.close();
  m_watchRetryTimer.expires_after(kWatchRetryDelay);
  m_watchRetryTimer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      watchSettings();
    }
  });
}

void
BalancerDaemon::applySettings(TimePoint aNow)
{
  m_node.onSettingsConfirmed(m_publishedState.confirmedAt());
  if (m_publishedState.hosts().m_revision > m_appliedHostsRevision) {
    m_appliedHostsRevision = m_publishedState.hosts().m_revision;
    std::vector<membership::ListedHost> listed;
    for (const settings::HostEntry& entry : m_publishedState.hosts().m_hosts) {
      listed.push_back({ entry.m_host, entry.m_dataCentre, entry.m_leaving });
    }
    m_node.onHostList(aNow, listed);
  }
  if (m_publishedState.settings()) {
    m_node.onSettings(
      aNow, m_publishedState.settings(), aNow - m_publishedState.revisionFirstSeenAt());
  }
}

void
BalancerDaemon::onRequest(const transport::Request& aRequest, const transport::Responder& aRespond)
{
  if (aRequest.m_path == "/dump") {
    aRespond(dump());
  } else if (aRequest.m_path == "/explain") {
    aRespond(explain(aRequest));
  } else if (aRequest.m_path == "/probes" && aRequest.m_method == "GET") {
    aRespond(probeTargets());
  } else if (aRequest.m_path == "/probes" && aRequest.m_method == "POST") {
    aRespond(receiveReports(aRequest));
  } else {
    aRespond({ .m_status = 404, .m_body = "no such path\n" });
  }
}

transport::Response
BalancerDaemon::dump() const
{
  diagnostics::Json json = diagnostics::dumpNode(m_node, readClock());
  diagnostics::Json& packets = json["packets"];
  packets["received"] = m_packetForwarder.packetsReceived();
  packets["not_sent"] = m_packetForwarder.datagramsNotSent();
  for (const ErrorRow& row : errorTable()) {
    const uint64_t count = m_packetForwarder.dropsByErrorKind()[static_cast<size_t>(row.m_kind)];
    if (count > 0) {
      packets["dropped"][std::string(row.m_name)] = count;
    }
  }
  const logging::LatencyHistogram& latency = m_packetForwarder.decisionLatency();
  json["decision_ns"] = { { "timed", latency.count() },
                          { "p50", latency.quantile(0.5) },
                          { "p99", latency.quantile(0.99) } };
  json["links"] = { { "replaced", m_peerConnections.replacementCount() },
                    { "bad_frames", m_malformedFrames } };
  return jsonResponse(json);
}

transport::Response
BalancerDaemon::explain(const transport::Request& aRequest) const
{
  const auto text = aRequest.m_query.find("flow");
  const auto flow = diagnostics::parseFlow(text == aRequest.m_query.end() ? "" : text->second);
  if (!flow.ok()) {
    return { .m_status = 400, .m_body = std::string(flow.status().message()) + "\n" };
  }
  return jsonResponse(diagnostics::explainFlow(m_node, readClock(), *flow));
}

transport::Response
BalancerDaemon::probeTargets() const
{
  return { .m_status = 200, .m_body = serializeTargets(m_node.probeTargets(readClock())) };
}

transport::Response
BalancerDaemon::receiveReports(const transport::Request& aRequest)
{
  std::vector<std::string> errors;
  const auto reports = parseReports(aRequest.m_body, errors);
  if (!reports.ok()) {
    return { .m_status = 400, .m_body = std::string(reports.status().message()) + "\n" };
  }
  const TimePoint now = readClock();
  for (const admission::UpstreamReport& report : *reports) {
    m_node.onProbeResult(now, report);
  }
  sendFrames(now);
  if (!errors.empty() && m_invalidReportLogLimit.tryAcquire(now)) {
    logging::logEvent(EventId::MessageFailed,
                      "probe process: reports left out: " + std::to_string(errors.size()) +
                        ", the first: " + errors.front());
  }
  return { .m_status = 200 };
}

} // namespace tamarack::daemon
