// The virtual clock: events in the order of their time, then of their making.
#pragma once

#include "base/Types.h"

#include <functional>
#include <queue>
#include <vector>

namespace tamarack::session {

class Timeline
{
public:
  /// Zero stands for "never" in the decision code, so the clock starts later.
  static constexpr TimePoint kStart{ Millis{ 3'600'000 } };

  [[nodiscard]] TimePoint now() const { return m_now; }
  [[nodiscard]] Millis elapsed() const { return m_now - kStart; }

  void at(TimePoint aTime, std::function<void()> aAction)
  {
    m_events.push({ std::max(aTime, m_now), m_made++, std::move(aAction) });
  }
  void after(Millis aDelay, std::function<void()> aAction)
  {
    at(m_now + aDelay, std::move(aAction));
  }

  void runUntil(TimePoint aEnd)
  {
    while (!m_events.empty() && m_events.top().m_at <= aEnd) {
      // The queue hands out const elements; the action is moved out just before the pop.
      auto action = std::move(const_cast<Entry&>(m_events.top()).m_action);
      m_now = m_events.top().m_at;
      m_events.pop();
      action();
    }
    m_now = aEnd;
  }

private:
  struct Entry
  {
    TimePoint m_at;
    uint64_t m_order{};
    std::function<void()> m_action;

    bool operator<(const Entry& aOther) const
    {
      return m_at != aOther.m_at ? m_at > aOther.m_at : m_order > aOther.m_order;
    }
  };

  TimePoint m_now{ kStart };
  uint64_t m_made{};
  std::priority_queue<Entry> m_events;
};

} // namespace tamarack::session
