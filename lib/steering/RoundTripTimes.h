// Smoothed round-trip times between the callers of a host and the upstreams of one service, by data
// centre. They separate the network's part of a response time from the work of the upstream.
#pragma once

#include "base/Types.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace tamarack::steering {

/// Weight of a new sample, as of the smoothed round-trip time of TCP (RFC 6298).
inline constexpr double kRoundTripGain = 0.125;

class RoundTripTimes
{
public:
  /// Adds the duration of a handshake. `aDataCentre` is DataCentre::m_index of the upstream.
  void add(size_t aDataCentre, Millis aTime)
  {
    if (aDataCentre >= m_smoothed.size()) {
      m_smoothed.resize(aDataCentre + 1, kUnknown);
    }
    double& smoothed = m_smoothed[aDataCentre];
    const auto time = static_cast<double>(aTime.count());
    smoothed = smoothed == kUnknown ? time : smoothed + kRoundTripGain * (time - smoothed);
  }

  /// Returns a response time without the round trip; all of it if the round trip is unknown.
  [[nodiscard]] Millis excludeRoundTrip(size_t aDataCentre, Millis aResponseTime) const
  {
    const bool isKnown = aDataCentre < m_smoothed.size() && m_smoothed[aDataCentre] != kUnknown;
    const double roundTrip = isKnown ? m_smoothed[aDataCentre] : 0;
    const double remaining = static_cast<double>(aResponseTime.count()) - roundTrip;
    return Millis{ std::lround(std::max(0.0, remaining)) };
  }

private:
  static constexpr double kUnknown = -1;

  /// In milliseconds, by DataCentre::m_index; kUnknown before the first sample.
  std::vector<double> m_smoothed;
};

} // namespace tamarack::steering
