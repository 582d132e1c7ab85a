// Tests through whole hosts how long a request waits whose token no entry explains: until records
// arrive that are newer than the request, and no longer.
#include "edge/FleetFixture.h"

using namespace tamarack;
using namespace tamarack::edge;

namespace {

/// Time between two confirmations by a store in which nothing changes, see kWatchWait.
constexpr Millis kConfirmationInterval{ 1000 };

/// A data centre whose readers learn once per kConfirmationInterval that nothing has changed.
class QuietStoreFleet
{
public:
  QuietStoreFleet()
    : m_fleet({ .m_dataCentres = 1, .m_hostsPerDataCentre = 6 })
  {
    m_fleet.run(Millis{ 6000 });
    m_fleet.m_isStoreUp = false;
    for (Millis passed{}; passed < Millis{ 5000 }; passed += kFleetTick) {
      advance();
    }
  }

  /// Lets all hosts do their work for one tick.
  void advance()
  {
    if (m_fleet.m_now.time_since_epoch() % kConfirmationInterval == Millis{}) {
      m_fleet.forEachHost([this](HostId /*aHost*/, Host& aHost) {
        if (aHost.isReader()) {
          aHost.peers().onStoreConfirmation(m_fleet.m_now);
        }
      });
    }
    m_fleet.run(kFleetTick);
  }

  Fleet m_fleet;
};

steering::FlowPacket
makeRequest(uint16_t aCaller, steering::Token aToken)
{
  return { .m_flow = { Ipv4{ 0x64400007 }, Ipv4{ 0xc6120001 }, aCaller, kHighPort },
           .m_sequence = 101,
           .m_acknowledged = 1,
           .m_length = 200,
           .m_token = aToken };
}

/// Returns how long a caller waits that sends one request to an upstream that has ended.
std::optional<Millis>
timeToReset(Fleet& aFleet, QuietStoreFleet& aHosts, HostId aHost, uint16_t aCaller)
{
  Host& host = aFleet.host(aHost);
  const TimePoint start = aFleet.m_now;
  const auto request = makeRequest(aCaller, steering::Token{ 700'000U + aCaller });
  if (host.decide(start, request).m_action == steering::Action::Reset) {
    return Millis{};
  }
  while (aFleet.m_now - start < Millis{ 6000 }) {
    aHosts.advance();
    if (!host.steering().resetStalledFlows(aFleet.m_now).empty()) {
      return aFleet.m_now - start;
    }
  }
  return std::nullopt;
}

} // namespace

TEST_CASE("a request to an upstream that ended before this host knew it waits for one confirmation")
{
  // Guards against callers that hang, and states what the wait costs at most.
  Millis worstOfReaders{};
  Millis worstOfFollowers{};
  for (int phase = 0; phase < 10; ++phase) {
    QuietStoreFleet hosts;
    for (int tick = 0; tick < phase; ++tick) {
      hosts.advance();
    }
    uint16_t caller = 1;
    hosts.m_fleet.forEachHost([&](HostId aHost, Host& aTested) {
      const auto time = timeToReset(hosts.m_fleet, hosts, aHost, caller++);
      REQUIRE(time.has_value());
      Millis& worst = aTested.isReader() ? worstOfReaders : worstOfFollowers;
      worst = std::max(worst, *time);
    });
  }
  MESSAGE("readers ",
          worstOfReaders.count(),
          " ms at most, followers ",
          worstOfFollowers.count(),
          " ms at most");
  CHECK(worstOfReaders <= kConfirmationInterval + kFleetTick);
  CHECK(worstOfFollowers <= Millis{ 2000 });
}
