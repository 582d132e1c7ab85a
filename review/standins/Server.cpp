// Implements an endpoint with four slots, as PROTOCOL.md describes it.
#include "Server.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <random>

namespace review {

namespace {

constexpr int64_t kHeartbeatMs = 1200;
constexpr int64_t kFirstRetransmissionMs = 200;
constexpr int64_t kMaxRetransmissionMs = 1600;
constexpr int kMaxRetransmissions = 8;
constexpr std::string_view kIdHeader = "X-Request-Id: ";

int64_t
unixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

std::string
hexDigits(uint32_t aNumber)
{
  constexpr std::string_view digits = "0123456789abcdef";
  std::string text;
  for (int shift = 28; shift >= 0; shift -= 4) {
    text += digits[aNumber >> shift & 0xf];
  }
  return text;
}

/// Returns the id of the request that a packet holds; empty if it holds none.
std::string
requestId(const std::string& aData)
{
  const size_t start = aData.find(kIdHeader);
  if (start == std::string::npos) {
    return {};
  }
  const size_t value = start + kIdHeader.size();
  return aData.substr(value, aData.find('\r', value) - value);
}

} // namespace

Server::Server(Loop& aLoop, Store& aStore, Record& aRecord, ServerOptions aOptions)
  : m_loop(aLoop)
  , m_store(aStore)
  , m_record(aRecord)
  , m_options(std::move(aOptions))
  , m_bornAt(unixMs())
  , m_socket(bindDatagrams(m_options.m_address))
{
  m_loop.watch(m_socket, [this] {
    readDatagrams(m_socket, [this](std::string_view aBytes, uint32_t aSender) {
      if (!m_lostSenders.contains(aSender)) {
        onDatagram(aBytes);
      }
    });
  });
  writeEntry();
  // Endpoints don't write at the same times.
  m_loop.after(std::random_device{}() % kHeartbeatMs, [this] { heartbeat(); });
}

std::string
Server::key() const
{
  return "servers/i-" + hexDigits(m_options.m_id);
}

void
Server::heartbeat()
{
  writeEntry();
  m_loop.after(kHeartbeatMs, [this] { heartbeat(); });
}

void
Server::writeEntry()
{
  const int64_t coldLeft = std::max<int64_t>(0, m_coldUntil - steadyMs());
  m_writtenAt = steadyMs();
  m_store.put(key(),
              R"({"service":")" + m_options.m_service + R"(","addr":")" +
                formatSocketAddress(m_options.m_address) + R"(","zone":")" + m_options.m_zone +
                R"(","version":"v1","concurrency":4,"state":"ready","warmup_left_ms":)" +
                std::to_string(coldLeft) + R"(,"seq":)" + std::to_string(++m_heartbeats) +
                R"(,"born":)" + std::to_string(m_bornAt) + "}");
}

bool
Server::isOpen(const FlowKey& aFlow) const
{
  const auto found = m_flows.find(aFlow);
  return found != m_flows.end() && found->second.m_isOpen && !found->second.m_isEnded;
}

void
Server::onDatagram(std::string_view aBytes)
{
  if (aBytes.size() < kIdentityBytes) {
    return;
  }
  const uint64_t identity = readIdentity(aBytes);
  const auto packet = parsePacket(aBytes.substr(kIdentityBytes));
  if ((identity != 0 && identity != m_options.m_id) || !packet || !packet->m_isGenuine) {
    return;
  }
  if (packet->has(kSyn)) {
    onSyn(*packet);
    return;
  }
  const auto flow = m_flows.find(packet->flowFromClient());
  if (packet->has(kRst)) {
    if (flow != m_flows.end()) {
      endFlow(flow->second);
    }
    return;
  }
  // The flow is held here only if the client acknowledges a byte of this endpoint.
  const bool isHeld =
    flow != m_flows.end() && packet->m_acknowledged - flow->second.m_ownSequence - 1 < 1'000'000;
  if (!isHeld) {
    sendReset(*packet);
    return;
  }
  onFlowPacket(*packet, flow->second);
}

void
Server::onSyn(const Packet& aPacket)
{
  const FlowKey key = aPacket.flowFromClient();
  if (m_openFlows >= m_options.m_maxFlows && !isOpen(key)) {
    return;
  }
  Flow& flow = m_flows[key];
  if (flow.m_clientSequence != aPacket.m_sequence || flow.m_ownSequence == 0) {
    const auto own = static_cast<uint32_t>(mix(m_options.m_id, aPacket.m_sequence) | 1);
    endFlow(flow);
    flow = { .m_clientSequence = aPacket.m_sequence,
             .m_ownSequence = own,
             .m_received = aPacket.m_sequence + 1,
             .m_sent = own + 1,
             .m_acknowledged = own };
    m_openings.push_back({ key, aPacket.m_acknowledged, m_record.now() });
    m_record.add(key.m_clientPort == 0
                   ? ""
                   : "server " + this->key() + " takes a flow of " + formatAddress(key.m_client) +
                       ":" + std::to_string(key.m_clientPort) + ", SYN copy " +
                       std::to_string(aPacket.m_acknowledged));
  }
  flow.m_echo = aPacket.m_echo;
  Packet answer = makePacket(key, flow, kSyn | kAck);
  answer.m_sequence = flow.m_ownSequence;
  send(answer);
}

void
Server::onFlowPacket(const Packet& aPacket, Flow& aFlow)
{
  const FlowKey key = aPacket.flowFromClient();
  aFlow.m_echo = aPacket.m_echo;
  if (aFlow.m_isEnded) {
    if (!aPacket.m_data.empty()) {
      sendReset(aPacket);
    } else if (aPacket.has(kFin)) {
      send(makePacket(key, aFlow, kAck));
    }
    return;
  }
  m_openFlows += aFlow.m_isOpen ? 0 : 1;
  aFlow.m_isOpen = true;
  aFlow.m_acknowledged = std::max(aFlow.m_acknowledged, aPacket.m_acknowledged);
  if (!aPacket.m_data.empty() && aPacket.m_sequence == aFlow.m_received) {
    aFlow.m_received += static_cast<uint32_t>(aPacket.m_data.size());
    startRequest(key, requestId(aPacket.m_data));
  }
  if (aPacket.has(kFin)) {
    endFlow(aFlow);
    send(makePacket(key, aFlow, kFin | kAck));
  }
}

void
Server::endFlow(Flow& aFlow)
{
  m_openFlows -= aFlow.m_isOpen && !aFlow.m_isEnded ? 1 : 0;
  aFlow.m_isEnded = true;
}

void
Server::startRequest(const FlowKey& aFlow, const std::string& aId)
{
  m_runs.insert(aId);
  m_record.add("server " + key() + " (" + m_options.m_service + ") runs request " + aId);
  int64_t& slot = *std::ranges::min_element(m_slots);
  slot = std::max(slot, steadyMs()) + m_options.m_workMs;
  m_loop.after(slot - steadyMs(), [this, aFlow, aId] { respond(aFlow, aId); });
}

void
Server::respond(const FlowKey& aFlow, const std::string& aId)
{
  Flow& flow = m_flows[aFlow];
  if (flow.m_isEnded) {
    return;
  }
  Packet response = makePacket(aFlow, flow, kAck);
  response.m_data = "HTTP/1.1 200 OK\r\nX-Reply-Seal: " + key() + "\r\nX-Request-Id: " + aId +
                    "\r\nContent-Length: 0\r\n\r\n";
  flow.m_sent += static_cast<uint32_t>(response.m_data.size());
  flow.m_response = response;
  send(response);
  retransmit(aFlow, response.m_sequence, kFirstRetransmissionMs, 0);
}

void
Server::retransmit(const FlowKey& aFlow, uint32_t aSequence, int64_t aDelayMs, int aTimes)
{
  m_loop.after(aDelayMs, [this, aFlow, aSequence, aDelayMs, aTimes] {
    Flow& flow = m_flows[aFlow];
    const bool isPending = !flow.m_isEnded && flow.m_response.m_sequence == aSequence &&
                           static_cast<int32_t>(flow.m_acknowledged - aSequence) <= 0;
    if (isPending && aTimes < kMaxRetransmissions) {
      flow.m_response.m_echo = flow.m_echo;
      send(flow.m_response);
      retransmit(aFlow, aSequence, std::min(2 * aDelayMs, kMaxRetransmissionMs), aTimes + 1);
    }
  });
}

Packet
Server::makePacket(const FlowKey& aFlow, const Flow& aState, uint8_t aFlags) const
{
  return { .m_source = aFlow.m_route,
           .m_sourcePort = aFlow.m_routePort,
           .m_destination = aFlow.m_client,
           .m_destinationPort = aFlow.m_clientPort,
           .m_flags = aFlags,
           .m_sequence = aState.m_sent,
           .m_acknowledged = aState.m_received,
           .m_echo = aState.m_echo };
}

void
Server::send(const Packet& aPacket) const
{
  // The client's datagram port is the port of the data address, which endpoints use as well.
  sendDatagram(
    m_socket, { aPacket.m_destination, m_options.m_address.m_port }, buildPacket(aPacket));
}

void
Server::sendReset(const Packet& aPacket) const
{
  send({ .m_source = aPacket.m_destination,
         .m_sourcePort = aPacket.m_destinationPort,
         .m_destination = aPacket.m_source,
         .m_destinationPort = aPacket.m_sourcePort,
         .m_flags = kRst,
         .m_sequence = aPacket.m_acknowledged,
         .m_echo = aPacket.m_echo });
}

} // namespace review
