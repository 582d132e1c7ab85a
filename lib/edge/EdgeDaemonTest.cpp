// Tests of the edge process with its own sockets, on loopback addresses. The packet format and the
// store are fakes: the test decides when records arrive and which packet cannot be handled.
#include "edge/EdgeDaemon.h"

#include <doctest/doctest.h>
#include <stdexcept>

using namespace tamarack;
using namespace tamarack::edge;

namespace {

using asio::ip::udp;
using registry::Change;
using registry::RecordKind;
using registry::StoreUpdate;

constexpr Ipv4 kLoopback{ 0x7f000001 };
constexpr Ipv4 kServiceAddress{ 0xc6120001 };
constexpr uint16_t kServicePort = 443;
/// A packet that consists of this byte is parsed, but throws an exception when it is forwarded.
constexpr uint8_t kFaultyPacket = 0xbb;
/// Limit of the waits for events that take milliseconds on an idle machine.
constexpr Millis kEventTimeout{ 5000 };

/// Each packet is one byte, which also distinguishes the flows. All packets are SYNs.
struct FakeFormat
{
  static std::variant<steering::FlowPacket, ErrorKind> parse(std::span<const uint8_t> aDatagram)
  {
    ++sParsedPackets;
    return steering::FlowPacket{ .m_flow = { Ipv4{ 0x64400001 },
                                             kServiceAddress,
                                             static_cast<uint16_t>(1000 + aDatagram[0]),
                                             kServicePort },
                                 .m_isSyn = true };
  }
  static void writeToken(std::span<uint8_t> aDatagram, steering::Token)
  {
    if (aDatagram[0] == kFaultyPacket) {
      throw std::length_error("faulty packet");
    }
  }
  static std::array<uint8_t, 1> identityPrefix(uint64_t) { return {}; }
  static std::array<uint8_t, 1> makeReset(const steering::FlowPacket&) { return {}; }

  static inline int sParsedPackets{};
};

/// A store client that sends pages and answers when the test says so.
struct FakeStore
{
  FakeStore(asio::io_context&, const asio::ip::tcp::endpoint&) { sInstance = this; }
  void load(bool, Millis, std::function<bool(const StoreUpdate&)> aOnPage, StoreAnswerHandler aDone)
  {
    m_onPage = std::move(aOnPage);
    m_done = std::move(aDone);
  }
  void watch(registry::Revision, Millis, Millis, StoreAnswerHandler aDone)
  {
    m_done = std::move(aDone);
  }
  void close() { m_done = nullptr; }

  std::function<bool(const StoreUpdate&)> m_onPage;
  StoreAnswerHandler m_done;
  /// The client of the daemon under test.
  static inline FakeStore* sInstance{};
};

EdgeSettings
makeSettings(uint16_t aPacketPort)
{
  return { .m_host = "entry-1",
           .m_dataCentre = "natal",
           .m_packetEndpoint = { kLoopback, aPacketPort },
           .m_readinessEndpoint = { kLoopback },
           .m_readinessPath = "/ready",
           .m_controlEndpoint = { kLoopback },
           .m_metricsEndpoint = { kLoopback },
           .m_storeEndpoint = { kLoopback },
           .m_stopLimit = Millis{ 6000 },
           .m_flowTableCapacity = 256 };
}

class DaemonFixture
{
public:
  /// Sends the page with the only upstream, after which the daemon receives packets.
  void sendUpstreamPage()
  {
    StoreUpdate page;
    page.m_changes = { upstreamEntry() };
    asio::post(m_io, [page] { FakeStore::sInstance->m_onPage(page); });
  }
  /// Completes the load, after which the daemon can decide on every packet.
  void sendAllRecords()
  {
    StoreUpdate records{ .m_revision = { .m_number = 10 }, .m_isSnapshot = true };
    records.m_changes = { upstreamEntry() };
    records.m_configuration =
      std::vector<Change>{ { { RecordKind::Route, "r" },
                             { .m_number = 9 },
                             registry::RouteRecord{ kServiceAddress,
                                                    kServicePort,
                                                    registry::RequestKind::Idempotent,
                                                    { { "reports", 1 } } } },
                           { { RecordKind::Configuration, "" },
                             { .m_number = 9 },
                             registry::ConfigurationRecord{ 4, Millis{ 15'000 } } } };
    asio::post(m_io, [records] { std::exchange(FakeStore::sInstance->m_done, nullptr)(records); });
  }
  void sendPacket(uint8_t aPacket)
  {
    m_caller.send_to(asio::buffer(&aPacket, 1), { asio::ip::address_v4::loopback(), m_packetPort });
  }
  /// Runs the daemon until the condition holds or kEventTimeout is over.
  template<typename Condition>
  bool runUntil(const Condition& aCondition)
  {
    const TimePoint end = readClock() + kEventTimeout;
    while (!aCondition() && readClock() < end) {
      m_io.run_for(Millis{ 5 });
    }
    return aCondition();
  }
  /// Returns the packets that the upstream has received since the last call.
  std::vector<uint8_t> takeForwarded()
  {
    std::vector<uint8_t> packets;
    // One byte of identity precedes each packet.
    std::array<uint8_t, 2> bytes{};
    asio::error_code error;
    while (m_upstream.receive(asio::buffer(bytes), 0, error) == bytes.size()) {
      packets.push_back(bytes[1]);
    }
    return packets;
  }

private:
  static uint16_t chooseFreePort(asio::io_context& aIo)
  {
    return udp::socket(aIo, { asio::ip::address_v4::loopback(), 0 }).local_endpoint().port();
  }
  Change upstreamEntry() const
  {
    return { { RecordKind::Upstream, "i-1" },
             { .m_number = 3 },
             registry::UpstreamRecord{ .m_service = "reports",
                                       .m_dataCentre = "natal",
                                       .m_address = kLoopback,
                                       .m_port = m_upstream.local_endpoint().port(),
                                       .m_identity = 1,
                                       .m_slots = 4 } };
  }

  asio::io_context m_io;
  udp::socket m_caller{ m_io, udp::v4() };
  udp::socket m_upstream = [this] {
    udp::socket socket(m_io, { asio::ip::address_v4::loopback(), 0 });
    socket.non_blocking(true);
    return socket;
  }();
  uint16_t m_packetPort{ chooseFreePort(m_io) };
  EdgeDaemon<FakeFormat, FakeStore> m_daemon{ m_io, makeSettings(m_packetPort), SettingsFile("") };
};

} // namespace

TEST_CASE("an exception from a deferred packet ends neither the process nor the other packets")
{
  DaemonFixture fixture;
  FakeFormat::sParsedPackets = 0;
  fixture.sendUpstreamPage();
  fixture.sendPacket(1);
  fixture.sendPacket(kFaultyPacket);
  fixture.sendPacket(2);
  REQUIRE(fixture.runUntil([] { return FakeFormat::sParsedPackets == 3; }));
  REQUIRE(fixture.takeForwarded().empty());
  fixture.sendAllRecords();
  std::vector<uint8_t> forwarded;
  CHECK_NOTHROW(fixture.runUntil([&] {
    const auto packets = fixture.takeForwarded();
    forwarded.insert(forwarded.end(), packets.begin(), packets.end());
    return forwarded.size() == 2;
  }));
  CHECK(forwarded == std::vector<uint8_t>{ 1, 2 });
}

TEST_CASE("an exception from an arriving packet ends neither the process nor the other packets")
{
  DaemonFixture fixture;
  fixture.sendAllRecords();
  fixture.sendPacket(1);
  fixture.sendPacket(kFaultyPacket);
  fixture.sendPacket(2);
  std::vector<uint8_t> forwarded;
  CHECK_NOTHROW(fixture.runUntil([&] {
    const auto packets = fixture.takeForwarded();
    forwarded.insert(forwarded.end(), packets.begin(), packets.end());
    return forwarded.size() == 2;
  }));
  CHECK(forwarded == std::vector<uint8_t>{ 1, 2 });
}
