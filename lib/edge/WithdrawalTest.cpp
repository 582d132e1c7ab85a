// Tests when a host whose data centre is taken out of use and partitioned from the others
// withdraws, that is, reports itself not ready so that the fabric uses other hosts, and when it
// must not.
#include "edge/Host.h"

#include <doctest/doctest.h>

using namespace tamarack;
using namespace tamarack::edge;

namespace {

using registry::Change;
using registry::RecordKind;
using registry::StoreUpdate;

Change
upstreamRecord(uint64_t aIdentity, const std::string& aDataCentre)
{
  return { { RecordKind::Upstream, "i-" + std::to_string(aIdentity) },
           { .m_number = 3 },
           registry::UpstreamRecord{ .m_service = "reports",
                                     .m_dataCentre = aDataCentre,
                                     .m_address = Ipv4{ 0x0a800000U + uint32_t(aIdentity) },
                                     .m_port = 80,
                                     .m_identity = aIdentity,
                                     .m_slots = 4 } };
}

Change
dataCentreOutRecord(const std::string& aDataCentre, uint64_t aNumber, bool aIsTakenOut)
{
  Change change{ { RecordKind::EvacuatedDataCentre, aDataCentre }, { .m_number = aNumber } };
  if (aIsTakenOut) {
    change.m_record = registry::EvacuatedDataCentreRecord{};
  }
  return change;
}

/// A host in one of two data centres with 20 new flows per second. Each caller retransmits its
/// opening packet after 200 ms if it gets no answer.
class Fixture
{
public:
  explicit Fixture(bool aIsTakenOut)
  {
    StoreUpdate reading{ .m_revision = { .m_number = 10 }, .m_isSnapshot = true };
    reading.m_changes = { upstreamRecord(1, "natal"),
                          upstreamRecord(2, "recife"),
                          upstreamRecord(3, "recife") };
    reading.m_changes.push_back(dataCentreOutRecord("natal", 4, aIsTakenOut));
    reading.m_configuration = std::vector<Change>{
      { { RecordKind::Route, "r" },
        { .m_number = 9 },
        registry::RouteRecord{
          Ipv4{ 0xc6120001 }, 443, registry::RequestKind::Idempotent, { { "reports", 1 } } } },
      { { RecordKind::Configuration, "" },
        { .m_number = 9 },
        registry::ConfigurationRecord{ 4, Millis{ 15'000 } } }
    };
    m_host.onStoreAnswer(m_now, reading, false, m_now);
    receiveRemoteStatus();
  }

  void receiveRemoteStatus()
  {
    m_host.onStatus(m_now,
                    { .m_sender = HostId{ 20 },
                      .m_dataCentre = "recife",
                      .m_incarnation = 1,
                      .m_revision = { .m_number = 10 },
                      .m_confirmationAgeMs = 100 });
  }

  void run(Millis aTime)
  {
    for (const TimePoint end = m_now + aTime; m_now < end;) {
      m_now += Millis{ 50 };
      m_host.onActivity(m_now);
      m_host.tick(m_now);
      m_statusesToRemoteHost += std::ranges::count(m_host.peers().dueTargets(m_now), HostId{ 20 });
      m_host.peers().onStoreConfirmation(m_now);
      if (m_isRemoteHostHeard) {
        receiveRemoteStatus();
      }
      ++m_port;
      openFlow(m_port, 0);
      // The caller that sent its opening packet 200 ms ago got no answer and retransmits it.
      if (m_areAnswersLost) {
        openFlow(static_cast<uint16_t>(m_port - 4), 1);
      }
    }
  }

  void openFlow(uint16_t aPort, uint32_t aCopy)
  {
    steering::FlowPacket packet{ .m_flow = { Ipv4{ 0x64400001 }, Ipv4{ 0xc6120001 }, aPort, 443 },
                                 .m_isSyn = true,
                                 .m_synRetransmissions = aCopy,
                                 .m_sequence = 100 };
    const steering::ForwardingDecision choice = m_host.decide(m_now, packet);
    if (m_areAnswersLost || choice.m_action != steering::Action::Forward) {
      return;
    }
    packet.m_isSyn = false;
    packet.m_synRetransmissions = 0;
    packet.m_sequence = 101;
    packet.m_acknowledged = 1;
    packet.m_token = choice.m_token;
    (void)m_host.decide(m_now, packet);
  }

  [[nodiscard]] bool hasLogged(EventId aEvent)
  {
    const auto lines = m_host.takeLogLines(m_now);
    return std::ranges::find(lines, aEvent, &LogLine::m_event) != lines.end();
  }

  TimePoint m_now{ Millis{ 70'000 } };
  Host m_host{ { .m_peers = { .m_self = HostId{ 1 },
                              .m_dataCentre = "natal",
                              .m_capacity = 50,
                              .m_incarnation = 1,
                              .m_seeds = { HostId{ 1 }, HostId{ 20 } } },
                 .m_coldLimits = {},
                 .m_flowTableCapacity = 4096,
                 .m_seed = 1 } };
  uint16_t m_port{ 1000 };
  /// Answers of upstreams do not reach the callers.
  bool m_areAnswersLost{};
  /// The host of the other data centre sends a status at each step of run().
  bool m_isRemoteHostHeard{};
  /// Number of statuses sent to the host of the other data centre.
  long m_statusesToRemoteHost{};
};

} // namespace

TEST_CASE(
  "an isolated host without local upstreams withdraws until it hears other data centres again")
{
  Fixture fixture(true);
  fixture.run(Millis{ 2000 });
  CHECK_FALSE(fixture.m_host.isWithdrawn());
  fixture.m_areAnswersLost = true;
  fixture.m_statusesToRemoteHost = 0;
  fixture.run(Millis{ 1500 });
  CHECK(fixture.m_host.isWithdrawn());
  CHECK(fixture.m_statusesToRemoteHost >= 2);
  CHECK(fixture.m_statusesToRemoteHost <= 10);
  CHECK(fixture.hasLogged(EventId::HostWithdrawn));
  // The host stays withdrawn while no other data centre answers, even without callers.
  fixture.m_now += Millis{ 5000 };
  fixture.m_host.tick(fixture.m_now);
  CHECK(fixture.m_host.isWithdrawn());
  fixture.m_areAnswersLost = false;
  fixture.receiveRemoteStatus();
  fixture.m_host.tick(fixture.m_now);
  CHECK_FALSE(fixture.m_host.isWithdrawn());
  CHECK(fixture.hasLogged(EventId::HostReturned));
  fixture.run(Millis{ 1000 });
  CHECK_FALSE(fixture.m_host.isWithdrawn());
}

TEST_CASE("a host that hears other data centres does not withdraw when its callers get no answers")
{
  // All upstreams of the other data centre crashed, so its hosts could not serve the callers
  // either.
  Fixture fixture(true);
  fixture.m_areAnswersLost = true;
  fixture.m_isRemoteHostHeard = true;
  fixture.run(Millis{ 4000 });
  CHECK(fixture.m_host.directory().isAnyDataCentreUnreachable());
  CHECK_FALSE(fixture.m_host.isWithdrawn());
}

TEST_CASE("a host with an upstream in its own data centre does not withdraw")
{
  Fixture fixture(false);
  fixture.m_areAnswersLost = true;
  fixture.run(Millis{ 4000 });
  CHECK_FALSE(fixture.m_host.isWithdrawn());
}

TEST_CASE("a withdrawn host returns at once when its data centre is put back into use")
{
  Fixture fixture(true);
  fixture.m_areAnswersLost = true;
  fixture.run(Millis{ 2000 });
  REQUIRE(fixture.m_host.isWithdrawn());
  fixture.m_host.onStoreAnswer(
    fixture.m_now,
    { .m_revision = { .m_number = 11 }, .m_changes = { dataCentreOutRecord("natal", 11, false) } },
    false,
    fixture.m_now);
  fixture.m_host.tick(fixture.m_now);
  CHECK_FALSE(fixture.m_host.isWithdrawn());
}
