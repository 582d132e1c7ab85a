// A four-way set-associative table of fixed size.
#include "steering/FlowTable.h"

#include <cassert>
#include <new>
#include <type_traits>

namespace tamarack::steering {

namespace {

/// Entries allocated per flow of the nominal capacity. With half of the entries free, full sets
/// evict 4 % of the flows; with none free, 20 %.
constexpr size_t kEntriesPerFlow = 2;
/// Two cache lines of 64 bytes, which processors prefetch in pairs.
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
              "entries are allocated as zeroed memory and assigned bytewise");

FlowTable::FlowTable(size_t aFlowCapacity)
  : m_setCount((aFlowCapacity * kEntriesPerFlow + kWays - 1) / kWays)
  , m_memory(allocateZeroed((m_setCount + 1) * kSetBytes), &std::free)
  , m_entries(alignToSet(m_memory.get(), (m_setCount + 1) * kSetBytes))
{
  static_assert(kWays * sizeof(FlowState) == kSetBytes);
  assert(aFlowCapacity > 0 && "flow table with a capacity of 0");
}

FlowState*
FlowTable::find(const packet::FlowKey& aFlow)
{
  for (FlowState& state : entriesOfSet(aFlow)) {
    if (state.matches(aFlow)) {
      return &state;
    }
  }
  return nullptr;
}

FlowState&
FlowTable::findOrAllocate(TimePoint aNow, const packet::FlowKey& aFlow)
{
  FlowState* entry = nullptr;
  for (FlowState& state : entriesOfSet(aFlow)) {
    if (state.matches(aFlow)) {
      return state;
    }
    const bool isBetter =
      entry == nullptr ||
      (!entry->isFree() && (state.isFree() || state.idleTime(aNow) > entry->idleTime(aNow)));
    entry = isBetter ? &state : entry;
  }
  *entry = {};
  return *entry;
}

} // namespace tamarack::steering
