// The connections on which this host sends frames to its peers. A connection whose frames are not
// echoed in time is replaced: the replacement is opened before the stalled connection is closed.
#pragma once

#include "base/Types.h"
#include "node/Node.h"
#include "transport/Http2.h"

#include <map>
#include <memory>

namespace tamarack::daemon {

class PeerConnections
{
public:
  PeerConnections(asio::io_context& aIo, uint16_t aPort)
    : m_io(aIo)
    , m_port(aPort)
  {
  }

  void send(TimePoint aNow, const node::OutgoingFrame& aFrame);
  /// Opens replacements for connections on which the peer has not echoed a frame within the echo
  /// timeout, and switches to replacements that are open. Call it periodically.
  void replaceStalledConnections(TimePoint aNow, const membership::Membership& aMembers);
  /// Number of stalled connections that were replaced.
  [[nodiscard]] uint64_t replacementCount() const { return m_replacementCount; }

private:
  struct Connection
  {
    std::unique_ptr<transport::Http2Client> m_active;
    /// Opened while the active connection is stalled, and null otherwise. Frames are sent on both
    /// connections until this one replaces the active one.
    std::unique_ptr<transport::Http2Client> m_replacement;
    /// When m_active was created, or when it replaced a stalled connection.
    TimePoint m_activeSince;
    TimePoint m_replacementSince;
  };

  std::unique_ptr<transport::Http2Client> makeClient(HostId aHost);

  asio::io_context& m_io;
  uint16_t m_port;
  std::map<HostId, Connection> m_connections;
  uint64_t m_replacementCount{};
};

} // namespace tamarack::daemon
