// A single-threaded event loop: poll() for descriptors, and timers on the steady clock.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <poll.h>
#include <vector>

namespace review {

/// Milliseconds of the steady clock.
[[nodiscard]] int64_t
steadyMs();

class Loop
{
public:
  using Handler = std::function<void()>;

  /// Calls `aHandler` whenever a descriptor is readable or has failed.
  void watch(int aDescriptor, Handler aHandler) { m_handlers[aDescriptor] = std::move(aHandler); }
  void forget(int aDescriptor) { m_handlers.erase(aDescriptor); }
  /// Calls `aHandler` once, `aDelayMs` from now.
  void after(int64_t aDelayMs, Handler aHandler)
  {
    m_timers.emplace(steadyMs() + aDelayMs, std::move(aHandler));
  }
  void run();
  void stop() { m_isStopped = true; }

private:
  void runTimers();
  void runHandlers(const std::vector<pollfd>& aReady);

  std::map<int, Handler> m_handlers;
  std::multimap<int64_t, Handler> m_timers;
  bool m_isStopped{};
};

} // namespace review
