// Builds the JSON of dumps and explanations. Their field names are read by operators' tools.
#include "operator/Dump.h"

#include "base/Address.h"

#include <charconv>
#include <vector>

namespace tamarack::diagnostics {

namespace {

using mapping::Bucket;
using mapping::Phase;

std::string_view
phaseName(Phase aPhase)
{
  switch (aPhase) {
    case Phase::Stable:
      return "stable";
    case Phase::Prepare:
      return "prepare";
    case Phase::Moving:
      return "moving";
    case Phase::Pinned:
      return "pinned";
  }
  return "";
}

std::string_view
modeName(admission::Mode aMode)
{
  switch (aMode) {
    case admission::Mode::Open:
      return "open";
    case admission::Mode::Metered:
      return "metered";
    case admission::Mode::Closed:
      return "closed";
  }
  return "";
}

/// The milliseconds since a time; null if the time is unset.
Json
millisSince(TimePoint aTime, TimePoint aNow)
{
  return aTime == TimePoint{} ? Json(nullptr) : Json((aNow - aTime).count());
}

/// The name of the upstream, or "unknown-" and its ID if the settings no longer have it.
std::string
upstreamName(const node::ServiceState& aService, UpstreamId aUpstream)
{
  const node::UpstreamInfo* info = aService.find(aUpstream);
  return info == nullptr ? "unknown-" + std::to_string(aUpstream.m_value) : info->m_name;
}

Json
hostOrNull(HostId aHost)
{
  return aHost ? Json(formatHost(aHost)) : Json(nullptr);
}

Json
dumpMembers(const membership::Membership& aMembers, TimePoint aNow)
{
  Json members = Json::array();
  for (const auto& [host, peer] : aMembers.peers()) {
    members.push_back(
      { { "host", formatHost(host) },
        { "data_centre", peer.m_dataCentre },
        { "listed", peer.m_listed },
        { "alive", peer.m_alive },
        { "established", peer.m_hasCompleteMap },
        { "leaving", peer.m_leaving || peer.m_listedLeaving },
        { "heard_ms_ago", peer.m_heard ? millisSince(peer.m_heardAt, aNow) : nullptr },
        { "lease_ms_left", std::max<int64_t>(0, (peer.m_leaseUntil - aNow).count()) },
        { "settings_revision", peer.m_settingsRevision } });
  }
  return members;
}

Json
dumpUpstreams(const node::Node& aNode, const node::ServiceState& aService, TimePoint aNow)
{
  Json upstreams = Json::array();
  for (const settings::Upstream& upstream : aService.m_settings.m_upstreams) {
    const node::UpstreamInfo* info = aService.find(upstream.m_id);
    const auto mode = aService.m_modes.find(upstream.m_id);
    const auto confirmed = aService.m_identityConfirmedAt.find(upstream.m_id);
    Json entry{ { "name", upstream.m_name },
                { "address", formatIpv4(upstream.m_address) },
                { "generation", upstream.m_generation },
                { "data_centre", upstream.m_dataCentre },
                { "data_centre_out", info != nullptr && info->m_dataCentreOut },
                { "draining", upstream.m_draining },
                { "mode", modeName(aService.admissionModeOf(upstream.m_id)) },
                { "cold", mode != aService.m_modes.end() && mode->second.m_cold },
                { "identity_confirmed_ms_ago",
                  confirmed == aService.m_identityConfirmedAt.end()
                    ? Json(nullptr)
                    : millisSince(confirmed->second, aNow) } };
    if (const auto* tracker = aNode.coordinator().tracker(aService.id(), upstream.m_id)) {
      // evaluate() may change the tracker, which a dump must not do.
      admission::UpstreamTracker copy = *tracker;
      entry["judged"] = { { "reason", copy.evaluate(aNow).m_reason },
                          { "cold_for_ms", copy.coldDuration(aNow).count() },
                          { "connections", copy.connections() },
                          { "reported_ms_ago", millisSince(copy.reportedAt(), aNow) } };
    }
    upstreams.push_back(std::move(entry));
  }
  return upstreams;
}

Json
dumpService(const node::Node& aNode, const node::ServiceState& aService, TimePoint aNow)
{
  const membership::Membership& members = aNode.context().m_membership;
  std::map<std::string, size_t> bucketsByBase;
  std::map<std::string, size_t> bucketsByPhase;
  Json unstableGroups = Json::array();
  size_t ownedBuckets = 0;
  for (const Bucket& bucket : aService.m_map.buckets()) {
    ++bucketsByBase[upstreamName(aService, bucket.m_base)];
    ++bucketsByPhase[std::string(phaseName(bucket.m_phase))];
    ownedBuckets += bucket.m_owner == members.self() ? 1 : 0;
  }
  std::vector<uint16_t> unstableBuckets;
  for (size_t index = 0; index < aService.m_map.size(); ++index) {
    if (aService.m_map[index].m_phase != Phase::Stable) {
      unstableBuckets.push_back(static_cast<uint16_t>(index));
    }
  }
  for (const mapping::BucketGroup& group : mapping::groupBuckets(aService.m_map, unstableBuckets)) {
    unstableGroups.push_back({ { "phase", phaseName(group.m_value.m_phase) },
                               { "base", upstreamName(aService, group.m_value.m_base) },
                               { "current", upstreamName(aService, group.m_value.m_current) },
                               { "owner", hostOrNull(group.m_value.m_owner) },
                               { "replica", hostOrNull(group.m_value.m_replica) },
                               { "stamp", group.m_value.m_version.m_counter },
                               { "decided_by", hostOrNull(group.m_value.m_version.m_coordinator) },
                               { "buckets", group.m_buckets } });
  }
  const HostId coordinator = members.coordinatorOf(aService.id());
  return { { "name", aService.m_settings.m_name },
           { "address", formatIpv4(aService.m_settings.m_address) },
           { "decider", hostOrNull(coordinator) },
           { "lease", members.hasLease(coordinator, aNow) },
           { "buckets_by_phase", bucketsByPhase },
           { "buckets_by_base", bucketsByBase },
           { "buckets_owned", ownedBuckets },
           { "pins", aService.m_pins.size() },
           { "pin_capacity", aService.m_pins.capacity() },
           { "not_stable", std::move(unstableGroups) },
           { "upstreams", dumpUpstreams(aNode, aService, aNow) } };
}

Json
dumpCounters(const node::NodeCounters& aCounters)
{
  Json errors = Json::object();
  for (const ErrorRow& row : errorTable()) {
    errors[std::string(row.m_name)] = aCounters.m_errors[static_cast<size_t>(row.m_kind)];
  }
  return { { "forwarded", aCounters.m_forwarded },
           { "relayed", aCounters.m_relayed },
           { "retried", aCounters.m_retried },
           { "refused", std::move(errors) } };
}

Json
dumpHistory(const EventLog& aEvents, TimePoint aNow)
{
  Json history = Json::array();
  for (const Event& event : aEvents.history()) {
    history.push_back({ { "ms_ago", (aNow - event.m_at).count() },
                        { "event", static_cast<int>(event.m_id) },
                        { "name", eventName(event.m_id) },
                        { "text", event.m_text } });
  }
  return history;
}

/// Parses `ADDRESS:PORT`. Returns false if the text is malformed.
bool
parseEndpoint(std::string_view aText, Ipv4& aAddress, uint16_t& aPort)
{
  const size_t colon = aText.find(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  const auto address = parseIpv4(aText.substr(0, colon));
  const std::string_view digits = aText.substr(colon + 1);
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), aPort);
  if (!address || error != std::errc{} || end != digits.data() + digits.size()) {
    return false;
  }
  aAddress = *address;
  return true;
}

} // namespace

Json
dumpNode(const node::Node& aNode, TimePoint aNow)
{
  const node::NodeContext& context = aNode.context();
  Json services = Json::array();
  for (const auto& [id, service] : context.m_services) {
    services.push_back(dumpService(aNode, *service, aNow));
  }
  return { { "host", formatHost(context.m_membership.self()) },
           { "data_centre", context.m_membership.options().m_dataCentre },
           { "established", context.m_membership.hasCompleteMap() },
           { "leaving", context.m_membership.isLeaving() },
           { "decisions_held", aNode.packetPath().areDecisionsHeld() },
           { "settings",
             { { "revision", aNode.revision() },
               { "confirmed_ms_ago", millisSince(context.m_settingsConfirmedAt, aNow) },
               { "fresh", context.areSettingsFresh(aNow) } } },
           { "members", dumpMembers(context.m_membership, aNow) },
           { "services", std::move(services) },
           { "counters", dumpCounters(aNode.counters()) },
           { "history", dumpHistory(context.m_events, aNow) } };
}

absl::StatusOr<packet::FlowKey>
parseFlow(std::string_view aText)
{
  const absl::Status malformed =
    absl::InvalidArgumentError("a flow is written tcp,SOURCE:PORT,DESTINATION:PORT");
  const size_t first = aText.find(',');
  const size_t second = first == std::string_view::npos ? first : aText.find(',', first + 1);
  if (second == std::string_view::npos) {
    return malformed;
  }
  packet::FlowKey flow;
  const std::string_view protocol = aText.substr(0, first);
  if (protocol != "tcp" && protocol != "udp") {
    return malformed;
  }
  flow.m_protocol = protocol == "tcp" ? packet::Protocol::Tcp : packet::Protocol::Udp;
  const std::string_view source = aText.substr(first + 1, second - first - 1);
  if (!parseEndpoint(source, flow.m_source, flow.m_sourcePort) ||
      !parseEndpoint(aText.substr(second + 1), flow.m_destination, flow.m_destinationPort)) {
    return malformed;
  }
  return flow;
}

Json
explainFlow(const node::Node& aNode, TimePoint aNow, const packet::FlowKey& aFlow)
{
  const node::ServiceState* service = aNode.packetPath().serviceOf(aFlow);
  if (service == nullptr) {
    return { { "service", nullptr }, { "why", "no service has this address, protocol and port" } };
  }
  const membership::Membership& members = aNode.context().m_membership;
  const FlowId flow = packet::flowId(aFlow, aNode.context().m_settings->m_seed);
  const uint16_t index = service->m_map.indexOf(flow);
  const Bucket& bucket = service->m_map[index];
  const bool isOwner = bucket.m_owner == members.self();
  const mapping::Pin* pin = service->m_pins.find(flow);
  std::string why;
  if (bucket.m_phase == Phase::Stable) {
    why = "the bucket is stable: every packet goes to base";
  } else if (!isOwner) {
    why = "the bucket is not stable: this host relays to the owner, which knows the flow's pin";
  } else if (pin != nullptr) {
    why = "this host owns the bucket and has a pin for the flow";
  } else {
    why = "this host owns the bucket and has no pin: running flows go to base, new ones to current";
  }
  const HostId coordinator = members.coordinatorOf(service->id());
  return { { "service", service->m_settings.m_name },
           { "bucket", index },
           { "phase", phaseName(bucket.m_phase) },
           { "base", upstreamName(*service, bucket.m_base) },
           { "current", upstreamName(*service, bucket.m_current) },
           { "owner", hostOrNull(bucket.m_owner) },
           { "replica", hostOrNull(bucket.m_replica) },
           { "pin",
             pin == nullptr ? Json(nullptr) : Json(upstreamName(*service, pin->m_upstream)) },
           { "new_flows_to_current", modeName(service->admissionModeOf(bucket.m_current)) },
           { "lease", members.hasLease(coordinator, aNow) },
           { "why", why } };
}

} // namespace tamarack::operating
