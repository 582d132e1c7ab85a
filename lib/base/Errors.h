// The complete list of error kinds and the response to each of them. docs/ERRORS.md contains the
// same table; CatalogueTest checks that the two match.
#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <string_view>

namespace tamarack {

/// Reasons for which a packet, a flow or a response of the store is rejected. Each enumerator
/// corresponds to the name in errorTable, which also describes the error.
enum class ErrorKind : uint8_t
{
  PacketTruncated,
  PacketFragment,
  PacketUnsupported,
  PacketLooping,
  NoSuchService,
  ServiceMismatch,
  UpstreamGone,
  UpstreamUnconfirmed,
  DataCentreOut,
  NoCapacity,
  MovePending,
  GrantPending,
  OwnerUnknown,
  MapsMerging,
  DecisionsHeld,
  QueueFull,
  NoSuchRoute,
  RouteUnconfirmed,
  TokenUnknown,
  UpstreamSilent,
  ColdLimit,
  HistoryUnnamed,
  LoadShed,
  LoadDeferred,
};

/// How the load balancer responds to the sender of a packet that it rejects.
enum class ErrorResponse : uint8_t
{
  /// The packet is counted and dropped without a reply; the caller retransmits it, and the
  /// condition may have cleared by then.
  Drop,
  /// Resets an established flow whose upstream is gone or does not respond. Earlier packets may
  /// have reached the upstream, so the caller cannot assume that its request was not executed.
  ResetFlowEnded,
  /// Resets a new flow of which no packet has reached an upstream, so that a retry is safe.
  ResetFlowNotStarted,
};

/// Name, response and description of one error kind.
struct ErrorRow
{
  ErrorKind m_kind;
  std::string_view m_name;
  ErrorResponse m_response;
  std::string_view m_meaning;
};

inline constexpr size_t kErrorKindCount = 24;

/// All error kinds, in the order of ErrorKind.
[[nodiscard]] std::span<const ErrorRow, kErrorKindCount>
errorTable();

[[nodiscard]] const ErrorRow&
errorRow(ErrorKind aKind);

/// Returns the name of a response as docs/ERRORS.md shows it.
[[nodiscard]] std::string_view
errorResponseName(ErrorResponse aResponse);

/// Number of errors of one process by kind, indexed by ErrorKind.
using ErrorCounters = std::array<uint64_t, kErrorKindCount>;

} // namespace tamarack
