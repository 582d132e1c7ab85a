// Where a starting host gets its first records: from a host of its data centre, which costs the
// store nothing, or from the store. It answers the starts of many hosts at a time: hosts that are
// added, rolling restarts, and half of a data centre that comes back after a loss of power.
#pragma once

#include "base/Types.h"

#include <string_view>

namespace tamarack::edge {

/// A host that is up answers within a few milliseconds, also on a twentieth of a core. When nobody
/// does, all hosts may have lost power, and callers wait.
inline constexpr Millis kAnswerPatience{ 50 };
/// A host that has heard of records has to find a neighbour that holds them.
inline constexpr Millis kNeighbourPatience{ 300 };
/// A transfer that takes longer than this goes on beside the reading of the store.
inline constexpr Millis kTransferPatience{ 600 };
/// Time between two looks at what is due, until the first records are there.
inline constexpr Millis kStartTickInterval{ 25 };

class FirstRecords
{
public:
  /// The process has begun to ask other hosts, if it knows any.
  void begin(TimePoint aNow, bool aHasSeeds)
  {
    m_startedAt = m_startedAt == TimePoint{} ? aNow : m_startedAt;
    m_hasSeeds = aHasSeeds;
  }
  void onAnswer(bool aHasRecords)
  {
    m_hasHeardRecords = m_hasHeardRecords || aHasRecords;
    m_hasHeardEmpty = m_hasHeardEmpty || !aHasRecords;
  }
  void onTransferBegun(TimePoint aNow) { m_transferBegunAt = aNow; }
  void onTransferFailed()
  {
    m_transferBegunAt = {};
    m_hasFailed = true;
  }

  /// Why the store has to be read now; empty while there may be a better way.
  [[nodiscard]] std::string_view reasonForStore(TimePoint aNow) const
  {
    if (m_transferBegunAt != TimePoint{}) {
      return aNow - m_transferBegunAt >= kTransferPatience ? "transfer-slow" : "";
    }
    if (m_hasFailed) {
      return "transfer-failed";
    }
    if (!m_hasSeeds) {
      return "no-seeds";
    }
    const Millis waited = aNow - m_startedAt;
    if (m_hasHeardRecords) {
      return waited >= kNeighbourPatience ? "no-neighbour" : "";
    }
    if (m_hasHeardEmpty) {
      // Whoever answers has just started, too.
      return "neighbours-empty";
    }
    return waited >= kAnswerPatience ? "no-answer" : "";
  }

  /// Whether records of a host of another data centre, or old ones, are better than none by now.
  [[nodiscard]] bool takesAny(TimePoint aNow) const
  {
    return aNow - m_startedAt >= kTransferPatience;
  }

private:
  TimePoint m_startedAt;
  /// The epoch while no transfer is under way.
  TimePoint m_transferBegunAt;
  bool m_hasSeeds{};
  bool m_hasFailed{};
  bool m_hasHeardRecords{};
  bool m_hasHeardEmpty{};
};

} // namespace tamarack::edge
