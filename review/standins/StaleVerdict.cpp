// FLOW: for a while, the hosts of a zone can't reach the endpoints of another one. A client that
// was idle all the while sends its next request on its open flow well after that.
#include "Scenario.h"

namespace review {

namespace {

constexpr uint16_t kFeedPort = 8443;
constexpr int kBusyUsers = 30;
constexpr int kIdleUsers = 8;
constexpr int64_t kRequestIntervalMs = 1000;
constexpr int64_t kDeadlineMs = 2500;
constexpr int64_t kWorkMs = 50;
constexpr int64_t kEvacuateAtMs = 4000;
constexpr int64_t kTrafficAtMs = 7000;
constexpr int64_t kEvacuationEndsAtMs = 14'000;
constexpr int64_t kCutAtMs = 16'000;
constexpr int64_t kHealAtMs = 19'000;
/// More than `contact_ms` after the cut. The idle users have paused for less than 12 s by then.
constexpr int64_t kIdleUsersReturnAtMs = 24'000;
constexpr int64_t kEndMs = 28'000;
constexpr int64_t kContactMs = 4000;

class StaleVerdict
{
public:
  explicit StaleVerdict(Scene& aScene)
    : m_scene(aScene)
  {
  }

  int run()
  {
    Fleet& fleet = m_scene.m_fleet;
    fleet.configure(1, { { "feed", kFeedPort, "safe", "burnlog" } }, { { "burnlog" } });
    for (const char* zone : { "eldama", "nakuru" }) {
      for (int number = 0; number < 2; ++number) {
        fleet.addServer("burnlog", zone, kWorkMs);
        fleet.addHost(zone);
      }
    }
    Client& client = fleet.addClient("eldama");
    m_scene.m_loop.after(kEvacuateAtMs, [&fleet] { fleet.evacuate("eldama"); });
    m_scene.m_loop.after(kTrafficAtMs, [this, &client] { startTraffic(client); });
    m_scene.m_loop.after(kEvacuationEndsAtMs, [&fleet] { fleet.endEvacuation("eldama"); });
    if (m_scene.m_hasTrouble) {
      m_scene.m_loop.after(kCutAtMs, [&fleet] { fleet.cutOneWay("eldama", "nakuru"); });
      m_scene.m_loop.after(kHealAtMs, [&fleet] { fleet.healOneWay("eldama", "nakuru"); });
    }
    m_scene.m_loop.after(kEndMs, [this] { m_scene.m_loop.stop(); });
    m_scene.m_loop.run();
    return judge();
  }

private:
  void startTraffic(Client& aClient)
  {
    m_isReady = m_scene.m_fleet.areHostsInRotation();
    for (int user = 0; user < kBusyUsers + kIdleUsers; ++user) {
      const auto port = static_cast<uint16_t>(20'000 + 200 * user);
      m_scene.m_loop.after(kRequestIntervalMs * user / (kBusyUsers + kIdleUsers),
                           [this, &aClient, port] { open(aClient, port); });
    }
  }

  static bool isIdleUser(uint16_t aPort) { return aPort >= 20'000 + 200 * kBusyUsers; }

  /// A user keeps a flow for many requests, and opens another one from the next port after a
  /// failure.
  void open(Client& aClient, uint16_t aPort)
  {
    aClient.open(aPort, kFeedPort, [this, &aClient, aPort](Outcome aOutcome) {
      if (aOutcome == Outcome::Answered) {
        request(aClient, aPort);
      } else {
        openAgain(aClient, aPort);
      }
    });
  }

  void openAgain(Client& aClient, uint16_t aPort)
  {
    m_scene.m_loop.after(kRequestIntervalMs, [this, &aClient, aPort] { open(aClient, aPort + 1); });
  }

  void request(Client& aClient, uint16_t aPort)
  {
    const std::string id = "r-" + std::to_string(++m_requests);
    aClient.request(aPort, "GET", id, kDeadlineMs, [this, &aClient, aPort](Outcome aOutcome) {
      if (aOutcome != Outcome::Answered) {
        openAgain(aClient, aPort);
        return;
      }
      // Idle users pause from before the cut until well after it.
      const int64_t now = m_scene.m_record.now();
      const bool pauses =
        isIdleUser(aPort) && now >= kCutAtMs - 3 * kRequestIntervalMs && now < kIdleUsersReturnAtMs;
      m_scene.m_loop.after(pauses ? kIdleUsersReturnAtMs - now : kRequestIntervalMs,
                           [this, &aClient, aPort] { request(aClient, aPort); });
    });
  }

  int judge()
  {
    Fleet& fleet = m_scene.m_fleet;
    size_t late = 0;
    for (const SystemReset& reset : fleet.clients().front()->systemResets()) {
      const Server* const server = fleet.findServer(reset.m_flow);
      if (server != nullptr && reset.m_at > kHealAtMs + kContactMs) {
        ++late;
        m_scene.m_record.add("FLOW: at " + std::to_string(reset.m_at) +
                             " ms the system reset an open flow of " + server->key() +
                             ", which serves");
      }
    }
    m_scene.m_record.addResult(std::to_string(m_requests) + " requests, " + std::to_string(late) +
                               " open flows reset by the system later than " +
                               std::to_string(kContactMs) + " ms after the cut");
    if (!m_isReady || m_requests < 300 || !fleet.areHostsRunning()) {
      return kNotRun;
    }
    return late == 0 ? kHeld : kBroken;
  }

  Scene& m_scene;
  bool m_isReady{};
  uint64_t m_requests{};
};

} // namespace

int
runStaleVerdict(Scene& aScene)
{
  return StaleVerdict(aScene).run();
}

} // namespace review
