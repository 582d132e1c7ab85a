// Identifier types and time types shared by all libraries. Decision code does not read a clock:
// each call takes the current time as a TimePoint, so that tests and simulations control the time.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>

namespace tamarack {

using Millis = std::chrono::milliseconds;

/// Monotonic time since an arbitrary start, in milliseconds.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Millis>;

/// An identifier that does not convert to or compare with identifiers of another kind. A
/// default-constructed identifier identifies no object and converts to false.
template<typename Tag, typename Number>
struct StrongId
{
  Number m_value{};

  friend auto operator<=>(const StrongId&, const StrongId&) = default;
  explicit operator bool() const { return m_value != Number{}; }
};

/// A load balancer host, identified by the IPv4 address of its control interface in host byte
/// order.
using HostId = StrongId<struct HostTag, uint32_t>;

/// A service, identified by a 32-bit hash of its name. Settings in which two services have the same
/// hash are rejected.
using ServiceId = StrongId<struct ServiceTag, uint32_t>;

/// One generation of an upstream, identified by a hash of service, name, address and generation,
/// so that a replacement under the same name has another identifier.
using UpstreamId = StrongId<struct UpstreamTag, uint32_t>;

/// A flow, identified by a seeded 64-bit hash of its five-tuple.
using FlowId = StrongId<struct FlowTag, uint64_t>;

} // namespace tamarack

template<typename Tag, typename Number>
struct std::hash<tamarack::StrongId<Tag, Number>>
{
  // The multiplication spreads consecutive values, since std::hash may return integers unchanged.
  size_t operator()(const tamarack::StrongId<Tag, Number>& aId) const
  {
    return std::hash<Number>{}(aId.m_value * Number{ 0x9e3779b1 });
  }
};
