// Types and messages of admission control, which limits the rate of new flows and the number of
// connections of each upstream. Hosts report probe results to the service's coordinator. The
// coordinator broadcasts an admission mode for each upstream and grants new flows to bucket owners
// while the upstream is metered.
#pragma once

#include "base/Types.h"

#include <cstdint>

namespace tamarack::admission {

/// Whether an upstream takes new flows.
enum class Mode : uint8_t
{
  /// Owners admit new flows without a grant.
  Open,
  /// Each new flow needs a grant from the coordinator.
  Metered,
  /// No new flow is admitted.
  Closed,
};

/// The result of one probe of an upstream.
struct UpstreamReport
{
  ServiceId m_service;
  UpstreamId m_upstream;
  /// The health endpoint answered.
  bool m_answered{};
  /// The answer named this upstream, generation and service.
  bool m_identityMatches{};
  /// The upstream reports that its cold start is not over.
  bool m_claimsCold{};
  /// The upstream reports that it sheds load.
  bool m_sheds{};
  /// The upstream reports that it is draining.
  bool m_draining{};
  /// Identifies the run of the upstream's process: a different value means that it has restarted.
  /// Zero if unknown.
  uint32_t m_run{};
  /// The number of open connections.
  uint32_t m_connections{};
  /// The number of the upstream's slots in use.
  uint32_t m_busySlots{};

  friend bool operator==(const UpstreamReport&, const UpstreamReport&) = default;
};

/// The admission mode and state of an upstream, as broadcast by the coordinator.
struct ModeUpdate
{
  ServiceId m_service;
  UpstreamId m_upstream;
  Mode m_mode{};
  /// The upstream is in a cold start.
  bool m_cold{};
  /// The upstream's probes fail or its reports have stopped.
  bool m_lost{};
  /// How long the cold start has lasted. The next coordinator continues from here.
  Millis m_coldDuration{};
  /// Increases with each update. The update with the higher counter wins, then the higher
  /// m_coordinator.
  uint32_t m_counter{};
  /// The host that made the update; zero while the state is only derived from the settings.
  HostId m_coordinator;
  /// The revision of the settings that were in force when the update was made.
  uint64_t m_settingsRevision{};
};

/// A bucket owner requests permission to admit new flows to a metered upstream.
struct GrantRequest
{
  ServiceId m_service;
  UpstreamId m_upstream;
  /// The number of new flows.
  uint32_t m_requestedCount{};
  /// The owner's clock at the request, from which the grant's lifetime counts. A delay of the
  /// messages therefore shortens a grant and never extends it.
  TimePoint m_requestedAt;
};

/// Permission to admit `m_count` new flows within kGrantLifetime of `m_requestedAt`.
struct Grant
{
  ServiceId m_service;
  UpstreamId m_upstream;
  uint32_t m_count{};
  TimePoint m_requestedAt;
};

/// The unused part of a grant expires this long after the grant's request.
inline constexpr Millis kGrantLifetime{ 400 };

} // namespace tamarack::admission
