// The table of error kinds. docs/ERRORS.md repeats names, responses and descriptions word for word.
#include "base/Errors.h"

#include <cassert>

namespace tamarack {

namespace {

using enum ErrorKind;
using enum ErrorResponse;

constexpr std::array<ErrorRow, kErrorKindCount> kTable{ {
  { PacketTruncated, "packet-truncated", Drop, "The packet is shorter than its headers say." },
  { PacketFragment, "packet-fragment", Drop, "The packet is an IP fragment." },
  { PacketUnsupported,
    "packet-unsupported",
    Drop,
    "The packet is not IPv4 with TCP, UDP or ICMP." },
  { PacketLooping, "packet-looping", Drop, "The packet was relayed more often than allowed." },
  { NoSuchService, "no-such-service", Drop, "No service has the packet's address and port." },
  { ServiceMismatch,
    "service-mismatch",
    Drop,
    "A relayed packet names another service than its address." },
  { UpstreamGone,
    "upstream-gone",
    ResetFlowEnded,
    "The upstream of the flow is no longer in the settings." },
  { UpstreamUnconfirmed,
    "upstream-unconfirmed",
    Drop,
    "The identity of the upstream was not confirmed in time." },
  { DataCentreOut,
    "data-centre-out",
    ResetFlowEnded,
    "The data centre of the flow was taken out." },
  { NoCapacity,
    "no-capacity",
    ResetFlowNotStarted,
    "No upstream of the service can take a new flow." },
  { MovePending,
    "move-pending",
    Drop,
    "The bucket of a new flow still waits to be moved to a live upstream." },
  { GrantPending, "grant-pending", Drop, "The grant for a new flow has not arrived in time." },
  { OwnerUnknown, "owner-unknown", Drop, "The host that owns the bucket cannot be reached." },
  { MapsMerging,
    "maps-merging",
    Drop,
    "A host came back from a partition and its map is not merged yet." },
  { DecisionsHeld,
    "decisions-held",
    Drop,
    "The host woke late and has not heard the newest state." },
  { QueueFull, "queue-full", Drop, "A bounded queue of the process is full." },
  { NoSuchRoute,
    "no-such-route",
    ResetFlowNotStarted,
    "No route has the address and port of a new flow." },
  { RouteUnconfirmed,
    "route-unconfirmed",
    Drop,
    "No route is known, but the records are too old to say so." },
  { TokenUnknown,
    "token-unknown",
    Drop,
    "The token of a packet names no upstream that this host knows." },
  { UpstreamSilent,
    "upstream-silent",
    ResetFlowEnded,
    "The upstream does not answer a request that may be repeated." },
  { ColdLimit,
    "cold-limit",
    ResetFlowNotStarted,
    "Only cold upstreams are left, and their limit leaves no room on this host." },
  { HistoryUnnamed,
    "history-unnamed",
    Drop,
    "An answer of the store does not say which of its histories it is of; it is not used." },
  { LoadShed,
    "load-shed",
    ResetFlowNotStarted,
    "The service has too little room, and other routes that share it go first." },
  { LoadDeferred,
    "load-deferred",
    Drop,
    "The service has too little room; the caller has time to send the SYN again." },
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
  assert(index < kTable.size() && "error kind is missing from the error table");
  return kTable[index];
}

std::string_view
errorResponseName(ErrorResponse aResponse)
{
  switch (aResponse) {
    case ErrorResponse::Drop:
      return "silence";
    case ErrorResponse::ResetFlowEnded:
      return "reset: flow is over";
    case ErrorResponse::ResetFlowNotStarted:
      return "reset: not run";
  }
  return "";
}

} // namespace tamarack
