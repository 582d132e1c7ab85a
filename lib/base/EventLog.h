// Records the events of the decision code. Keeps a bounded history for the state dump that
// operators request, and a queue of the events that the process has not written to its log yet.
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
    m_unlogged.push_back(m_history.back());
    if (m_history.size() > kMaxHistoryEvents) {
      m_history.pop_front();
    }
  }

  /// Returns the events added since the previous call and removes them from the queue.
  [[nodiscard]] std::vector<Event> takeUnlogged() { return std::exchange(m_unlogged, {}); }

  [[nodiscard]] const std::deque<Event>& history() const { return m_history; }

private:
  static constexpr size_t kMaxHistoryEvents = 300;

  /// The latest events, oldest first; at most kMaxHistoryEvents.
  std::deque<Event> m_history;
  /// Events not yet returned by takeUnlogged, oldest first.
  std::vector<Event> m_unlogged;
};

} // namespace tamarack
