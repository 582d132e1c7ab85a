// Differences as MessagePack, for other hosts. Decoding never trusts the bytes.
#pragma once

#include "registry/Registry.h"

#include <absl/status/statusor.h>

namespace tamarack::registry {

[[nodiscard]] std::vector<uint8_t>
encodeDifference(const Difference& aDifference);

[[nodiscard]] absl::StatusOr<Difference>
decodeDifference(std::span<const uint8_t> aBytes);

} // namespace tamarack::registry
