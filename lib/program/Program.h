// The common main function of the daemons: command line options, log, signals and event loop.
#pragma once

#include <absl/status/statusor.h>
#include <asio.hpp>

#include <functional>
#include <memory>
#include <string>

namespace tamarack::program {

/// Owns a daemon that runs on an event loop, and holds its signal callbacks.
struct DaemonHandle
{
  /// Keeps the daemon alive.
  std::shared_ptr<void> m_daemon;
  /// Called on the first SIGTERM or SIGINT, for a graceful shutdown. If it is empty, the event loop
  /// is stopped immediately.
  std::function<void()> m_stop;
  /// Called on SIGHUP. If it is empty, the signal is ignored.
  std::function<void()> m_reload;
};

/// Constructs a daemon from the configuration file given by `--config`. If it returns an error, the
/// program prints the message and exits.
using DaemonFactory =
  std::function<absl::StatusOr<DaemonHandle>(asio::io_context&, const std::string&)>;

/// Parses the command line, runs the daemon until it stops, and returns the exit status.
int
runDaemonProgram(const char* aName, int aArgc, const char** aArgv, const DaemonFactory& aFactory);

[[nodiscard]] absl::StatusOr<std::string>
readFile(const std::string& aFile);

} // namespace tamarack::program
