// Seeded hashing and rendezvous ranking. Every host computes the same ranks from the same seed.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace tamarack {

/// Hashes text to 64 bits with a seed.
[[nodiscard]] uint64_t
hashText(std::string_view aText, uint64_t aSeed = 0);

/// Hashes bytes to 64 bits with a seed.
[[nodiscard]] uint64_t
hashBytes(std::span<const uint8_t> aBytes, uint64_t aSeed);

/// Mixes two numbers into one well distributed 64-bit number.
[[nodiscard]] constexpr uint64_t
mixHash(uint64_t aLeft, uint64_t aRight)
{
  uint64_t mixed = aLeft ^ (aRight + 0x9e3779b97f4a7c15ULL + (aLeft << 6) + (aLeft >> 2));
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31);
}

/// The candidate with the highest rendezvous weight for a key; candidates have `m_value`.
/// Returns a default-constructed candidate when the range is empty.
template<typename Range>
[[nodiscard]] auto
pickByRendezvous(uint64_t aKey, const Range& aCandidates)
{
  typename Range::value_type best{};
  uint64_t bestWeight = 0;
  bool found = false;
  for (const auto& candidate : aCandidates) {
    const uint64_t weight = mixHash(aKey, candidate.m_value);
    if (!found || weight > bestWeight) {
      best = candidate;
      bestWeight = weight;
      found = true;
    }
  }
  return best;
}

} // namespace tamarack
