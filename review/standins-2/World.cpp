// The stand-ins follow PROTOCOL.md of the platform. Packets are written by hand, so that a mistake
// of the product's own codec would show.
#include "World.h"

#include <algorithm>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr size_t kHead = 31;
constexpr size_t kIdentity = 8;
constexpr Millis kHeartbeat{ 1200 };
constexpr Millis kSynLimit{ 1400 };
constexpr Millis kMaxInterval{ 1600 };
constexpr size_t kQueue = 16;
constexpr int kMaxFiles = 1024;
/// Two checks of the routers, and the time between two looks for the end of a process, in seconds.
constexpr double kCheckS = 1.0;
constexpr double kPollS = 0.05;
/// The second parts of the loopback addresses that runs use.
constexpr uint32_t kFirstLane = 100;
constexpr uint32_t kLanes = 100;
constexpr size_t kRequestBytes = 200;

void
put(std::vector<uint8_t>& aBytes, size_t aAt, uint64_t aValue, size_t aCount)
{
  for (size_t index = 0; index < aCount; ++index) {
    aBytes[aAt + index] = static_cast<uint8_t>(aValue >> (8 * (aCount - 1 - index)));
  }
}

uint64_t
take(std::span<const uint8_t> aBytes, size_t aAt, size_t aCount)
{
  uint64_t value = 0;
  for (size_t index = 0; index < aCount; ++index) {
    value = value << 8 | aBytes[aAt + index];
  }
  return value;
}

/// The ends' checksum over all fields but the echo.
uint32_t
checksum(std::span<const uint8_t> aBytes)
{
  uint32_t sum = 2166136261;
  for (size_t index = 4; index < aBytes.size(); ++index) {
    if (index < 27 || index >= kHead) {
      sum = (sum ^ aBytes[index]) * 16777619;
    }
  }
  return sum == 0 ? 1 : sum;
}

std::string
encodeBase64(std::string_view aText)
{
  constexpr std::string_view letters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  out.reserve((aText.size() + 2) / 3 * 4);
  for (size_t index = 0; index < aText.size(); index += 3) {
    const size_t count = std::min<size_t>(3, aText.size() - index);
    uint32_t bits = 0;
    for (size_t byte = 0; byte < 3; ++byte) {
      bits = bits << 8 | (byte < count ? static_cast<uint8_t>(aText[index + byte]) : 0);
    }
    for (size_t letter = 0; letter < 4; ++letter) {
      out += letter <= count ? letters[bits >> (18 - 6 * letter) & 63] : '=';
    }
  }
  return out;
}

std::string
decodePercent(std::string_view aText)
{
  std::string out;
  for (size_t index = 0; index < aText.size(); ++index) {
    if (aText[index] == '%' && index + 2 < aText.size()) {
      out += static_cast<char>(std::stoi(std::string(aText.substr(index + 1, 2)), nullptr, 16));
      index += 2;
    } else {
      out += aText[index];
    }
  }
  return out;
}

std::map<std::string, std::string>
parseQuery(std::string_view aTarget)
{
  std::map<std::string, std::string> query;
  const size_t start = aTarget.find('?');
  std::istringstream parts(
    std::string(start == std::string_view::npos ? "" : aTarget.substr(start + 1)));
  for (std::string part; std::getline(parts, part, '&');) {
    const size_t equals = part.find('=');
    query[part.substr(0, equals)] =
      equals == std::string::npos ? "" : decodePercent(part.substr(equals + 1));
  }
  return query;
}

uint64_t
numberOf(const std::map<std::string, std::string>& aQuery, const std::string& aName)
{
  const auto found = aQuery.find(aName);
  return found == aQuery.end() ? 0 : std::strtoull(found->second.c_str(), nullptr, 10);
}

asio::ip::udp::endpoint
udp(uint32_t aAddress, uint16_t aPort)
{
  return { asio::ip::address_v4(aAddress), aPort };
}

} // namespace

std::vector<uint8_t>
encode(const Packet& aPacket)
{
  std::vector<uint8_t> bytes(kHead + aPacket.m_data.size());
  put(bytes, 4, aPacket.m_flags, 1);
  put(bytes, 5, aPacket.m_source, 4);
  put(bytes, 9, aPacket.m_destinationPort, 2);
  put(bytes, 11, aPacket.m_sourcePort, 2);
  put(bytes, 13, aPacket.m_destination, 4);
  put(bytes, 17, aPacket.m_sequence, 4);
  put(bytes, 21, aPacket.m_acknowledged, 4);
  put(bytes, 25, aPacket.m_data.size(), 2);
  put(bytes, 27, aPacket.m_echo, 4);
  std::ranges::copy(aPacket.m_data, bytes.begin() + kHead);
  put(bytes, 0, checksum(bytes), 4);
  return bytes;
}

std::optional<Packet>
decode(std::span<const uint8_t> aBytes)
{
  if (aBytes.size() < kHead || aBytes.size() != kHead + take(aBytes, 25, 2)) {
    return std::nullopt;
  }
  return Packet{ .m_sum = static_cast<uint32_t>(take(aBytes, 0, 4)),
                 .m_flags = aBytes[4],
                 .m_source = static_cast<uint32_t>(take(aBytes, 5, 4)),
                 .m_destinationPort = static_cast<uint16_t>(take(aBytes, 9, 2)),
                 .m_sourcePort = static_cast<uint16_t>(take(aBytes, 11, 2)),
                 .m_destination = static_cast<uint32_t>(take(aBytes, 13, 4)),
                 .m_sequence = static_cast<uint32_t>(take(aBytes, 17, 4)),
                 .m_acknowledged = static_cast<uint32_t>(take(aBytes, 21, 4)),
                 .m_echo = static_cast<uint32_t>(take(aBytes, 27, 4)),
                 .m_data = { aBytes.begin() + kHead, aBytes.end() } };
}

std::string
formatAddress(uint32_t aAddress)
{
  return asio::ip::address_v4(aAddress).to_string();
}

void
Record::line(const std::string& aText)
{
  m_file << std::fixed << std::setprecision(3) << seconds() << " " << aText << "\n" << std::flush;
}

struct Store::Connection
{
  explicit Connection(asio::ip::tcp::socket aSocket)
    : m_socket(std::move(aSocket))
    , m_timer(m_socket.get_executor())
  {
  }

  asio::ip::tcp::socket m_socket;
  asio::steady_timer m_timer;
  asio::streambuf m_input;
  bool m_isWatching{};
  uint64_t m_after{};
  std::string m_prefix;
};

Store::Store(asio::io_context& aIo, uint32_t aAddress)
  : m_io(aIo)
  , m_acceptor(aIo, { asio::ip::address_v4(aAddress), kStorePort })
{
  accept();
}

void
Store::write(Event aEvent)
{
  aEvent.m_revision = ++m_revision;
  aEvent.m_at = Clock::now();
  m_items[aEvent.m_key] = aEvent;
  m_history.push_back(std::move(aEvent));
  discardHistory();
  for (const auto& weak : m_connections) {
    const auto connection = weak.lock();
    if (connection && connection->m_isWatching) {
      asio::post(m_io, [this, connection] {
        if (connection->m_isWatching) {
          answerWatch(connection);
        }
      });
    }
  }
}

void
Store::put(const std::string& aKey, const std::string& aValue)
{
  const uint64_t revision = m_revision + 1;
  const uint64_t created = m_items.contains(aKey) ? m_items[aKey].m_revision : revision;
  auto text =
    std::make_shared<std::string>("{\"key\":\"" + aKey + "\",\"value\":\"" + encodeBase64(aValue) +
                                  "\",\"rev\":" + std::to_string(revision) +
                                  ",\"created_rev\":" + std::to_string(created) + ",\"lease\":0}");
  write({ .m_key = aKey, .m_text = std::move(text), .m_valueBytes = aValue.size() });
}

void
Store::setDown(bool aIsDown)
{
  m_isDown = aIsDown;
  if (!aIsDown) {
    return;
  }
  for (const auto& weak : m_connections) {
    if (const auto connection = weak.lock()) {
      connection->m_isWatching = false;
      asio::error_code ignored;
      connection->m_socket.close(ignored);
      connection->m_timer.cancel();
    }
  }
}

void
Store::discardHistory()
{
  while (!m_history.empty() && Clock::now() - m_history.front().m_at > kHistory) {
    m_floor = m_history.front().m_revision;
    m_history.pop_front();
  }
}

void
Store::accept()
{
  m_acceptor.async_accept([this](const asio::error_code& aError, asio::ip::tcp::socket aSocket) {
    if (!aError) {
      auto connection = std::make_shared<Connection>(std::move(aSocket));
      std::erase_if(m_connections, [](const auto& aWeak) { return aWeak.expired(); });
      m_connections.push_back(connection);
      read(connection);
    }
    accept();
  });
}

void
Store::read(const std::shared_ptr<Connection>& aConnection)
{
  asio::async_read_until(
    aConnection->m_socket,
    aConnection->m_input,
    "\r\n\r\n",
    [this, aConnection](const asio::error_code& aError, size_t aLength) {
      if (aError) {
        aConnection->m_isWatching = false;
        aConnection->m_timer.cancel();
        return;
      }
      std::string head(aLength, '\0');
      std::istream(&aConnection->m_input).read(head.data(), static_cast<long>(aLength));
      std::istringstream words(head);
      std::string method;
      std::string target;
      words >> method >> target;
      onRequest(aConnection, target);
    });
}

void
Store::onRequest(const std::shared_ptr<Connection>& aConnection, const std::string& aTarget)
{
  if (m_isDown) {
    answer(aConnection, 503, "{}");
    return;
  }
  discardHistory();
  const auto query = parseQuery(aTarget);
  const std::string prefix = query.contains("prefix") ? query.at("prefix") : "";
  if (aTarget.starts_with("/-/kv-watch")) {
    aConnection->m_after = numberOf(query, "after");
    aConnection->m_prefix = prefix;
    if (aConnection->m_after < m_floor) {
      answer(aConnection, 410, "{}");
      return;
    }
    aConnection->m_isWatching = true;
    aConnection->m_timer.expires_after(Millis{ numberOf(query, "wait_ms") });
    aConnection->m_timer.async_wait([this, aConnection](const asio::error_code& aError) {
      if (!aError && std::exchange(aConnection->m_isWatching, false)) {
        answer(
          aConnection, 200, "{\"events\":[],\"current_rev\":" + std::to_string(m_revision) + "}");
      }
    });
    answerWatch(aConnection);
    return;
  }
  std::string body = "{\"items\":[";
  size_t count = 0;
  size_t bytes = 0;
  bool hasMore = false;
  const std::string after = query.contains("after") ? query.at("after") : "";
  for (const auto& [key, item] : m_items) {
    if (!key.starts_with(prefix) || key <= after) {
      continue;
    }
    if (count == kPageItems || (count > 0 && bytes + item.m_valueBytes > kPageBytes)) {
      hasMore = true;
      break;
    }
    body += (count++ == 0 ? "" : ",") + *item.m_text;
    bytes += item.m_valueBytes;
  }
  body += std::string("],\"has_more\":") + (hasMore ? "true" : "false") +
          ",\"current_rev\":" + std::to_string(m_revision) + "}";
  answer(aConnection, 200, std::move(body));
}

void
Store::answerWatch(const std::shared_ptr<Connection>& aConnection)
{
  std::string body = "{\"events\":[";
  size_t count = 0;
  for (const Event& event : m_history) {
    if (event.m_revision > aConnection->m_after && event.m_key.starts_with(aConnection->m_prefix)) {
      body += (count++ == 0 ? "" : ",") + *event.m_text;
    }
  }
  if (count == 0) {
    return;
  }
  aConnection->m_isWatching = false;
  aConnection->m_timer.cancel();
  body += "],\"current_rev\":" + std::to_string(m_revision) + "}";
  answer(aConnection, 200, std::move(body));
}

void
Store::answer(const std::shared_ptr<Connection>& aConnection, int aStatus, std::string aBody)
{
  auto text =
    std::make_shared<std::string>("HTTP/1.1 " + std::to_string(aStatus) +
                                  " Answer\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
                                  "Content-Length: " +
                                  std::to_string(aBody.size()) + "\r\n\r\n" + aBody);
  asio::async_write(aConnection->m_socket,
                    asio::buffer(*text),
                    [this, aConnection, text](const asio::error_code& aError, size_t) {
                      if (!aError) {
                        read(aConnection);
                      }
                    });
}

Endpoint::Endpoint(World& aWorld, Options aOptions)
  : m_world(aWorld)
  , m_options(std::move(aOptions))
  , m_number(std::stoull(m_options.m_id.substr(2), nullptr, 16))
  , m_born(std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch() +
                                              m_options.m_clockAhead)
             .count())
  , m_socket(aWorld.m_io, udp(m_options.m_address, kEndpointPort))
  , m_beat(aWorld.m_io)
{
  beat();
  receive();
}

Endpoint::~Endpoint()
{
  *m_isAlive = false;
}

void
Endpoint::drain()
{
  m_isDraining = true;
  m_beat.cancel();
  beat();
}

void
Endpoint::crash()
{
  m_hasCrashed = true;
  m_beat.cancel();
  m_flows.clear();
  m_queue.clear();
}

void
Endpoint::beat()
{
  const auto left =
    std::chrono::duration_cast<Millis>(m_startedAt + m_options.m_coldFor - Clock::now()).count();
  Json entry{ { "service", m_options.m_service },
              { "addr", formatAddress(m_options.m_address) + ":" + std::to_string(kEndpointPort) },
              { "zone", m_options.m_zone },
              { "version", "v1" },
              { "concurrency", m_options.m_slots },
              { "state", m_isDraining ? "draining" : "ready" },
              { "warmup_left_ms", std::max<int64_t>(0, left) },
              { "born", m_born } };
  const std::string text = entry.dump();
  // The entry changes when more than the count of writes does.
  if (!m_world.m_store->isDown()) {
    ++m_beats;
    if (std::exchange(m_lastEntry, text) != text) {
      entry["seq"] = m_beats;
      m_world.m_store->put("servers/" + m_options.m_id, entry.dump());
    }
  }
  m_beat.expires_after(kHeartbeat);
  m_beat.async_wait([this, alive = m_isAlive](const asio::error_code& aError) {
    if (!aError && *alive) {
      beat();
    }
  });
}

void
Endpoint::receive()
{
  m_socket.async_receive(asio::buffer(m_input),
                         [this, alive = m_isAlive](const asio::error_code& aError, size_t aSize) {
                           if (aError || !*alive) {
                             return;
                           }
                           onDatagram({ m_input.data(), aSize });
                           receive();
                         });
}

void
Endpoint::reply(const Packet& aTo, uint8_t aFlags, uint32_t aSequence, std::vector<uint8_t> aData)
{
  const Packet packet{ .m_flags = aFlags,
                       .m_source = aTo.m_destination,
                       .m_destinationPort = aTo.m_sourcePort,
                       .m_sourcePort = aTo.m_destinationPort,
                       .m_destination = aTo.m_source,
                       .m_sequence = aSequence,
                       .m_acknowledged = aTo.m_sequence + static_cast<uint32_t>(aTo.m_data.size()),
                       .m_echo = aTo.m_echo,
                       .m_data = std::move(aData) };
  asio::error_code ignored;
  m_socket.send_to(asio::buffer(encode(packet)), udp(aTo.m_source, kPacketPort), 0, ignored);
}

void
Endpoint::onDatagram(std::span<const uint8_t> aBytes)
{
  if (aBytes.size() < kIdentity) {
    return;
  }
  const uint64_t identity = take(aBytes, 0, kIdentity);
  const auto packet = decode(aBytes.subspan(kIdentity));
  if (!packet || (identity != 0 && identity != m_number)) {
    return;
  }
  if (packet->m_sum != checksum(aBytes.subspan(kIdentity))) {
    m_world.m_record.line("endpoint " + m_options.m_id + " got a packet with a wrong sum");
    return;
  }
  if (m_hasCrashed) {
    reply(*packet, kRst, 0, {});
    return;
  }
  const FlowKey key{ packet->m_source, packet->m_sourcePort, packet->m_destinationPort };
  if ((packet->m_flags & kSyn) != 0) {
    const auto [flow, isNew] = m_flows.try_emplace(key);
    if (isNew) {
      m_world.m_random = m_world.m_random * 1664525 + 1013904223;
      flow->second.m_sequence = m_world.m_random | 1;
    }
    reply(*packet, kSyn | kAck, flow->second.m_sequence, {});
    return;
  }
  const auto found = m_flows.find(key);
  if (found == m_flows.end() ||
      (!found->second.m_isOpen && packet->m_acknowledged != found->second.m_sequence + 1)) {
    reply(*packet, kRst, 0, {});
    return;
  }
  Flow& flow = found->second;
  if (!flow.m_isOpen) {
    flow.m_isOpen = true;
    flow.m_taken = packet->m_sequence;
    if (m_onOpened) {
      m_onOpened(*packet);
    }
  }
  if ((packet->m_flags & (kFin | kRst)) != 0) {
    m_flows.erase(found);
    return;
  }
  if (!packet->m_data.empty()) {
    onData(*packet, flow);
  }
}

void
Endpoint::onData(const Packet& aPacket, Flow& aFlow)
{
  const uint32_t end = aPacket.m_sequence + static_cast<uint32_t>(aPacket.m_data.size());
  if (end == aFlow.m_taken) {
    if (!aFlow.m_answer.empty()) {
      reply(aPacket, kAck, aPacket.m_acknowledged, aFlow.m_answer);
    }
    return;
  }
  aFlow.m_taken = end;
  aFlow.m_answer.clear();
  if (m_queue.size() >= kQueue) {
    aFlow.m_answer = { 'f' };
    reply(aPacket, kAck, aPacket.m_acknowledged, aFlow.m_answer);
    return;
  }
  m_queue.push_back(aPacket);
  startRequests();
}

void
Endpoint::startRequests()
{
  while (m_running < m_options.m_slots && !m_queue.empty()) {
    const Packet packet = m_queue.front();
    m_queue.pop_front();
    ++m_running;
    auto timer = std::make_shared<asio::steady_timer>(m_world.m_io, m_work());
    timer->async_wait([this, timer, packet, alive = m_isAlive](const asio::error_code&) {
      if (!*alive) {
        return;
      }
      --m_running;
      const auto flow =
        m_flows.find({ packet.m_source, packet.m_sourcePort, packet.m_destinationPort });
      if (flow != m_flows.end()) {
        const std::string text = "k" + m_options.m_id;
        flow->second.m_answer = { text.begin(), text.end() };
        reply(packet, kAck, packet.m_acknowledged, flow->second.m_answer);
      }
      startRequests();
    });
  }
}

Caller::Caller(World& aWorld, uint32_t aAddress, std::string aZone)
  : m_world(aWorld)
  , m_address(aAddress)
  , m_zone(std::move(aZone))
  , m_socket(aWorld.m_io, udp(aAddress, kPacketPort))
{
  receive();
}

void
Caller::receive()
{
  m_socket.async_receive(asio::buffer(m_input),
                         [this](const asio::error_code& aError, size_t aSize) {
                           if (aError) {
                             return;
                           }
                           if (const auto packet = decode({ m_input.data(), aSize })) {
                             onPacket(*packet);
                           }
                           receive();
                         });
}

void
Caller::open(const FlowOptions& aOptions, std::function<void(const FlowResult&)> aDone)
{
  m_nextPort = m_nextPort == 65535 ? 1024 : static_cast<uint16_t>(m_nextPort + 1);
  m_world.m_random = m_world.m_random * 1664525 + 1013904223;
  Flow& flow = m_flows[m_nextPort];
  flow = { .m_options = aOptions,
           .m_done = std::move(aDone),
           .m_result = { .m_sentAt = m_world.m_record.seconds(),
                         .m_routePort = aOptions.m_routePort },
           .m_port = m_nextPort,
           .m_sequence = m_world.m_random,
           .m_left = aOptions.m_requests,
           .m_requestAt = Clock::now(),
           .m_timer = std::make_shared<asio::steady_timer>(m_world.m_io) };
  send(flow, kSyn, 0, 0);
  arm(flow, Millis{ 200 });
}

void
Caller::arm(Flow& aFlow, Millis aAfter)
{
  aFlow.m_timer->expires_after(aAfter);
  aFlow.m_timer->async_wait([this, port = aFlow.m_port](const asio::error_code& aError) {
    if (!aError) {
      onTimer(port);
    }
  });
}

void
Caller::onTimer(uint16_t aPort)
{
  const auto found = m_flows.find(aPort);
  if (found == m_flows.end()) {
    return;
  }
  Flow& flow = found->second;
  const auto waited = std::chrono::duration_cast<Millis>(Clock::now() - flow.m_requestAt);
  if (!flow.m_result.m_isOpen) {
    if (waited >= kSynLimit) {
      end(aPort, "silent");
      return;
    }
    if (flow.m_copies < 2) {
      send(flow, kSyn, static_cast<uint32_t>(++flow.m_copies), 0);
    }
    arm(flow, flow.m_copies == 1 ? Millis{ 400 } : Millis{ 800 });
    return;
  }
  if (!flow.m_isWaiting) {
    request(flow);
    return;
  }
  if (waited >= flow.m_options.m_deadline) {
    send(flow, kFin | kAck, flow.m_peer, 0);
    end(aPort, "silent");
    return;
  }
  send(flow, kAck, flow.m_peer, kRequestBytes);
  flow.m_interval = std::min(flow.m_interval * 2, kMaxInterval);
  arm(flow, flow.m_interval);
}

void
Caller::request(Flow& aFlow)
{
  aFlow.m_isWaiting = true;
  aFlow.m_requestAt = Clock::now();
  aFlow.m_interval = Millis{ 200 };
  send(aFlow, kAck, aFlow.m_peer, kRequestBytes);
  arm(aFlow, aFlow.m_interval);
}

void
Caller::send(Flow& aFlow, uint8_t aFlags, uint32_t aAcknowledged, size_t aLength)
{
  const Packet packet{ .m_flags = aFlags,
                       .m_source = m_address,
                       .m_destinationPort = aFlow.m_options.m_routePort,
                       .m_sourcePort = aFlow.m_port,
                       .m_destination = kRouteAddress,
                       .m_sequence = aFlow.m_sequence,
                       .m_acknowledged = aAcknowledged,
                       .m_echo = aFlow.m_echo,
                       .m_data = std::vector<uint8_t>(aLength, 'q') };
  const uint32_t target = m_world.routerTarget(m_zone, m_address * 31 + aFlow.m_port * 2654435761U);
  asio::error_code ignored;
  m_socket.send_to(asio::buffer(encode(packet)), udp(target, kPacketPort), 0, ignored);
}

void
Caller::onPacket(const Packet& aPacket)
{
  const auto found = m_flows.find(aPacket.m_destinationPort);
  if (found == m_flows.end()) {
    return;
  }
  Flow& flow = found->second;
  if ((aPacket.m_flags & kRst) != 0) {
    m_world.m_record.line("reset of port " + std::to_string(flow.m_port) + " by " +
                          (aPacket.m_sum == 0 ? "the system" : "an endpoint"));
    flow.m_result.m_wasResetBySystem = aPacket.m_sum == 0;
    end(flow.m_port, flow.m_result.m_isOpen ? "reset" : "refused");
    return;
  }
  flow.m_echo = aPacket.m_echo;
  if ((aPacket.m_flags & kSyn) != 0) {
    if (!flow.m_result.m_isOpen) {
      flow.m_result.m_isOpen = true;
      flow.m_peer = aPacket.m_sequence + 1;
      ++flow.m_sequence;
      request(flow);
    }
    return;
  }
  if (!flow.m_isWaiting || aPacket.m_data.empty() || aPacket.m_sequence != flow.m_peer) {
    return;
  }
  flow.m_isWaiting = false;
  flow.m_sequence += kRequestBytes;
  flow.m_peer += static_cast<uint32_t>(aPacket.m_data.size());
  const bool isServed = aPacket.m_data.front() == 'k';
  if (isServed) {
    flow.m_result.m_endpoint.assign(aPacket.m_data.begin() + 1, aPacket.m_data.end());
  }
  send(flow, kAck, flow.m_peer, 0);
  if (--flow.m_left > 0) {
    arm(flow, flow.m_options.m_pause);
    return;
  }
  send(flow, kFin | kAck, flow.m_peer, 0);
  end(flow.m_port, isServed ? "served" : "failed");
}

void
Caller::end(uint16_t aPort, const std::string& aOutcome)
{
  const auto found = m_flows.find(aPort);
  Flow flow = std::move(found->second);
  flow.m_timer->cancel();
  m_flows.erase(found);
  flow.m_result.m_outcome = aOutcome;
  flow.m_result.m_endedAt = m_world.m_record.seconds();
  flow.m_done(flow.m_result);
}

World::World(const std::string& aFolder, const std::string& aProgram)
  : m_record(aFolder + "/record.txt")
  , m_program(aProgram)
{
  std::string pattern = (std::filesystem::temp_directory_path() / "review-2-XXXXXX").string();
  if (::mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("no temporary folder");
  }
  m_temporary = pattern;
  // The addresses of a run are those of the first lane that no other run uses.
  for (uint32_t attempt = 0; !m_store; ++attempt) {
    m_lane = kFirstLane + (static_cast<uint32_t>(::getpid()) + attempt) % kLanes;
    try {
      m_store = std::make_unique<Store>(m_io, address(10, 1));
    } catch (const std::system_error&) {
      if (attempt == kLanes) {
        throw;
      }
    }
  }
}

World::~World()
{
  for (const auto& edge : m_edges) {
    stop(*edge, SIGKILL);
  }
  std::error_code ignored;
  std::filesystem::remove_all(m_temporary, ignored);
}

void
World::addEdge(const std::string& aZone)
{
  auto edge = std::make_unique<Edge>();
  const auto number = static_cast<uint32_t>(m_edges.size() + 1);
  edge->m_address = address(11, number);
  edge->m_zone = aZone;
  edge->m_config = m_temporary + "/edge-" + std::to_string(number) + ".json";
  edge->m_log = m_temporary + "/edge-" + std::to_string(number) + ".log";
  m_edges.push_back(std::move(edge));
}

void
World::startEdges()
{
  for (const auto& edge : m_edges) {
    const std::string ip = formatAddress(edge->m_address);
    Json seeds = Json::array();
    for (size_t index = 0; index < m_edges.size() && seeds.size() < 3; index += 2) {
      seeds.push_back(formatAddress(m_edges[index]->m_address) + ":18166");
    }
    std::ofstream(edge->m_config) << Json{
      { "host", "edge-" + ip },
      { "data_centre", edge->m_zone },
      { "packets", ip + ":" + std::to_string(kPacketPort) },
      { "readiness", ip + ":18167" },
      { "readiness_path", "/-/ready" },
      { "control", ip + ":18166" },
      { "metrics", ip + ":9464" },
      { "peer_port", 17720 },
      { "store", formatAddress(address(10, 1)) + ":" + std::to_string(kStorePort) },
      { "seeds", seeds },
      { "stop_limit_s", 6 },
      { "cold_factor", "1.5" },
      { "cold_slack", "5" },
      { "cpu_share", "0.25" }
    }.dump();
    start(*edge);
  }
}

void
World::start(Edge& aEdge)
{
  aEdge.m_process = ::fork();
  if (aEdge.m_process == 0) {
    // It ends with this program, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = ::open(aEdge.m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    // The sockets of the stand-ins are not the process's.
    for (int file = STDERR_FILENO + 1; file < kMaxFiles; ++file) {
      ::close(file);
    }
    ::execl(m_program.c_str(),
            m_program.c_str(),
            "--config",
            aEdge.m_config.c_str(),
            static_cast<char*>(nullptr));
    ::_exit(127);
  }
  m_record.line("process " + formatAddress(aEdge.m_address) + " in " + aEdge.m_zone + " started");
}

void
World::stop(Edge& aEdge, int aSignal)
{
  if (aEdge.m_process > 0) {
    ::kill(aEdge.m_process, aSignal);
    ::waitpid(aEdge.m_process, nullptr, 0);
    aEdge.m_process = 0;
  }
}

void
World::restartAsPlanned(Edge& aEdge)
{
  m_record.line("process " + formatAddress(aEdge.m_address) + " gets SIGTERM");
  ::kill(aEdge.m_process, SIGTERM);
  at(m_record.seconds() + kCheckS, [&aEdge] { aEdge.m_isInRotation = false; });
  startAgainOnceEnded(aEdge);
}

void
World::startAgainOnceEnded(Edge& aEdge)
{
  if (::waitpid(aEdge.m_process, nullptr, WNOHANG) == 0) {
    at(m_record.seconds() + kPollS, [this, &aEdge] { startAgainOnceEnded(aEdge); });
    return;
  }
  start(aEdge);
  at(m_record.seconds() + kCheckS, [&aEdge] { aEdge.m_isInRotation = true; });
}

bool
World::hasProcessEnded()
{
  bool hasEnded = false;
  for (const auto& edge : m_edges) {
    int status = 0;
    if (edge->m_process > 0 && ::waitpid(edge->m_process, &status, WNOHANG) > 0) {
      m_record.line("process " + formatAddress(edge->m_address) + " ended by itself with status " +
                    std::to_string(status));
      std::ifstream log(edge->m_log);
      for (std::string text; std::getline(log, text);) {
        m_record.line("  " + text);
      }
      edge->m_process = 0;
      hasEnded = true;
    }
  }
  return hasEnded;
}

Endpoint&
World::addEndpoint(Endpoint::Options aOptions)
{
  m_endpoints.push_back(std::make_unique<Endpoint>(*this, std::move(aOptions)));
  return *m_endpoints.back();
}

void
World::removeEndpoint(const std::string& aId)
{
  std::erase_if(m_endpoints,
                [&](const auto& aEndpoint) { return aEndpoint->options().m_id == aId; });
}

Endpoint*
World::findEndpoint(const std::string& aId)
{
  const auto found = std::ranges::find_if(
    m_endpoints, [&](const auto& aEndpoint) { return aEndpoint->options().m_id == aId; });
  return found == m_endpoints.end() ? nullptr : found->get();
}

void
World::at(double aSeconds, std::function<void()> aAction)
{
  auto timer = std::make_shared<asio::steady_timer>(m_io);
  timer->expires_after(Millis{ static_cast<int64_t>(1000 * (aSeconds - m_record.seconds())) });
  timer->async_wait([action = std::move(aAction)](const asio::error_code& aError) {
    if (!aError) {
      action();
    }
  });
  m_timers.push_back(std::move(timer));
}

void
World::run(double aSeconds)
{
  m_io.run_for(Millis{ static_cast<int64_t>(1000 * (aSeconds - m_record.seconds())) });
}

uint32_t
World::routerTarget(const std::string& aZone, uint32_t aHash) const
{
  std::vector<uint32_t> targets;
  for (const auto& edge : m_edges) {
    if (edge->m_zone == aZone && edge->m_isInRotation) {
      targets.push_back(edge->m_address);
    }
  }
  return targets.empty() ? m_edges.front()->m_address : targets[(aHash >> 8) % targets.size()];
}

} // namespace review
