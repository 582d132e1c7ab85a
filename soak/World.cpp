// The stand-ins of the soak. The bytes of a request are its id, so that an upstream can tell two
// runs.
#include "World.h"

#include <absl/strings/escaping.h>

namespace soak {

namespace {

using namespace tamarack;
using Json = nlohmann::json;

constexpr uint8_t kOpens = 4;
constexpr uint8_t kFinishes = 16;
constexpr uint8_t kResets = 32;
constexpr uint8_t kAcknowledges = 64;
constexpr size_t kHead = platform::PacketHead::kBytes;
constexpr uint32_t kRouteAddress = 0xc6120001;
constexpr size_t kSumAt = 0;
/// A promise of fresh records holds for hosts that nothing has harmed for this long.
constexpr std::chrono::seconds kInTouch{ 4 };
/// A leaving upstream gets no new flows after this.
constexpr std::chrono::seconds kDrainBound{ 3 };
/// Bytes that an upstream sends on one flow at most; the numbers of two upstreams are further
/// apart.
constexpr uint32_t kMostAcknowledged = 4096;
constexpr std::chrono::milliseconds kPause{ 250 };
constexpr std::chrono::milliseconds kDeadline{ 4000 };

asio::ip::udp::endpoint
udp(uint32_t aAddress, uint16_t aPort)
{
  return { asio::ip::address_v4(aAddress), aPort };
}

void
write16(std::span<uint8_t> aBytes, size_t aAt, uint16_t aValue)
{
  aBytes[aAt] = static_cast<uint8_t>(aValue >> 8);
  aBytes[aAt + 1] = static_cast<uint8_t>(aValue);
}

void
write32(std::span<uint8_t> aBytes, size_t aAt, uint32_t aValue)
{
  write16(aBytes, aAt, static_cast<uint16_t>(aValue >> 16));
  write16(aBytes, aAt + 2, static_cast<uint16_t>(aValue));
}

uint32_t
read32(std::span<const uint8_t> aBytes, size_t aAt)
{
  uint32_t value = 0;
  for (size_t index = 0; index < 4; ++index) {
    value = value << 8 | aBytes[aAt + index];
  }
  return value;
}

/// All bytes but the token, which the system may change.
uint32_t
checksum(std::span<const uint8_t> aPacket)
{
  uint32_t sum = 2166136261;
  for (size_t index = 4; index < aPacket.size(); ++index) {
    if (index < 27 || index >= kHead) {
      sum = (sum ^ aPacket[index]) * 16777619;
    }
  }
  return sum == 0 ? 1 : sum;
}

struct Fields
{
  uint8_t m_flags{};
  packet::FlowKey m_flow;
  uint32_t m_sequence{};
  uint32_t m_acknowledged{};
  uint32_t m_echo{};
  std::vector<uint8_t> m_data;
};

std::vector<uint8_t>
build(const Fields& aFields)
{
  std::vector<uint8_t> bytes(kHead + aFields.m_data.size());
  bytes[4] = aFields.m_flags;
  write32(bytes, 5, aFields.m_flow.m_source.m_value);
  write16(bytes, 9, aFields.m_flow.m_destinationPort);
  write16(bytes, 11, aFields.m_flow.m_sourcePort);
  write32(bytes, 13, aFields.m_flow.m_destination.m_value);
  write32(bytes, 17, aFields.m_sequence);
  write32(bytes, 21, aFields.m_acknowledged);
  write16(bytes, 25, static_cast<uint16_t>(aFields.m_data.size()));
  write32(bytes, 27, aFields.m_echo);
  std::copy(aFields.m_data.begin(), aFields.m_data.end(), bytes.begin() + kHead);
  write32(bytes, kSumAt, checksum(bytes));
  return bytes;
}

uint64_t
numberAfter(std::string_view aTarget, std::string_view aName)
{
  const size_t at = aTarget.find(aName);
  return at == std::string_view::npos
           ? 0
           : std::strtoull(std::string(aTarget.substr(at + aName.size())).c_str(), nullptr, 10);
}

} // namespace

Store::Store(asio::io_context& aIo, const asio::ip::tcp::endpoint& aListen)
  : m_server(aIo, aListen, [this](std::string_view aTarget) { return answer(aTarget); })
{
}

void
Store::put(const std::string& aKey, const std::string& aValue)
{
  m_items[aKey] = { aValue, ++m_revision, false };
}

void
Store::remove(const std::string& aKey)
{
  m_items[aKey] = { {}, ++m_revision, true };
}

transport::Response
Store::answer(std::string_view aTarget) const
{
  const bool isWatch = aTarget.find("watch") != std::string_view::npos;
  const uint64_t after = isWatch ? numberAfter(aTarget, "&after=") : 0;
  if (isWatch && after < m_floor) {
    return { .m_status = 410 };
  }
  Json listed = Json::array();
  for (const auto& [key, item] : m_items) {
    const bool isOperators = aTarget.find("prefix=op") != std::string_view::npos;
    if (isWatch ? item.m_revision <= after
                : (item.m_isRemoved || key.starts_with("op/") != isOperators)) {
      continue;
    }
    Json entry = { { "key", key }, { "rev", item.m_revision } };
    if (item.m_isRemoved) {
      entry["tombstone"] = true;
    } else {
      entry["value"] = absl::Base64Escape(item.m_value);
    }
    listed.push_back(std::move(entry));
  }
  return {
    .m_status = 200,
    .m_body = Json{ { isWatch ? "events" : "items", listed }, { "current_rev", m_revision } }.dump()
  };
}

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
          { "concurrency", 4 },
          { "state", aIsDraining ? "draining" : "ready" },
          { "warmup_left_ms", std::max<int64_t>(0, warmUpLeft) },
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
  constexpr size_t kIdentity = platform::PacketHead::kIdentityBytes;
  if (aDatagram.size() < kIdentity + kHead) {
    m_world.complain("an upstream got a datagram without a packet");
    return;
  }
  const auto bytes = aDatagram.subspan(kIdentity);
  const auto parsed = platform::PacketHead::parse(bytes);
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
  if (packet->m_opens) {
    onOpening(*packet);
    return;
  }
  // The flow is open here only if its caller acknowledges this upstream's own sequence number.
  const uint32_t acknowledged = packet->m_acknowledged - m_id;
  if (!m_flows.contains(packet->m_flow) || acknowledged == 0 || acknowledged >= kMostAcknowledged) {
    reply(*packet, kResets, 0);
    return;
  }
  if (packet->m_ends) {
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
                 .m_sequence = m_id + (aPacket.m_opens ? 0 : aPacket.m_acknowledged - m_id),
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

World::World(asio::io_context& aIo, uint32_t aSeed, uint32_t aLane)
  : m_io(aIo)
  , m_lane(aLane)
  , m_random(aSeed)
  , m_store(aIo, { asio::ip::address_v4(netOf(Net::Store, aLane) + 1), kStorePort })
{
}

void
World::publishConfiguration()
{
  Json routes = Json::array();
  for (size_t index = 0; index < kRoutePorts.size(); ++index) {
    routes.push_back({ { "name", index == 0 ? "feed" : "report" },
                       { "host", formatIpv4(Ipv4{ kRouteAddress }) },
                       { "prefix", "/" + std::to_string(kRoutePorts[index]) + "/" },
                       { "type", index == 0 ? "safe" : "unsafe" },
                       { "service", index == 0 ? "feed" : "report" } });
  }
  m_configuration += 1 + m_random() % 5;
  m_store.put(
    "op/config",
    Json{ { "version", m_configuration },
          { "routes", routes },
          { "services",
            { { { "name", "report" }, { "warmup_s", 2.0 }, { "warmup_per_s", kColdPerSecond } } } },
          { "limits", Json::object() } }
      .dump());
}

Upstream&
World::addUpstream(int aService, const std::string& aDataCentre, std::chrono::milliseconds aColdFor)
{
  const auto number = static_cast<uint32_t>(m_upstreams.size()) + 1;
  m_upstreams.push_back(std::make_unique<Upstream>(*this,
                                                   aService,
                                                   aDataCentre,
                                                   netOf(Net::Upstream, m_lane) + number,
                                                   0x10000000 + number * 4096,
                                                   aColdFor));
  m_upstreams.back()->publish(false);
  return *m_upstreams.back();
}

size_t
World::living(int aService) const
{
  return static_cast<size_t>(
    std::count_if(m_upstreams.begin(), m_upstreams.end(), [aService](const auto& aUpstream) {
      return aUpstream->isAlive() && aUpstream->service() == aService;
    }));
}

Upstream*
World::randomUpstream(int aService)
{
  std::vector<Upstream*> living;
  for (const auto& upstream : m_upstreams) {
    if (upstream->isAlive() && upstream->service() == aService) {
      living.push_back(upstream.get());
    }
  }
  return living.empty() ? nullptr : living[m_random() % living.size()];
}

void
World::complain(std::string aText)
{
  m_complaints.push_back(std::move(aText));
}

} // namespace soak
