// Collects the events of the decision code: a bounded history for the operators' dump and a queue
// of what has not been logged yet.
#pragma once

#include "base/Events.h"

#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace tamarack {

class EventLog
{
public:
  void add(TimePoint aNow, EventId aId, std::string aText)
  {
    m_history.push_back({ aNow, aId, std::move(aText) });
    m_fresh.push_back(m_history.back());
    if (m_history.size() > kHistoryLength) {
      m_history.pop_front();
    }
  }

  /// Events since the last call.
  [[nodiscard]] std::vector<Event> takeFresh() { return std::exchange(m_fresh, {}); }

  [[nodiscard]] const std::deque<Event>& history() const { return m_history; }

private:
  static constexpr size_t kHistoryLength = 300;

  /// At most kHistoryLength events, oldest first.
  std::deque<Event> m_history;
  std::vector<Event> m_fresh;
};

} // namespace tamarack
