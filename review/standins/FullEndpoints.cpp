// FLOW: a crowd of users fills the endpoints of a service. A full endpoint answers no SYN, but
// serves the flows that it holds, which have to go on.
#include "Scenario.h"

namespace review {

namespace {

constexpr uint16_t kFeedPort = 8443;
constexpr int kHosts = 4;
constexpr int kServers = 8;
constexpr size_t kMaxFlows = 50;
constexpr int kUsers = 300;
/// The crowd makes the users 1.7 times as many, for 3 s.
constexpr int kCrowd = 210;
constexpr int64_t kCrowdMs = 3000;
constexpr int64_t kCrowdArrivesInMs = 300;
constexpr int kTries = 3;
constexpr int64_t kRequestIntervalMs = 10'000;
constexpr int64_t kDeadlineMs = 2000;
constexpr int64_t kWorkMs = 100;
constexpr int64_t kTrafficAtMs = 4000;
constexpr int kCrowds = 3;
constexpr int64_t kFirstCrowdAtMs = 26'000;
constexpr int64_t kCrowdIntervalMs = 10'000;
constexpr int64_t kEndMs = 52'000;

class FullEndpoints
{
public:
  explicit FullEndpoints(Scene& aScene)
    : m_scene(aScene)
  {
  }

  int run()
  {
    Fleet& fleet = m_scene.m_fleet;
    fleet.configure(
      1, { { "feed", kFeedPort, "safe", "campo" } }, { { "campo", "2.0", "0.0", kMaxFlows } });
    for (int server = 0; server < kServers; ++server) {
      fleet.addServer("campo", "recife", kWorkMs, kMaxFlows);
    }
    for (int host = 0; host < kHosts; ++host) {
      fleet.addHost("recife");
    }
    Client& client = fleet.addClient("recife");
    m_scene.m_loop.after(kTrafficAtMs, [this, &client] {
      m_isReady = m_scene.m_fleet.areHostsInRotation();
      startUsers(client, 20'000, kUsers, kRequestIntervalMs, false);
    });
    for (int crowd = 0; m_scene.m_hasTrouble && crowd < kCrowds; ++crowd) {
      m_scene.m_loop.after(kFirstCrowdAtMs + crowd * kCrowdIntervalMs, [this, &client, crowd] {
        m_scene.m_record.add(std::to_string(kCrowd) + " more users arrive");
        m_crowdLeavesAt = m_scene.m_record.now() + kCrowdMs;
        startUsers(client, 40'000 + 10 * crowd, kCrowd, kCrowdArrivesInMs, true);
      });
    }
    m_scene.m_loop.after(kEndMs, [this] { m_scene.m_loop.stop(); });
    m_scene.m_loop.run();
    return judge();
  }

private:
  void startUsers(Client& aClient, int aFirstPort, int aUsers, int64_t aWithinMs, bool aIsCrowd)
  {
    for (int user = 0; user < aUsers; ++user) {
      const auto port = static_cast<uint16_t>(aFirstPort + 50 * user);
      m_scene.m_loop.after(aWithinMs * user / aUsers, [this, &aClient, port, aIsCrowd] {
        open(aClient, port, aIsCrowd, kTries);
      });
    }
  }

  /// A user keeps a flow for many requests. After a failure it tries again from the next port.
  void open(Client& aClient, uint16_t aPort, bool aIsCrowd, int aTries)
  {
    aClient.open(aPort, kFeedPort, [this, &aClient, aPort, aIsCrowd, aTries](Outcome aOutcome) {
      if (aOutcome == Outcome::Answered) {
        request(aClient, aPort, aIsCrowd);
      } else if (aTries > 1) {
        open(aClient, aPort + 1, aIsCrowd, aTries - 1);
      }
    });
  }

  void request(Client& aClient, uint16_t aPort, bool aIsCrowd)
  {
    const std::string id = "r-" + std::to_string(++m_requests);
    aClient.request(
      aPort, "GET", id, kDeadlineMs, [this, &aClient, aPort, aIsCrowd](Outcome aOutcome) {
        if (aOutcome != Outcome::Answered) {
          open(aClient, aPort + 1, aIsCrowd, kTries);
          return;
        }
        const int64_t leaves = m_crowdLeavesAt - m_scene.m_record.now();
        if (aIsCrowd && leaves < kRequestIntervalMs) {
          m_scene.m_loop.after(std::max<int64_t>(0, leaves),
                               [&aClient, aPort] { aClient.close(aPort); });
          return;
        }
        m_scene.m_loop.after(kRequestIntervalMs, [this, &aClient, aPort, aIsCrowd] {
          request(aClient, aPort, aIsCrowd);
        });
      });
  }

  int judge()
  {
    Fleet& fleet = m_scene.m_fleet;
    size_t onOpenFlows = 0;
    for (const SystemReset& reset : fleet.clients().front()->systemResets()) {
      if (const Server* const server = fleet.findServer(reset.m_flow)) {
        ++onOpenFlows;
        m_scene.m_record.add("FLOW: at " + std::to_string(reset.m_at) +
                             " ms the system reset an open flow of " + server->key() +
                             ", which serves");
      }
    }
    m_scene.m_record.addResult(std::to_string(m_requests) + " requests, " +
                               std::to_string(onOpenFlows) +
                               " open flows reset by the system while their endpoint served");
    if (!m_isReady || m_requests < 300 || !fleet.areHostsRunning()) {
      return kNotRun;
    }
    return onOpenFlows == 0 ? kHeld : kBroken;
  }

  Scene& m_scene;
  bool m_isReady{};
  uint64_t m_requests{};
  int64_t m_crowdLeavesAt{};
};

} // namespace

int
runFullEndpoints(Scene& aScene)
{
  return FullEndpoints(aScene).run();
}

} // namespace review
