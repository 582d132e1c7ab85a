// Stand-in for an upstream: unpacks packets, serves a much reduced TCP, and answers the caller
// directly. GET /health is its health endpoint, GET /stats what it really saw, and
// POST /control?cold=0|1&lies=0|1&sheds=0|1 changes its state.
#include "Options.h"
#include "packet/Packet.h"
#include "transport/Datagrams.h"
#include "transport/Http2.h"

#include <cstring>
#include <deque>
#include <netinet/ip.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

namespace {

using namespace tamarack;
using Clock = std::chrono::steady_clock;

constexpr uint32_t kFirstSequence = 1000;

/// What the upstream keeps of a running flow.
struct Flow
{
  uint32_t m_received{};
  std::set<uint32_t> m_ran;
};

struct Segment
{
  uint32_t m_sequence{};
  uint8_t m_flags{};
  std::span<const uint8_t> m_payload;
};

Segment
readSegment(std::span<const uint8_t> aPacket)
{
  iphdr ip{};
  tcphdr tcp{};
  std::memcpy(&ip, aPacket.data(), sizeof(ip));
  const auto segment = aPacket.subspan(size_t{ ip.ihl } * 4);
  std::memcpy(&tcp, segment.data(), sizeof(tcp));
  const size_t offset = std::min(size_t{ tcp.doff } * 4, segment.size());
  return { ntohl(tcp.seq), tcp.th_flags, segment.subspan(offset) };
}

class Upstream
{
public:
  Upstream(asio::io_context& aIo, std::map<std::string, std::string> aOptions)
    : m_options(std::move(aOptions))
    , m_vip(*parseIpv4(m_options["vip"]))
    , m_port(static_cast<uint16_t>(std::stoi(m_options["packets"])))
    , m_isCold(m_options["cold"] == "1")
    , m_run(std::random_device{}())
    , m_socket(aIo, { asio::ip::make_address_v4(m_options["address"]), m_port })
  {
    m_socket.startReceiving([this](auto aPacket) { onPacket(aPacket); },
                            [this](bool) { m_socket.flush(); });
  }

  void onRequest(const transport::Request& aRequest, const transport::Responder& aRespond)
  {
    if (aRequest.m_path == "/health") {
      aRespond({ .m_body = health().dump() });
    } else if (aRequest.m_path == "/stats") {
      aRespond({ .m_body = stats().dump() });
    } else if (aRequest.m_path == "/control") {
      control(aRequest);
      aRespond({});
    } else {
      aRespond({ .m_status = 404 });
    }
  }

private:
  void onPacket(std::span<const uint8_t> aPacket)
  {
    const auto parsed = packet::parsePacket(aPacket);
    const auto* meta = std::get_if<packet::PacketMeta>(&parsed);
    if (meta == nullptr || meta->m_flow.m_protocol != packet::Protocol::Tcp) {
      return;
    }
    m_lastPacket = Clock::now();
    if (meta->m_flow.m_destination != m_vip) {
      ++m_misdelivered;
      return;
    }
    const Segment segment = readSegment(aPacket);
    if (meta->m_opensFlow) {
      onSyn(meta->m_flow, segment);
      return;
    }
    const auto flow = m_flows.find(meta->m_flow);
    if (flow == m_flows.end()) {
      onUnknown(aPacket, meta->m_flow);
      return;
    }
    if ((segment.m_flags & TH_RST) != 0) {
      m_flows.erase(flow);
      return;
    }
    onData(meta->m_flow, flow->second, segment);
  }

  void onSyn(const packet::FlowKey& aFlow, const Segment& aSegment)
  {
    const auto [flow, isNew] = m_flows.try_emplace(aFlow, Flow{ aSegment.m_sequence + 1, {} });
    if (isNew) {
      ++m_opened;
      noteNewFlow();
    }
    answer(aFlow, kFirstSequence, flow->second.m_received, TH_SYN | TH_ACK, {});
  }

  void onData(const packet::FlowKey& aFlow, Flow& aState, const Segment& aSegment)
  {
    if (aSegment.m_sequence == aState.m_received) {
      aState.m_received += static_cast<uint32_t>(aSegment.m_payload.size());
      const std::string text(aSegment.m_payload.begin(), aSegment.m_payload.end());
      if (text.starts_with("report ")) {
        ++m_reports[text.substr(7)];
      }
      aState.m_received += (aSegment.m_flags & TH_FIN) != 0 ? 1 : 0;
    }
    const std::string& name = m_options["upstream"];
    const std::vector<uint8_t> body(name.begin(), name.end());
    const bool ends = (aSegment.m_flags & TH_FIN) != 0;
    answer(aFlow, kFirstSequence + 1, aState.m_received, ends ? TH_FIN | TH_ACK : TH_ACK, body);
    if (ends) {
      m_flows.erase(aFlow);
    }
  }

  void onUnknown(std::span<const uint8_t> aPacket, const packet::FlowKey& aFlow)
  {
    ++m_unknown;
    const auto reset = packet::buildReset(aPacket);
    if (!reset.empty()) {
      m_socket.send(aFlow.m_source, m_port, {}, reset);
    }
  }

  void answer(const packet::FlowKey& aFlow,
              uint32_t aSequence,
              uint32_t aAcknowledged,
              int aFlags,
              std::span<const uint8_t> aPayload)
  {
    const packet::FlowKey back{ .m_source = aFlow.m_destination,
                                .m_destination = aFlow.m_source,
                                .m_sourcePort = aFlow.m_destinationPort,
                                .m_destinationPort = aFlow.m_sourcePort };
    const auto bytes = packet::buildPacket({ .m_flow = back,
                                             .m_sequence = aSequence,
                                             .m_acknowledgement = aAcknowledged,
                                             .m_tcpFlags = static_cast<uint8_t>(aFlags),
                                             .m_payload = aPayload });
    m_socket.send(aFlow.m_source, m_port, {}, bytes);
  }

  /// Keeps the most new flows that any second brought while the upstream was cold.
  void noteNewFlow()
  {
    const auto now = Clock::now();
    m_recent.push_back(now);
    while (now - m_recent.front() >= std::chrono::seconds(1)) {
      m_recent.pop_front();
    }
    if (m_isCold && now - m_coldSince >= std::chrono::seconds(3)) {
      m_mostWhileCold = std::max(m_mostWhileCold, m_recent.size());
    }
  }

  void control(const transport::Request& aRequest)
  {
    const auto flag = [&](const char* aName, bool& aValue) {
      if (aRequest.m_query.contains(aName)) {
        aValue = aRequest.m_query.at(aName) == "1";
      }
    };
    const bool wasCold = m_isCold;
    flag("cold", m_isCold);
    flag("lies", m_lies);
    flag("sheds", m_sheds);
    if (m_isCold && !wasCold) {
      m_coldSince = Clock::now();
    }
  }

  nlohmann::json health()
  {
    return { { "service", m_options["service"] },
             { "upstream", m_options["upstream"] },
             { "generation", std::stoul(m_options["generation"]) },
             { "run", m_run },
             { "state", m_isCold && !m_lies ? "cold" : "warm" },
             { "sheds", m_sheds },
             { "connections", m_lies ? 0 : m_flows.size() },
             { "busy_slots", 0 } };
  }

  nlohmann::json stats()
  {
    const auto quiet =
      std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_lastPacket);
    return { { "upstream", m_options["upstream"] },
             { "opened", m_opened },
             { "running", m_flows.size() },
             { "misdelivered", m_misdelivered },
             { "unknown", m_unknown },
             { "quiet_ms", quiet.count() },
             { "most_new_flows_while_cold", m_mostWhileCold },
             { "reports", m_reports } };
  }

  std::map<std::string, std::string> m_options;
  Ipv4 m_vip;
  uint16_t m_port;
  bool m_isCold;
  bool m_lies{};
  bool m_sheds{};
  uint32_t m_run;
  Clock::time_point m_coldSince{ Clock::now() };
  Clock::time_point m_lastPacket{ Clock::now() };
  transport::DatagramSocket m_socket;
  std::map<packet::FlowKey, Flow> m_flows;
  std::map<std::string, uint32_t> m_reports;
  std::deque<Clock::time_point> m_recent;
  size_t m_mostWhileCold{};
  uint64_t m_opened{};
  uint64_t m_misdelivered{};
  uint64_t m_unknown{};
};

} // namespace

int
main(int aCount, const char** aWords)
{
  std::map<std::string, std::string> options{
    { "address", "127.3.0.1" }, { "packets", "7000" },    { "health", "8080" },
    { "vip", "127.5.0.1" },     { "service", "service" }, { "upstream", "upstream" },
    { "generation", "1" },      { "cold", "0" },
  };
  standin::readOptions(aCount, aWords, options);
  asio::io_context io;
  Upstream upstream(io, options);
  const transport::Http2Server server(
    io,
    transport::parseEndpoint(options["address"] + ":" + options["health"]),
    [&](const transport::Request& aRequest, const transport::Responder& aRespond) {
      upstream.onRequest(aRequest, aRespond);
    });
  io.run();
}
