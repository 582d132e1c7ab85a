// Seeded hashing and rendezvous hashing. The results depend on the input and the seed only, so all
// hosts with the same seed select the same candidates.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace tamarack {

/// Returns the seeded 64-bit hash of a text.
[[nodiscard]] uint64_t
hashText(std::string_view aText, uint64_t aSeed = 0);

/// Returns the seeded 64-bit hash of a byte sequence.
[[nodiscard]] uint64_t
hashBytes(std::span<const uint8_t> aBytes, uint64_t aSeed);

/// Combines two numbers into one uniformly distributed 64-bit hash, with the finalizer of
/// SplitMix64. The result depends on the order of the arguments.
[[nodiscard]] constexpr uint64_t
mixHash(uint64_t aLeft, uint64_t aRight)
{
  uint64_t mixed = aLeft ^ (aRight + 0x9e3779b97f4a7c15ULL + (aLeft << 6) + (aLeft >> 2));
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31);
}

/// Returns the candidate with the highest rendezvous weight for a key, or a default-constructed
/// candidate when the range is empty. Candidates have an integral member `m_value`.
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
