// Definitions of the deployments, the initial settings document, and the answers of the simulated
// platform and health endpoints.
#include "session/Environment.h"

#include <algorithm>

namespace tamarack::session {

namespace {

constexpr uint32_t kFirstUpstreamAddress = (10U << 24U) + 1;
constexpr uint32_t kMaxConnections = 4000;

Json
poolJson()
{
  return {
    { "limits",
      { { "connections", kMaxConnections },
        { "slots", 4 },
        { "cold_start",
          { { "seconds", kColdStartSeconds }, { "new_flows_per_s", kColdNewFlowsPerSecond } } } } },
    { "idle_timeout_s", kIdleTimeoutSeconds },
    { "buckets", 1024 },
    { "upstreams", Json::object() }
  };
}

Json
serviceJson(const ServiceSpec& aSpec)
{
  return { { "address", aSpec.m_address }, { "ports", { 443 } }, { "pool", aSpec.m_name } };
}

Json
initialDocument(const DeploymentSpec& aSpec)
{
  Json document{ { "format", 1 }, { "seed", 42 } };
  for (const std::string& name : aSpec.m_dataCentres) {
    document["data_centres"][name] = { { "region", "one" }, { "state", "in" } };
  }
  uint32_t network = 0;
  for (const ServiceSpec* service : { &aSpec.m_mainService, &aSpec.m_secondaryService }) {
    Json& team = document["teams"][service->m_team];
    team["services"][service->m_name] = serviceJson(*service);
    team["pools"][service->m_name] = poolJson();
    const std::string range = "10." + std::to_string(network++) + ".0.0/16";
    // Each team is granted its own /16. The address-reuse scenario changes the grants when it moves
    // an address from one team to the other.
    document["grants"][service->m_team] = { { "addresses", { service->m_address } },
                                            { "upstream_networks", { range } } };
  }
  return document;
}

} // namespace

DeploymentSpec
deploymentSpec(Deployment aDeployment)
{
  if (aDeployment == Deployment::Ventura) {
    return { .m_dataCentres = { "recife", "fortaleza", "salvador", "natal" },
             .m_mainService = { "field", "field-team", "198.51.100.10", 14 },
             .m_secondaryService = { "manuals", "manuals-team", "198.51.100.20", 4 },
             .m_crossDataCentreDelay = Millis{ 2 } };
  }
  return { .m_dataCentres = { "nakuru", "naivasha", "eldama" },
           .m_mainService = { "burn-log", "burn-team", "198.51.100.30", 14 },
           .m_secondaryService = { "permits", "permit-team", "198.51.100.40", 4 },
           .m_crossDataCentreDelay = Millis{ 1 } };
}

void
FakePlatform::publishSettings(const Json& aDocument)
{
  m_document = aDocument;
  m_settingsRevisions.push_back(aDocument.dump());
}

void
FakePlatform::publishHosts(const Json& aDocument)
{
  m_hostListRevisions.push_back(aDocument.dump());
}

bool
FakePlatform::hasNewerRevision(const settings::WatchRequest& aRequest) const
{
  return aRequest.m_settingsRevision < m_settingsRevisions.size() ||
         aRequest.m_hostsRevision < m_hostListRevisions.size();
}

settings::PlatformResponse
FakePlatform::answer(const settings::WatchRequest& aRequest, bool aIsStale) const
{
  settings::PlatformResponse answer;
  answer.m_settingsRevision = m_settingsRevisions.size();
  answer.m_hostsRevision = m_hostListRevisions.size();
  if (aIsStale && m_settingsRevisions.size() > 1) {
    --answer.m_settingsRevision;
  }
  if (answer.m_settingsRevision > aRequest.m_settingsRevision || aIsStale) {
    answer.m_settings = m_settingsRevisions[answer.m_settingsRevision - 1];
  }
  if (answer.m_hostsRevision > aRequest.m_hostsRevision) {
    answer.m_hosts = m_hostListRevisions.back();
  }
  return answer;
}

Environment::Environment(const SimulationOptions& aOptions)
  : m_spec(deploymentSpec(aOptions.m_deployment))
  , m_document(initialDocument(m_spec))
{
  for (const ServiceSpec* service : { &m_spec.m_mainService, &m_spec.m_secondaryService }) {
    for (size_t index = 0; index < service->m_upstreamCount; ++index) {
      const std::string& dataCentre = m_spec.m_dataCentres[index % m_spec.m_dataCentres.size()];
      addUpstream(service->m_name, service->m_name + "-" + std::to_string(index + 1), dataCentre);
    }
  }
  publishSettings();
}

Json&
Environment::poolEntry(const std::string& aService)
{
  const ServiceSpec& spec =
    aService == m_spec.m_mainService.m_name ? m_spec.m_mainService : m_spec.m_secondaryService;
  return m_document["teams"][spec.m_team]["pools"][aService];
}

SimulatedUpstream&
Environment::addUpstream(const std::string& aService,
                         const std::string& aName,
                         const std::string& aDataCentre)
{
  const uint32_t network = aService == m_spec.m_mainService.m_name ? 0 : 1;
  auto upstream = std::make_unique<SimulatedUpstream>();
  upstream->m_name = aName;
  upstream->m_service = aService;
  upstream->m_dataCentre = aDataCentre;
  upstream->m_address = Ipv4{ kFirstUpstreamAddress + (network << 16U) + m_nextAddress++ };
  poolEntry(aService)["upstreams"][aName] = { { "address", formatIpv4(upstream->m_address) },
                                              { "data_centre", aDataCentre },
                                              { "generation", upstream->m_generation } };
  m_upstreams.push_back(std::move(upstream));
  return *m_upstreams.back();
}

Json&
Environment::upstreamJson(const SimulatedUpstream& aUpstream)
{
  return poolEntry(aUpstream.m_service)["upstreams"][aUpstream.m_name];
}

SimulatedUpstream*
Environment::findUpstream(Ipv4 aAddress)
{
  // The upstream is looked up by its current address instead of computing an index, since the
  // address-reuse scenario gives an existing address a new name and service.
  const auto found = std::ranges::find_if(
    m_upstreams, [&](const auto& aUpstream) { return aUpstream->m_address == aAddress; });
  return found == m_upstreams.end() ? nullptr : found->get();
}

SimulatedUpstream*
Environment::findUpstream(const std::string& aName)
{
  const auto found = std::ranges::find_if(
    m_upstreams, [&](const auto& aUpstream) { return aUpstream->m_name == aName; });
  return found == m_upstreams.end() ? nullptr : found->get();
}

bool
Environment::canReachActiveDataCentre(const std::string& aCallerDataCentre) const
{
  return std::ranges::any_of(m_spec.m_dataCentres, [&](const std::string& aName) {
    const bool isIn = m_document.at("data_centres").at(aName).at("state") == "in";
    return isIn && isConnected(aCallerDataCentre, aName);
  });
}

admission::UpstreamReport
Environment::probe(const std::string& aServiceName,
                   const std::string& aUpstreamName,
                   Ipv4 aAddress,
                   UpstreamId aUpstream)
{
  admission::UpstreamReport report{ .m_service = settings::makeServiceId(aServiceName),
                                    .m_upstream = aUpstream };
  const SimulatedUpstream* upstream = findUpstream(aAddress);
  if (upstream == nullptr || !upstream->m_isUp) {
    return report;
  }
  report.m_answered = true;
  report.m_identityMatches = settings::makeUpstreamId(upstream->m_service,
                                                      upstream->m_name,
                                                      upstream->m_address,
                                                      upstream->m_generation) == aUpstream &&
                             upstream->m_name == aUpstreamName;
  report.m_claimsCold = upstream->m_isCold && !upstream->m_reportsFalseHealth;
  report.m_run = upstream->m_incarnation;
  report.m_connections =
    upstream->m_reportsFalseHealth ? 0 : static_cast<uint32_t>(upstream->m_activeFlows.size());
  return report;
}

} // namespace tamarack::session
