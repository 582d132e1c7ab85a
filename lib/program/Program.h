// What the main functions of the daemons share: options, log, signals and the event loop.
#pragma once

#include <absl/status/statusor.h>
#include <asio.hpp>

#include <functional>
#include <memory>
#include <string>

namespace tamarack::program {

/// A daemon that runs on an event loop.
struct Running
{
  /// Keeps the daemon alive.
  std::shared_ptr<void> m_daemon;
  /// Called on the first SIGTERM or SIGINT; empty to end at once.
  std::function<void()> m_stop;
  /// Called on SIGHUP; without it the signal is ignored.
  std::function<void()> m_reload;
};

/// Builds a daemon from the file that `--config` names. An error ends the program with its message.
using Start = std::function<absl::StatusOr<Running>(asio::io_context&, const std::string&)>;

/// Reads the options, runs the daemon until it stops, and returns the exit status.
int
runProgram(const char* aName, int aCount, const char** aWords, const Start& aStart);

/// Reads a whole file.
[[nodiscard]] absl::StatusOr<std::string>
readFile(const std::string& aFile);

} // namespace tamarack::program
