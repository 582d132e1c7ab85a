// The checks go through the records in the order of the configuration, because the hosts' choice
// between entries with equal names or addresses depends on that order.
#include "registry/ConfigurationCheck.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>

namespace tamarack::registry {

namespace {

using namespace std::string_view_literals;

/// The names of the kinds of findings, in the order of the enumeration.
constexpr std::array kKindNames{ "duplicate-name"sv,
                                 "shadowed-route"sv,
                                 "unusable-port"sv,
                                 "no-service"sv,
                                 "unlisted-service"sv,
                                 "zero-weight"sv,
                                 "unused-service"sv,
                                 "objective-above-deadline"sv,
                                 "idle-timeout-below-deadline"sv,
                                 "negative-limit"sv,
                                 "slow-cold-rate"sv,
                                 "overload-control"sv,
                                 "non-idempotent-below-idempotent"sv };
static_assert(kKindNames.size() ==
              static_cast<size_t>(FindingKind::NonIdempotentBelowIdempotent) + 1);

std::string
quote(std::string_view aName)
{
  return "'" + std::string(aName) + "'";
}

/// One check of one configuration.
class Check
{
public:
  explicit Check(std::span<const Change> aRecords)
    : m_records(aRecords)
  {
  }

  std::vector<Finding> run()
  {
    collect();
    for (const size_t index : m_routes) {
      checkRoute(index);
    }
    for (const auto& [address, routes] : m_routesByAddress) {
      checkSharedAddress(routes);
    }
    for (const size_t index : m_services) {
      checkService(index);
    }
    std::ranges::stable_sort(m_findings, {}, &Finding::m_record);
    return std::move(m_findings);
  }

private:
  [[nodiscard]] const std::string& name(size_t aIndex) const
  {
    return m_records[aIndex].m_key.m_name;
  }

  [[nodiscard]] const RouteRecord& route(size_t aIndex) const
  {
    return std::get<RouteRecord>(*m_records[aIndex].m_record);
  }

  void add(FindingKind aKind, size_t aRecord, Field aField, std::string aText)
  {
    m_findings.push_back({ aKind, aRecord, aField, std::move(aText) });
  }

  /// Sorts the records by their kinds. Of several records with one name, only the first is checked
  /// further, because Registry ignores changes of a revision that it has already applied.
  void collect()
  {
    std::set<RecordKey> known;
    for (size_t index = 0; index < m_records.size(); ++index) {
      const Change& change = m_records[index];
      if (!change.m_record) {
        continue;
      }
      if (!known.insert(change.m_key).second) {
        add(FindingKind::DuplicateName,
            index,
            Field::Record,
            "an earlier entry has the name " + quote(name(index)) +
              "; hosts that start use the earlier one");
        continue;
      }
      if (const auto* configuration = std::get_if<ConfigurationRecord>(&*change.m_record)) {
        m_idleTimeout = configuration->m_idleTimeout;
        checkNotNegative(index, Field::IdleTimeout, static_cast<double>(m_idleTimeout.count()));
      } else if (change.m_key.m_kind == RecordKind::Service) {
        m_services.push_back(index);
      } else if (change.m_key.m_kind == RecordKind::Route) {
        m_routes.push_back(index);
        collectRoute(index);
      }
    }
    for (const size_t index : m_services) {
      m_listedServices.insert(name(index));
    }
  }

  void collectRoute(size_t aIndex)
  {
    const RouteRecord& record = route(aIndex);
    m_routesByAddress[{ record.m_address.m_value, record.m_port }].push_back(aIndex);
    for (const WeightedService& service : record.m_services) {
      auto& routes = m_routesByService[service.m_service];
      if (routes.empty() || routes.back() != aIndex) {
        routes.push_back(aIndex);
      }
    }
  }

  void checkNotNegative(size_t aIndex, Field aField, double aValue)
  {
    if (aValue < 0) {
      add(FindingKind::NegativeLimit, aIndex, aField, formatNumber(aValue) + " is negative");
    }
  }

  void checkRoute(size_t aIndex)
  {
    const RouteRecord& record = route(aIndex);
    if (record.m_port == 0) {
      add(FindingKind::UnusablePort, aIndex, Field::Port, "no packet has port 0");
    }
    checkServicesOf(aIndex);
    const bool hasDeadline = record.m_deadline > Millis{};
    if (hasDeadline && record.m_latencyObjective > record.m_deadline) {
      add(FindingKind::ObjectiveAboveDeadline,
          aIndex,
          Field::LatencyObjective,
          "the latency objective of " + formatMillis(record.m_latencyObjective) +
            " is above the deadline of " + formatMillis(record.m_deadline));
    }
    if (hasDeadline && m_idleTimeout > Millis{} && m_idleTimeout < record.m_deadline) {
      add(FindingKind::IdleTimeoutBelowDeadline,
          aIndex,
          Field::Deadline,
          "the deadline of " + formatMillis(record.m_deadline) + " is above the idle timeout of " +
            formatMillis(m_idleTimeout) +
            ": the state of a flow that waits for its response may be discarded");
    }
  }

  void checkServicesOf(size_t aIndex)
  {
    const auto& services = route(aIndex).m_services;
    if (services.empty()) {
      add(FindingKind::NoService, aIndex, Field::Services, "the route has no service");
      return;
    }
    const bool isUnused = std::ranges::all_of(
      services, [](const WeightedService& aService) { return aService.m_weight == 0; });
    if (isUnused) {
      add(FindingKind::ZeroWeight,
          aIndex,
          Field::Services,
          "all weights are 0: the route accepts no flow");
    }
    for (const WeightedService& service : services) {
      if (!isUnused && service.m_weight == 0) {
        add(FindingKind::ZeroWeight,
            aIndex,
            Field::Services,
            "service " + quote(service.m_service) + " has weight 0 and gets no flow of this route");
      }
      if (!m_listedServices.contains(service.m_service)) {
        add(FindingKind::UnlistedService,
            aIndex,
            Field::Services,
            "service " + quote(service.m_service) +
              " is not in the list of services, so no warm-up limit applies to it");
      }
    }
  }

  /// ServiceDirectory keeps one route for each address and port, the one applied last. Changes from
  /// the store are applied in the order of the configuration, and a snapshot of another host in the
  /// order of the names, because Registry stores records by name.
  void checkSharedAddress(std::span<const size_t> aRoutes)
  {
    if (aRoutes.size() < 2) {
      return;
    }
    const size_t lastListed = aRoutes.back();
    const size_t lastByName =
      *std::ranges::max_element(aRoutes, {}, [this](size_t aIndex) { return name(aIndex); });
    const std::string winner = lastListed == lastByName
                                 ? "a host that starts uses route " + quote(name(lastListed)) +
                                     " (last in the list and by name)"
                                 : "a host that starts uses route " + quote(name(lastListed)) +
                                     " (last in the list) if it reads the store, and route " +
                                     quote(name(lastByName)) +
                                     " (last by name) if another host sends the records";
    for (const size_t index : aRoutes.first(aRoutes.size() - 1)) {
      add(FindingKind::ShadowedRoute,
          index,
          Field::Record,
          "has the address and port of route " + quote(name(lastListed)) + "; " + winner +
            "; a running host uses the one that changed last");
    }
  }

  void checkService(size_t aIndex)
  {
    const auto& record = std::get<ServiceRecord>(*m_records[aIndex].m_record);
    checkNotNegative(aIndex, Field::WarmUp, static_cast<double>(record.m_warmUp.count()));
    checkNotNegative(aIndex, Field::ColdRequestsPerSecond, record.m_coldRequestsPerSecond);
    if (record.m_coldRequestsPerSecond > 0 && record.m_coldRequestsPerSecond < 1) {
      add(FindingKind::SlowColdRate,
          aIndex,
          Field::ColdRequestsPerSecond,
          "an upstream that warms up gets " + formatNumber(record.m_coldRequestsPerSecond) +
            " requests per second, less than one");
    }
    const auto found = m_routesByService.find(name(aIndex));
    if (found == m_routesByService.end()) {
      add(FindingKind::UnusedService, aIndex, Field::Record, "no route uses the service");
      return;
    }
    notePriorities(aIndex, found->second);
  }

  /// Adds the notes on a service that the given routes use.
  void notePriorities(size_t aIndex, std::span<const size_t> aRoutes)
  {
    const auto priority = [this](size_t aRoute) { return route(aRoute).m_priority; };
    const auto [highest, lowest] = std::ranges::minmax_element(aRoutes, {}, priority);
    if (priority(*highest) == priority(*lowest)) {
      return;
    }
    add(FindingKind::OverloadControl,
        aIndex,
        Field::Record,
        "the routes of the service have priorities from " + std::to_string(priority(*highest)) +
          " to " + std::to_string(priority(*lowest)) + ", which enables overload control for it");
    const auto highestIdempotent = highestOfIdempotent(aRoutes);
    if (!highestIdempotent) {
      return;
    }
    for (const size_t index : aRoutes) {
      const RouteRecord& record = route(index);
      if (record.m_kind == RequestKind::NonIdempotent &&
          record.m_priority > priority(*highestIdempotent)) {
        add(FindingKind::NonIdempotentBelowIdempotent,
            index,
            Field::Priority,
            "this non-idempotent route has a lower priority than idempotent route " +
              quote(name(*highestIdempotent)) + " at service " + quote(name(aIndex)));
      }
    }
  }

  /// Returns the idempotent route with the highest priority.
  [[nodiscard]] std::optional<size_t> highestOfIdempotent(std::span<const size_t> aRoutes) const
  {
    std::optional<size_t> highest;
    for (const size_t index : aRoutes) {
      const bool isHigher = !highest || route(index).m_priority < route(*highest).m_priority;
      if (route(index).m_kind == RequestKind::Idempotent && isHigher) {
        highest = index;
      }
    }
    return highest;
  }

  std::span<const Change> m_records;
  /// Indices of the records whose names no earlier record of their kind has.
  std::vector<size_t> m_routes;
  std::vector<size_t> m_services;
  std::set<std::string, std::less<>> m_listedServices;
  /// Indices of routes, in the order of the configuration.
  std::map<std::pair<uint32_t, uint16_t>, std::vector<size_t>> m_routesByAddress;
  std::map<std::string, std::vector<size_t>, std::less<>> m_routesByService;
  Millis m_idleTimeout{};
  std::vector<Finding> m_findings;
};

} // namespace

bool
isNote(FindingKind aKind)
{
  return aKind >= FindingKind::OverloadControl;
}

std::string_view
nameOf(FindingKind aKind)
{
  return kKindNames[static_cast<size_t>(aKind)];
}

std::vector<Finding>
checkConfiguration(std::span<const Change> aRecords)
{
  return Check(aRecords).run();
}

} // namespace tamarack::registry
