// A set-associative table of fixed size.
#include "steering/FlowTable.h"

#include <cassert>
#include <cstdlib>
#include <new>
#include <type_traits>

namespace tamarack::steering {

static_assert(std::is_trivially_copyable_v<FlowState>,
              "places are zeroed and overwritten as bytes");

FlowTable::FlowTable(size_t aPlaces)
  : m_sets((aPlaces + kWays - 1) / kWays)
  , m_states(static_cast<FlowState*>(std::calloc(m_sets * kWays, sizeof(FlowState))), &std::free)
{
  assert(aPlaces > 0 && "a flow table without places");
  if (!m_states) {
    throw std::bad_alloc();
  }
}

std::span<FlowState, FlowTable::kWays>
FlowTable::setOf(uint64_t aKey)
{
  return std::span<FlowState, kWays>(&m_states[aKey % m_sets * kWays], kWays);
}

FlowState*
FlowTable::find(uint64_t aKey)
{
  for (FlowState& state : setOf(aKey)) {
    if (state.m_key == aKey) {
      return &state;
    }
  }
  return nullptr;
}

FlowState&
FlowTable::findOrAdd(TimePoint aNow, uint64_t aKey)
{
  FlowState* place = nullptr;
  for (FlowState& state : setOf(aKey)) {
    if (state.m_key == aKey) {
      state.m_lastAt = aNow;
      return state;
    }
    const bool isBetter = place == nullptr || (place->m_key != 0 && state.m_key == 0) ||
                          (place->m_key != 0 && state.m_lastAt < place->m_lastAt);
    place = isBetter ? &state : place;
  }
  *place = FlowState{};
  place->m_key = aKey;
  place->m_lastAt = aNow;
  return *place;
}

} // namespace tamarack::steering
