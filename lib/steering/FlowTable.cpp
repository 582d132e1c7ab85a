// A set-associative table of fixed size.
#include "steering/FlowTable.h"

#include <cassert>
#include <new>
#include <type_traits>

namespace tamarack::steering {

namespace {

/// With half of the places free, a full set turns away 4 % of the flows; with none free, 20 %.
constexpr size_t kPlacesPerFlow = 2;
/// Two lines of 64 bytes, which processors fetch together.
constexpr size_t kSetBytes = 128;

void*
allocateZeroed(size_t aBytes)
{
  void* const memory = std::calloc(aBytes, 1);
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  return memory;
}

FlowState*
alignToSet(void* aMemory, size_t aSpace)
{
  return static_cast<FlowState*>(std::align(kSetBytes, aSpace - kSetBytes, aMemory, aSpace));
}

} // namespace

static_assert(std::is_trivially_copyable_v<FlowState>,
              "places are zeroed and overwritten as bytes");

FlowTable::FlowTable(size_t aFlows)
  : m_sets((aFlows * kPlacesPerFlow + kWays - 1) / kWays)
  , m_memory(allocateZeroed((m_sets + 1) * kSetBytes), &std::free)
  , m_states(alignToSet(m_memory.get(), (m_sets + 1) * kSetBytes))
{
  static_assert(kWays * sizeof(FlowState) == kSetBytes);
  assert(aFlows > 0 && "a flow table without places");
}

FlowState*
FlowTable::find(const packet::FlowKey& aFlow)
{
  for (FlowState& state : setOf(aFlow)) {
    if (state.isOf(aFlow)) {
      return &state;
    }
  }
  return nullptr;
}

FlowState&
FlowTable::findOrFree(TimePoint aNow, const packet::FlowKey& aFlow)
{
  FlowState* place = nullptr;
  for (FlowState& state : setOf(aFlow)) {
    if (state.isOf(aFlow)) {
      return state;
    }
    const bool isBetter =
      place == nullptr ||
      (!place->isFree() && (state.isFree() || state.quietFor(aNow) > place->quietFor(aNow)));
    place = isBetter ? &state : place;
  }
  *place = {};
  return *place;
}

} // namespace tamarack::steering
