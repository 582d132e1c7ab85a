// Tests what the reports of other hosts do to the open flows of an upstream: nothing while it
// serves and only the reporters cannot reach it, and all that is needed once it has died.
#include "edge/HeartbeatFixture.h"

using namespace tamarack;
using namespace tamarack::edge;

namespace {

constexpr size_t kReporters = 4;
constexpr uint16_t kFirstFarCaller = 100;
constexpr uint16_t kFlowsPerReporter = 6;
constexpr uint16_t kIdleCaller = 1;
constexpr uint16_t kWaitingCaller = 2;
/// Time from a request to its first copy.
constexpr Millis kFirstCopyDelay{ 200 };

/// Runs upstream 1 in a data centre of choice, with flows of callers of a host of "near" and of
/// reporters in "far", then upstreams 2 to 4 in "near".
class PeerReportFixture : public HeartbeatFixture
{
public:
  explicit PeerReportFixture(const std::string& aDataCentre,
                             const std::string& aReporterDataCentre = "far")
  {
    for (size_t index = 0; index < m_reporters.size(); ++index) {
      m_reporters[index] = std::make_unique<Host>(
        HostOptions{ .m_peers = { .m_self = HostId{ 0x0a410001 + static_cast<uint32_t>(index) },
                                  .m_dataCentre = aReporterDataCentre,
                                  .m_capacity = 50,
                                  .m_incarnation = 1,
                                  .m_seeds = { HostId{ 0x0a400001 } } },
                     .m_coldLimits = {},
                     .m_flowTableCapacity = 1024,
                     .m_seed = 10 + index });
    }
    start(record(1, aDataCentre));
    run(Millis{ 3000 });
    for (const uint16_t caller : { kIdleCaller, kWaitingCaller }) {
      openAndUse(reader(), caller);
    }
    forEachFarCaller([&](Host& aHost, uint16_t aCaller) { openAndUse(aHost, aCaller); });
    for (uint64_t identity = 2; identity <= 4; ++identity) {
      start(record(identity));
    }
    run(Millis{ 4000 });
  }

  /// Advances the time of all hosts.
  void run(Millis aTime)
  {
    for (const TimePoint end = m_now + aTime; m_now < end;) {
      advance(kTestTick);
      for (const auto& reporter : m_reporters) {
        const auto delta = registry::decodeDelta(registry::encodeDelta(
          reader().registry().changesSince(reporter->registry().appliedRevision())));
        REQUIRE(delta.ok());
        reporter->onDifference(m_now, *delta, HostId{ 0x0a400001 });
        reporter->peers().onStoreConfirmation(m_now);
        reporter->onActivity(m_now);
        reporter->tick(m_now);
      }
    }
  }

  /// The callers of the reporters send a request each, and repeat it unanswered. The reporters then
  /// tell the host of "near". Returns the number of hosts that reported.
  int loseRequestsOfReporters()
  {
    forEachFarCaller([&](Host& aHost, uint16_t aCaller) { (void)sendRequest(aHost, aCaller); });
    run(kFirstCopyDelay);
    forEachFarCaller([&](Host& aHost, uint16_t aCaller) { (void)sendRequest(aHost, aCaller); });
    return sendReports();
  }

  /// The reporters send statuses to the host of "near". Returns the number of hosts that reported.
  int sendReports()
  {
    int reporting = 0;
    for (const auto& reporter : m_reporters) {
      const auto status = dissemination::decodeStatus(reporter->makeStatus(m_now));
      REQUIRE(status.ok());
      reporter->onStatusPushed();
      const bool isReporting = std::ranges::any_of(
        status->m_healthReports, [](const dissemination::HealthReport& aReport) {
          return aReport.m_signal == dissemination::HealthSignal::Unresponsive;
        });
      reporting += isReporting ? 1 : 0;
      (void)reader().onStatus(m_now, *status);
    }
    return reporting;
  }

  /// The second host of "near" reports upstream 1 to the first one.
  void sendReportOfNeighbour()
  {
    auto status = dissemination::decodeStatus(follower().makeStatus(m_now));
    REQUIRE(status.ok());
    const steering::Token token = steering::makeToken(1, record(1).m_startedAtMs);
    status->m_healthReports = {
      { token.m_value, dissemination::HealthSignal::Unresponsive, status->m_sender }
    };
    (void)reader().onStatus(m_now, *status);
  }

  /// Advances until the flow of a caller is reset, for at most `aTime`. Returns the time that it
  /// took, or nothing.
  std::optional<Millis> timeToReset(uint16_t aCaller, Millis aTime)
  {
    const TimePoint start = m_now;
    while (!resets().contains(aCaller) && m_now - start < aTime) {
      run(kTestTick);
    }
    return resets().contains(aCaller) ? std::optional(m_now - start) : std::nullopt;
  }

private:
  void openAndUse(Host& aHost, uint16_t aCaller)
  {
    REQUIRE(openFlow(aHost, aCaller) == 1);
    REQUIRE(sendRequest(aHost, aCaller));
    acknowledgeResponse(aHost, aCaller);
  }

  template<typename Function>
  void forEachFarCaller(const Function& aFunction)
  {
    uint16_t caller = kFirstFarCaller;
    for (const auto& reporter : m_reporters) {
      for (uint16_t count = 0; count < kFlowsPerReporter; ++count) {
        aFunction(*reporter, caller++);
      }
    }
  }

  std::array<std::unique_ptr<Host>, kReporters> m_reporters;
};

} // namespace

TEST_CASE("a request just sent is not reset by reports of a data centre that is cut off")
{
  for (const char* dataCentre : { "near", "middle" }) {
    CAPTURE(std::string(dataCentre));
    PeerReportFixture fixture(dataCentre);
    CHECK(fixture.loseRequestsOfReporters() >= 3);
    CHECK(fixture.sendRequest(fixture.reader(), kWaitingCaller));
    fixture.run(Millis{ 300 });
    CHECK_FALSE(fixture.resets().contains(kWaitingCaller));
    fixture.acknowledgeResponse(fixture.reader(), kWaitingCaller);
    CHECK(fixture.sendRequest(fixture.reader(), kWaitingCaller));
  }
}

TEST_CASE("the first request of an idle flow is not reset by reports of a data centre that is cut "
          "off")
{
  for (const char* dataCentre : { "near", "middle" }) {
    for (const int waited : { 100, 1000, 2500 }) {
      CAPTURE(std::string(dataCentre));
      CAPTURE(waited);
      PeerReportFixture fixture(dataCentre);
      CHECK(fixture.loseRequestsOfReporters() >= 3);
      fixture.run(Millis{ waited });
      CHECK(fixture.sendRequest(fixture.reader(), kIdleCaller));
    }
  }
}

TEST_CASE("a request at work for 500 ms is not reset by reports of a data centre that is cut off")
{
  for (const char* dataCentre : { "near", "middle" }) {
    CAPTURE(std::string(dataCentre));
    PeerReportFixture fixture(dataCentre);
    CHECK(fixture.sendRequest(fixture.reader(), kWaitingCaller));
    CHECK(fixture.loseRequestsOfReporters() >= 3);
    fixture.run(Millis{ 300 });
    CHECK_FALSE(fixture.resets().contains(kWaitingCaller));
  }
}

TEST_CASE("a host that sees one unanswered copy itself resets requests on reports of three hosts")
{
  for (const char* dataCentre : { "near", "middle" }) {
    for (const char* reporters : { "near", "far" }) {
      CAPTURE(std::string(dataCentre));
      CAPTURE(std::string(reporters));
      PeerReportFixture fixture(dataCentre, reporters);
      fixture.crash(1);
      CHECK(fixture.sendRequest(fixture.reader(), kWaitingCaller));
      CHECK(fixture.loseRequestsOfReporters() >= 3);
      (void)fixture.sendRequest(fixture.reader(), kWaitingCaller);
      const auto time = fixture.timeToReset(kWaitingCaller, Millis{ 8000 });
      CHECK(time == Millis{ 100 });
    }
  }
}

TEST_CASE(
  "requests that an upstream had acknowledged before it died are reset on reports of others")
{
  // Their callers have nothing to retransmit. Reports of hosts nearby must suffice at once.
  for (const char* dataCentre : { "near", "middle" }) {
    for (const char* reporters : { "near", "far" }) {
      CAPTURE(std::string(dataCentre));
      CAPTURE(std::string(reporters));
      PeerReportFixture fixture(dataCentre, reporters);
      fixture.crash(1);
      CHECK(fixture.sendRequest(fixture.reader(), kWaitingCaller));
      CHECK(fixture.loseRequestsOfReporters() >= 3);
      const bool isFar = std::string(reporters) == "far";
      const auto time = fixture.timeToReset(kWaitingCaller, Millis{ 8000 });
      REQUIRE(time.has_value());
      CHECK(*time <= (isFar ? Millis{ 4000 } : Millis{ 100 }));
    }
  }
}

TEST_CASE("a report of a host nearby counts although four hosts elsewhere reported before")
{
  // Guards against losing the only report that decides at the limit of remembered reporters.
  PeerReportFixture fixture("near");
  fixture.crash(1);
  CHECK(fixture.sendRequest(fixture.reader(), kWaitingCaller));
  CHECK(fixture.loseRequestsOfReporters() == kReporters);
  fixture.sendReportOfNeighbour();
  CHECK(fixture.timeToReset(kWaitingCaller, Millis{ 1000 }) == Millis{ 100 });
}

TEST_CASE("reports of a data centre that is cut off keep new flows away")
{
  PeerReportFixture fixture("near");
  CHECK(fixture.loseRequestsOfReporters() >= 3);
  for (uint16_t caller = 1000; caller < 1020; ++caller) {
    CHECK(fixture.sendSyn(fixture.reader(), caller) != 1);
  }
}
