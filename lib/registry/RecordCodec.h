// Encoding of deltas as MessagePack, for exchange between hosts. The decoder accepts untrusted
// input.
#pragma once

#include "registry/Registry.h"

#include <absl/status/statusor.h>

namespace tamarack::registry {

/// Encodes the key and the fields of a record, without its revision.
[[nodiscard]] std::vector<uint8_t>
encodeRecord(const RecordKey& aKey, const Record& aRecord);

[[nodiscard]] std::vector<uint8_t>
encodeDelta(const Delta& aDelta);

[[nodiscard]] absl::StatusOr<Delta>
decodeDelta(std::span<const uint8_t> aBytes);

} // namespace tamarack::registry
