// Tests that what hosts saw during a disruption resets no open flow 4 s after its end or later, the
// shortest time after which flows must not be reset any more. Evidence comes as late as it can:
// callers send lost packets again at intervals of up to 1.6 s.
#include "edge/HeartbeatFixture.h"

using namespace tamarack;
using namespace tamarack::edge;

namespace {

/// Time from the end of a disruption from which on no flow may be reset because of it.
constexpr Millis kContactTime{ 4000 };
/// Longest interval between two copies of a request.
constexpr Millis kMaxCopyInterval{ 1600 };
constexpr uint16_t kIdleCaller = 1;

/// Upstream 1, alone in its service, with flows of an idle caller and of two others. Upstream 2, of
/// another service, is there for its heartbeats.
class DisruptionFixture : public HeartbeatFixture
{
public:
  DisruptionFixture()
  {
    registry::UpstreamRecord other = record(2);
    other.m_service = "manuals";
    start(other);
    start(record(1));
    advance(Millis{ 4000 });
    for (const uint16_t caller : { 1, 2, 3 }) {
      for (Host* const host : { &reader(), &follower() }) {
        const uint16_t port = host == &reader() ? caller : static_cast<uint16_t>(caller + 10);
        REQUIRE(openFlow(*host, port) == 1);
        REQUIRE(sendRequest(*host, port));
        acknowledgeResponse(*host, port);
      }
    }
  }

  /// Two callers send a request that is lost just before the disruption ends, and their copies just
  /// after it. The responses are acknowledged through another host. `aFirst` is the first caller.
  void endDisruption(Host& aHost, uint16_t aFirst)
  {
    const auto send = [&] {
      (void)sendRequest(aHost, aFirst);
      (void)sendRequest(aHost, static_cast<uint16_t>(aFirst + 1));
    };
    send();
    advance(kTestTick);
    m_endedAt = m_now;
    advance(kMaxCopyInterval - kTestTick);
    send();
  }

  /// Whether a request of the idle caller is forwarded `aTime` after the end of the disruption.
  bool isServedAfter(Millis aTime)
  {
    advance(m_endedAt + aTime - m_now);
    return sendRequest(reader(), kIdleCaller) && !resets().contains(kIdleCaller);
  }

  TimePoint m_endedAt;
};

} // namespace

TEST_CASE(
  "a copy of a request that was lost in a disruption resets no other flow 4 s after its end")
{
  // Guards against evidence whose age is counted from the copy instead of the loss.
  for (const int later : { 0, 300, 600, 900, 1300, 2000 }) {
    CAPTURE(later);
    DisruptionFixture fixture;
    fixture.endDisruption(fixture.reader(), 2);
    CHECK(fixture.isServedAfter(kContactTime + Millis{ later }));
  }
}

TEST_CASE("a request is rejected at once while copies of others show that the upstream has died")
{
  for (const int waited : { 200, 800, 1400, 2000 }) {
    CAPTURE(waited);
    DisruptionFixture fixture;
    fixture.crash(1);
    fixture.endDisruption(fixture.reader(), 2);
    CHECK_FALSE(fixture.isServedAfter(kMaxCopyInterval + Millis{ waited }));
  }
}

TEST_CASE("a host that knows no reader in a disruption does not report its observations after it")
{
  // Guards against reports, which carry no age, that make old evidence new on the hosts that get
  // them.
  for (const int waited : { 0, 1000, 5000 }) {
    CAPTURE(waited);
    DisruptionFixture fixture;
    fixture.endDisruption(fixture.follower(), 12);
    fixture.advance(Millis{ 100 + waited });
    const auto status = dissemination::decodeStatus(fixture.follower().makeStatus(fixture.m_now));
    REQUIRE(status.ok());
    const auto reports = std::ranges::count(status->m_healthReports,
                                            dissemination::HealthSignal::Unresponsive,
                                            &dissemination::HealthReport::m_signal);
    CHECK(reports == (waited == 0 ? 1 : 0));
  }
}

// KNOWN-RED.txt, entry 20.
TEST_CASE("reports of copies of lost requests reset no flow 4 s after the end of the disruption" *
          doctest::may_fail())
{
  // Reports carry no age: their evidence counts from their arrival.
  for (const int later : { 0, 600, 1200 }) {
    CAPTURE(later);
    DisruptionFixture fixture;
    fixture.endDisruption(fixture.follower(), 12);
    // The report reaches the reader, which has the same of two other hosts.
    fixture.advance(kTestTick);
    auto status = dissemination::decodeStatus(fixture.follower().makeStatus(fixture.m_now));
    REQUIRE(status.ok());
    REQUIRE_FALSE(status->m_healthReports.empty());
    dissemination::HealthReport report = status->m_healthReports.front();
    CHECK(report.m_signal == dissemination::HealthSignal::Unresponsive);
    for (const uint32_t host : { 0x0a410001, 0x0a410002 }) {
      report.m_reporter = HostId{ host };
      status->m_healthReports.push_back(report);
    }
    (void)fixture.reader().onStatus(fixture.m_now, *status);
    CHECK(fixture.isServedAfter(kContactTime + Millis{ later }));
  }
}
