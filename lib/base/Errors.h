// The closed list of error kinds and the answer that each one gets. docs/ERRORS.md shows the same
// table; a test keeps the two equal.
#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <string_view>

namespace tamarack {

/// Everything that can go wrong with a packet, a flow or an answer of the store.
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
};

/// What the sender of the packet is told.
enum class Answer : uint8_t
{
  /// Nothing: the packet is counted and the caller's retransmission finds a better moment.
  Silence,
  /// A reset for a flow whose upstream is gone; an earlier packet may have reached the upstream.
  ResetOver,
  /// A reset for a new flow, none of whose packets has reached an upstream.
  ResetNotRun,
};

/// One row of the table kind -> answer.
struct ErrorRow
{
  ErrorKind m_kind;
  std::string_view m_name;
  Answer m_answer;
  std::string_view m_meaning;
};

inline constexpr size_t kErrorKindCount = 22;

/// The whole table, in the order of ErrorKind.
[[nodiscard]] std::span<const ErrorRow, kErrorKindCount>
errorTable();

/// The row of one kind.
[[nodiscard]] const ErrorRow&
errorRow(ErrorKind aKind);

/// The name of an answer as the documentation writes it.
[[nodiscard]] std::string_view
answerName(Answer aAnswer);

/// Counters of one process, one for each error kind.
using ErrorCounters = std::array<uint64_t, kErrorKindCount>;

} // namespace tamarack
