// Mechanisms of token steering that a setting can switch off: to measure what each is worth, or to
// rule one out while looking for a cause. Each name stands for one decision; docs/SETTINGS.md says
// what goes without it.
#pragma once

#include <array>
#include <bitset>
#include <cstdint>
#include <string_view>

namespace tamarack {

enum class Mechanism : uint8_t
{
  CallerSilence,
  HostReports,
  Pace,
  Refusals,
  GrowingAvoidance,
  NearFirst,
  FourCompared,
  ColdWeight,
  LapseGrace,
  DeadResets,
  NeighbourRecords,
  GlancePages,
  Reach,
  Withdrawal,
};

/// The names in settings, in the order of Mechanism.
inline constexpr std::array<std::string_view, 14> kMechanismNames{
  "caller-silence",    "host-reports",  "pace",        "refusals",    "growing-avoidance",
  "near-first",        "four-compared", "cold-weight", "lapse-grace", "dead-resets",
  "neighbour-records", "glance-pages",  "reach",       "withdrawal",
};

/// Those that are switched off; none unless a setting says so.
class Mechanisms
{
public:
  [[nodiscard]] bool isOn(Mechanism aMechanism) const
  {
    return !m_off.test(static_cast<size_t>(aMechanism));
  }

  /// Returns false when there is no mechanism of that name.
  bool switchOff(std::string_view aName)
  {
    for (size_t index = 0; index < kMechanismNames.size(); ++index) {
      if (kMechanismNames[index] == aName) {
        m_off.set(index);
        return true;
      }
    }
    return false;
  }

  friend bool operator==(const Mechanisms&, const Mechanisms&) = default;

private:
  std::bitset<kMechanismNames.size()> m_off;
};

} // namespace tamarack
