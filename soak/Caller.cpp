// A caller of the soak. The bytes of a request are its id, so that an upstream can tell two runs.
#include "Packets.h"
#include "World.h"

namespace soak {

namespace {

using namespace tamarack;

constexpr std::chrono::milliseconds kPause{ 250 };
constexpr std::chrono::milliseconds kDeadline{ 4000 };

} // namespace

Caller::Caller(World& aWorld, uint32_t aAddress, int aRoute)
  : m_world(aWorld)
  , m_address(aAddress)
  , m_route(aRoute)
  , m_socket(aWorld.m_io, udp(aAddress, kPacketPort))
  , m_lastServed(Clock::now())
{
  receive();
}

void
Caller::receive()
{
  m_socket.async_receive(asio::buffer(m_input),
                         [this](const asio::error_code& aError, size_t aCount) {
                           if (aError) {
                             return;
                           }
                           onPacket({ m_input.data(), aCount });
                           receive();
                         });
}

void
Caller::send(uint8_t aFlags, uint16_t aLength, uint32_t aAcknowledged)
{
  Fields fields{ .m_flags = aFlags,
                 .m_flow = { Ipv4{ m_address },
                             Ipv4{ kRouteAddress },
                             m_port,
                             kRoutePorts[static_cast<size_t>(m_route)] },
                 .m_sequence = m_sequence,
                 .m_acknowledged = aAcknowledged,
                 .m_echo = m_echo };
  fields.m_data.resize(aLength);
  if (aLength >= 4) {
    // The id of the request: the same in each copy of its packet.
    write32(fields.m_data, 0, m_address << 20 ^ uint32_t{ m_port } << 8 ^ m_sequence);
  }
  if (m_world.m_hosts.empty()) {
    return;
  }
  const uint32_t host = m_world.m_hosts[(m_address * 31 + m_port) % m_world.m_hosts.size()];
  asio::error_code ignored;
  m_socket.send_to(asio::buffer(build(fields)), udp(host, kPacketPort), 0, ignored);
  m_sentAt = Clock::now();
}

void
Caller::open()
{
  ++m_port;
  m_sequence = m_world.m_random();
  m_echo = 0;
  m_isOpen = false;
  m_copies = 0;
  m_state = State::Opening;
  m_startedAt = Clock::now();
  m_wait = std::chrono::milliseconds(200);
  send(kOpens, 0, 0);
}

void
Caller::sendRequest()
{
  m_state = State::Waiting;
  m_startedAt = Clock::now();
  m_wait = std::chrono::milliseconds(200);
  send(kAcknowledges, 40, m_peerSequence);
}

void
Caller::giveUp()
{
  m_world.m_timeline.onFailed();
  m_state = State::Idle;
  m_isOpen = false;
  m_sentAt = Clock::now();
}

void
Caller::tick()
{
  const auto now = Clock::now();
  switch (m_state) {
    case State::Idle:
      if (now - m_sentAt >= kPause) {
        if (m_isOpen) {
          sendRequest();
        } else {
          open();
        }
      }
      return;
    case State::Opening:
      if (m_copies >= 2 && now - m_sentAt >= std::chrono::milliseconds(800)) {
        giveUp();
      } else if (m_copies < 2 && now - m_sentAt >= m_wait) {
        m_wait *= 2;
        send(kOpens, 0, static_cast<uint32_t>(++m_copies));
      }
      return;
    case State::Waiting:
      if (now - m_startedAt >= kDeadline) {
        giveUp();
      } else if (now - m_sentAt >= m_wait) {
        m_wait = std::min(m_wait * 2, std::chrono::milliseconds(1600));
        send(kAcknowledges, 40, m_peerSequence);
      }
      return;
  }
}

void
Caller::onPacket(std::span<const uint8_t> aPacket)
{
  if (aPacket.size() < kHead || aPacket[9] != m_port >> 8 || aPacket[10] != (m_port & 0xff)) {
    return;
  }
  const uint8_t flags = aPacket[4];
  if ((flags & kResets) != 0) {
    const bool isOurs = read32(aPacket, kSumAt) == 0;
    const auto now = Clock::now();
    for (const auto& upstream : m_world.m_upstreams) {
      // The bound of the rules: nothing harmed the flow, its upstream or the hosts lately.
      if (isOurs && m_isOpen && upstream->id() == m_upstream && upstream->isAlive() &&
          now - m_world.m_lastFault > kInTouch) {
        m_world.complain("an open flow was reset while its upstream lives");
      }
    }
    giveUp();
    return;
  }
  if (read32(aPacket, kSumAt) != checksum(aPacket)) {
    m_world.complain("a caller got a packet that its sender did not write so");
    return;
  }
  m_echo = read32(aPacket, 27);
  if ((flags & kOpens) != 0 && m_state == State::Opening) {
    m_upstream = read32(aPacket, 17);
    m_peerSequence = m_upstream + 1;
    m_isOpen = true;
    ++m_sequence;
    sendRequest();
    return;
  }
  if (m_state != State::Waiting || aPacket.size() < kHead + 4) {
    return;
  }
  if (read32(aPacket, kHead) != m_upstream) {
    m_world.complain("a caller got an answer of an upstream that it did not ask");
  }
  ++m_served;
  m_world.m_timeline.onServed();
  m_lastServed = Clock::now();
  m_sequence += 40;
  m_peerSequence += 4;
  m_state = State::Idle;
  send(kAcknowledges, 0, m_peerSequence);
  if (m_route == 1) {
    send(kFinishes | kAcknowledges, 0, m_peerSequence);
    m_isOpen = false;
  }
}

} // namespace soak
