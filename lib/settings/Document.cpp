// The check of a settings document, part by part.
#include "settings/Document.h"

#include "settings/FieldReader.h"

#include <algorithm>
#include <array>
#include <bit>
#include <set>

namespace tamarack::settings {

namespace {

using namespace std::string_view_literals;

constexpr Range kSeedRange{ 0, UINT64_MAX };
constexpr Range kPortRange{ 1, 65535 };
constexpr Range kConnectionsRange{ 1, 1'000'000 };
constexpr Range kSlotsRange{ 1, 100'000 };
constexpr Range kColdSecondsRange{ 1, 3600 };
constexpr Range kColdRateRange{ 5, 1'000'000 };
constexpr Range kGenerationRange{ 1, UINT32_MAX };
constexpr Range kBucketsRange{ 16, 65536 };
constexpr Range kIdleSecondsRange{ 1, 86400 };
constexpr uint64_t kDefaultBuckets = 1024;
constexpr uint64_t kDefaultIdleSeconds = 300;
constexpr size_t kMaxUpstreamsPerPool = 1024;

constexpr std::array kInOut{ "in"sv, "out"sv };
constexpr std::array kUpstreamStates{ "in"sv, "draining"sv };
constexpr std::array kProtocols{ "tcp"sv, "udp"sv };

/// Two prefixes overlap when the shorter one contains the other's address.
bool
overlap(const Ipv4Network& aLeft, const Ipv4Network& aRight)
{
  return aLeft.m_prefix <= aRight.m_prefix ? aLeft.contains(aRight.m_address)
                                           : aRight.contains(aLeft.m_address);
}

Root::Grant
readGrant(const Json& aJson, const std::string& aPath, std::vector<Fault>& aFaults)
{
  Root::Grant grant;
  FieldReader reader(aJson, aPath, aFaults);
  for (const Json& item : reader.list("addresses")) {
    const auto address = item.is_string() ? parseIpv4(item.get<std::string>()) : std::nullopt;
    if (!address) {
      reader.fault("addresses", "must hold IPv4 addresses only");
      continue;
    }
    grant.m_addresses.push_back(*address);
  }
  for (const Json& item : reader.list("upstream_networks")) {
    const auto network =
      item.is_string() ? parseIpv4Network(item.get<std::string>()) : std::nullopt;
    if (!network) {
      reader.fault("upstream_networks", "must hold networks such as 10.1.0.0/16 only");
      continue;
    }
    grant.m_networks.push_back(*network);
  }
  reader.refuseUnknown();
  return grant;
}

bool
shareNothing(const Root::Grant& aLeft, const Root::Grant& aRight)
{
  for (const Ipv4 address : aLeft.m_addresses) {
    if (std::ranges::find(aRight.m_addresses, address) != aRight.m_addresses.end()) {
      return false;
    }
  }
  for (const Ipv4Network& left : aLeft.m_networks) {
    for (const Ipv4Network& right : aRight.m_networks) {
      if (overlap(left, right)) {
        return false;
      }
    }
  }
  return true;
}

void
checkGrantsApart(const Root& aRoot, std::vector<Fault>& aFaults)
{
  for (auto left = aRoot.m_grants.begin(); left != aRoot.m_grants.end(); ++left) {
    for (auto right = std::next(left); right != aRoot.m_grants.end(); ++right) {
      if (!shareNothing(left->second, right->second)) {
        aFaults.push_back({ "/grants/" + right->first, "overlaps the grant of " + left->first });
      }
    }
  }
}

Limits
readLimits(const Json& aJson, const std::string& aPath, std::vector<Fault>& aFaults)
{
  FieldReader reader(aJson, aPath, aFaults);
  Limits limits;
  limits.m_connections = static_cast<uint32_t>(reader.number("connections", kConnectionsRange));
  limits.m_slots = static_cast<uint32_t>(reader.number("slots", kSlotsRange));
  FieldReader cold(reader.object("cold_start"), reader.pathOf("cold_start"), aFaults);
  limits.m_coldStart.m_duration = Millis(1000 * cold.number("seconds", kColdSecondsRange));
  limits.m_coldStart.m_newFlowsPerSecond =
    static_cast<uint32_t>(cold.number("new_flows_per_s", kColdRateRange));
  cold.refuseUnknown();
  reader.refuseUnknown();
  return limits;
}

/// Reads one team's subtree; holds what its parts have in common.
class TeamReader
{
public:
  TeamReader(const Root& aRoot, std::string_view aTeam, std::vector<Fault>& aFaults)
    : m_root(aRoot)
    , m_team(aTeam)
    , m_path("/teams/" + std::string(aTeam))
    , m_faults(aFaults)
  {
  }

  std::vector<Service> read(const Json& aSubtree)
  {
    const auto grant = m_root.m_grants.find(m_team);
    if (grant == m_root.m_grants.end()) {
      m_faults.push_back({ m_path, "has no grant" });
      return {};
    }
    m_grant = &grant->second;
    FieldReader reader(aSubtree, m_path, m_faults);
    const Json& pools = reader.object("pools");
    std::vector<Service> services;
    for (const auto& [name, json] : reader.object("services").items()) {
      services.push_back(readService(name, json, pools));
    }
    for (const auto& [name, json] : pools.items()) {
      if (!m_usedPools.contains(name)) {
        m_faults.push_back({ m_path + "/pools/" + name, "belongs to no service" });
      }
    }
    reader.refuseUnknown();
    return services;
  }

private:
  Service readService(const std::string& aName, const Json& aJson, const Json& aPools)
  {
    FieldReader reader(aJson, m_path + "/services/" + aName, m_faults);
    Service service;
    service.m_id = makeServiceId(aName);
    service.m_name = aName;
    service.m_team = m_team;
    service.m_address = reader.address("address");
    const std::string protocol = reader.choice("protocol", kProtocols);
    service.m_protocol = protocol == "udp" ? packet::Protocol::Udp : packet::Protocol::Tcp;
    if (std::ranges::find(m_grant->m_addresses, service.m_address) == m_grant->m_addresses.end()) {
      reader.fault("address", "is not granted to the team");
    }
    readPorts(reader, service);
    readPool(reader, aPools, service);
    reader.refuseUnknown();
    return service;
  }

  void readPorts(FieldReader& aReader, Service& aService)
  {
    for (const Json& item : aReader.list("ports")) {
      const uint64_t port = item.is_number_unsigned() ? item.get<uint64_t>() : 0;
      if (port < kPortRange.m_least || port > kPortRange.m_most) {
        aReader.fault("ports", "must hold whole numbers from 1 to 65535 only");
        continue;
      }
      const auto place = std::make_tuple(aService.m_address, aService.m_protocol, port);
      if (!m_usedPorts.insert(place).second) {
        aReader.fault("ports",
                      "address, protocol and port " + std::to_string(port) + " are in use");
      }
      aService.m_ports.push_back(static_cast<uint16_t>(port));
    }
    if (aService.m_ports.empty()) {
      aReader.fault("ports", "must not be empty");
    }
  }

  void readPool(FieldReader& aReader, const Json& aPools, Service& aService)
  {
    const std::string name = aReader.text("pool");
    const auto found = aPools.find(name);
    if (found == aPools.end()) {
      aReader.fault("pool", "names no pool of the team");
      return;
    }
    if (!m_usedPools.insert(name).second) {
      aReader.fault("pool", "belongs to another service already");
    }
    FieldReader pool(*found, m_path + "/pools/" + name, m_faults);
    aService.m_limits = readLimits(pool.object("limits"), pool.pathOf("limits"), m_faults);
    aService.m_buckets =
      static_cast<uint32_t>(pool.optionalNumber("buckets", kBucketsRange, kDefaultBuckets));
    if (!std::has_single_bit(aService.m_buckets)) {
      pool.fault("buckets", "must be a power of two");
    }
    aService.m_idleTimeout =
      Millis(1000 * pool.optionalNumber("idle_timeout_s", kIdleSecondsRange, kDefaultIdleSeconds));
    const Json& upstreams = pool.object("upstreams");
    if (upstreams.size() > kMaxUpstreamsPerPool) {
      pool.fault("upstreams", "must not hold more than 1024 upstreams");
      return;
    }
    for (const auto& [upstreamName, json] : upstreams.items()) {
      readUpstream(upstreamName, json, pool.pathOf("upstreams"), aService);
    }
    pool.refuseUnknown();
  }

  void readUpstream(const std::string& aName,
                    const Json& aJson,
                    const std::string& aPath,
                    Service& aService)
  {
    FieldReader reader(aJson, aPath + "/" + aName, m_faults);
    Upstream upstream;
    upstream.m_name = aName;
    upstream.m_address = reader.address("address");
    upstream.m_dataCentre = reader.text("data_centre");
    upstream.m_generation =
      static_cast<uint32_t>(reader.optionalNumber("generation", kGenerationRange, 1));
    upstream.m_draining = reader.choice("state", kUpstreamStates) == "draining";
    upstream.m_id =
      makeUpstreamId(aService.m_name, aName, upstream.m_address, upstream.m_generation);
    const auto isInside = [&](const Ipv4Network& aNet) {
      return aNet.contains(upstream.m_address);
    };
    if (!std::ranges::any_of(m_grant->m_networks, isInside)) {
      reader.fault("address", "is outside the networks granted to the team");
    }
    if (!m_usedUpstreams.insert(upstream.m_address).second) {
      reader.fault("address", "belongs to another upstream already");
    }
    if (!m_usedIds.insert(upstream.m_id.m_value).second) {
      reader.fault("generation", "gives the upstream an identity that is in use; raise it");
    }
    if (!m_root.m_dataCentres.contains(upstream.m_dataCentre)) {
      reader.fault("data_centre", "names no data centre");
    }
    reader.refuseUnknown();
    aService.m_upstreams.push_back(std::move(upstream));
  }

  const Root& m_root;
  std::string m_team;
  std::string m_path;
  std::vector<Fault>& m_faults;
  const Root::Grant* m_grant{};
  std::set<std::string, std::less<>> m_usedPools;
  std::set<std::tuple<Ipv4, packet::Protocol, uint64_t>> m_usedPorts;
  std::set<Ipv4> m_usedUpstreams;
  std::set<uint32_t> m_usedIds;
};

} // namespace

absl::StatusOr<Json>
parseDocument(std::string_view aText)
{
  if (aText.size() > kMaxDocumentBytes) {
    return absl::InvalidArgumentError("the document is larger than 1,000,000 bytes");
  }
  std::vector<std::set<std::string, std::less<>>> openKeys;
  std::string problem;
  const auto watch = [&](int aDepth, Json::parse_event_t aEvent, Json& aParsed) {
    if (static_cast<size_t>(aDepth) > kMaxNesting) {
      problem = "the document is nested more than 12 levels deep";
      return false;
    }
    if (aEvent == Json::parse_event_t::object_start) {
      openKeys.emplace_back();
    } else if (aEvent == Json::parse_event_t::object_end && !openKeys.empty()) {
      openKeys.pop_back();
    } else if (aEvent == Json::parse_event_t::key && !openKeys.empty()) {
      const auto& key = aParsed.get_ref<const std::string&>();
      if (!openKeys.back().insert(key).second) {
        problem = "the key " + key + " stands twice in one object";
      }
    }
    return true;
  };
  Json document = Json::parse(aText, watch, false);
  if (!problem.empty()) {
    return absl::InvalidArgumentError(problem);
  }
  if (!document.is_object()) {
    return absl::InvalidArgumentError("the document is not a JSON object");
  }
  return document;
}

Root
readRoot(const Json& aDocument, std::vector<Fault>& aFaults)
{
  Root root;
  FieldReader reader(aDocument, "", aFaults);
  reader.number("format", { 1, 1 });
  root.m_seed = reader.number("seed", kSeedRange);
  for (const auto& [name, json] : reader.object("data_centres").items()) {
    FieldReader entry(json, "/data_centres/" + name, aFaults);
    DataCentre dataCentre{ .m_name = name, .m_region = entry.text("region") };
    dataCentre.m_out = entry.choice("state", kInOut) == "out";
    entry.refuseUnknown();
    root.m_dataCentres.emplace(name, std::move(dataCentre));
  }
  for (const auto& [team, json] : reader.object("grants").items()) {
    root.m_grants.emplace(team, readGrant(json, "/grants/" + team, aFaults));
  }
  checkGrantsApart(root, aFaults);
  reader.object("teams");
  reader.refuseUnknown();
  return root;
}

std::vector<Service>
readTeam(const Root& aRoot,
         std::string_view aTeam,
         const Json& aSubtree,
         std::vector<Fault>& aFaults)
{
  return TeamReader(aRoot, aTeam, aFaults).read(aSubtree);
}

} // namespace tamarack::settings
