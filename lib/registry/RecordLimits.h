// Limits of the fields of an upstream's entry. Any program can write an entry into the store, so an
// entry beyond them names no upstream.
#pragma once

#include "registry/Records.h"

#include <algorithm>
#include <string_view>

namespace tamarack::registry {

/// Length of the name of a service or data centre, in bytes.
inline constexpr size_t kMaxNameBytes = 200;
/// Remaining warm-up time of an upstream.
inline constexpr Millis kMaxWarmUp{ 24 * 3600 * 1000 };
/// Requests that an upstream processes concurrently.
inline constexpr uint32_t kMaxSlots = 100'000;
/// Unix time in milliseconds, about the year 5138.
inline constexpr int64_t kMaxUnixMs = 100'000'000'000'000;
/// Any duration in a configuration, about 31 years.
inline constexpr Millis kMaxConfiguredTime{ 1'000'000'000'000 };

/// Whether a name is not empty, not too long and free of control characters, which would break the
/// lines of a log.
[[nodiscard]] inline bool
isValidName(std::string_view aName)
{
  return !aName.empty() && aName.size() <= kMaxNameBytes &&
         std::ranges::none_of(aName, [](char aCharacter) {
           return static_cast<unsigned char>(aCharacter) < 0x20 || aCharacter == 0x7f;
         });
}

/// Returns what is wrong with an entry, or an empty text.
[[nodiscard]] inline std::string_view
findFault(const UpstreamRecord& aRecord)
{
  if (!isValidName(aRecord.m_service) || !isValidName(aRecord.m_dataCentre)) {
    return "the name of the service or data centre is empty, too long or has control characters";
  }
  if (aRecord.m_port == 0) {
    return "the port is 0";
  }
  if (aRecord.m_startedAtMs < 0 || aRecord.m_startedAtMs > kMaxUnixMs) {
    return "the start time is out of range";
  }
  if (aRecord.m_warmUpLeft < Millis{} || aRecord.m_warmUpLeft > kMaxWarmUp) {
    return "the remaining warm-up time is out of range";
  }
  return aRecord.m_slots > kMaxSlots ? "the number of slots is out of range" : "";
}

/// Limits a duration of a configuration, so that sums with it do not overflow.
[[nodiscard]] inline Millis
clampConfiguredTime(Millis aTime)
{
  return std::clamp(aTime, -kMaxConfiguredTime, kMaxConfiguredTime);
}

} // namespace tamarack::registry
