// Computes the share of remote flows from the load of the fleet. The target is the share at which
// the own data centre would exceed the others by the margin, if the utilisation is proportional to
// the flows. It builds on the share that was applied when the load was measured, not on the present
// one, so the delay of the load does not make it oscillate.
#include "steering/RemotePlacement.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace tamarack::steering {

namespace {

/// Time from a change of the share until the load shows it: hosts measure, and their reports pass
/// through the readers, for 0.5 to 1.5 s. A value at the lower end makes the share oscillate when
/// the load takes longer.
constexpr Millis kLoadDelay{ 1500 };
/// Time constants with which the share follows its target. A step of load must move flows within
/// 500 ms; a slower return averages the noise of the load.
constexpr Millis kRiseTimeConstant{ 200 };
constexpr Millis kFallTimeConstant{ 2000 };
/// Load below which remote data centres are considered equally idle.
constexpr double kIdleBusyPerSlot = 0.1;
/// A share is applied once it reaches the first value, until it falls below the second one. The
/// noise of the load of two equally busy data centres causes smaller ones.
constexpr double kMinNewRemoteShare = 0.05;
constexpr double kMinRemoteShare = 0.02;

/// Returns the approximate share of time in which a slot is busy. The number of busy requests
/// includes queued ones, so it rises steeply as the share of time approaches 1; a target computed
/// from the number itself oscillates. The formula is within 0.05 of a simulation with two slots and
/// a sample of four upstreams, from 0.4 to 0.94.
double
utilisation(double aBusyPerSlot)
{
  return -std::expm1(-aBusyPerSlot);
}

} // namespace

void
RemotePlacement::update(TimePoint aKnownAt, std::span<const DataCentreOccupancy> aOccupancy)
{
  const bool wasKnown = isKnown(aKnownAt);
  const Millis elapsed = wasKnown ? std::max(Millis{}, aKnownAt - m_knownAt) : Millis{};
  if (!wasKnown) {
    m_share = 0;
    m_isApplied = false;
    m_pastShares.clear();
  }
  m_knownAt = aKnownAt;
  const auto local = std::ranges::find_if(
    aOccupancy, [](const DataCentreOccupancy& aEntry) { return aEntry.m_dataCentre->m_isLocal; });
  setWeights(aOccupancy, local != aOccupancy.end() ? local->m_busyPerSlot : 0);
  if (m_weights.empty() || local == aOccupancy.end() || local->m_slots <= 0) {
    m_share = 0;
    m_isApplied = false;
    return;
  }
  while (m_pastShares.size() > 1 && m_pastShares[1].first <= aKnownAt - kLoadDelay) {
    m_pastShares.pop_front();
  }
  const double pastShare = m_pastShares.empty() ? 0 : m_pastShares.front().second;
  const double localUtilisation = utilisation(std::max(kIdleBusyPerSlot, local->m_busyPerSlot));
  const double excess = localUtilisation - utilisation(m_remoteBusyPerSlot + kOccupancyMargin);
  // Moving a share of the flows that remain local lowers the local utilisation by that share of it,
  // and raises the remote one in the ratio of the slots.
  const double change =
    (1 - pastShare) * excess / (localUtilisation * (1 + local->m_slots / m_remoteSlots));
  const double target = std::clamp(pastShare + change, 0.0, kMaxRemoteShare);
  const Millis timeConstant = target > m_share ? kRiseTimeConstant : kFallTimeConstant;
  m_share += (target - m_share) * -std::expm1(-static_cast<double>(elapsed.count()) /
                                              static_cast<double>(timeConstant.count()));
  m_isApplied = m_share >= (m_isApplied ? kMinRemoteShare : kMinNewRemoteShare);
  m_pastShares.emplace_back(aKnownAt, remoteShare(aKnownAt));
}

void
RemotePlacement::setWeights(std::span<const DataCentreOccupancy> aOccupancy,
                            double aLocalBusyPerSlot)
{
  const auto setRemotesUpTo = [&](double aMaxBusyPerSlot) {
    m_weights.clear();
    m_remoteSlots = 0;
    m_remoteBusyPerSlot = 0;
    double total = 0;
    for (const DataCentreOccupancy& entry : aOccupancy) {
      if (entry.m_dataCentre->m_isLocal || entry.m_slots <= 0 ||
          entry.m_busyPerSlot > aMaxBusyPerSlot) {
        continue;
      }
      const double weight = entry.m_slots / std::max(kIdleBusyPerSlot, entry.m_busyPerSlot);
      total += weight;
      m_weights.push_back({ entry.m_dataCentre, total });
      m_remoteSlots += entry.m_slots;
      m_remoteBusyPerSlot += weight * entry.m_busyPerSlot;
    }
    m_remoteBusyPerSlot /= std::max(total, 1e-9);
  };
  setRemotesUpTo(aLocalBusyPerSlot);
  if (m_weights.empty()) {
    setRemotesUpTo(std::numeric_limits<double>::infinity());
  }
}

bool
RemotePlacement::isKnown(TimePoint aNow) const
{
  return m_knownAt != TimePoint{} && aNow - m_knownAt <= kMaxOccupancyAge && !m_weights.empty();
}

double
RemotePlacement::remoteShare(TimePoint aNow) const
{
  return isKnown(aNow) && m_isApplied ? m_share : 0;
}

const DataCentre*
RemotePlacement::remoteDataCentre(double aDraw) const
{
  const double position = aDraw * m_weights.back().m_cumulative;
  for (const Weight& weight : m_weights) {
    if (position < weight.m_cumulative) {
      return weight.m_dataCentre;
    }
  }
  return m_weights.back().m_dataCentre;
}

} // namespace tamarack::steering
