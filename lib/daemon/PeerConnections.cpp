// Sending of frames to peers, and replacement of stalled connections.
#include "daemon/PeerConnections.h"

#include "wire/Codec.h"

namespace tamarack::daemon {

namespace {

/// A connection is stalled if the peer has echoed no frame for longer than this.
constexpr Millis kEchoTimeout{ 1500 };

} // namespace

std::unique_ptr<transport::Http2Client>
PeerConnections::makeClient(HostId aHost)
{
  const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4(aHost.m_value), m_port);
  return std::make_unique<transport::Http2Client>(m_io, endpoint);
}

void
PeerConnections::send(TimePoint aNow, const node::OutgoingFrame& aFrame)
{
  Connection& connection = m_connections[aFrame.m_to];
  if (!connection.m_active) {
    connection.m_active = makeClient(aFrame.m_to);
    connection.m_activeSince = aNow;
  }
  const auto bytes = wire::encodeFrame(aFrame.m_frame);
  connection.m_active->sendMessage(bytes);
  if (connection.m_replacement) {
    connection.m_replacement->sendMessage(bytes);
  }
}

void
PeerConnections::replaceStalledConnections(TimePoint aNow, const membership::Membership& aMembers)
{
  for (auto& [host, connection] : m_connections) {
    const membership::Peer* peer = aMembers.find(host);
    if (peer == nullptr || !connection.m_active) {
      continue;
    }
    if (connection.m_replacement && connection.m_replacement->isConnected()) {
      connection.m_active = std::move(connection.m_replacement);
      connection.m_activeSince = aNow;
      ++m_replacementCount;
      continue;
    }
    const bool isStalled =
      aNow - std::max(peer->m_echoedAt, connection.m_activeSince) > kEchoTimeout;
    if (!isStalled) {
      connection.m_replacement.reset();
      continue;
    }
    if (!connection.m_replacement || aNow - connection.m_replacementSince > kEchoTimeout) {
      connection.m_replacement = makeClient(host);
      connection.m_replacementSince = aNow;
    }
  }
}

} // namespace tamarack::daemon
