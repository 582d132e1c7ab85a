// Simulated network between hosts, callers, upstreams and the platform, and the life cycle of the
// hosts.
#include "session/Simulation.h"

#include "session/Scenarios.h"

#include <algorithm>

namespace tamarack::session {

namespace {

constexpr uint32_t kFirstHostAddress = (172U << 24U) + (16U << 16U) + 1;
// One-way delays.
constexpr Millis kFabricDelay{ 1 };
constexpr Millis kPlatformDelay{ 3 };
/// Interval at which the platform checks its open watch requests.
constexpr Millis kPlatformAnswerInterval{ 50 };
constexpr Millis kProbeInterval{ 500 };
/// Time from a crash until the fabric stops sending packets to the host.
constexpr Millis kFabricCrashDetectionTime{ 1000 };
/// Time from a crash until the platform publishes a host list without the host.
constexpr Millis kHostListCrashDetectionTime{ 30'000 };
/// Time from the restart of a host until the platform lists it.
constexpr Millis kHostListDelay{ 1000 };
/// Time from the start of a host until the fabric sends packets to it.
constexpr Millis kFabricJoinDelay{ 3000 };
/// A host receives published settings within this time after it becomes reachable.
constexpr Millis kPropagationTime{ 3000 };
/// Bytes of an HTTP/2 frame header, a length prefix, and the TCP and IP headers of one segment,
/// added to each control message.
constexpr uint64_t kFrameOverheadBytes = 9 + 4 + 52;

std::string
hostName(size_t aHost)
{
  return "host-" + std::to_string(aHost + 1);
}

std::string
joinNames(const std::vector<std::string>& aNames)
{
  std::string joined;
  for (const std::string& name : aNames) {
    joined += (joined.empty() ? "" : "+") + name;
  }
  return joined;
}

} // namespace

template<HostPolicy Policy>
Simulation<Policy>::Simulation(const SimulationOptions& aOptions)
  : m_options(aOptions)
  , m_random(aOptions.m_seed)
  , m_environment(m_options)
  , m_callers(m_options,
              m_environment,
              m_scheduler,
              m_collector,
              m_random,
              [this](uint32_t aFlow, PacketKind aKind) { sendPacket(aFlow, aKind); })
{
  m_publishedAt[1] = m_scheduler.now();
  for (size_t index = 0; index < m_options.m_hosts; ++index) {
    addHost();
    m_hosts[index].m_inFabric = true;
  }
  publishHostList();
}

template<HostPolicy Policy>
SimulationMetrics
Simulation<Policy>::run()
{
  for (const std::string& name : m_options.m_scenarios) {
    scheduleScenario(*this, name);
  }
  m_callers.start();
  m_scheduler.scheduleAfter(kPlatformAnswerInterval, [this] { answerPlatformWatches(); });
  const Millis duration(static_cast<int64_t>(m_options.m_minutes * 60'000));
  m_scheduler.runUntil(EventScheduler::kStart + duration);
  m_collector.computeServedShare();
  SimulationMetrics& metrics = m_collector.metrics();
  metrics.m_scenario = joinNames(m_options.m_scenarios);
  metrics.m_seed = m_options.m_seed;
  measureImbalance(metrics);
  uint64_t bytes = 0;
  for (const Host& host : m_hosts) {
    bytes += host.m_controlBytes;
  }
  const double seconds = std::chrono::duration<double>(duration).count();
  metrics.m_controlBytesPerHostSecond =
    static_cast<double>(bytes) / static_cast<double>(m_hosts.size()) / seconds;
  metrics.m_platformCallsPerSecond = static_cast<double>(m_platformCalls) / seconds;
  return metrics;
}

template<HostPolicy Policy>
std::vector<size_t>
Simulation<Policy>::availableHosts() const
{
  std::vector<size_t> available;
  for (size_t index = 0; index < m_hosts.size(); ++index) {
    const Host& host = m_hosts[index];
    if (host.m_alive && !host.m_leaving && !host.m_isPartitioned) {
      available.push_back(index);
    }
  }
  return available;
}

template<HostPolicy Policy>
void
Simulation<Policy>::addHost()
{
  const size_t index = m_hosts.size();
  Host host;
  host.m_id = HostId{ kFirstHostAddress + static_cast<uint32_t>(index) };
  const auto& dataCentres = m_environment.spec().m_dataCentres;
  host.m_dataCentre = dataCentres[index % dataCentres.size()];
  m_hosts.push_back(std::move(host));
  startHost(index);
}

template<HostPolicy Policy>
void
Simulation<Policy>::startHost(size_t aHost)
{
  Host& host = m_hosts[aHost];
  host.m_alive = true;
  host.m_leaving = false;
  host.m_incarnation = ++m_lastIncarnation;
  host.m_reachableSince = m_scheduler.now();
  host.m_appliedSettings = 0;
  host.m_appliedHostList = 0;
  host.m_peerWatches.clear();
  node::NodeOptions options{ .m_self = host.m_id,
                             .m_dataCentre = host.m_dataCentre,
                             .m_incarnation = host.m_incarnation };
  for (size_t seed = 0; seed < std::min<size_t>(3, m_options.m_hosts); ++seed) {
    options.m_seeds.push_back(HostId{ kFirstHostAddress + static_cast<uint32_t>(seed) });
  }
  host.m_policy = std::make_unique<Policy>(options, m_scheduler.now());
  host.m_spreaderEvents = std::make_unique<EventLog>();
  host.m_settingsDistributor = std::make_unique<settings::SettingsDistributor>(
    settings::SettingsDistributorOptions{ .m_self = host.m_id,
                                          .m_dataCentre = host.m_dataCentre,
                                          .m_seeds = options.m_seeds,
                                          .m_jitterSeed = m_options.m_seed + host.m_incarnation },
    *host.m_spreaderEvents);
  const uint32_t incarnation = host.m_incarnation;
  const Millis offset(static_cast<int64_t>(aHost * 7 % 100));
  m_scheduler.scheduleAfter(offset, [this, aHost, incarnation] { tickHost(aHost, incarnation); });
  m_scheduler.scheduleAfter(offset + kProbeInterval,
                            [this, aHost, incarnation] { probeUpstreams(aHost, incarnation); });
}

template<HostPolicy Policy>
void
Simulation<Policy>::crashHost(size_t aHost)
{
  m_hosts[aHost].m_alive = false;
  m_hosts[aHost].m_policy.reset();
  m_scheduler.scheduleAfter(kFabricCrashDetectionTime,
                            [this, aHost] { m_hosts[aHost].m_inFabric = m_hosts[aHost].m_alive; });
  m_scheduler.scheduleAfter(kHostListCrashDetectionTime, [this] { publishHostList(); });
}

template<HostPolicy Policy>
void
Simulation<Policy>::restartHost(size_t aHost)
{
  startHost(aHost);
  m_scheduler.scheduleAfter(kHostListDelay, [this] { publishHostList(); });
  addToFabric(aHost);
}

template<HostPolicy Policy>
void
Simulation<Policy>::addToFabric(size_t aHost)
{
  m_scheduler.scheduleAfter(kFabricJoinDelay, [this, aHost] { m_hosts[aHost].m_inFabric = true; });
}

template<HostPolicy Policy>
void
Simulation<Policy>::stopHostGracefully(size_t aHost)
{
  m_hosts[aHost].m_leaving = true;
  publishHostList();
  runOnHost(aHost, [this, aHost] { m_hosts[aHost].m_policy->startLeaving(m_scheduler.now()); });
}

template<HostPolicy Policy>
void
Simulation<Policy>::pauseHost(size_t aHost, Millis aTime)
{
  m_hosts[aHost].m_pausedUntil = m_scheduler.now() + aTime;
  m_hosts[aHost].m_reachableSince = m_hosts[aHost].m_pausedUntil;
}

template<HostPolicy Policy>
void
Simulation<Policy>::setHostPartitioned(size_t aHost, bool aIsPartitioned)
{
  m_hosts[aHost].m_isPartitioned = aIsPartitioned;
  m_hosts[aHost].m_reachableSince = m_scheduler.now();
}

template<HostPolicy Policy>
void
Simulation<Policy>::setDataCentrePartitioned(const std::string& aDataCentre, bool aIsPartitioned)
{
  if (aIsPartitioned) {
    m_environment.m_partitionedDataCentres.insert(aDataCentre);
  } else {
    m_environment.m_partitionedDataCentres.erase(aDataCentre);
  }
  for (Host& host : m_hosts) {
    if (host.m_dataCentre == aDataCentre) {
      host.m_reachableSince = m_scheduler.now();
    }
  }
}

template<HostPolicy Policy>
bool
Simulation<Policy>::hasReceivedUpdates(const Host& aHost) const
{
  const bool isPartitioned =
    aHost.m_isPartitioned || m_environment.m_partitionedDataCentres.contains(aHost.m_dataCentre);
  return !isPartitioned && m_scheduler.now() >= aHost.m_reachableSince + kPropagationTime;
}

template<HostPolicy Policy>
void
Simulation<Policy>::setRandomSettingsDelays(Millis aMaxDelay)
{
  for (Host& host : m_hosts) {
    host.m_settingsDelay =
      Millis(static_cast<int64_t>(m_random() % static_cast<uint64_t>(aMaxDelay.count())));
  }
}

template<HostPolicy Policy>
void
Simulation<Policy>::publishSettings()
{
  m_environment.publishSettings();
  m_publishedAt[m_environment.platform().settingsRevision()] = m_scheduler.now();
}

template<HostPolicy Policy>
void
Simulation<Policy>::publishHostList()
{
  Json hosts = Json::array();
  for (const Host& host : m_hosts) {
    if (host.m_alive) {
      hosts.push_back({ { "address", formatHost(host.m_id) },
                        { "data_centre", host.m_dataCentre },
                        { "state", host.m_leaving ? "leaving" : "live" } });
    }
  }
  m_environment.platform().publishHosts({ { "hosts", hosts } });
}

template<HostPolicy Policy>
void
Simulation<Policy>::runOnHost(size_t aHost, std::function<void()> aAction)
{
  Host& host = m_hosts[aHost];
  if (!host.m_alive) {
    return;
  }
  if (m_scheduler.now() >= host.m_pausedUntil) {
    aAction();
    return;
  }
  const uint32_t incarnation = host.m_incarnation;
  m_scheduler.scheduleAt(
    host.m_pausedUntil, [this, aHost, incarnation, action = std::move(aAction)] {
      if (m_hosts[aHost].m_alive && m_hosts[aHost].m_incarnation == incarnation) {
        action();
      }
    });
}

template<HostPolicy Policy>
void
Simulation<Policy>::tickHost(size_t aHost, uint32_t aIncarnation)
{
  if (!m_hosts[aHost].m_alive || m_hosts[aHost].m_incarnation != aIncarnation) {
    return;
  }
  m_scheduler.scheduleAfter(node::kTickInterval,
                            [this, aHost, aIncarnation] { tickHost(aHost, aIncarnation); });
  // Ticks that fall into a pause are skipped and not made up for afterwards.
  if (m_scheduler.now() < m_hosts[aHost].m_pausedUntil) {
    return;
  }
  Host& host = m_hosts[aHost];
  host.m_policy->tick(m_scheduler.now());
  startWatches(aHost);
  sendFrames(aHost);
  traceEvents(aHost);
  if (host.m_leaving && host.m_policy->hasLeft()) {
    host.m_inFabric = false;
    // The process stays up for another second to handle frames and packets in flight.
    m_scheduler.scheduleAfter(Millis{ 1000 }, [this, aHost, aIncarnation] {
      if (m_hosts[aHost].m_incarnation == aIncarnation) {
        m_hosts[aHost].m_alive = false;
        publishHostList();
      }
    });
  }
}

template<HostPolicy Policy>
void
Simulation<Policy>::traceEvents(size_t aHost)
{
  const std::vector<Event> events = m_hosts[aHost].m_policy->events().takeUnlogged();
  if (!m_options.m_traceEvents || m_options.m_trace == nullptr) {
    return;
  }
  for (const Event& event : events) {
    *m_options.m_trace << m_scheduler.elapsed().count() << " " << hostName(aHost) << " "
                       << static_cast<int>(event.m_id) << " " << eventName(event.m_id) << ": "
                       << event.m_text << "\n";
  }
}

template<HostPolicy Policy>
void
Simulation<Policy>::probeUpstreams(size_t aHost, uint32_t aIncarnation)
{
  Host& host = m_hosts[aHost];
  if (!host.m_alive || host.m_incarnation != aIncarnation) {
    return;
  }
  m_scheduler.scheduleAfter(kProbeInterval,
                            [this, aHost, aIncarnation] { probeUpstreams(aHost, aIncarnation); });
  if (m_scheduler.now() < host.m_pausedUntil) {
    return;
  }
  for (const node::ProbeTarget& target : host.m_policy->probeTargets(m_scheduler.now())) {
    const SimulatedUpstream* upstream = m_environment.findUpstream(target.m_address);
    const std::string& location = upstream == nullptr ? host.m_dataCentre : upstream->m_dataCentre;
    const Millis delay = m_environment.networkDelay(host.m_dataCentre, location);
    m_scheduler.scheduleAfter(delay, [this, aHost, target, delay, location] {
      admission::UpstreamReport report{ .m_service = target.m_service,
                                        .m_upstream = target.m_upstream };
      if (m_environment.isConnected(m_hosts[aHost].m_dataCentre, location)) {
        report = m_environment.probe(
          target.m_serviceName, target.m_upstreamName, target.m_address, target.m_upstream);
      }
      m_scheduler.scheduleAfter(delay, [this, aHost, report] {
        runOnHost(aHost, [this, aHost, report] {
          m_hosts[aHost].m_policy->onProbeResult(m_scheduler.now(), report);
        });
      });
    });
  }
}

template<HostPolicy Policy>
void
Simulation<Policy>::sendFrames(size_t aHost)
{
  for (const node::OutgoingFrame& outgoing :
       m_hosts[aHost].m_policy->takeFrames(m_scheduler.now())) {
    const auto bytes = wire::encodeFrame(outgoing.m_frame);
    const auto to = findHost(outgoing.m_to);
    if (!to) {
      continue;
    }
    // Frames to an unreachable host are not counted: without a connection nothing is sent.
    if (m_hosts[*to].m_alive && canCommunicate(aHost, *to)) {
      m_hosts[aHost].m_controlBytes += bytes.size() + kFrameOverheadBytes;
    }
    deliverFrame(aHost, *to, outgoing.m_frame);
  }
}

template<HostPolicy Policy>
void
Simulation<Policy>::deliverFrame(size_t aFrom, size_t aTo, const node::Frame& aFrame)
{
  if (m_random() % 100 < m_links.m_lossPercent) {
    return;
  }
  Millis delay = m_environment.networkDelay(m_hosts[aFrom].m_dataCentre, m_hosts[aTo].m_dataCentre);
  if (m_links.m_jitter > Millis{ 0 }) {
    delay +=
      Millis(static_cast<int64_t>(m_random() % static_cast<uint64_t>(m_links.m_jitter.count())));
  }
  m_scheduler.scheduleAfter(delay, [this, aFrom, aTo, aFrame] {
    if (!canCommunicate(aFrom, aTo)) {
      return;
    }
    runOnHost(aTo, [this, aTo, aFrame] {
      m_hosts[aTo].m_policy->onFrame(m_scheduler.now(), aFrame);
      sendFrames(aTo);
    });
  });
}

template<HostPolicy Policy>
void
Simulation<Policy>::startWatches(size_t aHost)
{
  Host& host = m_hosts[aHost];
  if (const auto [peer, revision] = host.m_policy->peerWithNewerSettings(); peer) {
    host.m_settingsDistributor->onPeerRevision(peer, revision);
  }
  for (const auto& [source, request] :
       host.m_settingsDistributor->takeDueWatches(m_scheduler.now())) {
    if (source.isPlatform()) {
      watchPlatform(aHost, request);
      continue;
    }
    const auto peer = findHost(source.m_host);
    if (peer && m_hosts[*peer].m_alive && canCommunicate(aHost, *peer)) {
      watchPeer(aHost, *peer, request);
    } else {
      host.m_settingsDistributor->onFailure(m_scheduler.now(), source);
    }
  }
  answerPeerWatches(aHost);
}

template<HostPolicy Policy>
void
Simulation<Policy>::watchPlatform(size_t aHost, settings::WatchRequest aRequest)
{
  ++m_platformCalls;
  if (!canReachPlatform(aHost)) {
    m_hosts[aHost].m_settingsDistributor->onFailure(m_scheduler.now(), {});
    return;
  }
  m_platformWatches.push_back({ aHost, aRequest, m_scheduler.now() });
}

template<HostPolicy Policy>
void
Simulation<Policy>::answerPlatformWatches()
{
  m_scheduler.scheduleAfter(kPlatformAnswerInterval, [this] { answerPlatformWatches(); });
  FakePlatform& platform = m_environment.platform();
  if (!platform.m_isUp) {
    m_platformWatches.clear();
    return;
  }
  std::vector<PlatformWatch> waiting;
  std::swap(waiting, m_platformWatches);
  for (const PlatformWatch& watch : waiting) {
    const bool isDue = m_scheduler.now() - watch.m_since >= settings::kLongPollTimeout;
    if (!isDue && !platform.hasNewerRevision(watch.m_request)) {
      m_platformWatches.push_back(watch);
      continue;
    }
    const bool isStale = platform.m_servesStale && m_random() % 2 == 0;
    const auto answer = platform.answer(watch.m_request, isStale);
    const size_t index = watch.m_host;
    m_scheduler.scheduleAfter(kPlatformDelay, [this, index, answer] {
      if (!canReachPlatform(index)) {
        return;
      }
      runOnHost(index, [this, index, answer] {
        m_hosts[index].m_settingsDistributor->onPlatformResponse(m_scheduler.now(), answer);
        applySettingsAfterDelay(index);
      });
    });
  }
}

template<HostPolicy Policy>
void
Simulation<Policy>::watchPeer(size_t aHost, size_t aPeer, settings::WatchRequest aRequest)
{
  const Millis delay =
    m_environment.networkDelay(m_hosts[aHost].m_dataCentre, m_hosts[aPeer].m_dataCentre);
  m_hosts[aHost].m_controlBytes += kFrameOverheadBytes;
  m_scheduler.scheduleAfter(delay, [this, aHost, aPeer, aRequest] {
    if (canCommunicate(aHost, aPeer)) {
      runOnHost(aPeer, [this, aHost, aPeer, aRequest] {
        m_hosts[aPeer].m_peerWatches.emplace_back(aHost, aRequest);
        answerPeerWatches(aPeer);
      });
    }
  });
  // The peer answers a watch after kLongPollTimeout even if it has nothing newer. The largest host
  // list revision marks a request that is due.
  m_scheduler.scheduleAfter(settings::kLongPollTimeout, [this, aHost, aPeer, aRequest] {
    runOnHost(aPeer, [this, aHost, aPeer, aRequest] {
      auto& watches = m_hosts[aPeer].m_peerWatches;
      for (auto& [watcher, request] : watches) {
        if (watcher == aHost && request.m_settingsRevision == aRequest.m_settingsRevision) {
          request.m_hostsRevision = UINT64_MAX;
        }
      }
      answerPeerWatches(aPeer);
    });
  });
}

template<HostPolicy Policy>
void
Simulation<Policy>::answerPeerWatches(size_t aPeer)
{
  Host& peer = m_hosts[aPeer];
  std::vector<std::pair<size_t, settings::WatchRequest>> waiting;
  std::swap(waiting, peer.m_peerWatches);
  for (auto& [host, request] : waiting) {
    const bool isDue = request.m_hostsRevision == UINT64_MAX;
    if (!isDue && !peer.m_settingsDistributor->hasNewerState(request)) {
      peer.m_peerWatches.emplace_back(host, request);
      continue;
    }
    const std::string answer =
      peer.m_settingsDistributor->buildResponse(m_scheduler.now(), request);
    peer.m_controlBytes += answer.size() + kFrameOverheadBytes;
    const size_t watcher = host;
    const Millis delay =
      m_environment.networkDelay(peer.m_dataCentre, m_hosts[watcher].m_dataCentre);
    m_scheduler.scheduleAfter(delay, [this, watcher, aPeer, answer] {
      if (!canCommunicate(aPeer, watcher)) {
        return;
      }
      runOnHost(watcher, [this, watcher, aPeer, answer] {
        m_hosts[watcher].m_settingsDistributor->onPeerResponse(
          m_scheduler.now(), m_hosts[aPeer].m_id, answer);
        applySettingsAfterDelay(watcher);
      });
    });
  }
}

template<HostPolicy Policy>
void
Simulation<Policy>::applySettingsAfterDelay(size_t aHost)
{
  if (m_hosts[aHost].m_settingsDelay == Millis{ 0 }) {
    applySettings(aHost);
    return;
  }
  m_scheduler.scheduleAfter(m_hosts[aHost].m_settingsDelay, [this, aHost] {
    runOnHost(aHost, [this, aHost] { applySettings(aHost); });
  });
}

template<HostPolicy Policy>
void
Simulation<Policy>::applySettings(size_t aHost)
{
  Host& host = m_hosts[aHost];
  const settings::SettingsDistributor& distributor = *host.m_settingsDistributor;
  host.m_policy->onSettingsConfirmed(distributor.confirmedAt());
  if (distributor.hosts().m_revision > host.m_appliedHostList) {
    host.m_appliedHostList = distributor.hosts().m_revision;
    std::vector<membership::ListedHost> listed;
    for (const settings::HostEntry& entry : distributor.hosts().m_hosts) {
      listed.push_back({ entry.m_host, entry.m_dataCentre, entry.m_leaving });
    }
    host.m_policy->onHostList(m_scheduler.now(), listed);
  }
  if (!distributor.settings() || distributor.settings()->m_revision <= host.m_appliedSettings) {
    return;
  }
  const settings::Revision before = host.m_policy->revision();
  host.m_policy->onSettings(m_scheduler.now(),
                            distributor.settings(),
                            m_scheduler.now() - distributor.revisionFirstSeenAt());
  host.m_appliedSettings = host.m_policy->revision();
  m_collector.metrics().m_settingsReverts += host.m_appliedSettings < before ? 1 : 0;
  const bool isReachable =
    !host.m_isPartitioned && !m_environment.m_partitionedDataCentres.contains(host.m_dataCentre);
  const auto published = m_publishedAt.find(host.m_appliedSettings);
  if (isReachable && before > 0 && published != m_publishedAt.end()) {
    const TimePoint since = std::max(published->second, host.m_reachableSince);
    const double seconds = std::chrono::duration<double>(m_scheduler.now() - since).count();
    m_collector.metrics().m_maxSettingsDelaySeconds =
      std::max(m_collector.metrics().m_maxSettingsDelaySeconds, seconds);
  }
}

template<HostPolicy Policy>
bool
Simulation<Policy>::canCommunicate(size_t aFrom, size_t aTo) const
{
  const Host& from = m_hosts[aFrom];
  const Host& to = m_hosts[aTo];
  return !from.m_isPartitioned && !to.m_isPartitioned &&
         m_environment.isConnected(from.m_dataCentre, to.m_dataCentre);
}

template<HostPolicy Policy>
bool
Simulation<Policy>::canReachPlatform(size_t aHost) const
{
  const Host& host = m_hosts[aHost];
  return !host.m_isPartitioned &&
         !m_environment.m_partitionedDataCentres.contains(host.m_dataCentre);
}

template<HostPolicy Policy>
std::optional<size_t>
Simulation<Policy>::findHost(HostId aHost) const
{
  const size_t index = aHost.m_value - kFirstHostAddress;
  return index < m_hosts.size() ? std::optional(index) : std::nullopt;
}

template<HostPolicy Policy>
std::optional<size_t>
Simulation<Policy>::pickHost(const Flow& aFlow)
{
  std::vector<size_t> usable;
  for (size_t index = 0; index < m_hosts.size(); ++index) {
    const Host& host = m_hosts[index];
    if (host.m_inFabric && m_environment.isConnected(aFlow.m_callerDataCentre, host.m_dataCentre)) {
      usable.push_back(index);
    }
  }
  if (usable.empty()) {
    return std::nullopt;
  }
  if (m_options.m_sprayMode == SprayMode::PerPacket) {
    return usable[m_random() % usable.size()];
  }
  return usable[packet::flowId(aFlow.m_key, 0).m_value % usable.size()];
}

template<HostPolicy Policy>
void
Simulation<Policy>::sendPacket(uint32_t aFlow, PacketKind aKind)
{
  const auto host = pickHost(m_callers.flow(aFlow));
  if (!host) {
    return;
  }
  node::PacketArrival arrival;
  arrival.m_meta.m_flow = m_callers.flow(aFlow).m_key;
  arrival.m_meta.m_opensFlow = aKind == PacketKind::Syn;
  arrival.m_meta.m_endsFlow = aKind == PacketKind::Fin;
  m_scheduler.scheduleAfter(kFabricDelay, [this, host, aFlow, aKind, arrival] {
    onPacketArrival(*host, aFlow, aKind, arrival);
  });
}

template<HostPolicy Policy>
void
Simulation<Policy>::onPacketArrival(size_t aHost,
                                    uint32_t aFlow,
                                    PacketKind aKind,
                                    node::PacketArrival aArrival)
{
  runOnHost(aHost, [this, aHost, aFlow, aKind, aArrival] {
    const node::Decision decision = m_hosts[aHost].m_policy->decide(m_scheduler.now(), aArrival);
    traceDecision(aHost, aFlow, decision);
    executeDecision(aHost, aFlow, aKind, aArrival, decision);
  });
}

template<HostPolicy Policy>
void
Simulation<Policy>::executeDecision(size_t aHost,
                                    uint32_t aFlow,
                                    PacketKind aKind,
                                    node::PacketArrival aArrival,
                                    const node::Decision& aDecision)
{
  switch (aDecision.m_verdict) {
    case node::Verdict::Forward:
      forward(aHost, aFlow, aKind, aDecision);
      return;
    case node::Verdict::Relay: {
      const auto to = findHost(aDecision.m_relayTo);
      if (!to || !canCommunicate(aHost, *to)) {
        return;
      }
      ++aArrival.m_hops;
      aArrival.m_attempts = 0;
      aArrival.m_relayedService = aDecision.m_service;
      m_scheduler.scheduleAfter(
        m_environment.networkDelay(m_hosts[aHost].m_dataCentre, m_hosts[*to].m_dataCentre),
        [this, to, aFlow, aKind, aArrival] { onPacketArrival(*to, aFlow, aKind, aArrival); });
      return;
    }
    case node::Verdict::Retry:
      ++aArrival.m_attempts;
      m_scheduler.scheduleAfter(node::kRetryDelay, [this, aHost, aFlow, aKind, aArrival] {
        onPacketArrival(aHost, aFlow, aKind, aArrival);
      });
      return;
    case node::Verdict::Refuse: {
      const ErrorResponse answer = errorRow(aDecision.m_error).m_response;
      const bool canReachCaller = m_environment.isConnected(
        m_hosts[aHost].m_dataCentre, m_callers.flow(aFlow).m_callerDataCentre);
      if (answer != ErrorResponse::Drop && canReachCaller) {
        const bool claimsNotRun = answer == ErrorResponse::ResetFlowNotStarted;
        m_scheduler.scheduleAfter(
          kFabricDelay, [this, aFlow, claimsNotRun] { m_callers.onReset(aFlow, claimsNotRun); });
      }
      return;
    }
  }
}

template<HostPolicy Policy>
void
Simulation<Policy>::forward(size_t aHost,
                            uint32_t aFlow,
                            PacketKind aKind,
                            const node::Decision& aDecision)
{
  SimulatedUpstream* upstream = m_environment.findUpstream(aDecision.m_address);
  if (upstream == nullptr) {
    return;
  }
  const std::string from = m_hosts[aHost].m_dataCentre;
  const bool isExempt = !hasReceivedUpdates(m_hosts[aHost]);
  m_scheduler.scheduleAfter(m_environment.networkDelay(from, upstream->m_dataCentre),
                            [this, upstream, from, aFlow, aKind, isExempt] {
                              if (upstream->m_isUp &&
                                  m_environment.isConnected(from, upstream->m_dataCentre)) {
                                m_callers.onUpstreamPacket(aFlow, aKind, *upstream, isExempt);
                              }
                            });
}

template<HostPolicy Policy>
void
Simulation<Policy>::traceDecision(size_t aHost, uint32_t aFlow, const node::Decision& aDecision)
{
  if (m_options.m_tracedFlow == 0 || aFlow != m_options.m_tracedFlow) {
    return;
  }
  std::ostream& out = *m_options.m_trace;
  out << m_scheduler.elapsed().count() << " flow " << aFlow << " at " << hostName(aHost)
      << " bucket " << aDecision.m_bucket << ": ";
  switch (aDecision.m_verdict) {
    case node::Verdict::Forward: {
      const SimulatedUpstream* upstream = m_environment.findUpstream(aDecision.m_address);
      out << "forward to " << (upstream == nullptr ? "nobody" : upstream->m_name) << "\n";
      return;
    }
    case node::Verdict::Relay:
      out << "relay to " << hostName(*findHost(aDecision.m_relayTo)) << "\n";
      return;
    case node::Verdict::Retry:
      out << "wait, " << errorRow(aDecision.m_error).m_name << "\n";
      return;
    case node::Verdict::Refuse:
      out << "refuse, " << errorRow(aDecision.m_error).m_name << "\n";
      return;
  }
}

template<HostPolicy Policy>
void
Simulation<Policy>::measureImbalance(SimulationMetrics& aMetrics) const
{
  size_t total = 0;
  size_t busiest = 0;
  size_t upstreamCount = 0;
  for (const auto& [name, count] : m_callers.runningFlowsByUpstream()) {
    if (m_modifiedUpstreams.contains(name)) {
      continue;
    }
    total += count;
    busiest = std::max(busiest, count);
    ++upstreamCount;
  }
  if (total == 0) {
    return;
  }
  aMetrics.m_meanFlowsPerUpstream = static_cast<double>(total) / static_cast<double>(upstreamCount);
  aMetrics.m_imbalance = static_cast<double>(busiest) / aMetrics.m_meanFlowsPerUpstream;
}

SimulationMetrics
runSimulation(const SimulationOptions& aOptions, std::string_view aPolicy)
{
  SimulationMetrics metrics = aPolicy == "baseline" ? Simulation<BaselineNode>(aOptions).run()
                                                    : Simulation<node::Node>(aOptions).run();
  metrics.m_policy = std::string(aPolicy);
  return metrics;
}

template class Simulation<node::Node>;
template class Simulation<BaselineNode>;

} // namespace tamarack::session
