// What each named scenario does. Every scenario picks its own targets with the session's generator,
// so that compositions hit different machines and hosts.
#include "session/Scenarios.h"

#include <algorithm>
#include <array>

namespace tamarack::session {

namespace {

constexpr Millis kPartitionTime{ 30'000 };
constexpr Millis kHostCutTime{ 20'000 };
constexpr Millis kPauseTime{ 5000 };
constexpr Millis kReuseGap{ 16'000 };
constexpr Millis kColdEnd{ 20'000 };
/// An unannounced turn to cold shows in the health endpoint only by the next probes.
constexpr Millis kColdNotice{ 3000 };
constexpr Millis kRestartAfter{ 50'000 };
constexpr Millis kEditRetry{ 500 };
constexpr Millis kDcChangeTail{ 20'000 };

constexpr auto kTable = std::to_array<ScenarioRow>({
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
class Script
{
public:
  explicit Script(Session<Policy>& aSession)
    : m_session(aSession)
    , m_first(kFirstChange + Millis(static_cast<int64_t>(aSession.random()() % 2000)))
  {
  }

  void schedule(std::string_view aName);

private:
  void at(Millis aTime, std::function<void()> aAction)
  {
    m_session.timeline().at(Timeline::kStart + aTime, std::move(aAction));
  }
  /// An edit of the published documents; while the platform is down it has to wait.
  void edit(Millis aTime, std::function<void()> aAction)
  {
    at(aTime, [script = *this, action = std::move(aAction)]() mutable {
      if (script.m_session.world().platform().m_isUp) {
        action();
        return;
      }
      script.edit(script.m_session.timeline().elapsed() + kEditRetry, std::move(action));
    });
  }
  TimePoint now() { return m_session.timeline().now(); }

  /// A machine of the main service that no scenario has changed yet.
  Machine& pickMachine()
  {
    std::vector<Machine*> unchanged;
    for (const auto& machine : m_session.world().machines()) {
      const bool isMain = machine->m_service == m_session.world().shape().m_main.m_name;
      if (isMain && !machine->m_retired && !isTaken(*machine)) {
        unchanged.push_back(machine.get());
      }
    }
    Machine& picked = *unchanged[m_session.random()() % unchanged.size()];
    take(picked);
    return picked;
  }
  bool isTaken(const Machine& aMachine)
  {
    return m_session.world().upstreamJson(aMachine).contains("state");
  }
  void take(const Machine& aMachine)
  {
    m_session.excludeFromBalance(aMachine.m_name);
    m_session.world().upstreamJson(aMachine)["state"] = "in";
  }
  std::string pickDataCentre()
  {
    const auto& names = m_session.world().shape().m_dataCentres;
    return names[m_session.random()() % names.size()];
  }
  size_t pickHost()
  {
    const std::vector<size_t> steady = m_session.steadyHosts();
    return steady[m_session.random()() % steady.size()];
  }

  void addFault(Millis aLength) { m_session.record().addFault({ now(), now() + aLength }); }
  void drain()
  {
    Machine& machine = pickMachine();
    m_session.world().upstreamJson(machine)["state"] = "draining";
    m_session.publish();
    m_session.record().setLeaving(machine.m_name, now());
  }
  Machine& join(std::string_view aTag)
  {
    World& world = m_session.world();
    const std::string name = world.shape().m_main.m_name + "-" + std::string(aTag) + "-" +
                             std::to_string(world.machines().size() + 1);
    Machine& machine = world.addMachine(world.shape().m_main.m_name, name, pickDataCentre());
    take(machine);
    startCold(machine, Millis{ 0 });
    m_session.publish();
    return machine;
  }
  /// The machine is cold for kColdEnd; its limit counts after `aNotice`.
  void startCold(Machine& aMachine, Millis aNotice)
  {
    Machine* machine = &aMachine;
    machine->m_isCold = true;
    m_session.record().setCold(
      machine->m_name, now() + aNotice, now() + kColdEnd, kColdFlowsPerSecond);
    m_session.timeline().after(kColdEnd, [machine] { machine->m_isCold = false; });
  }

  void scheduleHosts(std::string_view aName);
  void scheduleFaults(std::string_view aName);
  void scheduleUpstreams(std::string_view aName);
  void takeOut(const std::string& aDataCentre);
  void bringBack(const std::string& aDataCentre);
  void reuseAddress();
  void turnCold();

  Session<Policy>& m_session;
  Millis m_first;
};

template<HostPolicy Policy>
void
Script<Policy>::schedule(std::string_view aName)
{
  scheduleHosts(aName);
  scheduleFaults(aName);
  scheduleUpstreams(aName);
}

template<HostPolicy Policy>
void
Script<Policy>::scheduleHosts(std::string_view aName)
{
  if (aName == "host-crash") {
    at(m_first, [script = *this]() mutable {
      const size_t host = script.pickHost();
      script.addFault(Millis{ 0 });
      script.m_session.crashHost(host);
      script.m_session.timeline().after(
        kRestartAfter, [session = &script.m_session, host] { session->restartHost(host); });
    });
  } else if (aName == "host-leave") {
    at(m_first, [script = *this]() mutable { script.m_session.leaveHost(script.pickHost()); });
  } else if (aName == "host-join") {
    at(m_first, [script = *this]() mutable {
      script.m_session.addHost();
      script.m_session.enterFabric(script.m_session.hostCount() - 1);
      script.m_session.timeline().after(
        Millis{ 1000 }, [session = &script.m_session] { session->publishHostList(); });
    });
  } else if (aName == "host-partition") {
    at(m_first, [script = *this]() mutable {
      const size_t host = script.pickHost();
      script.addFault(kHostCutTime);
      script.m_session.cutHost(host, true);
      script.m_session.timeline().after(
        kHostCutTime, [session = &script.m_session, host] { session->cutHost(host, false); });
    });
  } else if (aName == "pause") {
    for (const Millis start : { m_first, m_first + 3 * kPauseTime }) {
      at(start, [script = *this]() mutable {
        script.addFault(kPauseTime);
        script.m_session.pauseHost(script.pickHost(), kPauseTime);
      });
    }
  }
}

template<HostPolicy Policy>
void
Script<Policy>::scheduleFaults(std::string_view aName)
{
  World& world = m_session.world();
  if (aName == "dc-partition") {
    at(m_first, [script = *this]() mutable {
      const std::string dataCentre = script.pickDataCentre();
      script.addFault(kPartitionTime);
      script.m_session.record().noteUnsettled();
      script.m_session.cutDataCentre(dataCentre, true);
      script.m_session.timeline().after(kPartitionTime, [session = &script.m_session, dataCentre] {
        session->cutDataCentre(dataCentre, false);
      });
    });
  } else if (aName == "uneven-settings") {
    m_session.delaySettings(Millis{ 2000 });
    edit(m_first, [script = *this]() mutable { script.drain(); });
    edit(m_first + Millis{ 1000 }, [script = *this]() mutable { script.join("uneven"); });
  } else if (aName == "platform-down") {
    at(Millis{ 31'000 }, [&world] { world.platform().m_isUp = false; });
    at(Millis{ 60'000 }, [script = *this]() mutable {
      script.m_session.addHost();
      script.m_session.enterFabric(script.m_session.hostCount() - 1);
    });
    at(Millis{ 100'000 }, [&world] { world.platform().m_isUp = true; });
    at(Millis{ 110'000 }, [script = *this]() mutable { script.m_session.publishHostList(); });
  } else if (aName == "stale-platform") {
    edit(m_first, [script = *this]() mutable { script.drain(); });
    at(m_first + Millis{ 100 }, [&world] { world.platform().m_isStale = true; });
    at(m_first + Millis{ 40'000 }, [&world] { world.platform().m_isStale = false; });
  } else if (aName == "control-loss") {
    LinkQuality& links = m_session.links();
    at(Millis{ 30'000 }, [&links] { links = { 20, Millis{ 100 } }; });
    at(Millis{ 120'000 }, [&links] { links = {}; });
  }
}

template<HostPolicy Policy>
void
Script<Policy>::scheduleUpstreams(std::string_view aName)
{
  if (aName == "drain") {
    edit(m_first, [script = *this]() mutable { script.drain(); });
  } else if (aName == "join") {
    edit(m_first, [script = *this]() mutable { script.join("new"); });
  } else if (aName == "ramp") {
    edit(m_first, [script = *this]() mutable {
      script.join("ramp");
      script.join("ramp");
      script.m_session.callers().setRate(2 * script.m_session.options().m_newFlowsPerSecond);
    });
  } else if (aName == "lying-load") {
    edit(m_first, [script = *this]() mutable { script.join("lies").m_lies = true; });
  } else if (aName == "turns-cold") {
    at(m_first, [script = *this]() mutable { script.turnCold(); });
  } else if (aName == "dc-out" || aName == "dc-back") {
    const std::string dataCentre = pickDataCentre();
    const Millis start = aName == "dc-out" ? m_first : Millis{ 30'000 };
    edit(start, [script = *this, dataCentre]() mutable { script.takeOut(dataCentre); });
    if (aName == "dc-back") {
      edit(Millis{ 70'000 },
           [script = *this, dataCentre]() mutable { script.bringBack(dataCentre); });
    }
  } else if (aName == "address-reuse") {
    edit(m_first, [script = *this]() mutable { script.reuseAddress(); });
  }
}

template<HostPolicy Policy>
void
Script<Policy>::turnCold()
{
  Machine& machine = pickMachine();
  startCold(machine, kColdNotice);
}

template<HostPolicy Policy>
void
Script<Policy>::takeOut(const std::string& aDataCentre)
{
  World& world = m_session.world();
  world.document()["data_centres"][aDataCentre]["state"] = "out";
  m_session.publish();
  m_session.record().setOut(aDataCentre, now());
  m_session.record().addChangeOfDataCentre({ now(), now() + kDcChangeTail });
  for (const auto& machine : world.machines()) {
    if (machine->m_dataCentre == aDataCentre) {
      machine->m_outSince = now();
      m_session.excludeFromBalance(machine->m_name);
    }
  }
}

template<HostPolicy Policy>
void
Script<Policy>::bringBack(const std::string& aDataCentre)
{
  World& world = m_session.world();
  world.document()["data_centres"][aDataCentre]["state"] = "in";
  m_session.publish();
  m_session.record().setBack(aDataCentre);
  m_session.record().addChangeOfDataCentre({ now(), now() + kDcChangeTail });
  for (const auto& machine : world.machines()) {
    if (machine->m_dataCentre == aDataCentre) {
      // While it was out the machine lost its callers and went cold.
      machine->m_flows.clear();
      startCold(*machine, Millis{ 0 });
    }
  }
}

template<HostPolicy Policy>
void
Script<Policy>::reuseAddress()
{
  World& world = m_session.world();
  const DeploymentShape& shape = world.shape();
  Machine* machine = nullptr;
  for (const auto& candidate : world.machines()) {
    if (candidate->m_service == shape.m_side.m_name) {
      machine = candidate.get();
    }
  }
  Json& sidePool = world.document()["teams"][shape.m_side.m_team]["pools"][shape.m_side.m_name];
  sidePool["upstreams"].erase(machine->m_name);
  machine->m_retired = true;
  machine->m_up = false;
  machine->m_flows.clear();
  m_session.publish();
  // Operators wait before they give the address to another service.
  m_session.timeline().after(kReuseGap, [session = &m_session, machine, shape] {
    World& inner = session->world();
    Json& grants = inner.document()["grants"];
    Json sideNetworks = Json::array();
    for (const auto& other : inner.machines()) {
      if (other->m_service == shape.m_side.m_name && other.get() != machine) {
        sideNetworks.push_back(formatIpv4(other->m_address) + "/32");
      }
    }
    grants[shape.m_side.m_team]["upstream_networks"] = sideNetworks;
    grants[shape.m_main.m_team]["upstream_networks"].push_back(formatIpv4(machine->m_address) +
                                                               "/32");
    machine->m_service = shape.m_main.m_name;
    machine->m_name += "-reused";
    machine->m_generation = 2;
    machine->m_up = true;
    machine->m_isCold = true;
    machine->m_retired = false;
    session->excludeFromBalance(machine->m_name);
    inner.upstreamJson(*machine) = { { "address", formatIpv4(machine->m_address) },
                                     { "data_centre", machine->m_dataCentre },
                                     { "generation", 2 },
                                     { "state", "in" } };
    session->record().setCold(machine->m_name,
                              session->timeline().now(),
                              session->timeline().now() + kColdEnd,
                              kColdFlowsPerSecond);
    session->timeline().after(kColdEnd, [machine] { machine->m_isCold = false; });
    session->publish();
  });
}

} // namespace

template<HostPolicy Policy>
void
scheduleScenario(Session<Policy>& aSession, std::string_view aName)
{
  Script<Policy>(aSession).schedule(aName);
}

std::span<const ScenarioRow>
scenarioTable()
{
  return kTable;
}

template void
scheduleScenario(Session<node::Node>&, std::string_view);
template void
scheduleScenario(Session<BaselineNode>&, std::string_view);

} // namespace tamarack::session
