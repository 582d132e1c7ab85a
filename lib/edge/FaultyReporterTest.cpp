// Tests whose reports of missing responses bear on open flows: not those of hosts that report
// upstreams which answer here, and all others, also when many upstreams die together.
#include "edge/HeartbeatFixture.h"

using namespace tamarack;
using namespace tamarack::edge;

namespace {

constexpr size_t kReporters = 4;
constexpr uint64_t kUpstreams = 8;
constexpr size_t kFlowsPerUpstream = 6;
constexpr uint64_t kReported = 1;
/// Time after a tick at which callers of the reader acknowledge responses.
constexpr Millis kAnswerOffset{ 60 };
constexpr Millis kFirstCopyDelay{ 200 };

using Indices = std::vector<size_t>;
using Identities = std::vector<uint64_t>;

const Indices kAllReporters{ 0, 1, 2, 3 };
const Identities kAllUpstreams{ 1, 2, 3, 4, 5, 6, 7, 8 };

/// Runs upstreams in one data centre, with flows of the reader and of reporters in another one or
/// the same to each of them.
class ReporterFixture : public HeartbeatFixture
{
public:
  ReporterFixture(const std::string& aDataCentre, const std::string& aReporterDataCentre)
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
    for (const uint64_t identity : kAllUpstreams) {
      start(record(identity, aDataCentre));
    }
    run(Millis{ 4000 });
    m_readerCallers = openFlows(reader());
    for (size_t index = 0; index < m_reporters.size(); ++index) {
      m_callers[index] = openFlows(*m_reporters[index]);
    }
    run(Millis{ 4000 });
  }

  /// Advances the time of all hosts. The upstreams of m_answering respond to callers of the reader.
  void run(Millis aTime)
  {
    for (const TimePoint end = m_now + aTime; m_now < end;) {
      m_now += kAnswerOffset;
      answerCallers();
      m_now -= kAnswerOffset;
      advance(kTestTick);
      for (const auto& reporter : m_reporters) {
        const auto delta = registry::decodeDelta(registry::encodeDelta(
          reader().registry().changesSince(reporter->registry().appliedRevision())));
        REQUIRE(delta.ok());
        reporter->onDifference(m_now, *delta, HostId{ 0x0a400001 });
        reporter->peers().onStoreConfirmation(m_now);
        reporter->onActivity(m_now);
        reporter->tick(m_now);
        (void)reporter->takeLogLines(m_now);
      }
    }
  }

  /// An upstream of m_answering responds to one of its callers on the reader.
  void answerCallers()
  {
    for (const uint64_t identity : m_answering) {
      const uint16_t caller = m_readerCallers.at(identity).at(0);
      (void)sendRequest(reader(), caller);
      acknowledgeResponse(reader(), caller);
    }
  }

  void sendRequests(const Indices& aReporters, const Identities& aUpstreams)
  {
    for (const size_t reporter : aReporters) {
      for (const uint64_t identity : aUpstreams) {
        for (const uint16_t caller : m_callers[reporter].at(identity)) {
          (void)sendRequest(*m_reporters[reporter], caller);
        }
      }
    }
  }

  /// Callers of reporters repeat requests that got no response, and the reporters tell the reader.
  void repeatAndReport(const Indices& aReporters, const Identities& aUpstreams)
  {
    sendRequests(aReporters, aUpstreams);
    sendReports();
  }

  /// The reporters send statuses to the reader.
  void sendReports()
  {
    for (const auto& reporter : m_reporters) {
      const auto status = dissemination::decodeStatus(reporter->makeStatus(m_now));
      REQUIRE(status.ok());
      reporter->onStatusPushed();
      m_reports += std::ranges::count(status->m_healthReports,
                                      dissemination::HealthSignal::Unresponsive,
                                      &dissemination::HealthReport::m_signal);
      (void)reader().onStatus(m_now, *status);
    }
  }

  /// Callers of the reader on flows to an upstream; the second one has not sent a request lately.
  [[nodiscard]] uint16_t caller(uint64_t aIdentity, size_t aIndex = 0) const
  {
    return m_readerCallers.at(aIdentity).at(aIndex);
  }

  std::set<uint64_t> m_answering;
  /// Reports of missing responses that the reader got.
  int64_t m_reports{};

private:
  using Callers = std::map<uint64_t, std::vector<uint16_t>>;

  Callers openFlows(Host& aHost)
  {
    Callers callers;
    for (int attempt = 0; attempt < 600; ++attempt) {
      const uint16_t caller = m_nextCaller++;
      const uint64_t identity = openFlow(aHost, caller);
      REQUIRE(identity != 0);
      REQUIRE(sendRequest(aHost, caller));
      acknowledgeResponse(aHost, caller);
      if (callers[identity].size() < kFlowsPerUpstream) {
        callers[identity].push_back(caller);
      }
    }
    // The buffer of flow events is limited.
    (void)aHost.takeLogLines(m_now);
    for (const uint64_t identity : kAllUpstreams) {
      REQUIRE(callers[identity].size() == kFlowsPerUpstream);
    }
    return callers;
  }

  std::array<std::unique_ptr<Host>, kReporters> m_reporters;
  std::array<Callers, kReporters> m_callers;
  Callers m_readerCallers;
  uint16_t m_nextCaller{ 1000 };
};

/// The data centres of the upstreams and of the reporters. That of the reader is "near".
struct Placement
{
  std::string m_upstreams;
  std::string m_reporters;
};

const std::vector<Placement> kPlacements{ { "near", "near" },
                                          { "middle", "near" },
                                          { "middle", "middle" } };

} // namespace

// KNOWN-RED.txt, entry 27.
TEST_CASE("requests are not reset on reports of hosts nearby whose links lose packets" *
          doctest::may_fail())
{
  // The upstreams answer here, except that the response to one request takes longer.
  for (const Placement& placement : kPlacements) {
    CAPTURE(placement.m_upstreams);
    CAPTURE(placement.m_reporters);
    ReporterFixture fixture(placement.m_upstreams, placement.m_reporters);
    fixture.m_answering = { 2, 3, 4, 5, 6, 7, 8 };
    fixture.sendRequests(kAllReporters, kAllUpstreams);
    fixture.run(kFirstCopyDelay);
    CHECK(fixture.sendRequest(fixture.reader(), fixture.caller(kReported)));
    fixture.repeatAndReport(kAllReporters, kAllUpstreams);
    CHECK(fixture.m_reports >= 3 * static_cast<int64_t>(kUpstreams));
    fixture.run(Millis{ 1000 });
    CHECK(fixture.resets().empty());
    CHECK(fixture.sendRequest(fixture.reader(), fixture.caller(kReported, 1)));
  }
}

// KNOWN-RED.txt, entry 27.
TEST_CASE("requests to an idle upstream are not reset on reports of hosts that were wrong before" *
          doctest::may_fail())
{
  // The same, with reports of this upstream after those of the other ones.
  for (const Placement& placement : kPlacements) {
    CAPTURE(placement.m_upstreams);
    CAPTURE(placement.m_reporters);
    ReporterFixture fixture(placement.m_upstreams, placement.m_reporters);
    fixture.m_answering = { 2, 3 };
    fixture.sendRequests(kAllReporters, { 2, 3 });
    fixture.run(kFirstCopyDelay);
    fixture.repeatAndReport(kAllReporters, { 2, 3 });
    fixture.run(Millis{ 1000 });
    fixture.sendRequests(kAllReporters, { kReported });
    fixture.run(kFirstCopyDelay);
    CHECK(fixture.sendRequest(fixture.reader(), fixture.caller(kReported)));
    const int64_t reportsBefore = fixture.m_reports;
    fixture.repeatAndReport(kAllReporters, { kReported });
    CHECK(fixture.m_reports >= reportsBefore + 3);
    fixture.run(Millis{ 500 });
    CHECK(fixture.resets().empty());
    CHECK(fixture.sendRequest(fixture.reader(), fixture.caller(kReported, 1)));
    // New flows still avoid the upstream.
    for (uint16_t caller = 60'000; caller < 60'020; ++caller) {
      CHECK(fixture.sendSyn(fixture.reader(), caller) != kReported);
    }
  }
}

TEST_CASE("reports of several upstreams that died together reset their flows in 100 ms")
{
  // Guards against taking answers from before the crash for evidence against the reporters. The
  // last of these answers arrives 40 ms before the reports.
  for (const Placement& placement : kPlacements) {
    CAPTURE(placement.m_upstreams);
    CAPTURE(placement.m_reporters);
    ReporterFixture fixture(placement.m_upstreams, placement.m_reporters);
    const Identities dead{ 1, 2, 3 };
    fixture.m_answering = { 1, 2, 3, 4, 5, 6, 7, 8 };
    fixture.sendRequests(kAllReporters, dead);
    fixture.run(kFirstCopyDelay);
    fixture.m_answering = { 4, 5, 6, 7, 8 };
    for (const uint64_t identity : dead) {
      fixture.crash(identity);
      CHECK(fixture.sendRequest(fixture.reader(), fixture.caller(identity)));
    }
    fixture.repeatAndReport(kAllReporters, dead);
    fixture.run(Millis{ 100 });
    for (const uint64_t identity : dead) {
      CHECK(fixture.resets().contains(fixture.caller(identity)));
    }
    CHECK(fixture.resets().size() == dead.size());
  }
}

TEST_CASE("three sound hosts decide in 100 ms although a fourth one reports upstreams that answer")
{
  for (const Placement& placement : kPlacements) {
    for (const bool isFaultKnown : { false, true }) {
      CAPTURE(placement.m_upstreams);
      CAPTURE(placement.m_reporters);
      CAPTURE(isFaultKnown);
      ReporterFixture fixture(placement.m_upstreams, placement.m_reporters);
      fixture.m_answering = { 2, 3, 4, 5, 6, 7, 8 };
      fixture.sendRequests({ 0 }, { 2, 3, 4 });
      fixture.run(kFirstCopyDelay);
      fixture.repeatAndReport({ 0 }, { 2, 3, 4 });
      if (isFaultKnown) {
        fixture.run(Millis{ 300 });
      }
      fixture.crash(kReported);
      fixture.sendRequests(kAllReporters, { kReported });
      fixture.run(kFirstCopyDelay);
      CHECK(fixture.sendRequest(fixture.reader(), fixture.caller(kReported)));
      fixture.repeatAndReport(kAllReporters, { kReported });
      fixture.run(Millis{ 100 });
      CHECK(fixture.resets().contains(fixture.caller(kReported)));
    }
  }
}

TEST_CASE("a host that knew no reader for seconds does not report what it saw before")
{
  // Receivers take a report for one of now, although the upstream answers again.
  ReporterFixture fixture("near", "near");
  fixture.sendRequests(kAllReporters, { kReported });
  fixture.run(kFirstCopyDelay);
  fixture.sendRequests(kAllReporters, { kReported });
  fixture.run(Millis{ 3000 });
  CHECK(fixture.sendRequest(fixture.reader(), fixture.caller(kReported)));
  fixture.sendReports();
  CHECK(fixture.m_reports == 0);
  fixture.run(Millis{ 500 });
  CHECK(fixture.resets().empty());
}
