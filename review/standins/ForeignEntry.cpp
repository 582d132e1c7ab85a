// FLOW: an entry of another writer, of a service that no configuration names, lists the address of
// a living endpoint. The endpoint's own entry holds, so its flows have to go on.
#include "Scenario.h"

namespace review {

namespace {

constexpr uint16_t kFeedPort = 8443;
constexpr uint16_t kEntryPort = 8080;
constexpr int kServersPerZone = 3;
constexpr int kUsersPerZone = 30;
constexpr int64_t kRequestIntervalMs = 1000;
constexpr int64_t kEntryIntervalMs = 60;
constexpr int64_t kDeadlineMs = 2500;
constexpr int64_t kWorkMs = 150;
constexpr int64_t kTrafficAtMs = 5000;
constexpr int64_t kTroubleAtMs = 15'000;
constexpr int64_t kEndMs = 30'000;

class ForeignEntry
{
public:
  explicit ForeignEntry(Scene& aScene)
    : m_scene(aScene)
  {
  }

  int run()
  {
    Fleet& fleet = m_scene.m_fleet;
    const std::vector<std::string> zones{ "nakuru", "naivasha" };
    fleet.configure(
      1,
      { { "feed", kFeedPort, "safe", "burnlog" }, { "entry", kEntryPort, "unsafe", "burnlog" } },
      { { "burnlog" } });
    for (const std::string& zone : zones) {
      for (int server = 0; server < kServersPerZone; ++server) {
        fleet.addServer("burnlog", zone, kWorkMs);
      }
      fleet.addHost(zone);
      fleet.addHost(zone);
      fleet.addClient(zone);
    }
    m_scene.m_loop.after(kTrafficAtMs, [this] { startTraffic(); });
    m_scene.m_loop.after(kTroubleAtMs, [this] { writeForeignEntry(); });
    m_scene.m_loop.after(kEndMs, [this] { m_scene.m_loop.stop(); });
    m_scene.m_loop.run();
    return judge();
  }

private:
  void startTraffic()
  {
    m_isReady = m_scene.m_fleet.areHostsInRotation();
    for (const auto& client : m_scene.m_fleet.clients()) {
      for (int user = 0; user < kUsersPerZone; ++user) {
        const auto port = static_cast<uint16_t>(20'000 + 200 * user);
        m_scene.m_loop.after(kRequestIntervalMs * user / kUsersPerZone,
                             [this, &client, port] { openFeed(*client, port); });
      }
      postEntry(*client, 40'000);
    }
  }

  /// A user keeps a flow for many requests, and opens another one from the next port after a
  /// failure.
  void openFeed(Client& aClient, uint16_t aPort)
  {
    aClient.open(aPort, kFeedPort, [this, &aClient, aPort](Outcome aOutcome) {
      if (aOutcome == Outcome::Answered) {
        requestFeed(aClient, aPort);
      } else {
        openFeedAgain(aClient, aPort);
      }
    });
  }

  void openFeedAgain(Client& aClient, uint16_t aPort)
  {
    m_scene.m_loop.after(kRequestIntervalMs, [this, &aClient, aPort] {
      openFeed(aClient, static_cast<uint16_t>(aPort + 1));
    });
  }

  void requestFeed(Client& aClient, uint16_t aPort)
  {
    aClient.request(aPort, "GET", nextId(), kDeadlineMs, [this, &aClient, aPort](Outcome aOutcome) {
      if (aOutcome != Outcome::Answered) {
        openFeedAgain(aClient, aPort);
        return;
      }
      m_scene.m_loop.after(kRequestIntervalMs,
                           [this, &aClient, aPort] { requestFeed(aClient, aPort); });
    });
  }

  /// Posts entries, each on a flow of its own.
  void postEntry(Client& aClient, uint16_t aPort)
  {
    aClient.open(aPort, kEntryPort, [this, &aClient, aPort](Outcome aOutcome) {
      if (aOutcome != Outcome::Answered) {
        return;
      }
      const std::string id = nextId();
      aClient.request(aPort, "POST", id, kDeadlineMs, [this, &aClient, aPort, id](Outcome aResult) {
        m_unansweredEntries += aResult == Outcome::Answered ? 0 : 1;
        aClient.close(aPort);
      });
    });
    m_scene.m_loop.after(kEntryIntervalMs, [this, &aClient, aPort] {
      postEntry(aClient, static_cast<uint16_t>(aPort + 1));
    });
  }

  void writeForeignEntry()
  {
    if (!m_scene.m_hasTrouble) {
      return;
    }
    const Server& server = *m_scene.m_fleet.servers().front();
    const std::string value =
      R"({"service":"kilnlog-test","addr":")" + formatSocketAddress(server.options().m_address) +
      R"(","zone":"nakuru","version":"v1","concurrency":4,"state":"ready","warmup_left_ms":0,)" +
      R"("seq":1,"born":)" + std::to_string(server.bornAt() + kTroubleAtMs) + "}";
    m_scene.m_fleet.store().put("servers/i-0badcafe", value);
    m_scene.m_record.add("another writer: servers/i-0badcafe " + value);
  }

  std::string nextId() { return "r-" + std::to_string(++m_requests); }

  int judge()
  {
    Fleet& fleet = m_scene.m_fleet;
    size_t onOpenFlows = 0;
    for (const auto& client : fleet.clients()) {
      for (const SystemReset& reset : client->systemResets()) {
        const Server* const server = fleet.findServer(reset.m_flow);
        if (server != nullptr) {
          ++onOpenFlows;
          m_scene.m_record.add("FLOW: the system reset an open flow of " + server->key() +
                               ", which serves");
        }
      }
    }
    m_scene.m_record.addResult(std::to_string(m_requests) + " requests, " +
                               std::to_string(onOpenFlows) +
                               " open flows reset by the system while their endpoint served, " +
                               std::to_string(m_unansweredEntries) + " posts without an answer");
    if (!m_isReady || m_requests < 500 || !fleet.areHostsRunning()) {
      return kNotRun;
    }
    return onOpenFlows == 0 ? kHeld : kBroken;
  }

  Scene& m_scene;
  bool m_isReady{};
  uint64_t m_requests{};
  uint64_t m_unansweredEntries{};
};

} // namespace

int
runForeignEntry(Scene& aScene)
{
  return ForeignEntry(aScene).run();
}

} // namespace review
