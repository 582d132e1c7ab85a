// Strong identifiers and the time types that every slice shares. Decision code reads no clock: each
// call is given the time as a TimePoint of the caller's monotonic clock.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>

namespace tamarack {

using Millis = std::chrono::milliseconds;

/// Monotonic time since an arbitrary start, in milliseconds.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Millis>;

/// A number that cannot be mixed up with another kind of number.
template<typename Tag, typename Number>
struct StrongId
{
  Number m_value{};

  friend auto operator<=>(const StrongId&, const StrongId&) = default;
  explicit operator bool() const { return m_value != Number{}; }
};

/// An entry host, named by the IPv4 address of its control interface in host byte order.
using HostId = StrongId<struct HostTag, uint32_t>;

/// A service, named by a 32-bit hash of its name. Settings with two equal hashes are refused.
using ServiceId = StrongId<struct ServiceTag, uint32_t>;

/// One generation of an upstream: a hash of service, name, address and generation.
using UpstreamId = StrongId<struct UpstreamTag, uint32_t>;

/// The seeded 64-bit hash of a flow's five-tuple.
using FlowId = StrongId<struct FlowTag, uint64_t>;

} // namespace tamarack

template<typename Tag, typename Number>
struct std::hash<tamarack::StrongId<Tag, Number>>
{
  size_t operator()(const tamarack::StrongId<Tag, Number>& aId) const
  {
    return std::hash<Number>{}(aId.m_value * Number{ 0x9e3779b1 });
  }
};
