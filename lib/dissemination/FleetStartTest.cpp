// Simulation of large fleets whose hosts discover each other, either when all start at once or when
// hosts are added to a running fleet. Each host initially knows only three seeds.
#include "dissemination/PeerTracker.h"

#include <doctest/doctest.h>
#include <map>
#include <memory>
#include <set>

using namespace tamarack;
using namespace tamarack::dissemination;

namespace {

constexpr Millis kStep{ 20 };
constexpr Millis kTick{ 100 };
constexpr registry::Revision kRevision{ .m_history = 9, .m_number = 4'400'000 };
/// One in this many hosts of a data centre has a capacity of half a core, the others of a
/// twentieth.
constexpr uint32_t kLargeHostPeriod = 20;

/// Simulates hosts, the messages between them, which are delivered after one step, and a store that
/// always answers.
class FleetSimulation
{
public:
  FleetSimulation(uint32_t aDataCentres, uint32_t aHostsPerDataCentre)
    : m_dataCentres(aDataCentres)
  {
    add(aHostsPerDataCentre);
  }

  void add(uint32_t aHostsPerDataCentre)
  {
    for (uint32_t dataCentre = 0; dataCentre < m_dataCentres; ++dataCentre) {
      for (uint32_t index = 0; index < aHostsPerDataCentre; ++index) {
        start(dataCentre, m_hostsPerDataCentre + index);
      }
    }
    m_hostsPerDataCentre += aHostsPerDataCentre;
  }

  void run(Millis aTime)
  {
    for (const TimePoint end = m_now + aTime; m_now < end; m_now += kStep) {
      for (auto& [host, simulated] : m_hosts) {
        if (m_now >= simulated.m_nextTick) {
          simulated.m_nextTick = m_now + kTick;
          tick(simulated);
        }
      }
      deliver();
    }
  }

  [[nodiscard]] std::map<std::string, int> readers() const
  {
    std::map<std::string, int> readers;
    for (const auto& [host, simulated] : m_hosts) {
      readers[simulated.m_dataCentre] += simulated.m_peers->isActiveReader(m_now) ? 1 : 0;
    }
    return readers;
  }

  [[nodiscard]] Millis maxConfirmationAge() const
  {
    Millis maxAge{};
    for (const auto& [host, simulated] : m_hosts) {
      maxAge = std::max(maxAge, m_now - simulated.m_peers->confirmedAt());
    }
    return maxAge;
  }

  [[nodiscard]] size_t maxTrackedPeers() const
  {
    size_t largest = 0;
    for (const auto& [host, simulated] : m_hosts) {
      largest = std::max(largest, simulated.m_peers->size());
    }
    return largest;
  }

  void stop(uint32_t aDataCentre, uint32_t aIndex) { m_hosts.erase(hostOf(aDataCentre, aIndex)); }

  /// Returns the total time in seconds that all hosts have spent as readers since the last call.
  double takeReaderSeconds()
  {
    return static_cast<double>(std::exchange(m_readerTicks, 0) * kTick.count()) / 1000;
  }

private:
  struct SimulatedHost
  {
    std::unique_ptr<PeerTracker> m_peers;
    std::string m_dataCentre;
    TimePoint m_nextTick;
  };

  struct Message
  {
    HostId m_to;
    StatusMessage m_status;
  };

  static HostId hostOf(uint32_t aDataCentre, uint32_t aIndex)
  {
    return HostId{ 0x0a400001 + aDataCentre * 4096 + aIndex };
  }

  void start(uint32_t aDataCentre, uint32_t aIndex)
  {
    const HostId self = hostOf(aDataCentre, aIndex);
    SimulatedHost simulated{ .m_dataCentre = "dc-" + std::to_string(aDataCentre),
                             // All hosts start within 0.3 s.
                             .m_nextTick = m_now + kStep * (self.m_value % 15) };
    simulated.m_peers = std::make_unique<PeerTracker>(PeerTrackerOptions{
      .m_self = self,
      .m_dataCentre = simulated.m_dataCentre,
      .m_capacity = aIndex % kLargeHostPeriod == 7 ? 500U : 50U,
      .m_incarnation = self.m_value,
      .m_seeds = { hostOf(0, 0), hostOf(m_dataCentres / 2, 1), hostOf(0, 2) } });
    m_hosts.emplace(self, std::move(simulated));
  }

  void tick(SimulatedHost& aHost)
  {
    if (aHost.m_peers->updateReaderRole(m_now)) {
      aHost.m_peers->onRevision(kRevision);
      aHost.m_peers->onStoreConfirmation(m_now);
      ++m_readerTicks;
    }
    send(aHost);
  }

  void send(SimulatedHost& aHost)
  {
    const auto targets = aHost.m_peers->dueTargets(m_now);
    if (targets.empty()) {
      return;
    }
    StatusMessage status = aHost.m_peers->makeStatus(m_now, kRevision);
    if (aHost.m_peers->isAdvertisementDue()) {
      aHost.m_peers->advertiseNeighbours(m_now, status);
    }
    for (const HostId target : targets) {
      m_inFlight.push_back({ target, status });
    }
  }

  void deliver()
  {
    for (const Message& message : std::exchange(m_inFlight, {})) {
      const auto to = m_hosts.find(message.m_to);
      if (to == m_hosts.end() || to->second.m_nextTick == TimePoint{}) {
        continue;
      }
      PeerTracker& receiver = *to->second.m_peers;
      receiver.onRevision(kRevision);
      if (receiver.onStatus(m_now, message.m_status, kRevision).m_isReplyDue) {
        StatusMessage reply = receiver.makeStatus(m_now, kRevision);
        receiver.advertiseHosts(m_now, message.m_status.m_dataCentre, reply);
        m_inFlight.push_back({ message.m_status.m_sender, std::move(reply) });
      }
      if (receiver.isHelloDue()) {
        send(to->second);
      }
    }
  }

  TimePoint m_now{ Millis{ 50'000 } };
  uint32_t m_dataCentres;
  uint32_t m_hostsPerDataCentre{};
  std::map<HostId, SimulatedHost> m_hosts;
  std::vector<Message> m_inFlight;
  int64_t m_readerTicks{};
};

void
checkOneReaderPerDataCentre(const FleetSimulation& aFleet)
{
  for (const auto& entry : aFleet.readers()) {
    CHECK_MESSAGE(entry.second == 1, entry.first);
  }
  CHECK(aFleet.maxConfirmationAge() <= kSelfReadAge);
}

} // namespace

TEST_CASE("1,098 hosts in 18 data centres that start at once elect one reader per data centre")
{
  FleetSimulation fleet(18, 61);
  fleet.run(Millis{ 4000 });
  checkOneReaderPerDataCentre(fleet);
  // In the first 4 s, each data centre has at most three readers on average.
  CHECK(fleet.takeReaderSeconds() <= 18 * 3 * 4.0);
  CHECK(fleet.maxTrackedPeers() <= 61 + 17 * kMaxContactsPerDataCentre);
  fleet.run(Millis{ 6000 });
  checkOneReaderPerDataCentre(fleet);
  CHECK(fleet.takeReaderSeconds() <= 18 * 1.1 * 6);
}

TEST_CASE("400 hosts of one data centre that start at once elect one reader")
{
  FleetSimulation fleet(1, 400);
  fleet.run(Millis{ 4000 });
  checkOneReaderPerDataCentre(fleet);
  CHECK(fleet.takeReaderSeconds() <= 3 * 4.0);
}

TEST_CASE("hosts added to a large fleet find their reader within 1 s and do not read the store")
{
  // Approximates a scenario in which 57 hosts are added to 295 hosts in six data centres on a day
  // with little load.
  FleetSimulation fleet(6, 49);
  fleet.run(Millis{ 6000 });
  checkOneReaderPerDataCentre(fleet);
  (void)fleet.takeReaderSeconds();
  fleet.add(10);
  fleet.run(Millis{ 1000 });
  checkOneReaderPerDataCentre(fleet);
  fleet.run(Millis{ 5000 });
  checkOneReaderPerDataCentre(fleet);
  CHECK(fleet.takeReaderSeconds() <= 6 * 1.1 * 6);
}

TEST_CASE("terminated hosts are removed from all tables even if other hosts still advertise them")
{
  FleetSimulation fleet(2, 12);
  fleet.run(Millis{ 6000 });
  for (uint32_t index = 6; index < 12; ++index) {
    fleet.stop(0, index);
    fleet.stop(1, index);
  }
  // The terminated hosts expire first on the hosts that received their last messages and then on
  // those that only know them from advertisements.
  fleet.run(3 * kPeerExpiry);
  checkOneReaderPerDataCentre(fleet);
  CHECK(fleet.maxTrackedPeers() <= 5 + kMaxContactsPerDataCentre);
}
