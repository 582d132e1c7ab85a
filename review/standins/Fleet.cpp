// Starts and ends the processes, and writes what operators write.
#include "Fleet.h"

#include <algorithm>
#include <csignal>
#include <fcntl.h>
#include <random>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr uint16_t kDataPort = 28172;
constexpr uint16_t kReadinessPort = 28167;
constexpr uint16_t kControlPort = 28166;
constexpr uint16_t kMetricsPort = 29464;
constexpr uint16_t kPeerPort = 27720;
constexpr uint16_t kStorePort = 28169;

// Networks of the machines, the third byte of their addresses.
constexpr uint32_t kStoreNet = 1;
constexpr uint32_t kHostNet = 2;
constexpr uint32_t kServerNet = 3;
constexpr uint32_t kClientNet = 4;
constexpr uint32_t kRouteNet = 5;

constexpr size_t kSeeds = 3;

std::string
quote(const std::string& aText)
{
  return "\"" + aText + "\"";
}

} // namespace

Fleet::Fleet(Loop& aLoop, Record& aRecord, FleetOptions aOptions)
  : m_loop(aLoop)
  , m_record(aRecord)
  , m_options(std::move(aOptions))
  , m_router(aLoop, aRecord, kReadinessPort)
{
  findFreeNetwork();
  m_store = std::make_unique<Store>(m_loop, SocketAddress{ address(kStoreNet, 1), kStorePort });
}

Fleet::~Fleet()
{
  for (const Host& host : m_hosts) {
    if (host.m_process > 0) {
      ::kill(host.m_process, SIGKILL);
      ::waitpid(host.m_process, nullptr, 0);
    }
  }
}

void
Fleet::findFreeNetwork()
{
  std::random_device random;
  for (int attempt = 0; attempt < 50; ++attempt) {
    m_lane = 20 + random() % 200;
    const uint32_t host = address(kHostNet, 1);
    if (isFree({ address(kStoreNet, 1), kStorePort }, SOCK_STREAM) &&
        isFree({ host, kReadinessPort }, SOCK_STREAM) &&
        isFree({ host, kControlPort }, SOCK_STREAM) &&
        isFree({ host, kMetricsPort }, SOCK_STREAM) && isFree({ host, kDataPort }, SOCK_DGRAM) &&
        isFree({ host, kPeerPort }, SOCK_DGRAM)) {
      return;
    }
  }
  throw std::runtime_error("no free ports on loopback addresses");
}

void
Fleet::addHost(const std::string& aZone)
{
  const auto number = static_cast<uint32_t>(m_hosts.size()) + 1;
  m_hosts.push_back({ .m_zone = aZone, .m_address = address(kHostNet, number) });
  startProcess(number);
  m_router.addHost(aZone, m_hosts.back().m_address);
}

void
Fleet::startProcess(size_t aNumber)
{
  Host& host = m_hosts[aNumber - 1];
  const std::string name = m_options.m_folder + "/host-" + std::to_string(aNumber);
  const auto at = [&host](uint16_t aPort) {
    return quote(formatSocketAddress({ host.m_address, aPort }));
  };
  std::string seeds;
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    seeds += (seed == 1 ? "" : ",") +
             quote(formatSocketAddress({ address(kHostNet, seed), kControlPort }));
  }
  // The values that deploy/edge.json.template takes from the platform.
  std::ofstream(name + ".json") << "{\"host\":\"frontend-" << host.m_zone << "-" << aNumber
                                << "\",\"data_centre\":" << quote(host.m_zone)
                                << ",\"packets\":" << at(kDataPort)
                                << ",\"readiness\":" << at(kReadinessPort)
                                << ",\"readiness_path\":\"/-/ready\",\"control\":"
                                << at(kControlPort) << ",\"metrics\":" << at(kMetricsPort)
                                << ",\"peer_port\":" << kPeerPort << ",\"store\":"
                                << quote(formatSocketAddress({ address(kStoreNet, 1), kStorePort }))
                                << ",\"seeds\":[" << seeds
                                << "],\"stop_limit_s\":6,\"cold_factor\":\"1.5\",\"cold_slack\":"
                                   "\"5\",\"cpu_share\":\"0.25\"}\n";
  host.m_process = ::fork();
  if (host.m_process == 0) {
    // The host ends with the scenario, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = ::open((name + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    const std::string settings = name + ".json";
    ::execl(m_options.m_program.c_str(),
            m_options.m_program.c_str(),
            "--config",
            settings.c_str(),
            static_cast<char*>(nullptr));
    ::_exit(127);
  }
  m_record.add("host " + std::to_string(aNumber) + " (" + formatAddress(host.m_address) +
               ", zone " + host.m_zone + ") is started");
}

void
Fleet::killHost(size_t aNumber)
{
  Host& host = m_hosts[aNumber - 1];
  m_record.add("host " + std::to_string(aNumber) + " is killed");
  ::kill(host.m_process, SIGKILL);
  ::waitpid(host.m_process, nullptr, 0);
  host.m_process = -1;
}

void
Fleet::restartHost(size_t aNumber)
{
  startProcess(aNumber);
}

void
Fleet::cutOneWay(const std::string& aFrom, const std::string& aTo)
{
  std::set<uint32_t> hosts;
  for (const Host& host : m_hosts) {
    if (host.m_zone == aFrom) {
      hosts.insert(host.m_address);
    }
  }
  for (const auto& server : m_servers) {
    if (server->options().m_zone == aTo) {
      server->loseFrom(hosts);
    }
  }
  m_record.add("nothing passes from " + aFrom + " to " + aTo);
}

void
Fleet::healOneWay(const std::string& aFrom, const std::string& aTo)
{
  for (const auto& server : m_servers) {
    if (server->options().m_zone == aTo) {
      server->loseFrom({});
    }
  }
  m_record.add("packets pass from " + aFrom + " to " + aTo + " again");
}

bool
Fleet::areHostsRunning()
{
  return std::ranges::all_of(m_hosts, [](Host& aHost) {
    if (aHost.m_process > 0 && ::waitpid(aHost.m_process, nullptr, WNOHANG) == aHost.m_process) {
      aHost.m_process = -1;
      return false;
    }
    return true;
  });
}

bool
Fleet::areHostsInRotation() const
{
  return std::ranges::all_of(
    m_hosts, [this](const Host& aHost) { return m_router.isInRotation(aHost.m_address); });
}

Server&
Fleet::addServer(const std::string& aService,
                 const std::string& aZone,
                 int64_t aWorkMs,
                 size_t aMaxFlows)
{
  const auto number = static_cast<uint32_t>(m_servers.size()) + 1;
  m_servers.push_back(std::make_unique<Server>(
    m_loop,
    *m_store,
    m_record,
    ServerOptions{ .m_id = static_cast<uint32_t>(mix(number, std::random_device{}())),
                   .m_service = aService,
                   .m_zone = aZone,
                   .m_address = { address(kServerNet, number), kDataPort },
                   .m_workMs = aWorkMs,
                   .m_maxFlows = aMaxFlows }));
  return *m_servers.back();
}

Client&
Fleet::addClient(const std::string& aZone)
{
  const auto number = static_cast<uint32_t>(m_clients.size()) + 1;
  m_clients.push_back(
    std::make_unique<Client>(m_loop,
                             m_router,
                             m_record,
                             ClientOptions{ .m_address = address(kClientNet, number),
                                            .m_zone = aZone,
                                            .m_dataPort = kDataPort,
                                            .m_route = address(kRouteNet, 1) }));
  return *m_clients.back();
}

void
Fleet::configure(int aVersion,
                 const std::vector<RouteOptions>& aRoutes,
                 const std::vector<ServiceOptions>& aServices)
{
  std::string routes;
  for (const RouteOptions& route : aRoutes) {
    routes += (routes.empty() ? "" : ",") + std::string("{\"name\":") + quote(route.m_name) +
              ",\"host\":" + quote(formatAddress(address(kRouteNet, 1))) + ",\"prefix\":\"/" +
              std::to_string(route.m_port) + "/\",\"type\":" + quote(route.m_kind) +
              R"(,"timeout_ms":2500,"slo_ms":250,"priority":2,"service":)" +
              quote(route.m_service) + ",\"max_attempts\":2}";
  }
  std::string services;
  for (const ServiceOptions& service : aServices) {
    services += (services.empty() ? "" : ",") + std::string("{\"name\":") + quote(service.m_name) +
                R"(,"health_path":"/health","max_conns":)" + std::to_string(service.m_maxFlows) +
                R"(,"proto":"h1","tls":false,"warmup_s":)" + service.m_warmUpSeconds +
                ",\"warmup_per_s\":" + service.m_warmUpPerSecond + "}";
  }
  m_store->put("op/config",
               "{\"version\":" + std::to_string(aVersion) + ",\"routes\":[" + routes +
                 "],\"services\":[" + services +
                 R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,)" +
                 R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})");
  m_record.add("operator: configuration " + std::to_string(aVersion) + " is acknowledged");
}

void
Fleet::evacuate(const std::string& aZone)
{
  m_store->put("op/evacuate/" + aZone, "{}");
  m_record.add("operator: evacuation of " + aZone + " is acknowledged");
}

void
Fleet::endEvacuation(const std::string& aZone)
{
  m_store->remove("op/evacuate/" + aZone);
  m_record.add("operator: evacuation of " + aZone + " is taken back");
}

const Server*
Fleet::findServer(const FlowKey& aFlow) const
{
  const auto found =
    std::ranges::find_if(m_servers, [&](const auto& aServer) { return aServer->isOpen(aFlow); });
  return found == m_servers.end() ? nullptr : found->get();
}

} // namespace review
