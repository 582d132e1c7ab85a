// CONFIG: clients behind one address use a port again 64 s after its last flow. Meanwhile the route
// has moved to another service. When the first copies of a SYN are lost with a killed host, the
// copy that another host takes must go to the new service as well.
#include "Scenario.h"

namespace review {

namespace {

constexpr uint16_t kFeedPort = 8443;
constexpr uint16_t kEntryPort = 8080;
constexpr int kSites = 4;
constexpr uint16_t kFirstPort = 40'000;
constexpr uint16_t kPortsPerSite = 400;
/// A site uses each of its ports once in 64 s, longer than `flow_max_s`.
constexpr int64_t kFlowIntervalMs = 160;
constexpr int64_t kDeadlineMs = 3000;
constexpr int64_t kWorkMs = 20;
constexpr int64_t kTrafficAtMs = 4000;
constexpr int64_t kAddHostAtMs = 22'000;
constexpr int64_t kConfigureAtMs = 50'000;
constexpr int64_t kTroubleAtMs = 72'000;
constexpr int64_t kEndMs = 84'000;
constexpr int64_t kConvergeMs = 3000;
/// The host that is added, and killed later.
constexpr size_t kKilledHost = 3;

class ReusedPort
{
public:
  explicit ReusedPort(Scene& aScene)
    : m_scene(aScene)
  {
  }

  int run()
  {
    Fleet& fleet = m_scene.m_fleet;
    configure(1, "burnlog");
    for (const char* service : { "burnlog", "burnlog", "batchlog", "batchlog" }) {
      fleet.addServer(service, "nakuru", kWorkMs);
    }
    fleet.addHost("nakuru");
    fleet.addHost("naivasha");
    for (int site = 0; site < kSites; ++site) {
      fleet.addClient("nakuru");
    }
    m_scene.m_loop.after(kTrafficAtMs, [this] {
      m_isReady = m_scene.m_fleet.areHostsInRotation();
      for (const auto& client : m_scene.m_fleet.clients()) {
        postEntries(*client, 0);
      }
    });
    m_scene.m_loop.after(kAddHostAtMs, [&fleet] { fleet.addHost("nakuru"); });
    m_scene.m_loop.after(kConfigureAtMs, [this] {
      configure(2, "batchlog");
      m_configuredAt = m_scene.m_record.now();
    });
    if (m_scene.m_hasTrouble) {
      m_scene.m_loop.after(kTroubleAtMs, [&fleet] { fleet.killHost(kKilledHost); });
    }
    m_scene.m_loop.after(kEndMs, [this] { m_scene.m_loop.stop(); });
    m_scene.m_loop.run();
    return judge();
  }

private:
  void configure(int aVersion, const std::string& aEntryService)
  {
    m_scene.m_fleet.configure(aVersion,
                              { { "feed", kFeedPort, "safe", "burnlog" },
                                { "entry", kEntryPort, "unsafe", aEntryService } },
                              { { "burnlog" }, { "batchlog" } });
  }

  /// Posts an entry on a flow of its own, from the next port of the site.
  void postEntries(Client& aClient, uint16_t aIndex)
  {
    const auto port = static_cast<uint16_t>(kFirstPort + aIndex);
    aClient.open(port, kEntryPort, [this, &aClient, port](Outcome aOutcome) {
      if (aOutcome != Outcome::Answered) {
        return;
      }
      aClient.request(
        port, "POST", "r-" + std::to_string(++m_requests), kDeadlineMs, [&aClient, port](Outcome) {
          aClient.close(port);
        });
    });
    m_scene.m_loop.after(kFlowIntervalMs, [this, &aClient, aIndex] {
      postEntries(aClient, static_cast<uint16_t>((aIndex + 1) % kPortsPerSite));
    });
  }

  int judge()
  {
    size_t byNewService = 0;
    size_t byOldService = 0;
    for (const auto& server : m_scene.m_fleet.servers()) {
      const bool isOld = server->options().m_service == "burnlog";
      for (const Opening& opening : server->openings()) {
        if (opening.m_flow.m_routePort != kEntryPort ||
            opening.m_at <= m_configuredAt + kConvergeMs) {
          continue;
        }
        ++(isOld ? byOldService : byNewService);
        if (isOld) {
          m_scene.m_record.add("CONFIG: " + server->key() + " of the old service took a flow of " +
                               formatAddress(opening.m_flow.m_client) + ":" +
                               std::to_string(opening.m_flow.m_clientPort) + " at " +
                               std::to_string(opening.m_at) + " ms, SYN copy " +
                               std::to_string(opening.m_copies));
        }
      }
    }
    m_scene.m_record.addResult("later than " + std::to_string(kConvergeMs) +
                               " ms after configuration 2, the new service took " +
                               std::to_string(byNewService) + " flows and the old one " +
                               std::to_string(byOldService));
    if (!m_isReady || byNewService < 100 || !m_scene.m_fleet.areHostsRunning()) {
      return kNotRun;
    }
    return byOldService == 0 ? kHeld : kBroken;
  }

  Scene& m_scene;
  bool m_isReady{};
  uint64_t m_requests{};
  int64_t m_configuredAt{};
};

} // namespace

int
runReusedPort(Scene& aScene)
{
  return ReusedPort(aScene).run();
}

} // namespace review
