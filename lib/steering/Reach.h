// Judges whether a data centre's upstreams can be reached at all, by what callers show of all of
// them together. It answers a data centre that is cut off from this host: each of its upstreams
// falls silent at once, and to find that out one by one would cost a caller each.
#pragma once

#include "base/Types.h"

#include <algorithm>
#include <string>

namespace tamarack::steering {

/// Repeated packets in a row, without a sign of life of any upstream of the data centre, from which
/// on it counts as lost; and the time that they must span, so that one lost batch is not enough.
inline constexpr uint32_t kRepeatsOfLoss = 6;
inline constexpr Millis kSpanOfLoss{ 250 };
/// Since the last repeated packet. Callers on kept flows go on to repeat, and show when it is back.
inline constexpr Millis kLossBelief{ 1000 };
/// After that, one new flow at a time tries it.
inline constexpr Millis kReachTrialInterval{ 300 };

class Reach
{
public:
  /// A caller repeats a packet that was sent to one of its upstreams. Returns whether that is the
  /// one from which on it counts as lost.
  bool onSilence(TimePoint aNow)
  {
    if (m_repeats == 0) {
      m_silentSince = aNow;
    }
    ++m_repeats;
    const bool wasSilent = m_isSilent;
    m_isSilent = m_repeats >= kRepeatsOfLoss && aNow - m_silentSince >= kSpanOfLoss;
    if (m_isSilent) {
      m_lostUntil = std::max(m_lostUntil, aNow + kLossBelief);
    }
    return m_isSilent && !wasSilent;
  }

  /// One of its upstreams answered a caller. Returns whether that is news.
  bool onLife()
  {
    const bool wasSilent = m_isSilent;
    m_repeats = 0;
    m_isSilent = false;
    m_lostUntil = {};
    return wasSilent;
  }

  /// A new flow goes there.
  void onTried(TimePoint aNow)
  {
    if (m_isSilent) {
      m_lostUntil = std::max(m_lostUntil, aNow + kReachTrialInterval);
    }
  }

  /// New flows go elsewhere.
  [[nodiscard]] bool isLost(TimePoint aNow) const { return aNow < m_lostUntil; }
  /// Nothing has come from there since it was lost.
  [[nodiscard]] bool isSilent() const { return m_isSilent; }

private:
  /// Since the last sign of life.
  uint32_t m_repeats{};
  bool m_isSilent{};
  TimePoint m_silentSince;
  TimePoint m_lostUntil;
};

/// What this host knows of a data centre as a whole.
struct DataCentre
{
  std::string m_name;
  bool m_isLocal{};
  Reach m_reach;
};

} // namespace tamarack::steering
