// Polling of the probe targets, probing of upstreams, and batching of the reports.
#include "daemon/ProbeDaemon.h"

#include "logging/Log.h"

#include <nlohmann/json.hpp>

namespace tamarack::daemon {

namespace {

/// Time between rounds of probes.
constexpr Millis kProbeInterval{ 500 };
constexpr Millis kProbeTimeout{ 400 };
constexpr Millis kBalancerTimeout{ 1000 };
/// Delay between the first pending report and sending, so that the reports of one round of probes
/// are sent in one request.
constexpr Millis kReportBatchDelay{ 20 };

asio::ip::tcp::endpoint
tcpEndpoint(Ipv4 aAddress, uint16_t aPort)
{
  return { asio::ip::address_v4(aAddress.m_value), aPort };
}

} // namespace

ProbeDaemon::ProbeDaemon(asio::io_context& aIo, HostConfig aConfig)
  : m_io(aIo)
  , m_config(std::move(aConfig))
  , m_balancerClient(aIo, tcpEndpoint(m_config.m_address, m_config.m_ports.m_operators))
  , m_pollTimer(aIo)
  , m_reportTimer(aIo)
  , m_adminServer(aIo,
                  tcpEndpoint(m_config.m_address, m_config.m_ports.m_probe),
                  [this](const transport::Request& aRequest, const transport::Responder& aRespond) {
                    if (aRequest.m_path == "/dump") {
                      aRespond(dump());
                      return;
                    }
                    aRespond({ .m_status = 404, .m_body = "no such path\n" });
                  })
{
  logging::logEvent(EventId::ProcessStarted, "host " + formatIpv4(m_config.m_address));
  pollTargets();
}

void
ProbeDaemon::pollTargets()
{
  m_balancerClient.request({ .m_method = "GET", .m_path = "/probes" },
                           kBalancerTimeout,
                           [this](const transport::Response& aResponse) { onTargets(aResponse); });
  m_pollTimer.expires_after(kProbeInterval);
  m_pollTimer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      pollTargets();
    }
  });
}

void
ProbeDaemon::onTargets(const transport::Response& aResponse)
{
  const auto targets = parseTargets(aResponse.m_body);
  if (aResponse.m_status != 200 || !targets.ok()) {
    m_balancerClient.close();
    return;
  }
  for (const node::ProbeTarget& target : *targets) {
    probeUpstream(target);
  }
}

void
ProbeDaemon::probeUpstream(const node::ProbeTarget& aTarget)
{
  auto& client = m_upstreamClients[aTarget.m_address];
  if (!client) {
    client = std::make_unique<transport::Http2Client>(
      m_io, tcpEndpoint(aTarget.m_address, m_config.m_ports.m_health));
  }
  ++m_probesSent;
  const auto start = std::chrono::steady_clock::now();
  client->request({ .m_method = "GET", .m_path = "/health" },
                  kProbeTimeout,
                  [this, aTarget, start](const transport::Response& aResponse) {
                    if (aResponse.m_status == 200) {
                      const auto elapsed = std::chrono::steady_clock::now() - start;
                      m_probeLatency.add(std::chrono::duration<double, std::nano>(elapsed).count());
                    } else {
                      ++m_probeFailures;
                      m_upstreamClients[aTarget.m_address]->close();
                    }
                    const auto health = parseHealthResponse(
                      aTarget, aResponse.m_status == 200 ? aResponse.m_body : "");
                    m_lastReports[aTarget.m_upstreamName] = health;
                    queueReport(health);
                  });
}

void
ProbeDaemon::queueReport(const admission::UpstreamReport& aReport)
{
  m_pendingReports.push_back(aReport);
  if (m_pendingReports.size() > 1) {
    return;
  }
  m_reportTimer.expires_after(kReportBatchDelay);
  m_reportTimer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      sendReports();
    }
  });
}

void
ProbeDaemon::sendReports()
{
  m_balancerClient.request(
    { .m_method = "POST", .m_path = "/probes", .m_body = serializeReports(m_pendingReports) },
    kBalancerTimeout,
    [](const transport::Response&) {});
  m_pendingReports.clear();
}

transport::Response
ProbeDaemon::dump() const
{
  using Json = nlohmann::ordered_json;
  Json upstreams = Json::object();
  for (const auto& [name, report] : m_lastReports) {
    upstreams[name] = { { "answered", report.m_answered },
                        { "identity_matches", report.m_identityMatches },
                        { "claims_cold", report.m_claimsCold },
                        { "sheds", report.m_sheds },
                        { "connections", report.m_connections } };
  }
  const Json json{ { "host", formatIpv4(m_config.m_address) },
                   { "probes", m_probesSent },
                   { "failures", m_probeFailures },
                   { "probe_ns",
                     { { "p50", m_probeLatency.quantile(0.5) },
                       { "p99", m_probeLatency.quantile(0.99) } } },
                   { "upstreams", std::move(upstreams) } };
  return { .m_status = 200, .m_body = json.dump(2) + "\n" };
}

} // namespace tamarack::daemon
