// Implements the event loop.
#include "Loop.h"

#include <algorithm>
#include <chrono>

namespace review {

int64_t
steadyMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

void
Loop::run()
{
  while (!m_isStopped) {
    std::vector<pollfd> descriptors;
    for (const auto& [descriptor, handler] : m_handlers) {
      descriptors.push_back({ descriptor, POLLIN, 0 });
    }
    const int64_t wait = m_timers.empty() ? 100 : m_timers.begin()->first - steadyMs();
    ::poll(
      descriptors.data(), descriptors.size(), static_cast<int>(std::clamp<int64_t>(wait, 0, 100)));
    runHandlers(descriptors);
    runTimers();
  }
}

void
Loop::runHandlers(const std::vector<pollfd>& aReady)
{
  for (const pollfd& ready : aReady) {
    const auto found = m_handlers.find(ready.fd);
    if (ready.revents != 0 && found != m_handlers.end()) {
      // A handler may remove itself.
      const Handler handler = found->second;
      handler();
    }
  }
}

void
Loop::runTimers()
{
  while (!m_timers.empty() && m_timers.begin()->first <= steadyMs()) {
    const Handler handler = std::move(m_timers.begin()->second);
    m_timers.erase(m_timers.begin());
    handler();
  }
}

} // namespace review
