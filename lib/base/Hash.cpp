// Hashes text and bytes with XXH3 from the xxHash library.
#include "base/Hash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace tamarack {

uint64_t
hashText(std::string_view aText, uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
}

uint64_t
hashBytes(std::span<const uint8_t> aBytes, uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aBytes.data(), aBytes.size(), aSeed);
}

} // namespace tamarack
