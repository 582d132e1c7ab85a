// Implements the scenarios. Each picks its targets with the random generator of the simulation, so
// that combined scenarios act on different upstreams and hosts.
#include "session/Scenarios.h"

#include <algorithm>
#include <array>

namespace tamarack::session {

namespace {

/// Duration of a data centre partition.
constexpr Millis kPartitionTime{ 30'000 };
constexpr Millis kHostPartitionTime{ 20'000 };
constexpr Millis kPauseTime{ 5000 };
/// Time from the removal of an upstream to the reuse of its address.
constexpr Millis kReuseGap{ 16'000 };
/// How long an upstream is cold.
constexpr Millis kColdTime{ 20'000 };
/// Hosts detect only by their next probes that a warm upstream has become cold, so its cold-start
/// limit is checked from this time on.
constexpr Millis kColdDetectionTime{ 3000 };
/// Time from the crash of a host to its restart.
constexpr Millis kRestartDelay{ 50'000 };
/// Interval between attempts to publish an edit while the platform is down.
constexpr Millis kEditRetryDelay{ 500 };
/// Flows opened within this time after a data centre change count for the served share.
constexpr Millis kDataCentreChangeTime{ 20'000 };

constexpr auto kScenarios = std::to_array<ScenarioInfo>({
  { "steady", "nothing changes" },
  { "drain", "operators ask an upstream to leave" },
  { "join", "an upstream is added and starts cold" },
  { "ramp", "two upstreams are added while new flows double" },
  { "host-crash", "a host dies and comes back later" },
  { "host-leave", "a host stops as planned" },
  { "host-join", "a host is added" },
  { "dc-out", "operators take a data centre out" },
  { "dc-back", "a data centre is taken out and brought back" },
  { "dc-partition", "a data centre is cut off for 30 s" },
  { "host-partition", "a host is cut off from hosts and platform for 20 s" },
  { "pause", "two hosts are paused for 5 s, one after the other" },
  { "uneven-settings", "settings reach hosts 0 to 2 s apart while an upstream drains" },
  { "platform-down", "the platform is down for 69 s; a host starts meanwhile" },
  { "stale-platform", "half of the platform's answers are one revision old" },
  { "turns-cold", "a warm upstream turns cold unannounced" },
  { "lying-load", "an upstream is added whose endpoint always claims warm and empty" },
  { "address-reuse", "an upstream's address goes to the other service" },
  { "control-loss", "a fifth of the frames between hosts is lost, the rest jitters" },
});

template<HostPolicy Policy>
class ScenarioScheduler
{
public:
  explicit ScenarioScheduler(Simulation<Policy>& aSimulation)
    : m_simulation(aSimulation)
    , m_firstChange(kFirstChangeTime + Millis(static_cast<int64_t>(aSimulation.random()() % 2000)))
  {
  }

  void schedule(std::string_view aName);

private:
  void scheduleAt(Millis aTime, std::function<void()> aAction)
  {
    m_simulation.scheduler().scheduleAt(EventScheduler::kStart + aTime, std::move(aAction));
  }
  /// Schedules an edit of the settings; while the platform is down, the edit is retried.
  void scheduleEdit(Millis aTime, std::function<void()> aAction)
  {
    scheduleAt(aTime, [self = *this, action = std::move(aAction)]() mutable {
      if (self.m_simulation.environment().platform().m_isUp) {
        action();
        return;
      }
      self.scheduleEdit(self.m_simulation.scheduler().elapsed() + kEditRetryDelay,
                        std::move(action));
    });
  }
  TimePoint now() { return m_simulation.scheduler().now(); }

  /// Picks and reserves an upstream of the main service that no scenario has changed yet.
  SimulatedUpstream& pickUpstream()
  {
    std::vector<SimulatedUpstream*> unchanged;
    for (const auto& upstream : m_simulation.environment().upstreams()) {
      const bool isMainService =
        upstream->m_service == m_simulation.environment().spec().m_mainService.m_name;
      if (isMainService && !upstream->m_isRemoved && !isReserved(*upstream)) {
        unchanged.push_back(upstream.get());
      }
    }
    SimulatedUpstream& picked = *unchanged[m_simulation.random()() % unchanged.size()];
    reserve(picked);
    return picked;
  }
  /// An explicit state in the settings marks an upstream that a scenario uses.
  bool isReserved(const SimulatedUpstream& aUpstream)
  {
    return m_simulation.environment().upstreamJson(aUpstream).contains("state");
  }
  void reserve(const SimulatedUpstream& aUpstream)
  {
    m_simulation.excludeFromImbalance(aUpstream.m_name);
    m_simulation.environment().upstreamJson(aUpstream)["state"] = "in";
  }
  std::string pickDataCentre()
  {
    const auto& names = m_simulation.environment().spec().m_dataCentres;
    return names[m_simulation.random()() % names.size()];
  }
  size_t pickHost()
  {
    const std::vector<size_t> available = m_simulation.availableHosts();
    return available[m_simulation.random()() % available.size()];
  }

  void addFaultWindow(Millis aLength)
  {
    m_simulation.collector().addFaultWindow({ now(), now() + aLength });
  }
  void drainUpstream()
  {
    SimulatedUpstream& upstream = pickUpstream();
    m_simulation.environment().upstreamJson(upstream)["state"] = "draining";
    m_simulation.publishSettings();
    m_simulation.collector().setDraining(upstream.m_name, now());
  }
  /// Adds a cold upstream to the main service; `aTag` becomes part of its name.
  SimulatedUpstream& addColdUpstream(std::string_view aTag)
  {
    Environment& environment = m_simulation.environment();
    const std::string name = environment.spec().m_mainService.m_name + "-" + std::string(aTag) +
                             "-" + std::to_string(environment.upstreams().size() + 1);
    SimulatedUpstream& upstream =
      environment.addUpstream(environment.spec().m_mainService.m_name, name, pickDataCentre());
    reserve(upstream);
    startCold(upstream, Millis{ 0 });
    m_simulation.publishSettings();
    return upstream;
  }
  /// Makes an upstream cold for kColdTime. Its cold-start limit is checked after `aDetectionTime`.
  void startCold(SimulatedUpstream& aUpstream, Millis aDetectionTime)
  {
    SimulatedUpstream* upstream = &aUpstream;
    upstream->m_isCold = true;
    m_simulation.collector().addColdPeriod(
      upstream->m_name, now() + aDetectionTime, now() + kColdTime, kColdNewFlowsPerSecond);
    m_simulation.scheduler().scheduleAfter(kColdTime, [upstream] { upstream->m_isCold = false; });
  }

  void scheduleHostChanges(std::string_view aName);
  void scheduleFaults(std::string_view aName);
  void scheduleUpstreamChanges(std::string_view aName);
  void takeOutDataCentre(const std::string& aDataCentre);
  void restoreDataCentre(const std::string& aDataCentre);
  void reuseAddress();
  void makeUpstreamCold();

  Simulation<Policy>& m_simulation;
  /// Time of the first change, from the start of the run.
  Millis m_firstChange;
};

template<HostPolicy Policy>
void
ScenarioScheduler<Policy>::schedule(std::string_view aName)
{
  scheduleHostChanges(aName);
  scheduleFaults(aName);
  scheduleUpstreamChanges(aName);
}

template<HostPolicy Policy>
void
ScenarioScheduler<Policy>::scheduleHostChanges(std::string_view aName)
{
  if (aName == "host-crash") {
    scheduleAt(m_firstChange, [self = *this]() mutable {
      const size_t host = self.pickHost();
      self.addFaultWindow(Millis{ 0 });
      self.m_simulation.crashHost(host);
      self.m_simulation.scheduler().scheduleAfter(
        kRestartDelay, [simulation = &self.m_simulation, host] { simulation->restartHost(host); });
    });
  } else if (aName == "host-leave") {
    scheduleAt(m_firstChange,
               [self = *this]() mutable { self.m_simulation.stopHostGracefully(self.pickHost()); });
  } else if (aName == "host-join") {
    scheduleAt(m_firstChange, [self = *this]() mutable {
      self.m_simulation.addHost();
      self.m_simulation.addToFabric(self.m_simulation.hostCount() - 1);
      self.m_simulation.scheduler().scheduleAfter(
        Millis{ 1000 }, [simulation = &self.m_simulation] { simulation->publishHostList(); });
    });
  } else if (aName == "host-partition") {
    scheduleAt(m_firstChange, [self = *this]() mutable {
      const size_t host = self.pickHost();
      self.addFaultWindow(kHostPartitionTime);
      self.m_simulation.setHostPartitioned(host, true);
      self.m_simulation.scheduler().scheduleAfter(
        kHostPartitionTime,
        [simulation = &self.m_simulation, host] { simulation->setHostPartitioned(host, false); });
    });
  } else if (aName == "pause") {
    for (const Millis start : { m_firstChange, m_firstChange + 3 * kPauseTime }) {
      scheduleAt(start, [self = *this]() mutable {
        self.addFaultWindow(kPauseTime);
        self.m_simulation.pauseHost(self.pickHost(), kPauseTime);
      });
    }
  }
}

template<HostPolicy Policy>
void
ScenarioScheduler<Policy>::scheduleFaults(std::string_view aName)
{
  Environment& environment = m_simulation.environment();
  if (aName == "dc-partition") {
    scheduleAt(m_firstChange, [self = *this]() mutable {
      const std::string dataCentre = self.pickDataCentre();
      self.addFaultWindow(kPartitionTime);
      self.m_simulation.collector().disableImbalanceCheck();
      self.m_simulation.setDataCentrePartitioned(dataCentre, true);
      self.m_simulation.scheduler().scheduleAfter(
        kPartitionTime, [simulation = &self.m_simulation, dataCentre] {
          simulation->setDataCentrePartitioned(dataCentre, false);
        });
    });
  } else if (aName == "uneven-settings") {
    m_simulation.setRandomSettingsDelays(Millis{ 2000 });
    scheduleEdit(m_firstChange, [self = *this]() mutable { self.drainUpstream(); });
    scheduleEdit(m_firstChange + Millis{ 1000 },
                 [self = *this]() mutable { self.addColdUpstream("uneven"); });
  } else if (aName == "platform-down") {
    scheduleAt(Millis{ 31'000 }, [&environment] { environment.platform().m_isUp = false; });
    scheduleAt(Millis{ 60'000 }, [self = *this]() mutable {
      self.m_simulation.addHost();
      self.m_simulation.addToFabric(self.m_simulation.hostCount() - 1);
    });
    scheduleAt(Millis{ 100'000 }, [&environment] { environment.platform().m_isUp = true; });
    scheduleAt(Millis{ 110'000 },
               [self = *this]() mutable { self.m_simulation.publishHostList(); });
  } else if (aName == "stale-platform") {
    scheduleEdit(m_firstChange, [self = *this]() mutable { self.drainUpstream(); });
    scheduleAt(m_firstChange + Millis{ 100 },
               [&environment] { environment.platform().m_servesStale = true; });
    scheduleAt(m_firstChange + Millis{ 40'000 },
               [&environment] { environment.platform().m_servesStale = false; });
  } else if (aName == "control-loss") {
    LinkQuality& links = m_simulation.links();
    scheduleAt(Millis{ 30'000 }, [&links] { links = { 20, Millis{ 100 } }; });
    scheduleAt(Millis{ 120'000 }, [&links] { links = {}; });
  }
}

template<HostPolicy Policy>
void
ScenarioScheduler<Policy>::scheduleUpstreamChanges(std::string_view aName)
{
  if (aName == "drain") {
    scheduleEdit(m_firstChange, [self = *this]() mutable { self.drainUpstream(); });
  } else if (aName == "join") {
    scheduleEdit(m_firstChange, [self = *this]() mutable { self.addColdUpstream("new"); });
  } else if (aName == "ramp") {
    scheduleEdit(m_firstChange, [self = *this]() mutable {
      self.addColdUpstream("ramp");
      self.addColdUpstream("ramp");
      self.m_simulation.callers().setNewFlowRate(2 *
                                                 self.m_simulation.options().m_newFlowsPerSecond);
    });
  } else if (aName == "lying-load") {
    scheduleEdit(m_firstChange, [self = *this]() mutable {
      self.addColdUpstream("lies").m_reportsFalseHealth = true;
    });
  } else if (aName == "turns-cold") {
    scheduleAt(m_firstChange, [self = *this]() mutable { self.makeUpstreamCold(); });
  } else if (aName == "dc-out" || aName == "dc-back") {
    const std::string dataCentre = pickDataCentre();
    const Millis start = aName == "dc-out" ? m_firstChange : Millis{ 30'000 };
    scheduleEdit(start,
                 [self = *this, dataCentre]() mutable { self.takeOutDataCentre(dataCentre); });
    if (aName == "dc-back") {
      scheduleEdit(Millis{ 70'000 },
                   [self = *this, dataCentre]() mutable { self.restoreDataCentre(dataCentre); });
    }
  } else if (aName == "address-reuse") {
    scheduleEdit(m_firstChange, [self = *this]() mutable { self.reuseAddress(); });
  }
}

template<HostPolicy Policy>
void
ScenarioScheduler<Policy>::makeUpstreamCold()
{
  SimulatedUpstream& upstream = pickUpstream();
  startCold(upstream, kColdDetectionTime);
}

template<HostPolicy Policy>
void
ScenarioScheduler<Policy>::takeOutDataCentre(const std::string& aDataCentre)
{
  Environment& environment = m_simulation.environment();
  environment.document()["data_centres"][aDataCentre]["state"] = "out";
  m_simulation.publishSettings();
  m_simulation.collector().setDataCentreOut(aDataCentre, now());
  m_simulation.collector().addDataCentreChange({ now(), now() + kDataCentreChangeTime });
  for (const auto& upstream : environment.upstreams()) {
    if (upstream->m_dataCentre == aDataCentre) {
      upstream->m_dataCentreOutSince = now();
      m_simulation.excludeFromImbalance(upstream->m_name);
    }
  }
}

template<HostPolicy Policy>
void
ScenarioScheduler<Policy>::restoreDataCentre(const std::string& aDataCentre)
{
  Environment& environment = m_simulation.environment();
  environment.document()["data_centres"][aDataCentre]["state"] = "in";
  m_simulation.publishSettings();
  m_simulation.collector().setDataCentreIn(aDataCentre);
  m_simulation.collector().addDataCentreChange({ now(), now() + kDataCentreChangeTime });
  for (const auto& upstream : environment.upstreams()) {
    if (upstream->m_dataCentre == aDataCentre) {
      // The upstream lost its flows while its data centre was out and has become cold.
      upstream->m_activeFlows.clear();
      startCold(*upstream, Millis{ 0 });
    }
  }
}

template<HostPolicy Policy>
void
ScenarioScheduler<Policy>::reuseAddress()
{
  Environment& environment = m_simulation.environment();
  const DeploymentSpec& spec = environment.spec();
  SimulatedUpstream* upstream = nullptr;
  for (const auto& candidate : environment.upstreams()) {
    if (candidate->m_service == spec.m_secondaryService.m_name) {
      upstream = candidate.get();
    }
  }
  Json& secondaryPool =
    environment
      .document()["teams"][spec.m_secondaryService.m_team]["pools"][spec.m_secondaryService.m_name];
  secondaryPool["upstreams"].erase(upstream->m_name);
  upstream->m_isRemoved = true;
  upstream->m_isUp = false;
  upstream->m_activeFlows.clear();
  m_simulation.publishSettings();
  // Operators wait for kReuseGap before they assign the address to another service.
  m_simulation.scheduler().scheduleAfter(kReuseGap, [simulation = &m_simulation, upstream, spec] {
    Environment& environment = simulation->environment();
    Json& grants = environment.document()["grants"];
    Json secondaryNetworks = Json::array();
    for (const auto& other : environment.upstreams()) {
      if (other->m_service == spec.m_secondaryService.m_name && other.get() != upstream) {
        secondaryNetworks.push_back(formatIpv4(other->m_address) + "/32");
      }
    }
    grants[spec.m_secondaryService.m_team]["upstream_networks"] = secondaryNetworks;
    grants[spec.m_mainService.m_team]["upstream_networks"].push_back(
      formatIpv4(upstream->m_address) + "/32");
    upstream->m_service = spec.m_mainService.m_name;
    upstream->m_name += "-reused";
    upstream->m_generation = 2;
    upstream->m_isUp = true;
    upstream->m_isCold = true;
    upstream->m_isRemoved = false;
    simulation->excludeFromImbalance(upstream->m_name);
    environment.upstreamJson(*upstream) = { { "address", formatIpv4(upstream->m_address) },
                                            { "data_centre", upstream->m_dataCentre },
                                            { "generation", 2 },
                                            { "state", "in" } };
    simulation->collector().addColdPeriod(upstream->m_name,
                                          simulation->scheduler().now(),
                                          simulation->scheduler().now() + kColdTime,
                                          kColdNewFlowsPerSecond);
    simulation->scheduler().scheduleAfter(kColdTime, [upstream] { upstream->m_isCold = false; });
    simulation->publishSettings();
  });
}

} // namespace

template<HostPolicy Policy>
void
scheduleScenario(Simulation<Policy>& aSimulation, std::string_view aName)
{
  ScenarioScheduler<Policy>(aSimulation).schedule(aName);
}

std::span<const ScenarioInfo>
scenarioTable()
{
  return kScenarios;
}

template void
scheduleScenario(Simulation<node::Node>&, std::string_view);
template void
scheduleScenario(Simulation<BaselineNode>&, std::string_view);

} // namespace tamarack::session
