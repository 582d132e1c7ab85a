// The table kind -> answer.
#include "base/Errors.h"

#include <cassert>

namespace tamarack {

namespace {

using enum ErrorKind;
using enum Answer;

constexpr std::array<ErrorRow, kErrorKindCount> kTable{ {
  { PacketTruncated, "packet-truncated", Silence, "The packet is shorter than its headers say." },
  { PacketFragment, "packet-fragment", Silence, "The packet is an IP fragment." },
  { PacketUnsupported,
    "packet-unsupported",
    Silence,
    "The packet is not IPv4 with TCP, UDP or ICMP." },
  { PacketLooping, "packet-looping", Silence, "The packet was relayed more often than allowed." },
  { NoSuchService, "no-such-service", Silence, "No service has the packet's address and port." },
  { ServiceMismatch,
    "service-mismatch",
    Silence,
    "A relayed packet names another service than its address." },
  { UpstreamGone,
    "upstream-gone",
    ResetOver,
    "The upstream of the flow is no longer in the settings." },
  { UpstreamUnconfirmed,
    "upstream-unconfirmed",
    Silence,
    "The identity of the upstream was not confirmed in time." },
  { DataCentreOut, "data-centre-out", ResetOver, "The data centre of the flow was taken out." },
  { NoCapacity, "no-capacity", ResetNotRun, "No upstream of the service can take a new flow." },
  { MovePending,
    "move-pending",
    Silence,
    "The bucket of a new flow still waits to be moved to a live upstream." },
  { GrantPending, "grant-pending", Silence, "The grant for a new flow has not arrived in time." },
  { OwnerUnknown, "owner-unknown", Silence, "The host that owns the bucket cannot be reached." },
  { MapsMerging,
    "maps-merging",
    Silence,
    "A host came back from a partition and its map is not merged yet." },
  { DecisionsHeld,
    "decisions-held",
    Silence,
    "The host woke late and has not heard the newest state." },
  { QueueFull, "queue-full", Silence, "A bounded queue of the process is full." },
  { NoSuchRoute, "no-such-route", ResetNotRun, "No route has the address and port of a new flow." },
  { RouteUnconfirmed,
    "route-unconfirmed",
    Silence,
    "No route is known, but the records are too old to say so." },
  { TokenUnknown,
    "token-unknown",
    Silence,
    "The token of a packet names no upstream that this host knows." },
  { UpstreamSilent,
    "upstream-silent",
    ResetOver,
    "The upstream does not answer a request that may be repeated." },
  { ColdLimit,
    "cold-limit",
    ResetNotRun,
    "Only cold upstreams are left, and their limit leaves no room on this host." },
  { HistoryUnnamed,
    "history-unnamed",
    Silence,
    "An answer of the store does not say which of its histories it is of; it is not used." },
} };

} // namespace

std::span<const ErrorRow, kErrorKindCount>
errorTable()
{
  return kTable;
}

const ErrorRow&
errorRow(ErrorKind aKind)
{
  const auto index = static_cast<size_t>(aKind);
  assert(index < kTable.size() && "an error kind without a row");
  return kTable[index];
}

std::string_view
answerName(Answer aAnswer)
{
  switch (aAnswer) {
    case Answer::Silence:
      return "silence";
    case Answer::ResetOver:
      return "reset: flow is over";
    case Answer::ResetNotRun:
      return "reset: not run";
  }
  return "";
}

} // namespace tamarack
