// The status message, the only message that hosts send each other in datagrams. It identifies the
// sender, states how recent its records are and may carry a delta of them if that fits.
#pragma once

#include "dissemination/LoadCodec.h"
#include "registry/Registry.h"

#include <absl/status/statusor.h>
#include <optional>

namespace tamarack::dissemination {

/// Maximum size of an encoded status. A datagram of this size is not fragmented on links with the
/// usual MTU of 1500 bytes.
inline constexpr size_t kMaxStatusBytes = 1350;

/// A host from which the sender has recently received a status.
struct KnownHost
{
  HostId m_host;
  std::string m_dataCentre;
  /// CPU capacity in thousandths of a core.
  uint32_t m_capacity{};
  bool m_isReader{};
};

/// What the traffic of callers reveals about the health of an upstream.
enum class HealthSignal : uint8_t
{
  /// The upstream does not answer.
  Unresponsive,
  /// The upstream answers again.
  Recovered,
  /// The upstream answers many times slower than usual.
  Slow,
  /// The upstream refuses new flows.
  RefusesFlows,
};

/// A health signal of one upstream, observed by one host.
struct HealthReport
{
  /// Token of the upstream.
  uint32_t m_token{};
  HealthSignal m_signal{};
  /// The host that observed the signal.
  HostId m_reporter;

  friend bool operator==(const HealthReport&, const HealthReport&) = default;
};

struct StatusMessage
{
  HostId m_sender;
  std::string m_dataCentre;
  /// Distinguishes two runs of the process of a host.
  uint32_t m_incarnation{};
  /// CPU capacity in thousandths of a core. Hosts with more capacity are preferred as readers.
  uint32_t m_capacity{};
  bool m_isReader{};
  bool m_isLeaving{};
  /// Asks the receiver for a status in reply, because the sender's records are unconfirmed or
  /// because it checks whether it can reach other data centres.
  bool m_requestsReply{};
  /// The sender has applied all changes up to this revision.
  registry::Revision m_revision{};
  /// Time since the store last confirmed that the records of the sender were up to date, in
  /// milliseconds. Negative if it never did.
  int64_t m_confirmationAgeMs{ -1 };
  /// Live hosts that the sender advertises: readers, the hosts that would succeed them, and random
  /// hosts.
  std::vector<KnownHost> m_knownHosts;
  /// Sent by a reader: the live hosts of its data centre that it ranks highest and that should
  /// therefore be readers.
  std::vector<HostId> m_nominees;
  std::vector<HealthReport> m_healthReports;
  /// An encoded registry::Delta, or empty.
  std::vector<uint8_t> m_delta;
  /// Empty while no load is exchanged, and from hosts of an earlier build.
  std::optional<StatusLoad> m_load;
};

/// Encodes a status. Services are omitted from the load, the least busy first, where it would make
/// the status larger than kMaxStatusBytes.
[[nodiscard]] std::vector<uint8_t>
encodeStatus(const StatusMessage& aStatus);

[[nodiscard]] absl::StatusOr<StatusMessage>
decodeStatus(std::span<const uint8_t> aBytes);

} // namespace tamarack::dissemination
