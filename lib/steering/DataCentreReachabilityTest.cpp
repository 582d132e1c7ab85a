// Tests the detection of an unreachable data centre and the assignment of new flows meanwhile.
#include "steering/SteeringFixture.h"

#include <doctest/doctest.h>

using namespace tamarack;
using namespace tamarack::steering;

namespace {

constexpr uint64_t kLocalUpstreams = 4;
constexpr uint64_t kRemoteUpstreams = 10;

/// Simulates callers of a host whose remote data centre may be disconnected: 20 new flows per
/// second, with SYN retransmissions 200 ms and 600 ms after the first SYN.
class CallerSimulation
{
public:
  CallerSimulation()
  {
    for (uint64_t identity = 1; identity <= kLocalUpstreams; ++identity) {
      m_fixture.addUpstream(Fixture::upstreamRecord(identity));
    }
    for (uint64_t identity = 1; identity <= kRemoteUpstreams; ++identity) {
      m_fixture.addUpstream(Fixture::upstreamRecord(100 + identity, "far"));
    }
    // Half of the local upstreams were removed recently, so half of the flows go to the remote data
    // centre.
    for (uint64_t identity = 51; identity <= 50 + kLocalUpstreams; ++identity) {
      m_fixture.addUpstream(Fixture::upstreamRecord(identity));
    }
    m_fixture.advance(Millis{ 100 });
    for (uint64_t identity = 51; identity <= 50 + kLocalUpstreams; ++identity) {
      m_fixture.removeUpstream(identity);
    }
  }

  /// Simulates callers for `aTime`. Returns the number of flows that were not served at their first
  /// SYN.
  int run(Millis aTime)
  {
    int delayed = 0;
    for (const TimePoint end = m_fixture.m_now + aTime; m_fixture.m_now < end;) {
      m_fixture.advance(Millis{ 50 });
      retransmitDue(delayed);
      const uint16_t port = ++m_port;
      const ForwardingDecision decision = m_fixture.decide(m_fixture.synPacket(port));
      handleDecision(port, decision, 0, delayed);
    }
    return delayed;
  }

  [[nodiscard]] bool isRemote(Token aToken) { return !m_fixture.upstream(aToken).isLocal(); }

  Fixture m_fixture;
  bool m_isDisconnected{};

private:
  struct PendingCaller
  {
    uint16_t m_port{};
    uint32_t m_retransmissions{};
    TimePoint m_nextRetransmissionAt;
  };

  void handleDecision(uint16_t aPort,
                      const ForwardingDecision& aDecision,
                      uint32_t aRetransmissions,
                      int& aDelayed)
  {
    const bool isServed =
      aDecision.m_action == Action::Forward && !(m_isDisconnected && isRemote(aDecision.m_token));
    if (isServed) {
      m_fixture.completeHandshake(aPort, aDecision.m_token);
      return;
    }
    aDelayed += aRetransmissions == 0 ? 1 : 0;
    if (aRetransmissions < 2) {
      m_pendingCallers.push_back(
        { aPort,
          aRetransmissions + 1,
          m_fixture.m_now + (aRetransmissions == 0 ? Millis{ 200 } : Millis{ 400 }) });
    }
  }

  void retransmitDue(int& aDelayed)
  {
    for (const PendingCaller& pending : std::exchange(m_pendingCallers, {})) {
      if (m_fixture.m_now < pending.m_nextRetransmissionAt) {
        m_pendingCallers.push_back(pending);
        continue;
      }
      const ForwardingDecision decision = m_fixture.decide(
        m_fixture.synPacket(pending.m_port, kIdempotentPort, pending.m_retransmissions));
      handleDecision(pending.m_port, decision, pending.m_retransmissions, aDelayed);
    }
  }

  uint16_t m_port{ 1000 };
  std::vector<PendingCaller> m_pendingCallers;
};

} // namespace

TEST_CASE("new flows avoid a disconnected data centre and return once it is reachable")
{
  CallerSimulation callers;
  CHECK(callers.run(Millis{ 3000 }) == 0);
  callers.m_isDisconnected = true;
  callers.run(Millis{ 1500 });
  // Half of the 60 flows in three seconds would go there; at most one trial every 300 ms may
  // remain.
  CHECK(callers.run(Millis{ 3000 }) <= 10);
  callers.m_isDisconnected = false;
  callers.run(Millis{ 1500 });
  CHECK(callers.run(Millis{ 2000 }) == 0);
  int remote = 0;
  for (uint16_t port = 1; port <= 40; ++port) {
    remote += callers.isRemote(callers.m_fixture.openFlow(port)) ? 1 : 0;
  }
  CHECK(remote >= 10);
}

TEST_CASE("a data centre is not unreachable while any of its upstreams answers")
{
  Fixture fixture;
  fixture.addUpstream(Fixture::upstreamRecord(101, "far"));
  fixture.addUpstream(Fixture::upstreamRecord(102, "far"));
  DataCentreReachability& reachability =
    fixture.m_directory.dataCentres().at("far")->m_reachability;
  for (int round = 0; round < 20; ++round) {
    fixture.advance(Millis{ 100 });
    CHECK_FALSE(reachability.onRetransmission(fixture.m_now));
    reachability.onRetransmission(fixture.m_now);
    reachability.onResponse();
  }
  CHECK_FALSE(reachability.isAvoided(fixture.m_now));
}

TEST_CASE("a host does not take a data centre for unreachable for what it saw before a pause")
{
  // Guards against the fault of review case 3 for whole data centres: after a cut, callers used
  // upstreams nearby, and nothing was sent that could show that the cut had ended.
  Fixture fixture;
  fixture.addUpstream(Fixture::upstreamRecord(101, "far"));
  DataCentreReachability& reachability =
    fixture.m_directory.dataCentres().at("far")->m_reachability;
  for (uint32_t repeat = 0; repeat < kUnreachableRetransmissions; ++repeat) {
    reachability.onRetransmission(fixture.m_now);
    fixture.advance(Millis{ 100 });
  }
  CHECK(fixture.m_directory.isAnyDataCentreUnreachable());
  fixture.advance(kUnreachableLifetime);
  CHECK_FALSE(fixture.m_directory.isAnyDataCentreUnreachable());
  // Earlier retransmissions do not add to later ones.
  for (uint32_t repeat = 1; repeat < kUnreachableRetransmissions; ++repeat) {
    CHECK_FALSE(reachability.onRetransmission(fixture.m_now));
    fixture.advance(Millis{ 100 });
  }
  CHECK(reachability.onRetransmission(fixture.m_now));
}

TEST_CASE("retransmissions at the same instant do not make a data centre unreachable")
{
  DataCentreReachability reachability;
  for (int repeat = 0; repeat < 20; ++repeat) {
    CHECK_FALSE(reachability.onRetransmission(kStart));
  }
  CHECK_FALSE(reachability.isAvoided(kStart));
  CHECK(reachability.onRetransmission(kStart + kMinUnreachableSpan));
  CHECK(reachability.isAvoided(kStart + kMinUnreachableSpan));
  CHECK_FALSE(reachability.isAvoided(kStart + kMinUnreachableSpan + kUnreachableAvoidanceTime));
  // After the avoidance, one new flow at a time tries it.
  reachability.onNewFlow(kStart + kMinUnreachableSpan + kUnreachableAvoidanceTime);
  CHECK(reachability.isAvoided(kStart + kMinUnreachableSpan + kUnreachableAvoidanceTime +
                               Millis{ 100 }));
}
