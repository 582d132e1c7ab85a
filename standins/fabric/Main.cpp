// Stand-in for the fabric: takes packets in UDP datagrams and hands each one to some live entry
// host.
#include "Options.h"
#include "packet/Packet.h"
#include "transport/Datagrams.h"
#include "transport/Http2.h"

#include <nlohmann/json.hpp>
#include <random>

namespace {

using namespace tamarack;

class Fabric
{
public:
  Fabric(asio::io_context& aIo, std::map<std::string, std::string>& aOptions)
    : m_isSticky(aOptions["spray"] == "sticky")
    , m_port(static_cast<uint16_t>(std::stoi(aOptions["packets"])))
    , m_random(std::stoull(aOptions["seed"]))
    , m_platform(aIo, transport::parseEndpoint(aOptions["platform"]))
    , m_timer(aIo)
    , m_socket(aIo, { asio::ip::make_address_v4(aOptions["address"]), m_port })
  {
    m_socket.startReceiving([this](auto aPacket) { onPacket(aPacket); },
                            [this](bool) { m_socket.flush(); });
    watch();
  }

private:
  void onPacket(std::span<const uint8_t> aPacket)
  {
    if (m_hosts.empty()) {
      return;
    }
    size_t index = m_random() % m_hosts.size();
    if (m_isSticky) {
      const auto parsed = packet::parsePacket(aPacket);
      const auto* meta = std::get_if<packet::PacketMeta>(&parsed);
      index = meta == nullptr ? 0 : packet::flowId(meta->m_flow, 0).m_value % m_hosts.size();
    }
    m_socket.send(m_hosts[index], m_port, {}, aPacket);
  }

  void watch()
  {
    transport::Request request{ .m_method = "GET", .m_path = "/hosts" };
    request.m_query["after"] = std::to_string(m_revision);
    request.m_query["wait_ms"] = "1000";
    m_platform.request(
      request, std::chrono::milliseconds(3000), [this](const transport::Response& aResponse) {
        onHosts(aResponse);
        m_timer.expires_after(std::chrono::milliseconds(aResponse.m_status == 200 ? 10 : 200));
        m_timer.async_wait([this](const asio::error_code& aError) {
          if (!aError) {
            watch();
          }
        });
      });
  }

  void onHosts(const transport::Response& aResponse)
  {
    if (aResponse.m_status != 200 || aResponse.m_revision <= m_revision) {
      return;
    }
    const auto json = nlohmann::json::parse(aResponse.m_body, nullptr, false);
    if (!json.contains("hosts")) {
      return;
    }
    m_revision = aResponse.m_revision;
    m_hosts.clear();
    for (const auto& host : json["hosts"]) {
      const auto address = parseIpv4(host.value("address", ""));
      if (address && host.value("state", "") == "live") {
        m_hosts.push_back(*address);
      }
    }
  }

  bool m_isSticky;
  uint16_t m_port;
  std::mt19937_64 m_random;
  transport::Http2Client m_platform;
  asio::steady_timer m_timer;
  transport::DatagramSocket m_socket;
  std::vector<Ipv4> m_hosts;
  uint64_t m_revision{};
};

} // namespace

int
main(int aCount, const char** aWords)
{
  std::map<std::string, std::string> options{ { "address", "127.8.0.1" },
                                              { "packets", "7000" },
                                              { "platform", "127.9.0.1:7400" },
                                              { "spray", "packet" },
                                              { "seed", "1" } };
  standin::readOptions(aCount, aWords, options);
  asio::io_context io;
  const Fabric fabric(io, options);
  io.run();
}
