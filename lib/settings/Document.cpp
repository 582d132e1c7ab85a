// Validates the root and the team subtrees of a settings document.
#include "settings/Document.h"

#include "settings/FieldReader.h"

#include <algorithm>
#include <array>
#include <bit>
#include <set>

namespace tamarack::settings {

namespace {

using namespace std::string_view_literals;

/// The valid ranges of numeric fields.
constexpr NumberRange kSeedRange{ 0, UINT64_MAX };
constexpr NumberRange kPortRange{ 1, 65535 };
constexpr NumberRange kConnectionsRange{ 1, 1'000'000 };
constexpr NumberRange kSlotsRange{ 1, 100'000 };
constexpr NumberRange kColdStartSecondsRange{ 1, 3600 };
constexpr NumberRange kColdStartFlowRateRange{ 5, 1'000'000 };
constexpr NumberRange kGenerationRange{ 1, UINT32_MAX };
constexpr NumberRange kBucketsRange{ 16, 65536 };
constexpr NumberRange kIdleTimeoutSecondsRange{ 1, 86400 };
/// The defaults of optional fields.
constexpr uint64_t kDefaultBuckets = 1024;
constexpr uint64_t kDefaultIdleTimeoutSeconds = 300;
constexpr size_t kMaxUpstreamsPerPool = 1024;

/// The values of enumerated fields; the first one is the default.
constexpr std::array kDataCentreStates{ "in"sv, "out"sv };
constexpr std::array kUpstreamStates{ "in"sv, "draining"sv };
constexpr std::array kProtocols{ "tcp"sv, "udp"sv };

/// Of two networks that overlap, the one with the shorter prefix contains the other's address.
bool
overlap(const Ipv4Network& aLeft, const Ipv4Network& aRight)
{
  return aLeft.m_prefix <= aRight.m_prefix ? aLeft.contains(aRight.m_address)
                                           : aRight.contains(aLeft.m_address);
}

RootSettings::Grant
readGrant(const Json& aJson, const std::string& aPath, std::vector<ValidationError>& aErrors)
{
  RootSettings::Grant grant;
  FieldReader reader(aJson, aPath, aErrors);
  for (const Json& item : reader.list("addresses")) {
    const auto address = item.is_string() ? parseIpv4(item.get<std::string>()) : std::nullopt;
    if (!address) {
      reader.addError("addresses", "must contain IPv4 addresses only");
      continue;
    }
    grant.m_serviceAddresses.push_back(*address);
  }
  for (const Json& item : reader.list("upstream_networks")) {
    const auto network =
      item.is_string() ? parseIpv4Network(item.get<std::string>()) : std::nullopt;
    if (!network) {
      reader.addError("upstream_networks",
                      "must contain networks in prefix notation only, such as 10.1.0.0/16");
      continue;
    }
    grant.m_upstreamNetworks.push_back(*network);
  }
  reader.reportUnknownFields();
  return grant;
}

/// Whether the grants have no service address in common and no overlapping networks.
bool
areDisjoint(const RootSettings::Grant& aLeft, const RootSettings::Grant& aRight)
{
  for (const Ipv4 address : aLeft.m_serviceAddresses) {
    if (std::ranges::find(aRight.m_serviceAddresses, address) != aRight.m_serviceAddresses.end()) {
      return false;
    }
  }
  for (const Ipv4Network& left : aLeft.m_upstreamNetworks) {
    for (const Ipv4Network& right : aRight.m_upstreamNetworks) {
      if (overlap(left, right)) {
        return false;
      }
    }
  }
  return true;
}

void
checkGrantsDisjoint(const RootSettings& aRoot, std::vector<ValidationError>& aErrors)
{
  for (auto left = aRoot.m_grants.begin(); left != aRoot.m_grants.end(); ++left) {
    for (auto right = std::next(left); right != aRoot.m_grants.end(); ++right) {
      if (!areDisjoint(left->second, right->second)) {
        aErrors.push_back({ "/grants/" + right->first, "overlaps the grant of " + left->first });
      }
    }
  }
}

Limits
readLimits(const Json& aJson, const std::string& aPath, std::vector<ValidationError>& aErrors)
{
  FieldReader reader(aJson, aPath, aErrors);
  Limits limits;
  limits.m_connections = static_cast<uint32_t>(reader.number("connections", kConnectionsRange));
  limits.m_slots = static_cast<uint32_t>(reader.number("slots", kSlotsRange));
  FieldReader coldStart(reader.object("cold_start"), reader.pathOf("cold_start"), aErrors);
  limits.m_coldStart.m_duration =
    Millis(1000 * coldStart.number("seconds", kColdStartSecondsRange));
  limits.m_coldStart.m_newFlowsPerSecond =
    static_cast<uint32_t>(coldStart.number("new_flows_per_s", kColdStartFlowRateRange));
  coldStart.reportUnknownFields();
  reader.reportUnknownFields();
  return limits;
}

/// Reads one team's subtree. Its sets of used names, endpoints and addresses serve to find values
/// that must be unique within the team; grants are disjoint, so addresses are then unique among all
/// teams.
class TeamReader
{
public:
  TeamReader(const RootSettings& aRoot,
             std::string_view aTeam,
             std::vector<ValidationError>& aErrors)
    : m_root(aRoot)
    , m_team(aTeam)
    , m_path("/teams/" + std::string(aTeam))
    , m_errors(aErrors)
  {
  }

  std::vector<Service> read(const Json& aSubtree)
  {
    const auto grant = m_root.m_grants.find(m_team);
    if (grant == m_root.m_grants.end()) {
      m_errors.push_back({ m_path, "has no entry in /grants" });
      return {};
    }
    m_grant = &grant->second;
    FieldReader reader(aSubtree, m_path, m_errors);
    const Json& pools = reader.object("pools");
    std::vector<Service> services;
    for (const auto& [name, json] : reader.object("services").items()) {
      services.push_back(readService(name, json, pools));
    }
    for (const auto& [name, json] : pools.items()) {
      if (!m_usedPools.contains(name)) {
        m_errors.push_back({ m_path + "/pools/" + name, "is not used by any service" });
      }
    }
    reader.reportUnknownFields();
    return services;
  }

private:
  Service readService(const std::string& aName, const Json& aJson, const Json& aPools)
  {
    FieldReader reader(aJson, m_path + "/services/" + aName, m_errors);
    Service service;
    service.m_id = makeServiceId(aName);
    service.m_name = aName;
    service.m_team = m_team;
    service.m_address = reader.address("address");
    const std::string protocol = reader.choice("protocol", kProtocols);
    service.m_protocol = protocol == "udp" ? packet::Protocol::Udp : packet::Protocol::Tcp;
    if (std::ranges::find(m_grant->m_serviceAddresses, service.m_address) ==
        m_grant->m_serviceAddresses.end()) {
      reader.addError("address", "is not granted to the team");
    }
    readPorts(reader, service);
    readPool(reader, aPools, service);
    reader.reportUnknownFields();
    return service;
  }

  void readPorts(FieldReader& aReader, Service& aService)
  {
    for (const Json& item : aReader.list("ports")) {
      const uint64_t port = item.is_number_unsigned() ? item.get<uint64_t>() : 0;
      if (port < kPortRange.m_min || port > kPortRange.m_max) {
        aReader.addError("ports", "must contain integers from 1 to 65535 only");
        continue;
      }
      const auto endpoint = std::make_tuple(aService.m_address, aService.m_protocol, port);
      if (!m_usedEndpoints.insert(endpoint).second) {
        aReader.addError(
          "ports", "address, protocol and port " + std::to_string(port) + " are already in use");
      }
      aService.m_ports.push_back(static_cast<uint16_t>(port));
    }
    if (aService.m_ports.empty()) {
      aReader.addError("ports", "must not be empty");
    }
  }

  void readPool(FieldReader& aReader, const Json& aPools, Service& aService)
  {
    const std::string name = aReader.text("pool");
    const auto found = aPools.find(name);
    if (found == aPools.end()) {
      aReader.addError("pool", "does not name a pool of the team");
      return;
    }
    if (!m_usedPools.insert(name).second) {
      aReader.addError("pool", "is already used by another service");
    }
    FieldReader pool(*found, m_path + "/pools/" + name, m_errors);
    aService.m_limits = readLimits(pool.object("limits"), pool.pathOf("limits"), m_errors);
    aService.m_buckets =
      static_cast<uint32_t>(pool.optionalNumber("buckets", kBucketsRange, kDefaultBuckets));
    if (!std::has_single_bit(aService.m_buckets)) {
      pool.addError("buckets", "must be a power of two");
    }
    aService.m_idleTimeout =
      Millis(1000 * pool.optionalNumber(
                      "idle_timeout_s", kIdleTimeoutSecondsRange, kDefaultIdleTimeoutSeconds));
    const Json& upstreams = pool.object("upstreams");
    if (upstreams.size() > kMaxUpstreamsPerPool) {
      pool.addError("upstreams", "must not contain more than 1024 upstreams");
      return;
    }
    for (const auto& [upstreamName, json] : upstreams.items()) {
      readUpstream(upstreamName, json, pool.pathOf("upstreams"), aService);
    }
    pool.reportUnknownFields();
  }

  void readUpstream(const std::string& aName,
                    const Json& aJson,
                    const std::string& aPath,
                    Service& aService)
  {
    FieldReader reader(aJson, aPath + "/" + aName, m_errors);
    Upstream upstream;
    upstream.m_name = aName;
    upstream.m_address = reader.address("address");
    upstream.m_dataCentre = reader.text("data_centre");
    upstream.m_generation =
      static_cast<uint32_t>(reader.optionalNumber("generation", kGenerationRange, 1));
    upstream.m_draining = reader.choice("state", kUpstreamStates) == "draining";
    upstream.m_id =
      makeUpstreamId(aService.m_name, aName, upstream.m_address, upstream.m_generation);
    const auto containsAddress = [&](const Ipv4Network& aNet) {
      return aNet.contains(upstream.m_address);
    };
    if (!std::ranges::any_of(m_grant->m_upstreamNetworks, containsAddress)) {
      reader.addError("address", "is outside the networks granted to the team");
    }
    if (!m_usedUpstreamAddresses.insert(upstream.m_address).second) {
      reader.addError("address", "is already used by another upstream");
    }
    if (!m_usedUpstreamIds.insert(upstream.m_id.m_value).second) {
      reader.addError("generation",
                      "results in an upstream ID that is already in use; increase the generation");
    }
    if (!m_root.m_dataCentres.contains(upstream.m_dataCentre)) {
      reader.addError("data_centre", "does not name a data centre of the document");
    }
    reader.reportUnknownFields();
    aService.m_upstreams.push_back(std::move(upstream));
  }

  const RootSettings& m_root;
  std::string m_team;
  std::string m_path;
  std::vector<ValidationError>& m_errors;
  /// Null until read() has found the grant of the team.
  const RootSettings::Grant* m_grant{};
  std::set<std::string, std::less<>> m_usedPools;
  std::set<std::tuple<Ipv4, packet::Protocol, uint64_t>> m_usedEndpoints;
  std::set<Ipv4> m_usedUpstreamAddresses;
  std::set<uint32_t> m_usedUpstreamIds;
};

} // namespace

absl::StatusOr<Json>
parseDocument(std::string_view aText)
{
  if (aText.size() > kMaxDocumentBytes) {
    return absl::InvalidArgumentError("the document is larger than 1,000,000 bytes");
  }
  // One set for each enclosing object; nlohmann::json would silently keep the last duplicate.
  std::vector<std::set<std::string, std::less<>>> keysOfOpenObjects;
  std::string error;
  const auto onParseEvent = [&](int aDepth, Json::parse_event_t aEvent, Json& aParsed) {
    if (static_cast<size_t>(aDepth) > kMaxNestingDepth) {
      error = "the document is nested more than 12 levels deep";
      return false;
    }
    if (aEvent == Json::parse_event_t::object_start) {
      keysOfOpenObjects.emplace_back();
    } else if (aEvent == Json::parse_event_t::object_end && !keysOfOpenObjects.empty()) {
      keysOfOpenObjects.pop_back();
    } else if (aEvent == Json::parse_event_t::key && !keysOfOpenObjects.empty()) {
      const auto& key = aParsed.get_ref<const std::string&>();
      if (!keysOfOpenObjects.back().insert(key).second) {
        error = "an object has the duplicate key " + key;
      }
    }
    return true;
  };
  Json document = Json::parse(aText, onParseEvent, false);
  if (!error.empty()) {
    return absl::InvalidArgumentError(error);
  }
  if (!document.is_object()) {
    return absl::InvalidArgumentError("the document is not a JSON object");
  }
  return document;
}

RootSettings
readRootSettings(const Json& aDocument, std::vector<ValidationError>& aErrors)
{
  RootSettings root;
  FieldReader reader(aDocument, "", aErrors);
  reader.number("format", { 1, 1 });
  root.m_seed = reader.number("seed", kSeedRange);
  for (const auto& [name, json] : reader.object("data_centres").items()) {
    FieldReader entry(json, "/data_centres/" + name, aErrors);
    DataCentre dataCentre{ .m_name = name, .m_region = entry.text("region") };
    dataCentre.m_out = entry.choice("state", kDataCentreStates) == "out";
    entry.reportUnknownFields();
    root.m_dataCentres.emplace(name, std::move(dataCentre));
  }
  for (const auto& [team, json] : reader.object("grants").items()) {
    root.m_grants.emplace(team, readGrant(json, "/grants/" + team, aErrors));
  }
  checkGrantsDisjoint(root, aErrors);
  reader.object("teams");
  reader.reportUnknownFields();
  return root;
}

std::vector<Service>
readTeamSubtree(const RootSettings& aRoot,
                std::string_view aTeam,
                const Json& aSubtree,
                std::vector<ValidationError>& aErrors)
{
  return TeamReader(aRoot, aTeam, aErrors).read(aSubtree);
}

} // namespace tamarack::settings
