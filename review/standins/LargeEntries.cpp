// EVAC: another writer puts a few entries of the largest size into the store, with bytes that can't
// be read. They name no endpoint, and the changes that follow have to take effect.
#include "Scenario.h"

namespace review {

namespace {

constexpr uint16_t kRoutePort = 8080;
constexpr int64_t kDeadlineMs = 3000;
constexpr int64_t kWorkMs = 20;
constexpr int64_t kFlowIntervalMs = 40;
constexpr int64_t kTrafficAtMs = 5000;
constexpr int64_t kTroubleAtMs = 10'000;
constexpr int64_t kEvacuateAtMs = 14'000;
constexpr int64_t kEndMs = 40'000;
constexpr int64_t kEvacuationBoundMs = 5000;
/// `value_bytes` of the settings.
constexpr size_t kValueBytes = 1'048'576;
constexpr int kEntries = 3;

class LargeEntries
{
public:
  explicit LargeEntries(Scene& aScene)
    : m_scene(aScene)
  {
  }

  int run()
  {
    Fleet& fleet = m_scene.m_fleet;
    fleet.configure(1, { { "entry", kRoutePort, "unsafe", "burnlog" } }, { { "burnlog" } });
    for (const char* zone : { "nakuru", "naivasha", "eldama" }) {
      fleet.addServer("burnlog", zone, kWorkMs);
      fleet.addServer("burnlog", zone, kWorkMs);
      fleet.addHost(zone);
      fleet.addHost(zone);
      fleet.addClient(zone);
    }
    m_scene.m_loop.after(kTrafficAtMs, [this] {
      m_isReady = m_scene.m_fleet.areHostsInRotation();
      for (const auto& client : m_scene.m_fleet.clients()) {
        postEntry(*client, 10'000);
      }
    });
    if (m_scene.m_hasTrouble) {
      m_scene.m_loop.after(kTroubleAtMs, [this] { writeEntries(); });
    }
    m_scene.m_loop.after(kEvacuateAtMs, [this, &fleet] {
      fleet.evacuate("nakuru");
      m_evacuatedAt = m_scene.m_record.now();
    });
    m_scene.m_loop.after(kEndMs, [this] { m_scene.m_loop.stop(); });
    m_scene.m_loop.run();
    return judge();
  }

private:
  /// Posts an entry on a flow of its own, from the next port.
  void postEntry(Client& aClient, uint16_t aPort)
  {
    aClient.open(aPort, kRoutePort, [this, &aClient, aPort](Outcome aOutcome) {
      if (aOutcome != Outcome::Answered) {
        return;
      }
      aClient.request(aPort,
                      "POST",
                      "r-" + std::to_string(++m_requests),
                      kDeadlineMs,
                      [&aClient, aPort](Outcome) { aClient.close(aPort); });
    });
    m_scene.m_loop.after(kFlowIntervalMs, [this, &aClient, aPort] {
      postEntry(aClient, static_cast<uint16_t>(aPort + 1));
    });
  }

  void writeEntries()
  {
    for (int entry = 1; entry <= kEntries; ++entry) {
      const std::string key = "servers/x-" + std::to_string(entry);
      m_scene.m_fleet.store().put(key, std::string(kValueBytes, '\x01'));
      m_scene.m_record.add("another writer: " + key + ", " + std::to_string(kValueBytes) +
                           " bytes that can't be read");
    }
  }

  int judge()
  {
    size_t late = 0;
    int64_t last = 0;
    for (const auto& server : m_scene.m_fleet.servers()) {
      for (const Opening& opening : server->openings()) {
        if (server->options().m_zone == "nakuru" &&
            opening.m_at > m_evacuatedAt + kEvacuationBoundMs) {
          ++late;
          last = std::max(last, opening.m_at);
          m_scene.m_record.add("EVAC: " + server->key() + " of the evacuated zone took a flow at " +
                               std::to_string(opening.m_at) + " ms");
        }
      }
    }
    m_scene.m_record.addResult(
      std::to_string(m_requests) + " requests; endpoints of the evacuated zone took " +
      std::to_string(late) + " flows later than " + std::to_string(kEvacuationBoundMs) +
      " ms after the order" +
      (late == 0 ? "" : ", the last one after " + std::to_string(last - m_evacuatedAt) + " ms"));
    if (!m_isReady || m_requests < 500 || !m_scene.m_fleet.areHostsRunning()) {
      return kNotRun;
    }
    return late == 0 ? kHeld : kBroken;
  }

  Scene& m_scene;
  bool m_isReady{};
  uint64_t m_requests{};
  int64_t m_evacuatedAt{};
};

} // namespace

int
runLargeEntries(Scene& aScene)
{
  return LargeEntries(aScene).run();
}

} // namespace review
