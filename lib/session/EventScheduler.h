// Discrete-event scheduler of the simulation. It runs actions in the order of their simulated time;
// actions for the same time run in the order in which they were scheduled.
#pragma once

#include "base/Types.h"

#include <functional>
#include <queue>
#include <vector>

namespace tamarack::session {

class EventScheduler
{
public:
  /// Simulated time at the start of the run. The decision code uses the time zero for "never", so
  /// the clock starts one hour later.
  static constexpr TimePoint kStart{ Millis{ 3'600'000 } };

  [[nodiscard]] TimePoint now() const { return m_now; }
  /// Simulated time since kStart.
  [[nodiscard]] Millis elapsed() const { return m_now - kStart; }

  /// A time in the past counts as now.
  void scheduleAt(TimePoint aTime, std::function<void()> aAction)
  {
    m_events.push({ std::max(aTime, m_now), m_nextSequence++, std::move(aAction) });
  }
  void scheduleAfter(Millis aDelay, std::function<void()> aAction)
  {
    scheduleAt(m_now + aDelay, std::move(aAction));
  }

  /// Runs all actions due up to and including `aEnd` and sets the clock to `aEnd`.
  void runUntil(TimePoint aEnd)
  {
    while (!m_events.empty() && m_events.top().m_time <= aEnd) {
      // std::priority_queue::top() is const. Moving the action out is safe because the comparison
      // does not read it and the entry is popped before the queue is used again.
      auto action = std::move(const_cast<Entry&>(m_events.top()).m_action);
      m_now = m_events.top().m_time;
      m_events.pop();
      action();
    }
    m_now = aEnd;
  }

private:
  struct Entry
  {
    TimePoint m_time;
    /// Orders entries of the same time.
    uint64_t m_sequence{};
    std::function<void()> m_action;

    /// Inverted, since std::priority_queue returns the largest entry first.
    bool operator<(const Entry& aOther) const
    {
      return m_time != aOther.m_time ? m_time > aOther.m_time : m_sequence > aOther.m_sequence;
    }
  };

  TimePoint m_now{ kStart };
  uint64_t m_nextSequence{};
  std::priority_queue<Entry> m_events;
};

} // namespace tamarack::session
