// FAILBACK: the evacuation of a zone is taken back, and its endpoints are cold. Their entries say
// so at their next heartbeats. A host that restarts at that time has to keep to their limit as
// well.
#include "Scenario.h"

#include <deque>

namespace review {

namespace {

constexpr uint16_t kRoutePort = 8080;
constexpr int64_t kDeadlineMs = 3000;
constexpr int64_t kWorkMs = 5;
constexpr int64_t kTrafficAtMs = 5000;
/// 125 flows a second, as one zone of a small deployment has.
constexpr int64_t kFlowIntervalMs = 8;
constexpr int64_t kFirstEvacuationAtMs = 9000;
constexpr int64_t kEvacuationMs = 8000;
constexpr int64_t kRoundMs = 18'000;
constexpr int kRounds = 2;
/// When an evacuation is taken back, a host of the zone is killed, another one each time. It starts
/// again after the delay of the platform.
constexpr int64_t kRestartDelayMs = 500;
/// The order is taken back when an endpoint of the zone has just written its entry.
constexpr int64_t kEntryAgeMs = 50;
constexpr int64_t kWarmUpMs = 4000;
/// warmup_per_s x warmup_excess + warmup_slack
constexpr double kLimit = 2.0 * 1.5 + 5;

class ColdAfterEvacuation
{
public:
  explicit ColdAfterEvacuation(Scene& aScene)
    : m_scene(aScene)
  {
  }

  int run()
  {
    Fleet& fleet = m_scene.m_fleet;
    fleet.configure(
      1, { { "upload", kRoutePort, "upload", "intake" } }, { { "intake", "4.0", "2.0" } });
    for (const char* zone : { "nakuru", "naivasha", "nakuru", "naivasha", "naivasha" }) {
      fleet.addServer("intake", zone, kWorkMs);
    }
    fleet.addHost("nakuru");
    fleet.addHost("nakuru");
    fleet.addHost("naivasha");
    fleet.addClient("nakuru");
    m_scene.m_loop.after(kTrafficAtMs, [this] {
      m_isReady = m_scene.m_fleet.areHostsInRotation();
      upload(10'000);
    });
    for (int round = 0; round < kRounds; ++round) {
      planRound(kFirstEvacuationAtMs + round * kRoundMs, 1 + static_cast<size_t>(round) % 2);
    }
    m_scene.m_loop.after(kFirstEvacuationAtMs + kRounds * kRoundMs,
                         [this] { m_scene.m_loop.stop(); });
    m_scene.m_loop.run();
    return judge();
  }

private:
  void planRound(int64_t aAtMs, size_t aKilledHost)
  {
    m_scene.m_loop.after(aAtMs, [this] { m_scene.m_fleet.evacuate("nakuru"); });
    m_scene.m_loop.after(aAtMs + kEvacuationMs, [this, aKilledHost] { endRound(aKilledHost); });
  }

  void endRound(size_t aKilledHost)
  {
    Fleet& fleet = m_scene.m_fleet;
    if (fleet.servers().front()->entryAge() > kEntryAgeMs) {
      m_scene.m_loop.after(kEntryAgeMs / 5, [this, aKilledHost] { endRound(aKilledHost); });
      return;
    }
    for (const auto& server : fleet.servers()) {
      if (server->options().m_zone == "nakuru") {
        server->turnCold(kWarmUpMs);
      }
    }
    m_coldSince.push_back(m_scene.m_record.now());
    fleet.endEvacuation("nakuru");
    if (m_scene.m_hasTrouble) {
      fleet.killHost(aKilledHost);
      m_scene.m_loop.after(kRestartDelayMs,
                           [&fleet, aKilledHost] { fleet.restartHost(aKilledHost); });
    }
  }

  /// Sends an upload on a flow of its own, from the next port.
  void upload(uint16_t aPort)
  {
    Client& client = *m_scene.m_fleet.clients().front();
    client.open(aPort, kRoutePort, [this, &client, aPort](Outcome aOutcome) {
      if (aOutcome != Outcome::Answered) {
        return;
      }
      client.request(
        aPort, "POST", "r-" + std::to_string(++m_requests), kDeadlineMs, [&client, aPort](Outcome) {
          client.close(aPort);
        });
    });
    m_scene.m_loop.after(kFlowIntervalMs,
                         [this, aPort] { upload(static_cast<uint16_t>(aPort + 1)); });
  }

  /// Returns the most flows that an endpoint took in any second in which it was cold.
  [[nodiscard]] size_t mostInASecond(const Server& aServer) const
  {
    size_t most = 0;
    for (const int64_t since : m_coldSince) {
      std::deque<int64_t> recent;
      for (const Opening& opening : aServer.openings()) {
        if (opening.m_at < since || opening.m_at >= since + kWarmUpMs || opening.m_copies > 0) {
          continue;
        }
        recent.push_back(opening.m_at);
        while (opening.m_at - recent.front() >= 1000) {
          recent.pop_front();
        }
        most = std::max(most, recent.size());
      }
    }
    return most;
  }

  int judge()
  {
    bool isBroken = false;
    for (const auto& server : m_scene.m_fleet.servers()) {
      if (server->options().m_zone != "nakuru") {
        continue;
      }
      const size_t most = mostInASecond(*server);
      isBroken = isBroken || static_cast<double>(most) > kLimit;
      m_scene.m_record.addResult("cold " + server->key() + " took " + std::to_string(most) +
                                 " flows in one second; the limit is 8");
    }
    if (!m_isReady || m_requests < 1000 || !m_scene.m_fleet.areHostsRunning()) {
      return kNotRun;
    }
    return isBroken ? kBroken : kHeld;
  }

  Scene& m_scene;
  bool m_isReady{};
  uint64_t m_requests{};
  /// When the endpoints of the evacuated zone turned cold.
  std::vector<int64_t> m_coldSince;
};

} // namespace

int
runColdAfterEvacuation(Scene& aScene)
{
  return ColdAfterEvacuation(aScene).run();
}

} // namespace review
