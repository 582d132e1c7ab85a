// The fields of the records of a configuration, and the texts of their values, for reports to
// operators.
#pragma once

#include "base/Types.h"

#include <array>
#include <charconv>
#include <string>

namespace tamarack::registry {

/// Part of a record that a finding or a difference is about.
enum class Field : uint8_t
{
  /// The record as a whole.
  Record,
  Version,
  IdleTimeout,
  WarmUp,
  ColdRequestsPerSecond,
  Address,
  Port,
  Kind,
  Services,
  Priority,
  LatencyObjective,
  Deadline,
};

/// Formats a number with as many digits as distinguish it from all others.
[[nodiscard]] inline std::string
formatNumber(double aNumber)
{
  // The shortest text of a double has at most 24 characters.
  std::array<char, 32> text{};
  const auto result = std::to_chars(text.data(), text.data() + text.size(), aNumber);
  return { text.data(), result.ptr };
}

[[nodiscard]] inline std::string
formatMillis(Millis aTime)
{
  return std::to_string(aTime.count()) + " ms";
}

} // namespace tamarack::registry
