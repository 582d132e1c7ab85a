// The load in a status message, and its encoding. All hosts of a data centre receive it from the
// reader every 500 ms within a small traffic limit, so the encoding is compact: identifiers take
// four bytes and occur once for both sums, numbers are variable-length integers in tenths.
#pragma once

#include "overload/LoadReport.h"

#include <absl/status/statusor.h>
#include <span>

namespace tamarack::dissemination {

/// Maximum number of services in the load of a status. Only services whose routes differ in
/// priority are reported.
inline constexpr size_t kMaxLoadServices = 24;

/// The load that a status carries.
struct StatusLoad
{
  /// Whether the sender is a reader, so that the load is a sum over several hosts.
  bool m_isSum{};
  /// Number of hosts whose reports m_load contains; 1 if it is the sender's own report.
  uint32_t m_hosts{ 1 };
  /// What the host of the sender measured, or the sum over the data centre of the sender.
  overload::LoadReport m_load;
  /// The sum over all other data centres. Empty unless m_isSum is set.
  overload::LoadReport m_remoteLoad;

  friend bool operator==(const StatusLoad&, const StatusLoad&) = default;
};

/// Encodes a load in at most `aMaxBytes` bytes. The least busy services are omitted if necessary.
/// Returns an empty vector if not even a load without services fits. `aSender` is the data centre
/// of the sender, whose identifier the encoding omits.
[[nodiscard]] std::vector<uint8_t>
encodeLoad(const StatusLoad& aLoad, overload::DataCentreId aSender, size_t aMaxBytes);

[[nodiscard]] absl::StatusOr<StatusLoad>
decodeLoad(std::span<const uint8_t> aBytes, overload::DataCentreId aSender);

} // namespace tamarack::dissemination
