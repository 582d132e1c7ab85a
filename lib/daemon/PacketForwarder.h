// The packet I/O of a balancer: receives packets from the fabric and from other hosts, gets a
// decision for each from Node, and forwards, relays or rejects it. Packets that Node cannot decide
// yet are queued and retried; the queue is bounded.
#pragma once

#include "daemon/HostConfig.h"
#include "logging/LatencyHistogram.h"
#include "node/Node.h"
#include "transport/Datagrams.h"

#include <deque>

namespace tamarack::daemon {

/// Capacity of the retry queue, in packets.
inline constexpr size_t kMaxQueuedPackets = 4096;

class PacketForwarder
{
public:
  PacketForwarder(asio::io_context& aIo, const HostConfig& aConfig, node::Node& aNode);

  /// Retries the queued packets whose retry time has come.
  void retryDuePackets(TimePoint aNow);

  /// Time for parsing and deciding, of the sampled packets.
  [[nodiscard]] const logging::LatencyHistogram& decisionLatency() const
  {
    return m_decisionLatency;
  }
  /// Datagrams that the sockets dropped instead of sending them.
  [[nodiscard]] uint64_t datagramsNotSent() const
  {
    return m_packetSocket.droppedDatagrams() + m_relaySocket.droppedDatagrams();
  }
  /// Packets received, without relayed datagrams whose relay header was invalid.
  [[nodiscard]] uint64_t packetsReceived() const { return m_packetsReceived; }
  /// Packets dropped for an invalid relay header, a parse error or a full retry queue, by error
  /// kind. Packets that Node refuses are counted by Node.
  [[nodiscard]] const ErrorCounters& dropsByErrorKind() const { return m_drops; }

private:
  struct QueuedPacket
  {
    TimePoint m_retryAt;
    node::PacketArrival m_arrival;
    std::vector<uint8_t> m_packet;
  };

  void onFabricPacket(std::span<const uint8_t> aPacket);
  void onRelayedPacket(std::span<const uint8_t> aDatagram);
  void processPacket(std::span<const uint8_t> aPacket, node::PacketArrival aArrival);
  void applyDecision(std::span<const uint8_t> aPacket,
                     const node::PacketArrival& aArrival,
                     const node::Decision& aDecision);
  /// Answers a refused packet with a reset, if the error kind provides for an answer and a reset
  /// can be built for the packet.
  void rejectPacket(std::span<const uint8_t> aPacket, ErrorKind aKind);
  void flushSockets();

  node::Node& m_node;
  HostPorts m_ports;
  transport::DatagramSocket m_packetSocket;
  transport::DatagramSocket m_relaySocket;
  /// Ordered by m_retryAt; at most kMaxQueuedPackets.
  std::deque<QueuedPacket> m_retryQueue;
  logging::LatencyHistogram m_decisionLatency;
  ErrorCounters m_drops{};
  uint64_t m_packetsReceived{};
};

} // namespace tamarack::daemon
