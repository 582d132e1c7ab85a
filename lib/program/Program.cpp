// Command line parsing with popt, signal handling and the event loop.
#include "program/Program.h"

#include "logging/Log.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <popt.h>
#include <sstream>

namespace tamarack::program {

namespace {

constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;
constexpr const char* kVersion = "0.1.0";

struct Options
{
  char* m_config{};
  int m_version{};
};

/// Returns the exit status if the program is to exit now, as after `--version` or an invalid
/// option, and a negative number otherwise.
int
parseOptions(const char* aName, int aArgc, const char** aArgv, Options& aParsed)
{
  const poptOption options[] = {
    { "config", 'c', POPT_ARG_STRING, &aParsed.m_config, 0, "configuration of this host", "FILE" },
    { "version", 0, POPT_ARG_NONE, &aParsed.m_version, 0, "print the version", nullptr },
    POPT_AUTOHELP POPT_TABLEEND
  };
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
    poptGetContext(aName, aArgc, aArgv, options, 0), &poptFreeContext);
  const int status = poptGetNextOpt(context.get());
  if (status < -1) {
    std::cerr << aName << ": " << poptBadOption(context.get(), 0) << ": " << poptStrerror(status)
              << "\n";
    return kExitUsage;
  }
  if (aParsed.m_version != 0) {
    std::cout << aName << " " << kVersion << "\n";
    return 0;
  }
  if (aParsed.m_config == nullptr) {
    std::cerr << aName << ": --config FILE is missing\n";
    return kExitUsage;
  }
  return -1;
}

void
handleReloadSignals(asio::signal_set& aReloadSignals, const DaemonHandle& aHandle)
{
  aReloadSignals.async_wait([&aReloadSignals, &aHandle](const asio::error_code& aError, int) {
    if (aError) {
      return;
    }
    if (aHandle.m_reload) {
      aHandle.m_reload();
    }
    handleReloadSignals(aReloadSignals, aHandle);
  });
}

int
runEventLoop(const char* aName, const std::string& aFile, const DaemonFactory& aFactory)
{
  asio::io_context io;
  // Installed before the daemon is constructed, because the default action of an unhandled SIGHUP
  // terminates the process.
  asio::signal_set reloadSignals(io, SIGHUP);
  asio::signal_set stopSignals(io, SIGTERM, SIGINT);
  const auto handle = aFactory(io, aFile);
  if (!handle.ok()) {
    std::cerr << aName << ": " << handle.status().message() << "\n";
    return kExitUsage;
  }
  handleReloadSignals(reloadSignals, *handle);
  stopSignals.async_wait([&](const asio::error_code& aError, int) {
    if (aError) {
      return;
    }
    logging::logEvent(EventId::ProcessStopping, "received SIGTERM or SIGINT");
    if (handle->m_stop) {
      handle->m_stop();
      return;
    }
    io.stop();
  });
  io.run();
  logging::logEvent(EventId::ProcessStopping, std::string(aName) + " exits");
  return 0;
}

} // namespace

int
runDaemonProgram(const char* aName, int aArgc, const char** aArgv, const DaemonFactory& aFactory)
{
  Options parsed;
  const int status = parseOptions(aName, aArgc, aArgv, parsed);
  if (status >= 0) {
    return status;
  }
  const std::string file = parsed.m_config;
  std::free(parsed.m_config);
  // Without this, a write to a connection that the peer has closed would terminate the process.
  std::signal(SIGPIPE, SIG_IGN);
  logging::initLog(aName);
  try {
    return runEventLoop(aName, file, aFactory);
  } catch (const std::exception& error) {
    std::cerr << aName << ": " << error.what() << "\n";
    return kExitFailure;
  }
}

absl::StatusOr<std::string>
readFile(const std::string& aFile)
{
  std::ifstream stream(aFile, std::ios::binary);
  if (!stream) {
    return absl::NotFoundError("cannot open " + aFile);
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

} // namespace tamarack::program
