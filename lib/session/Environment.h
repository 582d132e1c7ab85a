// The simulated environment of the hosts: upstreams, the platform with its published documents, and
// network partitions between data centres.
#pragma once

#include "admission/Admission.h"
#include "session/Options.h"
#include "settings/SettingsDistributor.h"

#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

namespace tamarack::session {

using Json = nlohmann::json;

/// The true state of one upstream. The hosts' view of it may be outdated.
struct SimulatedUpstream
{
  std::string m_name;
  std::string m_service;
  std::string m_dataCentre;
  Ipv4 m_address;
  /// Part of the upstream's identity in the settings; it changes when the address is reused.
  uint32_t m_generation{ 1 };
  /// Number of the process run that the health endpoint reports.
  uint32_t m_incarnation{ 1 };
  bool m_isUp{ true };
  bool m_isCold{};
  /// The health endpoint always reports a warm upstream without connections.
  bool m_reportsFalseHealth{};
  /// Indices of the flows whose SYN has arrived and that have not ended.
  std::unordered_set<uint32_t> m_activeFlows;
  /// Operators removed the upstream from the settings. Flows that break on it afterwards count as
  /// ended by the operator.
  bool m_isRemoved{};
  /// Time at which operators last took the upstream's data centre out; zero if they never did.
  TimePoint m_dataCentreOutSince;
};

/// Test double of the platform: keeps every published revision of the settings and the host list.
class FakePlatform
{
public:
  void publishSettings(const Json& aDocument);
  void publishHosts(const Json& aDocument);
  /// Answers a watch request. If `aIsStale`, the settings are those before the newest revision and
  /// are sent even to a watcher that already has newer ones.
  [[nodiscard]] settings::PlatformResponse answer(const settings::WatchRequest& aRequest,
                                                  bool aIsStale) const;
  /// Whether the settings or the host list are newer than what the watcher already has.
  [[nodiscard]] bool hasNewerRevision(const settings::WatchRequest& aRequest) const;
  [[nodiscard]] const Json& document() const { return m_document; }
  [[nodiscard]] settings::Revision settingsRevision() const { return m_settingsRevisions.size(); }

  bool m_isUp{ true };
  /// Each answer has an even chance of carrying the previous revision of the settings.
  bool m_servesStale{};

private:
  Json m_document;
  /// Published documents as JSON text; the revision of an entry is its index plus one.
  std::vector<std::string> m_settingsRevisions;
  std::vector<std::string> m_hostListRevisions;
};

/// Parameters of one service of a deployment.
struct ServiceSpec
{
  std::string m_name;
  std::string m_team;
  std::string m_address;
  size_t m_upstreamCount{};
};

/// Data centres, services and network delay of a deployment.
struct DeploymentSpec
{
  std::vector<std::string> m_dataCentres;
  ServiceSpec m_mainService;
  ServiceSpec m_secondaryService;
  /// One-way delay between data centres, rounded up to the clock's resolution of 1 ms.
  Millis m_crossDataCentreDelay{};
};

[[nodiscard]] DeploymentSpec
deploymentSpec(Deployment aDeployment);

/// Pool limits in the simulated settings. The times are shorter than in production so that a run of
/// a few minutes covers whole cold starts and idle time-outs.
inline constexpr uint32_t kColdNewFlowsPerSecond = 20;
inline constexpr uint32_t kColdStartSeconds = 20;
inline constexpr uint32_t kIdleTimeoutSeconds = 20;

/// Everything outside the load balancer hosts except the callers.
class Environment
{
public:
  explicit Environment(const SimulationOptions& aOptions);

  [[nodiscard]] const DeploymentSpec& spec() const { return m_spec; }
  [[nodiscard]] FakePlatform& platform() { return m_platform; }
  [[nodiscard]] std::vector<std::unique_ptr<SimulatedUpstream>>& upstreams() { return m_upstreams; }
  [[nodiscard]] SimulatedUpstream* findUpstream(Ipv4 aAddress);
  [[nodiscard]] SimulatedUpstream* findUpstream(const std::string& aName);

  /// Creates an upstream and adds it to the service's pool in document(), without publishing it.
  SimulatedUpstream& addUpstream(const std::string& aService,
                                 const std::string& aName,
                                 const std::string& aDataCentre);
  /// The entry of an upstream in document().
  Json& upstreamJson(const SimulatedUpstream& aUpstream);
  /// The settings as edited by operators; hosts receive an edit only after publishSettings().
  Json& document() { return m_document; }
  void publishSettings() { m_platform.publishSettings(m_document); }

  /// What the health endpoint at `aAddress` answers to a probe that expects the upstream
  /// `aUpstream`. The report is unanswered if no running upstream has this address.
  [[nodiscard]] admission::UpstreamReport probe(const std::string& aServiceName,
                                                const std::string& aUpstreamName,
                                                Ipv4 aAddress,
                                                UpstreamId aUpstream);

  /// Whether there is a network path between two data centres.
  [[nodiscard]] bool isConnected(const std::string& aFrom, const std::string& aTo) const
  {
    return aFrom == aTo ||
           (!m_partitionedDataCentres.contains(aFrom) && !m_partitionedDataCentres.contains(aTo));
  }
  /// Whether callers on the network side of this data centre can reach any data centre that
  /// operators have not taken out.
  [[nodiscard]] bool canReachActiveDataCentre(const std::string& aCallerDataCentre) const;
  /// One-way delay between two data centres, or within one.
  [[nodiscard]] Millis networkDelay(const std::string& aFrom, const std::string& aTo) const
  {
    return aFrom == aTo ? Millis{ 1 } : m_spec.m_crossDataCentreDelay;
  }

  /// Data centres isolated by a partition; each reaches only itself.
  std::set<std::string> m_partitionedDataCentres;

private:
  /// The pool of a service in document().
  Json& poolEntry(const std::string& aService);

  DeploymentSpec m_spec;
  FakePlatform m_platform;
  Json m_document;
  std::vector<std::unique_ptr<SimulatedUpstream>> m_upstreams;
  /// Offset of the next upstream address from the first address of its network.
  uint32_t m_nextAddress{};
};

} // namespace tamarack::session
