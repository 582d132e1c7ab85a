// The platform's routers: readiness checks of the hosts, and a steady hash over those in rotation.
#pragma once

#include "Loop.h"
#include "Record.h"
#include "Sockets.h"
#include "Wire.h"

#include <map>
#include <vector>

namespace review {

class Router
{
public:
  Router(Loop& aLoop, Record& aRecord, uint16_t aReadinessPort);

  /// Begins to check a host of a zone. It is in rotation once it is ready.
  void addHost(const std::string& aZone, uint32_t aHost);
  [[nodiscard]] bool isInRotation(uint32_t aHost) const;
  /// Returns the host of the client's zone that takes a packet of a flow; 0 if the zone has none.
  [[nodiscard]] uint32_t select(const std::string& aZone, const FlowKey& aFlow) const;

private:
  struct Host
  {
    std::string m_zone;
    uint32_t m_address{};
    bool m_isInRotation{};
    int m_misses{};
  };

  void check(Host& aHost);
  void onResult(Host& aHost, bool aIsReady);

  Loop& m_loop;
  Record& m_record;
  uint16_t m_readinessPort;
  std::map<uint32_t, Host> m_hosts;
};

} // namespace review
