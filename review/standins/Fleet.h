// A small deployment on loopback: the store, real edge processes, the routers, endpoints and
// clients. Every machine has an address of its own; ports are the same on all machines.
#pragma once

#include "Client.h"
#include "Server.h"

#include <sys/types.h>

namespace review {

/// The settings of the deployment that a scenario needs.
struct FleetOptions
{
  /// The built program.
  std::string m_program;
  /// A folder for settings files and logs of the hosts.
  std::string m_folder;
};

struct RouteOptions
{
  std::string m_name;
  uint16_t m_port{};
  /// The kind of its requests, as in `safe` or `unsafe`.
  std::string m_kind;
  std::string m_service;
};

struct ServiceOptions
{
  std::string m_name;
  std::string m_warmUpSeconds{ "2.0" };
  std::string m_warmUpPerSecond{ "0.0" };
  size_t m_maxFlows{ 2000 };
};

class Fleet
{
public:
  Fleet(Loop& aLoop, Record& aRecord, FleetOptions aOptions);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Starts a host and lets the routers check it. Hosts have numbers from 1.
  void addHost(const std::string& aZone);
  /// Ends the process of a host by SIGKILL.
  void killHost(size_t aNumber);
  /// Starts the process of a host that was killed.
  void restartHost(size_t aNumber);
  /// Packets of the hosts of a zone no longer reach the endpoints of another one, or do so again.
  void cutOneWay(const std::string& aFrom, const std::string& aTo);
  void healOneWay(const std::string& aFrom, const std::string& aTo);
  /// Whether every host that was not killed is still running.
  [[nodiscard]] bool areHostsRunning();
  [[nodiscard]] bool areHostsInRotation() const;

  Server& addServer(const std::string& aService,
                    const std::string& aZone,
                    int64_t aWorkMs,
                    size_t aMaxFlows = 2000);
  Client& addClient(const std::string& aZone);
  /// Writes a configuration.
  void configure(int aVersion,
                 const std::vector<RouteOptions>& aRoutes,
                 const std::vector<ServiceOptions>& aServices);
  /// Gives or takes back the order to send nothing to a zone.
  void evacuate(const std::string& aZone);
  void endEvacuation(const std::string& aZone);

  [[nodiscard]] Store& store() { return *m_store; }
  [[nodiscard]] const std::vector<std::unique_ptr<Server>>& servers() const { return m_servers; }
  [[nodiscard]] const std::vector<std::unique_ptr<Client>>& clients() const { return m_clients; }
  /// Returns the endpoint that has a flow open; null if there is none.
  [[nodiscard]] const Server* findServer(const FlowKey& aFlow) const;

private:
  struct Host
  {
    std::string m_zone;
    uint32_t m_address{};
    pid_t m_process{ -1 };
  };

  /// Returns an address of the network of this run.
  [[nodiscard]] uint32_t address(uint32_t aNet, uint32_t aNumber) const
  {
    return 0x7f000000 | m_lane << 16 | aNet << 8 | aNumber;
  }
  void startProcess(size_t aNumber);
  /// Finds a loopback network in which the ports are free.
  void findFreeNetwork();

  Loop& m_loop;
  Record& m_record;
  FleetOptions m_options;
  uint32_t m_lane{};
  std::unique_ptr<Store> m_store;
  Router m_router;
  std::vector<Host> m_hosts;
  std::vector<std::unique_ptr<Server>> m_servers;
  std::vector<std::unique_ptr<Client>> m_clients;
};

} // namespace review
