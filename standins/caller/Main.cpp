// Stand-in for callers: opens flows to one service through the fabric, holds feeds, sends numbered
// reports, and prints at its end what happened to each kind as one JSON object.
#include "Options.h"
#include "packet/Packet.h"
#include "transport/Datagrams.h"

#include <cstring>
#include <netinet/ip.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <random>

namespace {

using namespace tamarack;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr uint32_t kFirstSequence = 7000;
constexpr milliseconds kStep{ 20 };
constexpr milliseconds kSynTimeout{ 1000 };
constexpr milliseconds kDataTimeout{ 300 };
constexpr int kSynTries = 5;
constexpr int kDataTries = 7;
constexpr milliseconds kFeedPause{ 1000 };
constexpr milliseconds kComeBack{ 500 };
constexpr uint16_t kFirstPort = 1024;

enum class Stage : uint8_t
{
  Opening,
  Sending,
  Idle,
  Closing,
};

struct Flow
{
  bool m_isFeed{};
  Stage m_stage{ Stage::Opening };
  std::string m_report;
  std::string m_upstream;
  uint32_t m_sequence{ kFirstSequence };
  std::vector<uint8_t> m_lastPacket;
  int m_tries{};
  Clock::time_point m_due;
  uint32_t m_sent{};
};

class Callers
{
public:
  Callers(asio::io_context& aIo, std::map<std::string, std::string>& aOptions)
    : m_io(aIo)
    , m_address(*parseIpv4(aOptions["address"]))
    , m_vip(*parseIpv4(aOptions["vip"]))
    , m_vipPort(static_cast<uint16_t>(std::stoi(aOptions["vip-port"])))
    , m_port(static_cast<uint16_t>(std::stoi(aOptions["packets"])))
    , m_fabric(*parseIpv4(aOptions["fabric"]))
    , m_feeds(std::stoul(aOptions["feeds"]))
    , m_rate(std::stod(aOptions["reports-per-s"]))
    , m_end(Clock::now() +
            milliseconds(static_cast<int64_t>(1000 * std::stod(aOptions["seconds"]))))
    , m_name(aOptions["name"])
    , m_random(std::stoull(aOptions["seed"]))
    , m_timer(aIo)
    , m_socket(aIo, { asio::ip::make_address_v4(aOptions["address"]), m_port })
  {
    m_socket.startReceiving([this](auto aPacket) { onPacket(aPacket); },
                            [this](bool) { m_socket.flush(); });
    tick();
  }

  nlohmann::ordered_json summary() const
  {
    size_t running = 0;
    for (const auto& [port, flow] : m_flows) {
      running += flow.m_isFeed && flow.m_stage != Stage::Opening ? 1 : 0;
    }
    return { { "name", m_name },
             { "opened", m_opened },
             { "established", m_established },
             { "running_feeds", running },
             { "reset", m_reset },
             { "silent", m_silent },
             { "refused", m_refused },
             { "not_opened", m_notOpened },
             { "reports_sent", m_reportsSent },
             { "reports_acknowledged", m_acknowledged },
             { "reports_unknown", m_unknownReports } };
  }

private:
  void tick()
  {
    const auto now = Clock::now();
    const bool isEnding = now >= m_end;
    if (isEnding && (countReports() == 0 || now >= m_end + std::chrono::seconds(10))) {
      m_io.stop();
      return;
    }
    if (!isEnding) {
      openMore(now);
    }
    for (auto entry = m_flows.begin(); entry != m_flows.end();) {
      const uint16_t port = entry->first;
      Flow& flow = entry->second;
      ++entry;
      if (now >= flow.m_due) {
        onDue(port, flow);
      }
    }
    m_socket.flush();
    m_timer.expires_after(kStep);
    m_timer.async_wait([this](const asio::error_code& aError) {
      if (!aError) {
        tick();
      }
    });
  }

  size_t countReports() const
  {
    size_t count = 0;
    for (const auto& [port, flow] : m_flows) {
      count += flow.m_isFeed ? 0 : 1;
    }
    return count;
  }

  void openMore(Clock::time_point aNow)
  {
    if (aNow < m_comeBackAt) {
      return;
    }
    // Feeds come up a few at a time.
    for (int count = 0; count < 10 && m_runningFeeds < m_feeds; ++count) {
      open(true, {});
    }
    m_owed += m_rate * std::chrono::duration<double>(kStep).count();
    for (; m_owed >= 1; m_owed -= 1) {
      open(false, m_name + "-" + std::to_string(++m_reportNumber));
      ++m_reportsSent;
    }
  }

  void open(bool aIsFeed, std::string aReport)
  {
    do {
      m_nextPort = m_nextPort == 65535 ? kFirstPort : static_cast<uint16_t>(m_nextPort + 1);
    } while (m_flows.contains(m_nextPort));
    Flow& flow = m_flows[m_nextPort];
    flow.m_isFeed = aIsFeed;
    flow.m_report = std::move(aReport);
    m_runningFeeds += aIsFeed ? 1 : 0;
    ++m_opened;
    send(m_nextPort, flow, TH_SYN, {});
  }

  void send(uint16_t aSourcePort, Flow& aFlow, int aFlags, std::string_view aText)
  {
    const packet::FlowKey key{ .m_source = m_address,
                               .m_destination = m_vip,
                               .m_sourcePort = aSourcePort,
                               .m_destinationPort = m_vipPort };
    const std::vector<uint8_t> payload(aText.begin(), aText.end());
    aFlow.m_lastPacket = packet::buildPacket({ .m_flow = key,
                                               .m_sequence = aFlow.m_sequence,
                                               .m_acknowledgement = 1,
                                               .m_tcpFlags = static_cast<uint8_t>(aFlags),
                                               .m_payload = payload });
    aFlow.m_tries = 0;
    resend(aFlow);
  }

  void resend(Flow& aFlow)
  {
    const milliseconds base = aFlow.m_stage == Stage::Opening ? kSynTimeout : kDataTimeout;
    m_socket.send(m_fabric, m_port, {}, aFlow.m_lastPacket);
    aFlow.m_due = Clock::now() + base * (1 << aFlow.m_tries);
    ++aFlow.m_tries;
  }

  void onDue(uint16_t aPort, Flow& aFlow)
  {
    if (aFlow.m_stage == Stage::Idle) {
      sendFeed(aPort, aFlow);
      return;
    }
    const int most = aFlow.m_stage == Stage::Opening ? kSynTries : kDataTries;
    if (aFlow.m_tries < most) {
      resend(aFlow);
      return;
    }
    if (aFlow.m_stage == Stage::Opening) {
      ++m_notOpened;
    } else {
      ++m_silent[aFlow.m_upstream];
    }
    drop(aPort, aFlow);
  }

  void sendFeed(uint16_t aPort, Flow& aFlow)
  {
    aFlow.m_stage = Stage::Sending;
    send(aPort, aFlow, TH_ACK, "feed");
  }

  void onPacket(std::span<const uint8_t> aPacket)
  {
    const auto parsed = packet::parsePacket(aPacket);
    const auto* meta = std::get_if<packet::PacketMeta>(&parsed);
    if (meta == nullptr) {
      return;
    }
    const uint16_t port = meta->m_flow.m_destinationPort;
    const auto found = m_flows.find(port);
    if (found == m_flows.end()) {
      return;
    }
    iphdr ip{};
    tcphdr tcp{};
    std::memcpy(&ip, aPacket.data(), sizeof(ip));
    const auto segment = aPacket.subspan(size_t{ ip.ihl } * 4);
    std::memcpy(&tcp, segment.data(), sizeof(tcp));
    const auto body = segment.subspan(std::min(size_t{ tcp.doff } * 4, segment.size()));
    if ((tcp.th_flags & TH_RST) != 0) {
      onReset(port, found->second);
      return;
    }
    onAnswer(port, found->second, ntohl(tcp.ack_seq), { body.begin(), body.end() });
  }

  void onAnswer(uint16_t aPort, Flow& aFlow, uint32_t aAcknowledged, std::string aName)
  {
    if (aAcknowledged <= aFlow.m_sequence || aFlow.m_stage == Stage::Idle) {
      return;
    }
    aFlow.m_sequence = aAcknowledged;
    if (!aName.empty()) {
      aFlow.m_upstream = std::move(aName);
    }
    if (aFlow.m_stage == Stage::Opening) {
      ++m_established;
      aFlow.m_stage = Stage::Sending;
      send(aPort, aFlow, TH_ACK, aFlow.m_isFeed ? std::string("feed") : "report " + aFlow.m_report);
      return;
    }
    if (aFlow.m_isFeed) {
      aFlow.m_stage = Stage::Idle;
      aFlow.m_due = Clock::now() + kFeedPause + milliseconds(m_random() % 500);
      return;
    }
    if (aFlow.m_stage == Stage::Sending) {
      m_acknowledged.push_back(aFlow.m_report);
      aFlow.m_report.clear();
      aFlow.m_stage = Stage::Closing;
      send(aPort, aFlow, TH_FIN | TH_ACK, {});
      return;
    }
    drop(aPort, aFlow);
  }

  void onReset(uint16_t aPort, Flow& aFlow)
  {
    if (aFlow.m_stage == Stage::Opening) {
      // Refused, not run: the report may be sent again.
      ++m_refused;
      m_comeBackAt = Clock::now() + kComeBack;
      const std::string report = std::exchange(aFlow.m_report, {});
      const bool isFeed = aFlow.m_isFeed;
      drop(aPort, aFlow);
      if (!isFeed) {
        open(false, report);
      }
      return;
    }
    ++m_reset[aFlow.m_upstream];
    drop(aPort, aFlow);
  }

  void drop(uint16_t aPort, const Flow& aFlow)
  {
    m_runningFeeds -= aFlow.m_isFeed ? 1 : 0;
    if (!aFlow.m_report.empty()) {
      m_unknownReports.push_back(aFlow.m_report);
    }
    m_flows.erase(aPort);
  }

  asio::io_context& m_io;
  Ipv4 m_address;
  Ipv4 m_vip;
  uint16_t m_vipPort;
  uint16_t m_port;
  Ipv4 m_fabric;
  size_t m_feeds;
  double m_rate;
  Clock::time_point m_end;
  std::string m_name;
  std::mt19937_64 m_random;
  asio::steady_timer m_timer;
  transport::DatagramSocket m_socket;
  std::map<uint16_t, Flow> m_flows;
  uint16_t m_nextPort{ kFirstPort };
  size_t m_runningFeeds{};
  double m_owed{};
  uint64_t m_reportNumber{};
  Clock::time_point m_comeBackAt;

  uint64_t m_opened{};
  uint64_t m_established{};
  uint64_t m_refused{};
  uint64_t m_notOpened{};
  uint64_t m_reportsSent{};
  /// Established flows that ended by a reset or in silence, by upstream.
  std::map<std::string, uint64_t> m_reset;
  std::map<std::string, uint64_t> m_silent;
  std::vector<std::string> m_acknowledged;
  std::vector<std::string> m_unknownReports;
};

} // namespace

int
main(int aCount, const char** aWords)
{
  std::map<std::string, std::string> options{
    { "address", "127.7.0.1" }, { "packets", "7000" },
    { "fabric", "127.8.0.1" },  { "vip", "127.5.0.1" },
    { "vip-port", "443" },      { "feeds", "100" },
    { "reports-per-s", "20" },  { "seconds", "60" },
    { "name", "caller" },       { "seed", "1" },
  };
  standin::readOptions(aCount, aWords, options);
  asio::io_context io;
  const Callers callers(io, options);
  io.run();
  std::cout << callers.summary().dump() << "\n";
}
