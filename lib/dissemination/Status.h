// The one message that hosts send each other in datagrams: who the sender is, how new its records
// are, and, when it fits, what changed in them.
#pragma once

#include "registry/Registry.h"

#include <absl/status/statusor.h>

namespace tamarack::dissemination {

/// A datagram of this size is not fragmented on the usual links.
inline constexpr size_t kMaxStatusBytes = 1350;

/// A host that the sender has heard lately.
struct KnownHost
{
  HostId m_host;
  std::string m_dataCentre;
  uint32_t m_capacity{};
  bool m_isReader{};
};

/// What callers showed of an upstream.
enum class Sign : uint8_t
{
  /// It does not answer.
  Silence,
  /// It answers again.
  Life,
  /// It answers many times slower than usual.
  Slowness,
  /// It refuses new flows.
  Refusal,
};

struct Sighting
{
  uint32_t m_token{};
  Sign m_sign{};
  /// The host whose caller it was.
  HostId m_witness;

  friend bool operator==(const Sighting&, const Sighting&) = default;
};

struct Status
{
  HostId m_sender;
  std::string m_dataCentre;
  /// Differs between two starts of the process.
  uint32_t m_incarnation{};
  /// Thousandths of a core; hosts with room read the store for others.
  uint32_t m_capacity{};
  bool m_isReader{};
  bool m_isLeaving{};
  /// Nothing confirms the sender's records: whoever gets this shall answer.
  bool m_isAsking{};
  /// The sender holds all changes up to this revision.
  registry::Revision m_revision{};
  /// How long ago the store confirmed that; negative before it ever did.
  int64_t m_ageMs{ -1 };
  /// Live hosts that the sender hears: the readers of a data centre, those who may follow them, and
  /// random ones.
  std::vector<KnownHost> m_known;
  /// Of a reader: the hosts of its data centre that should read, among those that it hears.
  std::vector<HostId> m_nominees;
  std::vector<Sighting> m_sightings;
  /// An encoded registry::Difference, or nothing.
  std::vector<uint8_t> m_difference;
};

[[nodiscard]] std::vector<uint8_t>
encodeStatus(const Status& aStatus);

[[nodiscard]] absl::StatusOr<Status>
decodeStatus(std::span<const uint8_t> aBytes);

} // namespace tamarack::dissemination
