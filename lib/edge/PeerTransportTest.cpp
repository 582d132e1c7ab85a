// Tests of the records that a host sends over HTTP/2, on loopback addresses.
#include "edge/PeerTransport.h"

#include "base/Clock.h"
#include "registry/RecordCodec.h"

#include <doctest/doctest.h>

using namespace tamarack;
using namespace tamarack::edge;

namespace {

constexpr Ipv4 kLoopback{ 0x7f000001 };
/// Limit of the waits for answers that take milliseconds on an idle machine.
constexpr Millis kAnswerTimeout{ 5000 };

class TransportFixture
{
public:
  TransportFixture()
    : m_port(asio::ip::tcp::acceptor(m_io, { asio::ip::address_v4::loopback(), 0 })
               .local_endpoint()
               .port())
    , m_transport(m_io,
                  { .m_packetEndpoint = { kLoopback }, .m_controlEndpoint = { kLoopback, m_port } },
                  m_host,
                  m_counters)
  {
  }

  /// The host reads the store at a time after the start.
  void readStore(Millis aTime, bool aIsDisturbed)
  {
    const TimePoint now = TimePoint{ Millis{ 100'000 } } + aTime;
    m_host.onStoreAnswer(now,
                         { .m_revision = { .m_number = 10 }, .m_isSnapshot = !m_host.isLoaded() },
                         aIsDisturbed,
                         now);
  }

  /// Requests a snapshot and returns whether it says that records missing from it may return.
  bool isSnapshotUncertain()
  {
    transport::Http2Client client(m_io, { asio::ip::address_v4::loopback(), m_port });
    transport::Request request{ .m_method = "GET", .m_path = "/changes" };
    request.m_query["history"] = "0";
    request.m_query["since"] = "0";
    std::optional<transport::Response> response;
    client.request(
      request, kAnswerTimeout, [&](const transport::Response& aResponse) { response = aResponse; });
    for (const TimePoint end = readClock() + kAnswerTimeout; !response && readClock() < end;) {
      m_io.run_for(Millis{ 5 });
    }
    REQUIRE(response);
    REQUIRE(response->m_status == 200);
    const auto* bytes = reinterpret_cast<const uint8_t*>(response->m_body.data());
    const auto delta = registry::decodeDelta({ bytes, response->m_body.size() });
    REQUIRE(delta.ok());
    REQUIRE(delta->m_isSnapshot);
    return delta->m_areRemovalsUncertain;
  }

private:
  asio::io_context m_io;
  uint16_t m_port;
  Host m_host{ { .m_peers = { .m_self = HostId{ kLoopback.m_value },
                              .m_dataCentre = "near",
                              .m_capacity = 50,
                              .m_incarnation = 1 },
                 .m_coldLimits = {},
                 .m_flowTableCapacity = 64,
                 .m_seed = 1 } };
  ProcessCounters m_counters;
  PeerTransport m_transport;
};

} // namespace

TEST_CASE("a snapshot says whether removals are uncertain although its records have not changed")
{
  // Guards against a cached snapshot that outlasts the doubt, or lacks it.
  TransportFixture fixture;
  fixture.readStore(Millis{}, false);
  CHECK(fixture.isSnapshotUncertain());
  fixture.readStore(kDisturbancePeriod, false);
  CHECK_FALSE(fixture.isSnapshotUncertain());
  fixture.readStore(2 * kDisturbancePeriod, true);
  CHECK(fixture.isSnapshotUncertain());
}
