// The settings process: fetches settings and the host list from the platform or from peers,
// validates them, and serves the accepted revisions to the local processes and to the settings
// processes of other hosts.
#pragma once

#include "daemon/HostConfig.h"
#include "settings/SettingsDistributor.h"
#include "transport/Http2.h"

#include <list>

namespace tamarack::daemon {

class SettingsDaemon
{
public:
  SettingsDaemon(asio::io_context& aIo, HostConfig aConfig);

private:
  /// A long-poll request of a local process or a peer that has not been answered, because nothing
  /// has changed since the revisions that the client has.
  struct PendingWatch
  {
    settings::WatchRequest m_request;
    TimePoint m_receivedAt;
    transport::Responder m_respond;
  };

  void tick();
  /// Sends the long-poll requests that are due to the platform and to peers.
  void startWatches(TimePoint aNow);
  void watchPlatform(const settings::WatchRequest& aRequest);
  /// Sends a long-poll request for the settings or the host list to the platform, unless one is
  /// pending. `aIsWatching` is the member that records whether one is pending.
  void watchPlatformDocument(const std::string& aPath,
                             settings::Revision aAfter,
                             bool& aIsWatching);
  void watchPeer(HostId aPeer, const settings::WatchRequest& aRequest);
  void onPlatformDocument(const transport::Response& aResponse, bool aIsSettings);
  /// Answers the watches for which something has changed or whose wait time is over.
  void answerPendingWatches(TimePoint aNow);
  void onRequest(const transport::Request& aRequest, const transport::Responder& aRespond);
  [[nodiscard]] transport::Response dump() const;
  transport::Http2Client& peerClient(HostId aPeer);

  asio::io_context& m_io;
  HostConfig m_config;
  EventLog m_events;
  /// Selects the sources to watch and holds the accepted settings and host list. It does no I/O.
  settings::SettingsDistributor m_distributor;
  transport::Http2Client m_platformClient;
  std::map<HostId, std::unique_ptr<transport::Http2Client>> m_peerClients;
  std::list<PendingWatch> m_pendingWatches;
  /// Whether a request for the settings to the platform is pending.
  bool m_isWatchingSettings{};
  /// Whether a request for the host list to the platform is pending.
  bool m_isWatchingHosts{};
  asio::steady_timer m_tickTimer;
  transport::Http2Server m_server;
};

} // namespace tamarack::daemon
