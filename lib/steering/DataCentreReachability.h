// Detects that no upstream of a data centre can be reached, from the packets of the callers of all
// of them together. When a data centre is disconnected from this host, all of its upstreams stop
// answering at once; detecting that for each upstream separately would cost at least one caller per
// upstream.
#pragma once

#include "base/Types.h"
#include "overload/LoadReport.h"

#include <algorithm>
#include <string>

namespace tamarack::steering {

/// A data centre is considered unreachable after this number of consecutive retransmissions without
/// a response of any of its upstreams, if they span at least kMinUnreachableSpan. The minimum span
/// ensures that one lost batch of datagrams is not enough.
inline constexpr uint32_t kUnreachableRetransmissions = 6;
inline constexpr Millis kMinUnreachableSpan{ 250 };
/// Time after the last retransmission during which new flows avoid an unreachable data centre.
/// Callers on established flows continue to retransmit, and their packets show when it is reachable
/// again.
inline constexpr Millis kUnreachableAvoidanceTime{ 1000 };
/// Time after the last retransmission from which on earlier ones say nothing: the data centre may
/// have become reachable while no caller sent packets there.
inline constexpr Millis kUnreachableLifetime{ 3000 };
/// Interval between new flows that try an unreachable data centre once the avoidance has ended.
inline constexpr Millis kDataCentreTrialInterval{ 300 };

class DataCentreReachability
{
public:
  /// Records that a caller retransmitted a packet to an upstream of the data centre. Returns
  /// whether the data centre becomes unreachable with it.
  bool onRetransmission(TimePoint aNow)
  {
    const bool wasUnreachable = isUnreachable(aNow);
    if (aNow - m_lastRetransmissionAt > kUnreachableLifetime) {
      m_retransmissions = 0;
    }
    if (m_retransmissions == 0) {
      m_firstRetransmissionAt = aNow;
    }
    m_lastRetransmissionAt = aNow;
    ++m_retransmissions;
    m_isUnreachable = m_retransmissions >= kUnreachableRetransmissions &&
                      aNow - m_firstRetransmissionAt >= kMinUnreachableSpan;
    if (m_isUnreachable) {
      m_avoidedUntil = std::max(m_avoidedUntil, aNow + kUnreachableAvoidanceTime);
    }
    return m_isUnreachable && !wasUnreachable;
  }

  /// Records that an upstream of the data centre answered a caller. Returns whether the data centre
  /// was unreachable before.
  bool onResponse()
  {
    const bool wasUnreachable = m_isUnreachable;
    m_retransmissions = 0;
    m_isUnreachable = false;
    m_avoidedUntil = {};
    return wasUnreachable;
  }

  /// Records that a new flow is assigned to an upstream of the data centre.
  void onNewFlow(TimePoint aNow)
  {
    if (m_isUnreachable) {
      m_avoidedUntil = std::max(m_avoidedUntil, aNow + kDataCentreTrialInterval);
    }
  }

  /// Whether new flows should go to other data centres.
  [[nodiscard]] bool isAvoided(TimePoint aNow) const { return aNow < m_avoidedUntil; }
  /// Whether the data centre became unreachable and none of its upstreams has answered since.
  [[nodiscard]] bool isUnreachable() const { return m_isUnreachable; }
  /// The same, unless nothing has shown it for kUnreachableLifetime.
  [[nodiscard]] bool isUnreachable(TimePoint aNow) const
  {
    return m_isUnreachable && aNow - m_lastRetransmissionAt <= kUnreachableLifetime;
  }

private:
  /// Retransmissions since the last response.
  uint32_t m_retransmissions{};
  bool m_isUnreachable{};
  /// Valid while m_retransmissions is not 0.
  TimePoint m_firstRetransmissionAt;
  TimePoint m_lastRetransmissionAt;
  TimePoint m_avoidedUntil;
};

/// State of a data centre as a whole.
struct DataCentre
{
  std::string m_name;
  /// The identifier in load reports.
  overload::DataCentreId m_id;
  /// Position among all data centres of the directory, in the order in which they were seen.
  size_t m_index{};
  bool m_isLocal{};
  DataCentreReachability m_reachability;
};

} // namespace tamarack::steering
