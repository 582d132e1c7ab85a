// The balancer process. It connects Node, which makes the decisions of one host and does no I/O, to
// packets, to the frames of other hosts, to the settings process and to the administrative
// endpoint.
#pragma once

#include "base/RateLimiter.h"
#include "daemon/HostConfig.h"
#include "daemon/PacketForwarder.h"
#include "daemon/PeerConnections.h"
#include "settings/StateReplica.h"
#include "transport/Http2.h"

namespace tamarack::daemon {

/// Rate limit of log lines about probe reports that cannot be read: lines per second, and the
/// burst.
inline constexpr double kInvalidReportLinesPerSecond = 1;
inline constexpr double kInvalidReportLineBurst = 8;

class BalancerDaemon
{
public:
  BalancerDaemon(asio::io_context& aIo, HostConfig aConfig);

  /// Begins a planned stop. The process ends after its duties have been handed over to other hosts,
  /// at the latest after kStopTimeout.
  void stop();

private:
  void tick();
  void sendFrames(TimePoint aNow);
  /// Notifies the local settings process that a peer has newer settings.
  void reportNewerPeer();
  void onEncodedFrame(std::span<const uint8_t> aBytes);
  /// Sends a long-poll request for the settings and the host list to the local settings process.
  void watchSettings();
  void onStateResponse(const transport::Response& aResponse);
  /// Passes the settings and the host list in m_publishedState to Node.
  void applySettings(TimePoint aNow);
  void onRequest(const transport::Request& aRequest, const transport::Responder& aRespond);
  [[nodiscard]] transport::Response dump() const;
  [[nodiscard]] transport::Response explain(const transport::Request& aRequest) const;
  [[nodiscard]] transport::Response probeTargets() const;
  transport::Response receiveReports(const transport::Request& aRequest);

  asio::io_context& m_io;
  HostConfig m_config;
  node::Node m_node;
  PacketForwarder m_packetForwarder;
  PeerConnections m_peerConnections;
  transport::Http2Client m_settingsClient;
  /// Settings and host list, as last received from the local settings process.
  settings::StateReplica m_publishedState;
  /// Revision of the host list that was last passed to Node.
  settings::Revision m_appliedHostsRevision{};
  /// Highest settings revision of a peer that has been reported to the settings process.
  settings::Revision m_reportedRevision{};
  asio::steady_timer m_tickTimer;
  asio::steady_timer m_watchRetryTimer;
  /// Zero before stop().
  TimePoint m_stoppingSince;
  /// When Node completed the planned stop; zero before.
  TimePoint m_leftAt;
  /// Limits the log lines about probe reports that cannot be read, which may come with every round
  /// of probes.
  RateLimiter m_invalidReportLogLimit{ kInvalidReportLinesPerSecond, kInvalidReportLineBurst };
  /// Number of received frames that could not be decoded.
  uint64_t m_malformedFrames{};
  /// Receives the frames of other hosts.
  transport::Http2Server m_peerServer;
  /// Serves dump and explain to operators, and probe targets to the probe process.
  transport::Http2Server m_adminServer;
};

} // namespace tamarack::daemon
