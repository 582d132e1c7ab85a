// Discrete-event simulation of a fleet of load balancer hosts. The hosts run the production
// decision code (or the baseline); the network, callers, upstreams and platform are simulated. The
// decision code is a template parameter.
#pragma once

#include "node/Node.h"
#include "session/Baseline.h"
#include "session/Callers.h"
#include "wire/Codec.h"

#include <concepts>
#include <memory>

namespace tamarack::session {

/// Interface of the decision code of a host.
template<typename T>
concept HostPolicy =
  requires(T aHost, TimePoint aNow, node::PacketArrival aArrival, node::Frame aFrame)
{
  {
    aHost.decide(aNow, aArrival)
    } -> std::same_as<node::Decision>;
  {
    aHost.takeFrames(aNow)
    } -> std::same_as<std::vector<node::OutgoingFrame>>;
  {
    aHost.probeTargets(aNow)
    } -> std::same_as<std::vector<node::ProbeTarget>>;
  {
    aHost.hasLeft()
    } -> std::same_as<bool>;
  {
    aHost.events()
    } -> std::same_as<EventLog&>;
  aHost.tick(aNow);
  aHost.onFrame(aNow, aFrame);
  aHost.startLeaving(aNow);
};

/// Loss and delay variation of the control frames between hosts.
struct LinkQuality
{
  uint32_t m_lossPercent{};
  /// Upper bound of the random extra delay of a frame.
  Millis m_jitter{};
};

template<HostPolicy Policy>
class Simulation
{
public:
  explicit Simulation(const SimulationOptions& aOptions);

  /// Runs the simulation to its end and returns the metrics.
  SimulationMetrics run();

  // Interface for the scenarios. Hosts are identified by their index in the order of creation.
  [[nodiscard]] EventScheduler& scheduler() { return m_scheduler; }
  [[nodiscard]] Environment& environment() { return m_environment; }
  [[nodiscard]] MetricsCollector& collector() { return m_collector; }
  [[nodiscard]] Callers& callers() { return m_callers; }
  [[nodiscard]] std::mt19937_64& random() { return m_random; }
  [[nodiscard]] LinkQuality& links() { return m_links; }
  [[nodiscard]] const SimulationOptions& options() const { return m_options; }
  /// Hosts that are running, not shutting down, and not partitioned.
  [[nodiscard]] std::vector<size_t> availableHosts() const;
  /// Starts a new host; the fabric sends it no packets until addToFabric().
  void addHost();
  [[nodiscard]] size_t hostCount() const { return m_hosts.size(); }
  /// Makes the fabric send packets to a newly started host after kFabricJoinDelay.
  void addToFabric(size_t aHost);
  /// Stops a host without notice; the fabric and the host list follow after their detection times.
  void crashHost(size_t aHost);
  void restartHost(size_t aHost);
  /// Lists a host as leaving and lets its decision code hand over before the process ends.
  void stopHostGracefully(size_t aHost);
  /// Suspends the process of a host; its input is processed when it resumes.
  void pauseHost(size_t aHost, Millis aTime);
  /// Cuts a host off from the other hosts and the platform, or reconnects it. It still reaches
  /// upstreams and callers.
  void setHostPartitioned(size_t aHost, bool aIsPartitioned);
  void setDataCentrePartitioned(const std::string& aDataCentre, bool aIsPartitioned);
  /// Delays the application of settings on each existing host by a random time below `aMaxDelay`.
  void setRandomSettingsDelays(Millis aMaxDelay);
  void publishSettings();
  void publishHostList();
  /// Excludes an upstream that a scenario changed from the imbalance metric.
  void excludeFromImbalance(const std::string& aUpstream) { m_modifiedUpstreams.insert(aUpstream); }

private:
  struct Host
  {
    HostId m_id;
    std::string m_dataCentre;
    uint32_t m_incarnation{};
    /// Null after a crash.
    std::unique_ptr<Policy> m_policy;
    std::unique_ptr<EventLog> m_spreaderEvents;
    std::unique_ptr<settings::SettingsDistributor> m_settingsDistributor;
    bool m_alive{};
    bool m_isPartitioned{};
    bool m_leaving{};
    /// The fabric sends packets to this host.
    bool m_inFabric{};
    TimePoint m_pausedUntil;
    /// Time of the last start, end of a pause, or change of a partition of this host.
    TimePoint m_reachableSince;
    /// Time from the receipt of settings until the decision code gets them.
    Millis m_settingsDelay{};
    // Revisions that the decision code has received.
    settings::Revision m_appliedSettings{};
    settings::Revision m_appliedHostList{};
    /// Bytes of control traffic sent to other hosts.
    uint64_t m_controlBytes{};
    /// Open watch requests from peers, with the index of the peer.
    std::vector<std::pair<size_t, settings::WatchRequest>> m_peerWatches;
  };

  /// A watch request that the platform has not answered yet.
  struct PlatformWatch
  {
    size_t m_host{};
    settings::WatchRequest m_request;
    /// When the host sent the request.
    TimePoint m_since;
  };

  void startHost(size_t aHost);
  void tickHost(size_t aHost, uint32_t aIncarnation);
  void probeUpstreams(size_t aHost, uint32_t aIncarnation);
  void sendFrames(size_t aHost);
  void deliverFrame(size_t aFrom, size_t aTo, const node::Frame& aFrame);
  void startWatches(size_t aHost);
  void watchPlatform(size_t aHost, settings::WatchRequest aRequest);
  void watchPeer(size_t aHost, size_t aPeer, settings::WatchRequest aRequest);
  void answerPlatformWatches();
  void answerPeerWatches(size_t aPeer);
  void applySettings(size_t aHost);
  /// Calls applySettings() after the delay of this host, if it has one.
  void applySettingsAfterDelay(size_t aHost);
  /// Sends a packet of a caller through the fabric to a host.
  void sendPacket(uint32_t aFlow, PacketKind aKind);
  void onPacketArrival(size_t aHost,
                       uint32_t aFlow,
                       PacketKind aKind,
                       node::PacketArrival aArrival);
  /// Forwards, relays, retries or refuses the packet as the decision code chose.
  void executeDecision(size_t aHost,
                       uint32_t aFlow,
                       PacketKind aKind,
                       node::PacketArrival aArrival,
                       const node::Decision& aDecision);
  void forward(size_t aHost, uint32_t aFlow, PacketKind aKind, const node::Decision& aDecision);
  void traceDecision(size_t aHost, uint32_t aFlow, const node::Decision& aDecision);
  void traceEvents(size_t aHost);
  /// Runs an action on a host now, or at the end of its pause. The action is dropped if the host is
  /// down or has restarted by then.
  void runOnHost(size_t aHost, std::function<void()> aAction);
  /// Whether a host has been reachable long enough to have received the published settings.
  [[nodiscard]] bool hasReceivedUpdates(const Host& aHost) const;
  [[nodiscard]] bool canCommunicate(size_t aFrom, size_t aTo) const;
  [[nodiscard]] bool canReachPlatform(size_t aHost) const;
  [[nodiscard]] std::optional<size_t> findHost(HostId aHost) const;
  /// The host to which the fabric sends the next packet of a flow.
  [[nodiscard]] std::optional<size_t> pickHost(const Flow& aFlow);
  void measureImbalance(SimulationMetrics& aMetrics) const;

  SimulationOptions m_options;
  std::mt19937_64 m_random;
  EventScheduler m_scheduler;
  Environment m_environment;
  MetricsCollector m_collector;
  Callers m_callers;
  LinkQuality m_links;
  std::vector<Host> m_hosts;
  std::vector<PlatformWatch> m_platformWatches;
  /// Watch requests sent to the platform.
  uint64_t m_platformCalls{};
  uint32_t m_lastIncarnation{};
  /// When each revision of the settings was published.
  std::map<settings::Revision, TimePoint> m_publishedAt;
  /// Names of the upstreams that do not count towards the imbalance.
  std::set<std::string> m_modifiedUpstreams;
};

/// Runs a simulation with the policy `tamarack` (node::Node) or `baseline` (BaselineNode).
[[nodiscard]] SimulationMetrics
runSimulation(const SimulationOptions& aOptions, std::string_view aPolicy);

} // namespace tamarack::session
