// The main function that the balancer, settings and probe daemons share: it constructs the daemon
// from the host configuration file and runs it.
#pragma once

#include "daemon/HostConfig.h"
#include "program/Program.h"

namespace tamarack::daemon {

/// Parses the command line and runs `Daemon` until SIGTERM or SIGINT. If `Daemon` has a `stop()`
/// member function, the signal calls it for a graceful shutdown; otherwise the event loop is
/// stopped immediately. Returns the exit status.
template<typename Daemon>
int
runConfiguredDaemon(const char* aName, int aArgc, const char** aArgv)
{
  return program::runDaemonProgram(
    aName,
    aArgc,
    aArgv,
    [](asio::io_context& aIo, const std::string& aFile) -> absl::StatusOr<program::DaemonHandle> {
      const auto config = readHostConfig(aFile);
      if (!config.ok()) {
        return config.status();
      }
      const auto daemon = std::make_shared<Daemon>(aIo, *config);
      program::DaemonHandle handle{ .m_daemon = daemon, .m_stop = {}, .m_reload = {} };
      if constexpr (requires { daemon->stop(); }) {
        handle.m_stop = [daemon] { daemon->stop(); };
      }
      return handle;
    });
}

} // namespace tamarack::daemon
