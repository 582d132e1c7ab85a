// Planning of bucket moves: the target of each bucket, and when a move is prepared, started and
// settled.
#include "node/CoordinatorRole.h"

#include "base/Hash.h"
#include "mapping/Assignment.h"

#include <algorithm>

namespace tamarack::node {

namespace {

using admission::Mode;
using mapping::Bucket;
using mapping::Phase;

/// The buckets that move to one upstream are distributed over this many owners.
constexpr uint16_t kOwnersPerUpstream = 4;
/// Targets are recomputed at this interval, and at once when the eligible upstreams change.
constexpr Millis kTargetRefreshInterval{ 1000 };

std::vector<UpstreamId>
currentUpstreams(const mapping::BucketMap& aMap)
{
  std::vector<UpstreamId> current;
  current.reserve(aMap.size());
  for (const Bucket& bucket : aMap.buckets()) {
    current.push_back(bucket.m_current);
  }
  return current;
}

} // namespace

void
CoordinatorRole::tick(TimePoint aNow)
{
  const membership::Membership& members = m_context.m_membership;
  for (auto& [id, service] : m_context.m_services) {
    if (members.coordinatorOf(id) != members.self()) {
      m_decidedServices.erase(id);
      continue;
    }
    if (!m_decidedServices.contains(id)) {
      startCoordinating(aNow, *service);
    }
    DecidedService& decided = m_decidedServices[id];
    evaluateUpstreams(aNow, *service, decided);
    startPreparedMoves(aNow, *service, decided);
    refreshTargets(aNow, *service, decided);
    planMoves(aNow, *service, decided);
  }
  std::erase_if(m_decidedServices,
                [&](const auto& aEntry) { return !m_context.m_services.contains(aEntry.first); });
}

void
CoordinatorRole::startCoordinating(TimePoint aNow, ServiceState& aService)
{
  DecidedService& decided = m_decidedServices[aService.id()];
  for (const settings::Upstream& upstream : aService.m_settings.m_upstreams) {
    admission::UpstreamTracker tracker(aService.m_settings.m_limits);
    const auto mode = aService.m_modes.find(upstream.m_id);
    if (mode != aService.m_modes.end() && !mode->second.m_cold) {
      tracker.assumeWarm(aNow);
    } else {
      tracker.startCold(aNow,
                        mode == aService.m_modes.end() ? Millis{ 0 } : mode->second.m_coldDuration);
    }
    decided.m_trackers.emplace(upstream.m_id, tracker);
  }
  m_context.m_events.add(aNow, EventId::DecidingStarted, "service " + aService.m_settings.m_name);
  // Moves that a former coordinator prepared are announced again, as no other host completes them.
  std::vector<std::pair<uint16_t, Bucket>> republished;
  PreparedMove move{ .m_startedAt = aNow };
  for (size_t index = 0; index < aService.m_map.size(); ++index) {
    if (aService.m_map[index].m_phase == Phase::Prepare) {
      republished.emplace_back(static_cast<uint16_t>(index), aService.m_map[index]);
      move.m_buckets.push_back(static_cast<uint16_t>(index));
    }
  }
  if (!republished.empty()) {
    move.m_messageIds = publish(aNow, aService, republished);
    decided.m_preparedMoves.push_back(std::move(move));
  }
}

void
CoordinatorRole::refreshTargets(TimePoint aNow, ServiceState& aService, DecidedService& aDecided)
{
  std::vector<UpstreamId> eligible;
  for (const settings::Upstream& upstream : aService.m_settings.m_upstreams) {
    const UpstreamInfo* info = aService.find(upstream.m_id);
    const auto lost = aDecided.m_lostSince.find(upstream.m_id);
    const bool isLost =
      lost != aDecided.m_lostSince.end() && aNow - lost->second >= kLostUpstreamReassignDelay;
    if (info != nullptr && !info->m_dataCentreOut && !info->m_draining && !isLost) {
      eligible.push_back(upstream.m_id);
    }
  }
  std::ranges::sort(eligible);
  const bool isDue = aNow - aDecided.m_targetsComputedAt >= kTargetRefreshInterval;
  if (eligible == aDecided.m_eligibleUpstreams && !isDue) {
    return;
  }
  aDecided.m_targetsComputedAt = aNow;
  if (eligible.empty()) {
    aDecided.m_targets = currentUpstreams(aService.m_map);
    return;
  }
  aDecided.m_eligibleUpstreams = std::move(eligible);
  aDecided.m_targets = mapping::reassign(
    aService.id(), aDecided.m_eligibleUpstreams, currentUpstreams(aService.m_map));
}

void
CoordinatorRole::planMoves(TimePoint aNow, ServiceState& aService, DecidedService& aDecided)
{
  std::vector<std::pair<uint16_t, Bucket>> changes;
  PreparedMove move{ .m_startedAt = aNow };
  size_t movesStarted = 0;
  size_t ownersReplaced = 0;
  for (size_t index = 0; index < aService.m_map.size(); ++index) {
    const auto bucketIndex = static_cast<uint16_t>(index);
    const bool mayRebalance =
      aService.m_map.migratingCount() + move.m_buckets.size() < kMaxRebalanceMoves;
    const auto next = planBucket(aService, aDecided, bucketIndex, mayRebalance);
    if (!next) {
      continue;
    }
    const Bucket& before = aService.m_map[index];
    changes.emplace_back(bucketIndex, *next);
    if (next->m_phase == Phase::Prepare) {
      move.m_buckets.push_back(bucketIndex);
    }
    movesStarted += next->m_phase == Phase::Moving && before.m_current != next->m_current ? 1 : 0;
    ownersReplaced += before.m_owner && before.m_owner != next->m_owner ? 1 : 0;
  }
  if (changes.empty()) {
    return;
  }
  auto messageIds = publish(aNow, aService, changes);
  const std::string bucketsOfService = " buckets of service " + aService.m_settings.m_name;
  if (movesStarted > 0) {
    m_context.m_events.add(
      aNow, EventId::MoveStarted, std::to_string(movesStarted) + bucketsOfService);
  }
  if (ownersReplaced > 0) {
    m_context.m_events.add(
      aNow, EventId::OwnerReplaced, std::to_string(ownersReplaced) + bucketsOfService);
  }
  if (!move.m_buckets.empty()) {
    m_context.m_events.add(
      aNow, EventId::MovePrepared, std::to_string(move.m_buckets.size()) + bucketsOfService);
    move.m_messageIds = std::move(messageIds);
    aDecided.m_preparedMoves.push_back(std::move(move));
  }
}

std::optional<Bucket>
CoordinatorRole::planBucket(const ServiceState& aService,
                            const DecidedService& aDecided,
                            uint16_t aIndex,
                            bool aMayRebalance) const
{
  const Bucket& bucket = aService.m_map[aIndex];
  if (bucket.m_phase == Phase::Stable) {
    return planStableBucket(aService, aDecided, bucket, aIndex, aMayRebalance);
  }
  const UpstreamId target = aDecided.m_targets[aIndex];
  Bucket next = bucket;
  if (bucket.m_phase == Phase::Prepare && !aService.isLive(bucket.m_base)) {
    next.m_phase = Phase::Moving;
  }
  const bool mayRetarget = bucket.m_phase != Phase::Prepare;
  if (mayRetarget && target && bucket.m_current != target) {
    next.m_current = target;
    next.m_phase = Phase::Moving;
  }
  if (bucket.m_phase == Phase::Pinned && aService.admissionModeOf(bucket.m_base) != Mode::Open) {
    next.m_phase = Phase::Moving;
  }
  if (needsNewOwnerOrReplica(bucket)) {
    assignOwnerAndReplica(next, aIndex);
  }
  return next == bucket ? std::nullopt : std::optional(next);
}

std::optional<Bucket>
CoordinatorRole::planStableBucket(const ServiceState& aService,
                                  const DecidedService& aDecided,
                                  const Bucket& aBucket,
                                  uint16_t aIndex,
                                  bool aMayRebalance) const
{
  const UpstreamId target = aDecided.m_targets[aIndex];
  const bool isOpen = aService.admissionModeOf(aBucket.m_base) == Mode::Open;
  if (!target || (target == aBucket.m_base && isOpen)) {
    return std::nullopt;
  }
  if (isOpen && !aMayRebalance) {
    return std::nullopt;
  }
  Bucket next = aBucket;
  next.m_current = target;
  // If the base upstream is gone, no host can forward flows to it, so the Prepare phase is not
  // needed.
  next.m_phase = aService.isLive(aBucket.m_base) ? Phase::Prepare : Phase::Moving;
  assignOwnerAndReplica(next, aIndex);
  return next;
}

void
CoordinatorRole::startPreparedMoves(TimePoint aNow,
                                    ServiceState& aService,
                                    DecidedService& aDecided)
{
  std::vector<std::pair<uint16_t, Bucket>> changes;
  std::erase_if(aDecided.m_preparedMoves, [&](PreparedMove& aMove) {
    if (!mayStartMove(aNow, aService, aMove)) {
      return false;
    }
    for (const uint16_t index : aMove.m_buckets) {
      Bucket next = aService.m_map[index];
      if (next.m_phase == Phase::Prepare) {
        next.m_phase = Phase::Moving;
        changes.emplace_back(index, next);
      }
    }
    return true;
  });
  if (changes.empty()) {
    return;
  }
  publish(aNow, aService, changes);
  m_context.m_events.add(aNow,
                         EventId::MoveStarted,
                         std::to_string(changes.size()) + " buckets of service " +
                           aService.m_settings.m_name);
}

bool
CoordinatorRole::mayStartMove(TimePoint aNow, ServiceState& aService, PreparedMove& aMove)
{
  bool allAcknowledged = true;
  for (const auto& [host, peer] : m_context.m_membership.peers()) {
    if (!peer.m_alive) {
      continue;
    }
    const Channel& channel = m_context.m_channels[host];
    const auto messageId = aMove.m_messageIds.find(host);
    if (messageId == aMove.m_messageIds.end() || channel.isDropped(messageId->second)) {
      mapping::MapDelta delta{ .m_service = aService.id() };
      delta.m_groups = mapping::groupBuckets(aService.m_map, aMove.m_buckets);
      aMove.m_messageIds[host] = m_context.send(host, std::move(delta));
      allAcknowledged = false;
      continue;
    }
    allAcknowledged = allAcknowledged && channel.isDelivered(messageId->second);
  }
  const Millis waited = aNow - aMove.m_startedAt;
  return waited >= kMaxPrepareTime || (allAcknowledged && waited >= kMinPrepareTime);
}

void
CoordinatorRole::onBucketReport(TimePoint aNow, const mapping::BucketReport& aReport)
{
  ServiceState* service = m_context.findService(aReport.m_service);
  const auto decided = m_decidedServices.find(aReport.m_service);
  const bool sizesMatch = aReport.m_completed.size() == aReport.m_counters.size();
  if (service == nullptr || decided == m_decidedServices.end() || !sizesMatch) {
    return;
  }
  // The base of a bucket changes only while all hosts are alive, so that both sides of a partition
  // have the same base.
  if (!m_context.m_membership.allListedHostsAlive()) {
    return;
  }
  std::vector<std::pair<uint16_t, Bucket>> changes;
  for (size_t entry = 0; entry < aReport.m_completed.size(); ++entry) {
    const uint16_t index = aReport.m_completed[entry];
    if (index >= service->m_map.size() ||
        service->m_map[index].m_version.m_counter != aReport.m_counters[entry]) {
      continue;
    }
    Bucket next = service->m_map[index];
    const bool isOpen = service->admissionModeOf(next.m_current) == Mode::Open;
    if (!isOpen || decided->second.m_targets[index] != next.m_current) {
      continue;
    }
    if (next.m_phase == Phase::Moving) {
      next.m_phase = Phase::Pinned;
      next.m_base = next.m_current;
    } else if (next.m_phase == Phase::Pinned) {
      next.m_phase = Phase::Stable;
      next.m_owner = {};
      next.m_replica = {};
    }
    changes.emplace_back(index, next);
  }
  if (changes.empty()) {
    return;
  }
  publish(aNow, *service, changes);
  m_context.m_events.add(aNow,
                         EventId::MoveSettled,
                         std::to_string(changes.size()) + " buckets of service " +
                           service->m_settings.m_name);
}

std::map<HostId, channel::MessageId>
CoordinatorRole::publish(TimePoint aNow,
                         ServiceState& aService,
                         std::span<const std::pair<uint16_t, Bucket>> aChanges)
{
  const mapping::BucketVersion stamp{ aService.m_map.highestCounter() + 1,
                                      m_context.m_membership.self() };
  std::vector<mapping::BucketGroup> groups;
  std::vector<uint16_t> indices;
  for (const auto& [index, value] : aChanges) {
    Bucket stamped = value;
    stamped.m_version = stamp;
    groups.push_back({ stamped, { index } });
    indices.push_back(index);
  }
  m_mapUpdater.merge(aNow, aService, groups);
  const mapping::MapDelta delta{ .m_service = aService.id(),
                                 .m_groups = mapping::groupBuckets(aService.m_map, indices) };
  std::map<HostId, channel::MessageId> messageIds;
  for (const auto& [host, peer] : m_context.m_membership.peers()) {
    if (peer.m_alive) {
      messageIds[host] = m_context.send(host, delta);
    }
  }
  return messageIds;
}

void
CoordinatorRole::assignOwnerAndReplica(Bucket& aBucket, uint16_t aIndex) const
{
  std::vector<HostId> candidates = m_context.m_membership.candidates();
  const bool keepsReplica = isCandidate(aBucket.m_replica) && !isCandidate(aBucket.m_owner);
  const bool keepsOwner = isCandidate(aBucket.m_owner);
  const uint64_t key = mixHash(aBucket.m_current.m_value, aIndex % kOwnersPerUpstream);
  if (keepsReplica) {
    aBucket.m_owner = aBucket.m_replica;
  } else if (!keepsOwner) {
    aBucket.m_owner = pickByRendezvous(key, candidates);
  }
  std::erase(candidates, aBucket.m_owner);
  const bool keepsCurrentReplica =
    isCandidate(aBucket.m_replica) && aBucket.m_replica != aBucket.m_owner;
  if (!keepsCurrentReplica) {
    aBucket.m_replica = pickByRendezvous(key, candidates);
  }
}

bool
CoordinatorRole::needsNewOwnerOrReplica(const Bucket& aBucket) const
{
  if (!isCandidate(aBucket.m_owner)) {
    return true;
  }
  const bool hasOthers = m_context.m_membership.candidates().size() > 1;
  return hasOthers && !isCandidate(aBucket.m_replica);
}

bool
CoordinatorRole::isCandidate(HostId aHost) const
{
  return std::ranges::binary_search(m_context.m_membership.candidates(), aHost);
}

} // namespace tamarack::node
