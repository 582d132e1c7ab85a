// Frames as MessagePack bytes, through the JSON library's binary codec. Structs become arrays in
// the order of their members.
#pragma once

#include "node/Messages.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <span>
#include <vector>

namespace tamarack::wire {

inline constexpr size_t kMaxFrameBytes = 4'000'000;

[[nodiscard]] std::vector<uint8_t>
encodeFrame(const node::Frame& aFrame);

/// Refuses bytes that are not a whole frame, with the reason.
[[nodiscard]] absl::StatusOr<node::Frame>
decodeFrame(std::span<const uint8_t> aBytes);

} // namespace tamarack::wire
