// An upstream of the soak, and the promises that it checks: whole packets of its own service, no
// second run, no new flow after it left, no more than its limit while it is cold.
#include "Packets.h"
#include "World.h"

#include <absl/strings/escaping.h>

namespace soak {

namespace {

using namespace tamarack;
using Json = nlohmann::json;

/// A leaving upstream gets no new flows after this.
constexpr std::chrono::seconds kDrainBound{ 3 };
/// Bytes that an upstream sends on one flow at most; the numbers of two upstreams are further
/// apart.
constexpr uint32_t kMostAcknowledged = 4096;
} // namespace

Upstream::Upstream(World& aWorld,
                   int aService,
                   std::string aDataCentre,
                   uint32_t aAddress,
                   uint32_t aId,
                   std::chrono::milliseconds aColdFor)
  : m_world(aWorld)
  , m_service(aService)
  , m_dataCentre(std::move(aDataCentre))
  , m_address(aAddress)
  , m_id(aId)
  , m_warmAt(Clock::now() + aColdFor)
  , m_warmTimer(aWorld.m_io, m_warmAt)
  , m_socket(aWorld.m_io, udp(aAddress, kUpstreamPort))
{
  receive();
  if (aColdFor.count() > 0) {
    m_warmTimer.async_wait([this](const asio::error_code& aError) {
      if (!aError && m_isAlive) {
        publish(m_drainingSince != Clock::time_point{});
      }
    });
  }
}

std::string
Upstream::key() const
{
  return "servers/i-" +
         std::string(absl::BytesToHexString(std::string{ static_cast<char>(m_id >> 24),
                                                         static_cast<char>(m_id >> 16),
                                                         static_cast<char>(m_id >> 8),
                                                         static_cast<char>(m_id) }));
}

void
Upstream::publish(bool aIsDraining)
{
  if (aIsDraining && m_drainingSince == Clock::time_point{}) {
    m_drainingSince = Clock::now();
  }
  const auto warmUpLeft =
    std::chrono::duration_cast<std::chrono::milliseconds>(m_warmAt - Clock::now()).count();
  m_world.m_store.put(
    key(),
    Json{ { "service", m_service == 0 ? "feed" : "report" },
          { "addr", formatIpv4(Ipv4{ m_address }) + ":" + std::to_string(kUpstreamPort) },
          { "zone", m_dataCentre },
          { "version", "v1" },
          { "concurrency", 4 },
          { "state", aIsDraining ? "draining" : "ready" },
          { "warmup_left_ms", std::max<int64_t>(0, warmUpLeft) },
          { "seq", ++m_writes },
          { "born", m_id } }
      .dump());
}

void
Upstream::crash()
{
  m_isAlive = false;
  asio::error_code ignored;
  m_socket.close(ignored);
}

void
Upstream::receive()
{
  m_socket.async_receive(asio::buffer(m_input),
                         [this](const asio::error_code& aError, size_t aCount) {
                           if (aError || !m_isAlive) {
                             return;
                           }
                           onDatagram({ m_input.data(), aCount });
                           receive();
                         });
}

void
Upstream::onDatagram(std::span<const uint8_t> aDatagram)
{
  constexpr size_t kIdentity = platform::PacketHeader::kIdentityPrefixBytes;
  if (aDatagram.size() < kIdentity + kHead) {
    m_world.complain("an upstream got a datagram without a packet");
    return;
  }
  const auto bytes = aDatagram.subspan(kIdentity);
  const auto parsed = platform::PacketHeader::parse(bytes);
  const auto* packet = std::get_if<steering::FlowPacket>(&parsed);
  if (packet == nullptr || read32(bytes, kSumAt) != checksum(bytes)) {
    m_world.complain("an upstream got a packet that its caller did not write so");
    return;
  }
  if (read32(aDatagram, 0) != 0 || read32(aDatagram, 4) != m_id) {
    return;
  }
  if (packet->m_flow.m_destinationPort != kRoutePorts[static_cast<size_t>(m_service)]) {
    m_world.complain("an upstream got a packet of another service");
    return;
  }
  if (packet->m_isSyn) {
    onOpening(*packet);
    return;
  }
  // The flow is open here only if its caller acknowledges this upstream's own sequence number.
  const uint32_t acknowledged = packet->m_acknowledged - m_id;
  if (!m_flows.contains(packet->m_flow) || acknowledged == 0 || acknowledged >= kMostAcknowledged) {
    reply(*packet, kResets, 0);
    return;
  }
  if (packet->m_isFinOrRst) {
    m_flows.erase(packet->m_flow);
    reply(*packet, kAcknowledges, 0);
    return;
  }
  if (packet->m_length >= 4) {
    const uint32_t request = read32(bytes, kHead);
    // A repeated packet of a request that runs is not a second run at the same upstream.
    if (m_service == 1 && m_runs.insert(request).second && ++m_world.m_runs[request] > 1) {
      m_world.complain("a request that may not be repeated ran twice");
    }
    reply(*packet, kAcknowledges, 4);
  }
}

void
Upstream::onOpening(const steering::FlowPacket& aPacket)
{
  const auto now = Clock::now();
  const bool isLate = m_drainingSince != Clock::time_point{} &&
                      now - m_drainingSince > kDrainBound &&
                      m_drainingSince > m_world.m_lastFault && now - m_world.m_lastFault > kInTouch;
  if (isLate) {
    m_world.complain("a leaving upstream got a new flow after 3 s");
  }
  const bool isNew = m_flows.insert(aPacket.m_flow).second;
  if (isNew && now < m_warmAt && m_service == kLimitedService) {
    m_coldOpenings.push_back(now);
    while (now - m_coldOpenings.front() > std::chrono::seconds(1)) {
      m_coldOpenings.pop_front();
    }
    // The limit holds for all hosts together, whatever harms them.
    if (m_coldOpenings.size() > kColdPerSecond * kColdFactor + kColdSlack) {
      m_world.complain("a cold upstream got more new flows in a second than its limit");
    }
  }
  reply(aPacket, kOpens | kAcknowledges, 0);
}

void
Upstream::reply(const steering::FlowPacket& aPacket, uint8_t aFlags, uint16_t aLength)
{
  Fields answer{ .m_flags = aFlags,
                 .m_flow = { aPacket.m_flow.m_destination,
                             aPacket.m_flow.m_source,
                             aPacket.m_flow.m_destinationPort,
                             aPacket.m_flow.m_sourcePort },
                 .m_sequence = m_id + (aPacket.m_isSyn ? 0 : aPacket.m_acknowledged - m_id),
                 .m_acknowledged = aPacket.m_sequence + aPacket.m_length + 1,
                 .m_echo = aPacket.m_token.m_value };
  answer.m_data.resize(aLength);
  if (aLength == 4) {
    write32(answer.m_data, 0, m_id);
  }
  asio::error_code ignored;
  m_socket.send_to(
    asio::buffer(build(answer)), udp(aPacket.m_flow.m_source.m_value, kPacketPort), 0, ignored);
}

} // namespace soak
