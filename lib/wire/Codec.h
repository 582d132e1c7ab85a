// Encodes and decodes the frames that hosts exchange. The wire format is MessagePack, written
// through the binary codec of the JSON library. A struct is an array of its members in the order
// in which Codec.cpp lists them.
#pragma once

#include "node/Messages.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <span>
#include <vector>

namespace tamarack::wire {

/// Longer frames are rejected without being parsed.
inline constexpr size_t kMaxFrameBytes = 4'000'000;

[[nodiscard]] std::vector<uint8_t>
encodeFrame(const node::Frame& aFrame);

/// Decodes one frame. The status is InvalidArgument, with the reason, if the bytes are not a
/// complete and valid frame.
[[nodiscard]] absl::StatusOr<node::Frame>
decodeFrame(std::span<const uint8_t> aBytes);

} // namespace tamarack::wire
