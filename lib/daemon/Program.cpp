// Option parsing by popt and the life of a daemon.
#include "daemon/Program.h"

#include "operator/Log.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <popt.h>

namespace tamarack::daemon {

namespace {

constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;
constexpr const char* kVersion = "0.1.0";

struct Arguments
{
  char* m_config{};
  int m_version{};
};

/// Returns the exit status when the program shall end now, or a negative number.
int
readArguments(const char* aName, int aCount, const char** aWords, Arguments& aArguments)
{
  const poptOption options[] = {
    { "config",
      'c',
      POPT_ARG_STRING,
      &aArguments.m_config,
      0,
      "configuration of this host",
      "FILE" },
    { "version", 0, POPT_ARG_NONE, &aArguments.m_version, 0, "print the version", nullptr },
    POPT_AUTOHELP POPT_TABLEEND
  };
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
    poptGetContext(aName, aCount, aWords, options, 0), &poptFreeContext);
  const int status = poptGetNextOpt(context.get());
  if (status < -1) {
    std::cerr << aName << ": " << poptBadOption(context.get(), 0) << ": " << poptStrerror(status)
              << "\n";
    return kExitUsage;
  }
  if (aArguments.m_version != 0) {
    std::cout << aName << " " << kVersion << "\n";
    return 0;
  }
  if (aArguments.m_config == nullptr) {
    std::cerr << aName << ": --config FILE is missing\n";
    return kExitUsage;
  }
  return -1;
}

int
runLoop(const char* aName, const HostConfig& aConfig, const StartDaemon& aStart)
{
  asio::io_context io;
  const Running running = aStart(io, aConfig);
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](const asio::error_code& aError, int) {
    if (aError) {
      return;
    }
    operating::logEvent(EventId::ProcessStopping, "a signal asks for a stop");
    if (running.m_stop) {
      running.m_stop();
      return;
    }
    io.stop();
  });
  io.run();
  operating::logEvent(EventId::ProcessStopping, std::string(aName) + " ends");
  return 0;
}

} // namespace

int
runDaemon(const char* aName, int aCount, const char** aWords, const StartDaemon& aStart)
{
  Arguments arguments;
  const int status = readArguments(aName, aCount, aWords, arguments);
  if (status >= 0) {
    return status;
  }
  const auto config = readHostConfig(arguments.m_config);
  std::free(arguments.m_config);
  if (!config.ok()) {
    std::cerr << aName << ": " << config.status().message() << "\n";
    return kExitUsage;
  }
  operating::initLog(aName);
  try {
    return runLoop(aName, *config, aStart);
  } catch (const std::exception& error) {
    std::cerr << aName << ": " << error.what() << "\n";
    return kExitFailure;
  }
}

} // namespace tamarack::daemon
