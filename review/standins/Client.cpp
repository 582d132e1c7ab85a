// Implements clients as PROTOCOL.md describes them: copies of a SYN after 200 and 600 ms,
// retransmissions after 200 ms and more, and the last echo of a flow in each packet.
#include "Client.h"

#include <algorithm>
#include <utility>

namespace review {

namespace {

constexpr std::array<int64_t, 2> kSynCopiesMs{ 200, 600 };
constexpr int64_t kOpenTimeoutMs = 1400;
constexpr int64_t kFirstRetransmissionMs = 200;
constexpr int64_t kMaxRetransmissionMs = 1600;
/// A reset of the system has to lie so close to the client's last acknowledgement.
constexpr uint32_t kResetWindow = 76'800;

} // namespace

std::string
nameOf(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::Answered:
      return "answered";
    case Outcome::NotOpened:
      return "not opened";
    case Outcome::ResetBySystem:
      return "reset by the system";
    case Outcome::ResetByServer:
      return "reset by a server";
    case Outcome::TimedOut:
      return "timed out";
  }
  return {};
}

Client::Client(Loop& aLoop, Router& aRouter, Record& aRecord, ClientOptions aOptions)
  : m_loop(aLoop)
  , m_router(aRouter)
  , m_record(aRecord)
  , m_options(std::move(aOptions))
  , m_socket(bindDatagrams({ m_options.m_address, m_options.m_dataPort }))
{
  m_loop.watch(m_socket, [this] {
    readDatagrams(m_socket, [this](std::string_view aBytes, uint32_t) { onDatagram(aBytes); });
  });
}

FlowKey
Client::flowOf(uint16_t aPort) const
{
  const auto found = m_flows.find(aPort);
  return { m_options.m_address,
           aPort,
           m_options.m_route,
           found == m_flows.end() ? uint16_t{} : found->second.m_routePort };
}

void
Client::open(uint16_t aPort, uint16_t aRoutePort, Handler aHandler)
{
  const uint64_t generation = ++m_generations;
  const auto sequence = static_cast<uint32_t>(mix(m_options.m_address, generation) | 1);
  m_flows[aPort] = { .m_routePort = aRoutePort,
                     .m_sequence = sequence,
                     .m_sent = sequence + 1,
                     .m_generation = generation,
                     .m_handler = std::move(aHandler) };
  sendSyn(aPort, generation, 0);
  for (size_t copy = 0; copy < kSynCopiesMs.size(); ++copy) {
    m_loop.after(kSynCopiesMs[copy], [this, aPort, generation, copy] {
      sendSyn(aPort, generation, static_cast<uint32_t>(copy) + 1);
    });
  }
  m_loop.after(kOpenTimeoutMs, [this, aPort, generation] {
    const Flow& flow = m_flows[aPort];
    if (flow.m_generation == generation && !flow.m_isOpen) {
      finish(aPort, Outcome::NotOpened);
    }
  });
}

void
Client::sendSyn(uint16_t aPort, uint64_t aGeneration, uint32_t aCopy)
{
  const Flow& flow = m_flows[aPort];
  if (flow.m_generation == aGeneration && !flow.m_isOpen && flow.m_handler) {
    send(aPort, kSyn, flow.m_sequence, aCopy, {});
  }
}

void
Client::request(uint16_t aPort,
                const std::string& aMethod,
                const std::string& aId,
                int64_t aDeadlineMs,
                Handler aHandler)
{
  Flow& flow = m_flows[aPort];
  flow.m_request =
    aMethod + " / HTTP/1.1\r\nX-Request-Id: " + aId + "\r\nContent-Length: 0\r\n\r\n";
  flow.m_requestId = aId;
  flow.m_handler = std::move(aHandler);
  m_record.add("client " + formatAddress(m_options.m_address) + ":" + std::to_string(aPort) +
               " sends request " + aId + " (" + aMethod + ", port " +
               std::to_string(flow.m_routePort) + ")");
  const uint64_t generation = flow.m_generation;
  sendRequest(aPort, generation, aId, kFirstRetransmissionMs);
  m_loop.after(aDeadlineMs, [this, aPort, generation, aId] {
    const Flow& pending = m_flows[aPort];
    if (pending.m_generation == generation && pending.m_requestId == aId) {
      finish(aPort, Outcome::TimedOut);
    }
  });
}

void
Client::sendRequest(uint16_t aPort, uint64_t aGeneration, const std::string& aId, int64_t aDelayMs)
{
  const Flow& flow = m_flows[aPort];
  if (flow.m_generation != aGeneration || flow.m_requestId != aId) {
    return;
  }
  send(aPort, kAck, flow.m_sent, flow.m_received, flow.m_request);
  m_loop.after(aDelayMs, [this, aPort, aGeneration, aId, aDelayMs] {
    sendRequest(aPort, aGeneration, aId, std::min(2 * aDelayMs, kMaxRetransmissionMs));
  });
}

void
Client::close(uint16_t aPort)
{
  Flow& flow = m_flows[aPort];
  if (flow.m_isOpen) {
    send(aPort, kFin | kAck, flow.m_sent, flow.m_received, {});
    flow.m_isOpen = false;
  }
}

void
Client::onDatagram(std::string_view aBytes)
{
  const auto packet = parsePacket(aBytes);
  if (!packet) {
    return;
  }
  const uint16_t port = packet->m_destinationPort;
  const auto found = m_flows.find(port);
  if (found == m_flows.end() || found->second.m_routePort != packet->m_sourcePort) {
    return;
  }
  Flow& flow = found->second;
  if (packet->has(kRst)) {
    onReset(*packet, flow);
    return;
  }
  if (!packet->m_isGenuine) {
    return;
  }
  if (packet->has(kSyn)) {
    const bool isExpected =
      flow.m_handler && !flow.m_isOpen && packet->m_acknowledged == flow.m_sequence + 1;
    if (isExpected) {
      flow.m_echo = packet->m_echo;
      flow.m_isOpen = true;
      flow.m_received = packet->m_sequence + 1;
      send(port, kAck, flow.m_sent, flow.m_received, {});
      finish(port, Outcome::Answered);
    }
    return;
  }
  if (packet->m_data.empty() || !flow.m_isOpen) {
    return;
  }
  flow.m_echo = packet->m_echo;
  const bool isNext = packet->m_sequence == flow.m_received;
  if (isNext) {
    flow.m_received += static_cast<uint32_t>(packet->m_data.size());
    flow.m_sent += static_cast<uint32_t>(flow.m_request.size());
    flow.m_request.clear();
  }
  send(port, kAck, flow.m_sent, flow.m_received, {});
  if (isNext) {
    finish(port, Outcome::Answered);
  }
}

void
Client::onReset(const Packet& aPacket, Flow& aFlow)
{
  const uint32_t distance = aPacket.m_sequence - aFlow.m_received;
  const bool isFromSystem = aPacket.m_sum == 0 && aPacket.m_data.empty();
  const bool isNear = distance <= kResetWindow || distance >= 0 - kResetWindow;
  const bool isAlive = aFlow.m_isOpen || aFlow.m_handler;
  if (!isAlive || !(isFromSystem || aPacket.m_isGenuine) || (aFlow.m_isOpen && !isNear)) {
    return;
  }
  if (isFromSystem) {
    m_systemResets.push_back({ aPacket.flowToClient(), m_record.now() });
  }
  m_record.add("client " + formatAddress(m_options.m_address) + ":" +
               std::to_string(aPacket.m_destinationPort) + " gets a reset " +
               (isFromSystem ? "of the system" : "of a server") +
               (aFlow.m_isOpen ? ", the flow is open" : ", the flow is not open") +
               (aFlow.m_requestId.empty() ? "" : ", request " + aFlow.m_requestId + " is pending"));
  aFlow.m_isOpen = false;
  finish(aPacket.m_destinationPort, isFromSystem ? Outcome::ResetBySystem : Outcome::ResetByServer);
}

void
Client::finish(uint16_t aPort, Outcome aOutcome)
{
  Flow& flow = m_flows[aPort];
  if (!flow.m_requestId.empty()) {
    m_record.add("request " + flow.m_requestId + " " + nameOf(aOutcome));
  }
  flow.m_requestId.clear();
  if (const Handler handler = std::exchange(flow.m_handler, nullptr)) {
    handler(aOutcome);
  }
}

void
Client::send(uint16_t aPort,
             uint8_t aFlags,
             uint32_t aSequence,
             uint32_t aAcknowledged,
             const std::string& aData)
{
  const uint32_t host = m_router.select(m_options.m_zone, flowOf(aPort));
  if (host == 0) {
    return;
  }
  const Flow& flow = m_flows[aPort];
  sendDatagram(m_socket,
               { host, m_options.m_dataPort },
               buildPacket({ .m_source = m_options.m_address,
                             .m_sourcePort = aPort,
                             .m_destination = m_options.m_route,
                             .m_destinationPort = flow.m_routePort,
                             .m_flags = aFlags,
                             .m_sequence = aSequence,
                             .m_acknowledged = aAcknowledged,
                             .m_echo = (aFlags & kSyn) != 0 ? 0 : flow.m_echo,
                             .m_data = aData }));
}

} // namespace review
