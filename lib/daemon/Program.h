// What the main functions of the daemons share: options, log, signals and the event loop.
#pragma once

#include "daemon/HostConfig.h"

#include <asio.hpp>

#include <functional>
#include <memory>

namespace tamarack::daemon {

/// A daemon that runs on an event loop.
struct Running
{
  /// Keeps the daemon alive.
  std::shared_ptr<void> m_daemon;
  /// Called on the first SIGTERM or SIGINT; empty to end at once.
  std::function<void()> m_stop;
};

using StartDaemon = std::function<Running(asio::io_context&, HostConfig)>;

/// Reads `--config FILE`, runs the daemon until it stops, and returns the exit status.
int
runDaemon(const char* aName, int aCount, const char** aWords, const StartDaemon& aStart);

} // namespace tamarack::daemon
