// The state that a host holds for one service: settings, bucket map, pinned flows, admission modes
// of the upstreams and unused grants for new flows.
#pragma once

#include "admission/GrantPool.h"
#include "mapping/BucketMap.h"
#include "mapping/PinTable.h"
#include "settings/Settings.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace tamarack::node {

/// Capacity of the pin table of one service on one host.
inline constexpr size_t kMaxPinsPerService = 200'000;
/// Percentage of the pin table up to which learned pins are added. Learned pins record running
/// flows that a bucket's base upstream serves; the rest of the table is kept for new flows.
inline constexpr size_t kMaxLearnedPinsPercent = 60;

/// For this long after a drain was requested, new flows may still go to the draining upstream.
/// After it they wait until their bucket has moved.
inline constexpr Millis kDrainGracePeriod{ 1900 };

/// Properties of an upstream that are derived from the settings alone.
struct UpstreamInfo
{
  Ipv4 m_address;
  std::string m_name;
  std::string m_dataCentre;
  /// The settings take the upstream's data centre out of service.
  bool m_dataCentreOut{};
  bool m_draining{};
  /// When any host first saw the settings that drain the upstream, converted to the local clock.
  TimePoint m_drainingSince;
};

/// Local state of a bucket that this host owns or used to own.
struct OwnedBucket
{
  /// When another host became the owner. The pins are erased some time after this.
  TimePoint m_releasedAt;
  /// When this host became the owner.
  TimePoint m_ownedSince;
  /// The time since which this host has recorded the running flows of the base upstream that it
  /// sees as learned pins.
  TimePoint m_learningSince;
  /// Until this time the former owner may still hand over pins, so flows without a pin are not
  /// decided.
  TimePoint m_handoverDeadline;
  /// The learned pins are being copied to the replica; once they are, the coordinator can be told
  /// that the move may be settled.
  bool m_settling{};
  TimePoint m_settlingSince;
  /// A flow of the base upstream has no pin because the table had no room for it. The move cannot
  /// be settled then.
  bool m_hasUnlearnedFlows{};
};

struct ServiceState
{
  ServiceState(const settings::Service& aService, std::vector<mapping::Bucket> aBuckets)
    : m_settings(aService)
    , m_map(std::move(aBuckets))
    , m_pins(kMaxPinsPerService)
    , m_owned(m_map.size())
  {
  }

  [[nodiscard]] ServiceId id() const { return m_settings.m_id; }

  /// Returns null when the settings in force do not contain the upstream.
  [[nodiscard]] const UpstreamInfo* find(UpstreamId aUpstream) const
  {
    const auto found = m_upstreams.find(aUpstream);
    return found == m_upstreams.end() ? nullptr : &found->second;
  }

  /// Whether packets may be sent to the upstream: it is configured and its data centre is in
  /// service.
  [[nodiscard]] bool isLive(UpstreamId aUpstream) const
  {
    const UpstreamInfo* info = find(aUpstream);
    return info != nullptr && !info->m_dataCentreOut;
  }

  /// The upstream is live and does not fail its probes, so it may answer a SYN.
  [[nodiscard]] bool isResponsive(UpstreamId aUpstream) const
  {
    const auto mode = m_modes.find(aUpstream);
    const bool isLost = mode != m_modes.end() && mode->second.m_lost;
    return isLive(aUpstream) && !isLost;
  }

  /// The upstream has been draining for longer than the grace period, so no new flow may go to it
  /// even if its bucket has not moved yet.
  [[nodiscard]] bool isDrainGraceOver(UpstreamId aUpstream, TimePoint aNow) const
  {
    const UpstreamInfo* info = find(aUpstream);
    return info != nullptr && info->m_draining && aNow - info->m_drainingSince >= kDrainGracePeriod;
  }

  /// Whether the upstream accepts new flows; Metered when no mode has been received for it.
  [[nodiscard]] admission::Mode admissionModeOf(UpstreamId aUpstream) const
  {
    const UpstreamInfo* info = find(aUpstream);
    if (info == nullptr || info->m_dataCentreOut || info->m_draining) {
      return admission::Mode::Closed;
    }
    const auto found = m_modes.find(aUpstream);
    return found == m_modes.end() ? admission::Mode::Metered : found->second.m_mode;
  }

  /// The service's settings in force, except m_buckets, which stays as the map was created.
  settings::Service m_settings;
  mapping::BucketMap m_map;
  mapping::PinTable m_pins;
  /// One entry for each bucket of m_map.
  std::vector<OwnedBucket> m_owned;
  /// Has an entry for each upstream of m_settings and no other.
  std::unordered_map<UpstreamId, UpstreamInfo> m_upstreams;
  /// The newest mode of each upstream, received from the coordinator or set by the settings.
  std::unordered_map<UpstreamId, admission::ModeUpdate> m_modes;
  /// Unused grants for new flows to metered upstreams, and the demand for more.
  std::unordered_map<UpstreamId, admission::GrantPool> m_grants;
  /// When a probe of this host last confirmed the identity of an upstream, by the local clock.
  std::unordered_map<UpstreamId, TimePoint> m_identityConfirmedAt;
  /// The newest report on each upstream that was sent to the coordinator, and when it was sent.
  std::unordered_map<UpstreamId, std::pair<admission::UpstreamReport, TimePoint>> m_lastReports;
  /// When the coordinator last refused a grant for an upstream, by the local clock.
  std::unordered_map<UpstreamId, TimePoint> m_grantDeniedAt;
  /// Flows whose pins have yet to be copied to the replica, in the order in which they were queued.
  std::vector<FlowId> m_unreplicatedPins;
  /// Bucket and flow of expired pins that the replica still has to erase.
  std::vector<std::pair<uint16_t, FlowId>> m_removedPins;
};

using ServiceTable = std::map<ServiceId, std::unique_ptr<ServiceState>>;

} // namespace tamarack::node
