// Tests hosts that were paused and then read the packets and statuses that waited in their sockets.
// Retransmitted packets that are read together must not make an upstream look silent, and delayed
// statuses must not make the records look current.
#include "edge/Host.h"

#include <doctest/doctest.h>
#include <memory>

using namespace tamarack;
using namespace tamarack::edge;

namespace {

using registry::Change;
using registry::RecordKind;
using registry::StoreUpdate;

constexpr TimePoint kStart{ Millis{ 70'000 } };
/// Requests that wait in the socket of each paused host.
constexpr uint16_t kWaitingRequests = 6;
/// Answered requests to the upstream that each host has seen before the pause, so that
/// retransmissions appear rare.
constexpr uint16_t kAnsweredRequestsBefore = 300;

StoreUpdate
readingWithOneUpstream()
{
  StoreUpdate reading{ .m_revision = { .m_number = 10 }, .m_isSnapshot = true };
  reading.m_changes = { { { RecordKind::Upstream, "i-1" },
                          { .m_number = 3 },
                          registry::UpstreamRecord{ .m_service = "reports",
                                                    .m_dataCentre = "natal",
                                                    .m_address = Ipv4{ 0x0a800001 },
                                                    .m_port = 80,
                                                    .m_identity = 1,
                                                    .m_slots = 4 } } };
  reading.m_configuration = std::vector<Change>{
    { { RecordKind::Route, "r" },
      { .m_number = 9 },
      registry::RouteRecord{
        Ipv4{ 0xc6120001 }, 443, registry::RequestKind::Idempotent, { { "reports", 1 } } } },
    { { RecordKind::Configuration, "" },
      { .m_number = 9 },
      registry::ConfigurationRecord{ 4, Millis{ 15'000 } } }
  };
  return reading;
}

class DataCentreFixture
{
public:
  DataCentreFixture()
  {
    for (uint32_t self = 1; self <= 5; ++self) {
      m_hosts.push_back(std::make_unique<Host>(HostOptions{ .m_peers = { .m_self = HostId{ self },
                                                                         .m_dataCentre = "natal",
                                                                         .m_capacity = 50,
                                                                         .m_incarnation = 1,
                                                                         .m_seeds = {} },
                                                            .m_coldLimits = {},
                                                            .m_flowTableCapacity = 1024,
                                                            .m_seed = self }));
      Host& host = *m_hosts.back();
      host.onActivity(m_now);
      host.onStoreAnswer(m_now, readingWithOneUpstream(), false, m_now);
      host.tick(m_now);
      m_token = host.directory().upstreams().front()->m_token;
      for (uint16_t port = 1; port <= kAnsweredRequestsBefore; ++port) {
        (void)host.decide(m_now, request(self, port));
        (void)host.decide(m_now, acknowledgement(self, port));
      }
      (void)host.takeLogLines(m_now);
    }
  }

  /// Advances the time in ticks of 100 ms. Without `aAreAllRunning`, all hosts but runningHost()
  /// are paused.
  void run(Millis aTime, bool aAreAllRunning)
  {
    for (const TimePoint end = m_now + aTime; m_now < end;) {
      m_now += Millis{ 100 };
      for (size_t index = aAreAllRunning ? 0 : m_hosts.size() - 1; index < m_hosts.size();
           ++index) {
        m_hosts[index]->onActivity(m_now);
        m_hosts[index]->tick(m_now);
      }
    }
  }

  steering::FlowPacket request(uint32_t aHost, uint16_t aPort) const
  {
    return { .m_flow = { Ipv4{ 0x64400000 + aHost }, Ipv4{ 0xc6120001 }, aPort, 443 },
             .m_sequence = 101,
             .m_acknowledged = 1,
             .m_length = 200,
             .m_token = m_token };
  }

  steering::FlowPacket acknowledgement(uint32_t aHost, uint16_t aPort) const
  {
    steering::FlowPacket packet = request(aHost, aPort);
    packet.m_sequence = 301;
    packet.m_acknowledged = 1001;
    packet.m_length = 0;
    return packet;
  }

  /// Delivers a status of a host to the running host twice, as happens when a reader forwards it.
  void sendStatusToRunningHost(Host& aHost)
  {
    const auto status = dissemination::decodeStatus(aHost.makeStatus(m_now));
    REQUIRE(status.ok());
    runningHost().onStatus(m_now, *status);
    runningHost().onStatus(m_now, *status);
    aHost.onStatusPushed();
  }

  /// The host that is never paused.
  Host& runningHost() { return *m_hosts.back(); }

  /// Whether any host resets a flow to the upstream.
  bool isAnyFlowReset()
  {
    bool isReset = false;
    for (const auto& host : m_hosts) {
      isReset = isReset || !host->steering().resetStalledFlows(m_now).empty();
      const auto choice = host->decide(m_now, request(77, 9));
      isReset = isReset || choice.m_action == steering::Action::Reset;
    }
    return isReset;
  }

  TimePoint m_now{ kStart };
  steering::Token m_token;
  std::vector<std::unique_ptr<Host>> m_hosts;
};

} // namespace

TEST_CASE("paused hosts that read retransmitted requests together do not avoid the upstream")
{
  for (const int pauseMs : { 500, 1400, 3000 }) {
    for (const bool isRequestSentBeforePause : { false, true }) {
      CAPTURE(pauseMs);
      CAPTURE(isRequestSentBeforePause);
      DataCentreFixture fixture;
      // A caller of the running host waits for an answer of the same upstream.
      (void)fixture.runningHost().decide(fixture.m_now, fixture.request(77, 9));
      for (uint32_t host = 1; host < fixture.m_hosts.size() && isRequestSentBeforePause; ++host) {
        for (uint16_t port = 1001; port <= 1000 + kWaitingRequests; ++port) {
          (void)fixture.m_hosts[host - 1]->decide(fixture.m_now, fixture.request(host, port));
        }
      }
      fixture.run(Millis{ pauseMs }, false);
      for (uint32_t host = 1; host < fixture.m_hosts.size(); ++host) {
        Host& resumed = *fixture.m_hosts[host - 1];
        resumed.onActivity(fixture.m_now);
        resumed.tick(fixture.m_now);
        // Callers sent each request and retransmitted it twice during the pause. Acknowledgements
        // of answers to some of them still wait in the socket.
        for (uint16_t port = 1001; port <= 1000 + kWaitingRequests; ++port) {
          for (int copy = 0; copy < 3; ++copy) {
            CHECK(resumed.decide(fixture.m_now, fixture.request(host, port)).m_action ==
                  steering::Action::Forward);
          }
        }
        fixture.sendStatusToRunningHost(resumed);
        resumed.onPacketBacklogRead();
      }
      fixture.run(Millis{ 200 }, true);
      for (const auto& host : fixture.m_hosts) {
        CHECK_FALSE(host->directory().upstreams().front()->m_health.isAvoided(fixture.m_now));
      }
      CHECK_FALSE(fixture.isAnyFlowReset());
    }
  }
}

TEST_CASE("resumed hosts detect a dead upstream within half a second")
{
  DataCentreFixture fixture;
  fixture.run(Millis{ 1400 }, false);
  for (uint32_t host = 1; host < fixture.m_hosts.size(); ++host) {
    Host& resumed = *fixture.m_hosts[host - 1];
    resumed.onActivity(fixture.m_now);
    resumed.tick(fixture.m_now);
    for (uint16_t port = 1001; port <= 1000 + kWaitingRequests; ++port) {
      (void)resumed.decide(fixture.m_now, fixture.request(host, port));
    }
    resumed.onPacketBacklogRead();
  }
  fixture.run(Millis{ 200 }, true);
  for (uint32_t host = 1; host < fixture.m_hosts.size(); ++host) {
    for (uint16_t port = 1001; port <= 1000 + kWaitingRequests; ++port) {
      (void)fixture.m_hosts[host - 1]->decide(fixture.m_now, fixture.request(host, port));
    }
    fixture.sendStatusToRunningHost(*fixture.m_hosts[host - 1]);
  }
  fixture.run(Millis{ 300 }, true);
  CHECK(fixture.isAnyFlowReset());
}

TEST_CASE(
  "a status read after a pause confirms records as of before the pause, and its observations are "
  "ignored")
{
  DataCentreFixture fixture;
  Host& host = *fixture.m_hosts.front();
  dissemination::StatusMessage status{ .m_sender = HostId{ 9 },
                                       .m_dataCentre = "natal",
                                       .m_incarnation = 1,
                                       .m_revision = { .m_number = 10 },
                                       .m_confirmationAgeMs = 100 };
  status.m_healthReports = {
    { fixture.m_token.m_value, dissemination::HealthSignal::Unresponsive, HostId{ 9 } }
  };
  fixture.run(Millis{ 1400 }, false);
  host.onActivity(fixture.m_now);
  host.onStatus(fixture.m_now, status);
  CHECK(host.viewAge(fixture.m_now) >= Millis{ 1400 });
  CHECK_FALSE(host.directory().upstreams().front()->m_health.isAvoided(fixture.m_now));
  host.onStatusBacklogRead();
  host.onStatus(fixture.m_now, status);
  CHECK(host.viewAge(fixture.m_now) == Millis{ 100 });
  CHECK(host.directory().upstreams().front()->m_health.isAvoided(fixture.m_now));
}
