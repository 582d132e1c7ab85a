// A fleet of hosts that exchange statuses in memory and serve the flows of simulated callers. All
// hosts hold the same records: one service with upstreams in each data centre, and two routes.
#pragma once

#include "edge/Diagnostics.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <doctest/doctest.h>
#include <map>
#include <memory>
#include <set>

namespace tamarack::edge {

inline constexpr Millis kFleetTick{ 100 };
/// Size of the IPv4 and UDP headers in bytes.
inline constexpr uint64_t kDatagramOverhead = 28;
inline constexpr uint16_t kHighPort = 443;
inline constexpr uint16_t kLowPort = 444;
/// Time that a request takes. It is a multiple of kFleetTick.
inline constexpr Millis kWorkPerRequest{ 200 };
inline constexpr uint32_t kUpstreamsPerDataCentre = 10;

struct FleetOptions
{
  uint32_t m_dataCentres{ 3 };
  uint32_t m_hostsPerDataCentre{ 5 };
  uint32_t m_highPriority{ 1 };
  uint32_t m_lowPriority{ 2 };
  uint32_t m_slotsPerUpstream{ 4 };
  /// Services of which each has upstreams and two routes.
  uint32_t m_services{ 1 };
  Mechanisms m_mechanisms{};
};

inline registry::StoreUpdate
fleetRecords(const FleetOptions& aOptions)
{
  using registry::RecordKind;
  const registry::Revision revision{ .m_number = 9 };
  registry::StoreUpdate update{ .m_revision = { .m_number = 10 }, .m_isSnapshot = true };
  update.m_configuration =
    std::vector<registry::Change>{ { { RecordKind::Configuration, "" },
                                     revision,
                                     registry::ConfigurationRecord{ 4, Millis{ 15'000 } } } };
  uint32_t identity = 0;
  for (uint32_t index = 0; index < aOptions.m_services; ++index) {
    const std::string suffix = index == 0 ? "" : "-" + std::to_string(index);
    const auto addRoute = [&](const std::string& aName, uint16_t aPort, uint32_t aPriority) {
      update.m_configuration->push_back(
        { { RecordKind::Route, aName + suffix },
          revision,
          registry::RouteRecord{ .m_address = Ipv4{ 0xc6120001 },
                                 .m_port = static_cast<uint16_t>(aPort + 2 * index),
                                 .m_services = { { "reports" + suffix, 1 } },
                                 .m_priority = aPriority,
                                 .m_latencyObjective = Millis{ 300 },
                                 .m_deadline = Millis{ 900 } } });
    };
    addRoute("high", kHighPort, aOptions.m_highPriority);
    addRoute("low", kLowPort, aOptions.m_lowPriority);
    for (uint32_t upstream = 0; upstream < aOptions.m_dataCentres * kUpstreamsPerDataCentre;
         ++upstream) {
      ++identity;
      update.m_changes.push_back(
        { { RecordKind::Upstream, "i-" + std::to_string(identity) },
          revision,
          registry::UpstreamRecord{ .m_service = "reports" + suffix,
                                    .m_dataCentre =
                                      "dc-" + std::to_string(upstream % aOptions.m_dataCentres),
                                    .m_address = Ipv4{ 0x0a800000 + identity },
                                    .m_port = 80,
                                    .m_identity = identity,
                                    .m_slots = aOptions.m_slotsPerUpstream } });
    }
  }
  return update;
}

class Fleet
{
public:
  explicit Fleet(FleetOptions aOptions)
    : m_options(aOptions)
  {
    std::vector<HostId> seeds;
    for (uint32_t dataCentre = 0; dataCentre < m_options.m_dataCentres; ++dataCentre) {
      seeds.push_back(hostId(dataCentre, 0));
    }
    for (uint32_t dataCentre = 0; dataCentre < m_options.m_dataCentres; ++dataCentre) {
      for (uint32_t index = 0; index < m_options.m_hostsPerDataCentre; ++index) {
        const HostId self = hostId(dataCentre, index);
        m_hosts[self] = std::make_unique<Host>(
          HostOptions{ .m_peers = { .m_self = self,
                                    .m_dataCentre = "dc-" + std::to_string(dataCentre),
                                    .m_capacity = 38,
                                    .m_incarnation = 0x9abcdef0,
                                    .m_seeds = seeds },
                       .m_coldLimits = {},
                       .m_flowTableCapacity = 1024,
                       .m_seed = self.m_value,
                       .m_mechanisms = m_options.m_mechanisms });
        m_hosts[self]->onStoreAnswer(m_now, fleetRecords(m_options), false, m_now);
      }
    }
  }

  static HostId hostId(uint32_t aDataCentre, uint32_t aIndex)
  {
    return HostId{ 0x0a400001 + aDataCentre * 256 + aIndex };
  }
  static uint32_t dataCentreOf(HostId aHost) { return (aHost.m_value - 0x0a400001) / 256; }

  void run(Millis aTime)
  {
    for (const TimePoint end = m_now + aTime; m_now < end; m_now += kFleetTick) {
      for (auto& [self, host] : m_hosts) {
        if (m_stopped.contains(self)) {
          continue;
        }
        host->onActivity(m_now);
        host->tick(m_now);
        if (host->isReader() && m_isStoreUp) {
          host->peers().onStoreConfirmation(m_now);
        }
        sendStatuses(self, *host);
        completeRequests(self, *host);
        openFlows(self, *host);
        for (LogLine& line : host->takeLogLines(m_now)) {
          if (line.m_event < EventId::FlowOpened) {
            m_logLines[self].push_back(std::move(line));
          }
        }
      }
    }
  }

  /// Number of log lines of one event on one host.
  [[nodiscard]] auto countLogged(HostId aHost, EventId aEvent)
  {
    return std::ranges::count(m_logLines[aHost], aEvent, &LogLine::m_event);
  }

  /// Fields of the last log line of one event on one host.
  [[nodiscard]] std::string lastLogged(HostId aHost, EventId aEvent)
  {
    std::string fields;
    for (const LogLine& line : m_logLines[aHost]) {
      fields = line.m_event == aEvent ? line.m_fields : fields;
    }
    return fields;
  }

  /// Calls `aCheck` for each running host.
  template<typename Check>
  void forEachHost(const Check& aCheck)
  {
    for (const auto& [self, host] : m_hosts) {
      if (!m_stopped.contains(self)) {
        aCheck(self, *host);
      }
    }
  }

  [[nodiscard]] Host& host(HostId aHost) { return *m_hosts.at(aHost); }

  [[nodiscard]] HostId readerOf(uint32_t aDataCentre) const
  {
    for (const auto& [self, host] : m_hosts) {
      if (dataCentreOf(self) == aDataCentre && !m_stopped.contains(self) &&
          host->peers().isActiveReader(m_now)) {
        return self;
      }
    }
    return {};
  }

  TimePoint m_now{ Millis{ 50'000 } };
  bool m_isStoreUp{ true };
  std::set<HostId> m_stopped;
  /// Statuses from and to this data centre are lost.
  std::optional<uint32_t> m_cutOffDataCentre;
  /// New flows per second and host on each route; a multiple of 10.
  uint32_t m_flowsPerSecond{};
  /// Bytes of the statuses that each host sent and received, with headers.
  std::map<HostId, uint64_t> m_bytes;
  /// Flows by the port of the route.
  std::map<uint16_t, uint64_t> m_forwarded;
  std::map<uint16_t, uint64_t> m_rejected;

private:
  struct Request
  {
    TimePoint m_completedAt;
    steering::FlowPacket m_packet;
  };

  void sendStatuses(HostId aSelf, Host& aHost)
  {
    if (aHost.hasUnsentChanges()) {
      auto targets = aHost.peers().followers(m_now);
      if (targets.empty()) {
        targets = aHost.peers().readers(m_now);
      }
      if (!targets.empty()) {
        send(aSelf, aHost.makeStatus(m_now), targets);
        aHost.onStatusPushed();
      }
    }
    const auto targets = aHost.peers().dueTargets(m_now);
    if (!targets.empty()) {
      send(aSelf, aHost.makePeriodicStatus(m_now), targets);
    }
  }

  void send(HostId aFrom, std::span<const uint8_t> aBytes, std::span<const HostId> aTargets)
  {
    for (const HostId target : aTargets) {
      m_bytes[aFrom] += aBytes.size() + kDatagramOverhead;
      const bool isCutOff =
        m_cutOffDataCentre && dataCentreOf(aFrom) != dataCentreOf(target) &&
        (dataCentreOf(aFrom) == *m_cutOffDataCentre || dataCentreOf(target) == *m_cutOffDataCentre);
      if (isCutOff || m_stopped.contains(target) || !m_hosts.contains(target)) {
        continue;
      }
      m_bytes[target] += aBytes.size() + kDatagramOverhead;
      const auto status = dissemination::decodeStatus(aBytes);
      REQUIRE(status.ok());
      Host& receiver = *m_hosts[target];
      if (receiver.onStatus(m_now, *status).m_isReplyDue) {
        const std::array<HostId, 1> sender{ aFrom };
        send(target, receiver.makeAnswerStatus(m_now, status->m_dataCentre), sender);
      }
    }
  }

  void completeRequests(HostId aSelf, Host& aHost)
  {
    auto& requests = m_requests[aSelf];
    for (; !requests.empty() && requests.front().m_completedAt <= m_now; requests.pop_front()) {
      steering::FlowPacket packet = requests.front().m_packet;
      packet.m_sequence += packet.m_length;
      packet.m_acknowledged += 1000;
      packet.m_length = 0;
      (void)aHost.decide(m_now, packet);
      packet.m_isFinOrRst = true;
      (void)aHost.decide(m_now, packet);
    }
  }

  void openFlows(HostId aSelf, Host& aHost)
  {
    for (uint32_t index = 0; index < m_flowsPerSecond / 10; ++index) {
      for (uint32_t route = 0; route < 2 * m_options.m_services; ++route) {
        openFlow(aSelf, aHost, static_cast<uint16_t>(kHighPort + route));
      }
    }
  }

  void openFlow(HostId aSelf, Host& aHost, uint16_t aPort)
  {
    ++m_flows;
    const auto callerPort = static_cast<uint16_t>(1000 + m_flows % 60'000);
    steering::FlowPacket packet{ .m_flow = { Ipv4{ 0x64400001 + aSelf.m_value % 4096 },
                                             Ipv4{ 0xc6120001 },
                                             callerPort,
                                             aPort },
                                 .m_isSyn = true,
                                 .m_sequence = 100 };
    const steering::ForwardingDecision decision = aHost.decide(m_now, packet);
    if (decision.m_action != steering::Action::Forward) {
      ++m_rejected[aPort];
      return;
    }
    ++m_forwarded[aPort];
    packet.m_isSyn = false;
    packet.m_sequence = 101;
    packet.m_acknowledged = 1;
    packet.m_length = 200;
    packet.m_token = decision.m_token;
    (void)aHost.decide(m_now, packet);
    m_requests[aSelf].push_back({ m_now + kWorkPerRequest, packet });
  }

  FleetOptions m_options;
  std::map<HostId, std::unique_ptr<Host>> m_hosts;
  std::map<HostId, std::deque<Request>> m_requests;
  std::map<HostId, std::vector<LogLine>> m_logLines;
  uint64_t m_flows{};
};

/// Returns the new flows per second that hosts measure if `aFlows` are opened: flows are opened at
/// ticks, and decay until the next tick, at which the load is reported.
[[nodiscard]] inline double
measuredFlows(double aFlows)
{
  const double steps = static_cast<double>(kFleetTick.count()) /
                       static_cast<double>(overload::kLoadTimeConstant.count());
  return aFlows * steps / std::expm1(steps);
}

/// Returns the new flows per second of all routes in the load of the fleet that a host knows.
[[nodiscard]] inline double
knownNewFlowsPerSecond(const Host& aHost)
{
  double flows = 0;
  for (const overload::ServiceLoad& service : aHost.overloadControl().totalLoad().m_services) {
    for (const overload::RouteLoad& route : service.m_routes) {
      flows += route.m_newFlowsPerSecond;
    }
  }
  return flows;
}

} // namespace tamarack::edge
