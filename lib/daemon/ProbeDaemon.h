// The probe process: fetches the list of upstreams to probe from the local balancer, queries their
// health endpoints and reports the results to the balancer.
#pragma once

#include "daemon/HostConfig.h"
#include "daemon/ProbeMessages.h"
#include "logging/LatencyHistogram.h"
#include "transport/Http2.h"

namespace tamarack::daemon {

class ProbeDaemon
{
public:
  ProbeDaemon(asio::io_context& aIo, HostConfig aConfig);

private:
  /// Fetches the probe targets, and schedules the next call.
  void pollTargets();
  void onTargets(const transport::Response& aResponse);
  void probeUpstream(const node::ProbeTarget& aTarget);
  /// Adds a report to the batch that is sent after kReportBatchDelay.
  void queueReport(const admission::UpstreamReport& aReport);
  void sendReports();
  [[nodiscard]] transport::Response dump() const;

  asio::io_context& m_io;
  HostConfig m_config;
  /// Connection to the administrative endpoint of the local balancer.
  transport::Http2Client m_balancerClient;
  std::map<Ipv4, std::unique_ptr<transport::Http2Client>> m_upstreamClients;
  /// Reports that have not been sent to the balancer yet.
  std::vector<admission::UpstreamReport> m_pendingReports;
  /// The most recent report of each upstream, by upstream name.
  std::map<std::string, admission::UpstreamReport> m_lastReports;
  /// Response times of successful probes.
  logging::LatencyHistogram m_probeLatency;
  uint64_t m_probesSent{};
  uint64_t m_probeFailures{};
  asio::steady_timer m_pollTimer;
  asio::steady_timer m_reportTimer;
  transport::Http2Server m_adminServer;
};

} // namespace tamarack::daemon
