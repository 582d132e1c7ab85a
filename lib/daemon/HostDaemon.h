// Runs one of the three daemons of an entry host on its configuration file.
#pragma once

#include "daemon/HostConfig.h"
#include "program/Program.h"

namespace tamarack::daemon {

/// Runs `Daemon`; one that has `stop()` is asked to stop, others end at once.
template<typename Daemon>
int
runHostDaemon(const char* aName, int aCount, const char** aWords)
{
  return program::runProgram(
    aName,
    aCount,
    aWords,
    [](asio::io_context& aIo, const std::string& aFile) -> absl::StatusOr<program::Running> {
      const auto config = readHostConfig(aFile);
      if (!config.ok()) {
        return config.status();
      }
      const auto daemon = std::make_shared<Daemon>(aIo, *config);
      program::Running running{ .m_daemon = daemon, .m_stop = {}, .m_reload = {} };
      if constexpr (requires { daemon->stop(); }) {
        running.m_stop = [daemon] { daemon->stop(); };
      }
      return running;
    });
}

} // namespace tamarack::daemon
