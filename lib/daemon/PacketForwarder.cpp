// Receives packets, applies the decisions of Node to them, and implements the relay header.
#include "daemon/PacketForwarder.h"

#include "base/Clock.h"

#include <cstring>

namespace tamarack::daemon {

namespace {

constexpr uint8_t kRelayVersion = 1;
/// The decision latency is measured for one packet in this many.
constexpr uint64_t kLatencySampleInterval = 64;

/// Precedes the packet in a datagram from one host to another.
struct RelayHeader
{
  std::array<char, 2> m_magic{ 'T', 'P' };
  uint8_t m_version{ kRelayVersion };
  /// Number of relays so far, including this one.
  uint8_t m_hops{};
  /// Identifier of the service that the packet is relayed for, in network byte order.
  uint32_t m_service{};
};
static_assert(sizeof(RelayHeader) == 8);

asio::ip::udp::endpoint
udpEndpoint(const HostConfig& aConfig, uint16_t aPort)
{
  return { asio::ip::address_v4(aConfig.m_address.m_value), aPort };
}

} // namespace

PacketForwarder::PacketForwarder(asio::io_context& aIo,
                                 const HostConfig& aConfig,
                                 node::Node& aNode)
  : m_node(aNode)
  , m_ports(aConfig.m_ports)
  , m_packetSocket(aIo, udpEndpoint(aConfig, aConfig.m_ports.m_packets))
  , m_relaySocket(aIo, udpEndpoint(aConfig, aConfig.m_ports.m_relay))
{
  m_packetSocket.startReceiving([this](auto aPacket) { onFabricPacket(aPacket); },
                                [this](bool) { flushSockets(); });
  m_relaySocket.startReceiving([this](auto aPacket) { onRelayedPacket(aPacket); },
                               [this](bool) { flushSockets(); });
}

void
PacketForwarder::flushSockets()
{
  m_packetSocket.flush();
  m_relaySocket.flush();
}

void
PacketForwarder::onFabricPacket(std::span<const uint8_t> aPacket)
{
  processPacket(aPacket, {});
}

void
PacketForwarder::onRelayedPacket(std::span<const uint8_t> aDatagram)
{
  RelayHeader header;
  if (aDatagram.size() < sizeof(header)) {
    ++m_drops[static_cast<size_t>(ErrorKind::PacketTruncated)];
    return;
  }
  std::memcpy(&header, aDatagram.data(), sizeof(header));
  if (header.m_magic != RelayHeader{}.m_magic || header.m_version != kRelayVersion) {
    ++m_drops[static_cast<size_t>(ErrorKind::PacketUnsupported)];
    return;
  }
  const node::PacketArrival arrival{ .m_hops = header.m_hops,
                                     .m_relayedService = ServiceId{ ntohl(header.m_service) } };
  processPacket(aDatagram.subspan(sizeof(header)), arrival);
}

void
PacketForwarder::processPacket(std::span<const uint8_t> aPacket, node::PacketArrival aArrival)
{
  ++m_packetsReceived;
  const bool isSampled = m_packetsReceived % kLatencySampleInterval == 0;
  const auto start =
    isSampled ? std::chrono::steady_clock::now() : std::chrono::steady_clock::time_point{};
  const auto parsed = packet::parsePacket(aPacket);
  if (const auto* error = std::get_if<ErrorKind>(&parsed)) {
    ++m_drops[static_cast<size_t>(*error)];
    return;
  }
  aArrival.m_meta = std::get<packet::PacketMeta>(parsed);
  const node::Decision decision = m_node.decide(readClock(), aArrival);
  if (isSampled) {
    m_decisionLatency.add(
      std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - start).count());
  }
  applyDecision(aPacket, aArrival, decision);
}

void
PacketForwarder::applyDecision(std::span<const uint8_t> aPacket,
                               const node::PacketArrival& aArrival,
                               const node::Decision& aDecision)
{
  switch (aDecision.m_verdict) {
    case node::Verdict::Forward:
      m_packetSocket.send(aDecision.m_address, m_ports.m_packets, {}, aPacket);
      return;
    case node::Verdict::Relay: {
      RelayHeader header;
      header.m_hops = static_cast<uint8_t>(aArrival.m_hops + 1);
      header.m_service = htonl(aDecision.m_service.m_value);
      std::array<uint8_t, sizeof(RelayHeader)> bytes{};
      std::memcpy(bytes.data(), &header, sizeof(header));
      m_relaySocket.send(Ipv4{ aDecision.m_relayTo.m_value }, m_ports.m_relay, bytes, aPacket);
      return;
    }
    case node::Verdict::Retry: {
      if (m_retryQueue.size() >= kMaxQueuedPackets) {
        ++m_drops[static_cast<size_t>(ErrorKind::QueueFull)];
        return;
      }
      QueuedPacket queued{ .m_retryAt = readClock() + node::kRetryDelay,
                           .m_arrival = aArrival,
                           .m_packet = { aPacket.begin(), aPacket.end() } };
      ++queued.m_arrival.m_attempts;
      m_retryQueue.push_back(std::move(queued));
      return;
    }
    case node::Verdict::Refuse:
      rejectPacket(aPacket, aDecision.m_error);
      return;
  }
}

void
PacketForwarder::rejectPacket(std::span<const uint8_t> aPacket, ErrorKind aKind)
{
  if (errorRow(aKind).m_response == ErrorResponse::Drop) {
    return;
  }
  const std::vector<uint8_t> reset = packet::buildReset(aPacket);
  const auto parsed = packet::parsePacket(aPacket);
  const auto* meta = std::get_if<packet::PacketMeta>(&parsed);
  if (reset.empty() || meta == nullptr) {
    return;
  }
  m_packetSocket.send(meta->m_flow.m_source, m_ports.m_packets, {}, reset);
}

void
PacketForwarder::retryDuePackets(TimePoint aNow)
{
  while (!m_retryQueue.empty() && m_retryQueue.front().m_retryAt <= aNow) {
    const QueuedPacket queued = std::move(m_retryQueue.front());
    m_retryQueue.pop_front();
    const node::Decision decision = m_node.decide(aNow, queued.m_arrival);
    applyDecision(queued.m_packet, queued.m_arrival, decision);
  }
  flushSockets();
}

} // namespace tamarack::daemon
