// Option parsing by popt and the life of a daemon.
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

void
waitForReload(asio::signal_set& aSignals, const Running& aRunning)
{
  aSignals.async_wait([&aSignals, &aRunning](const asio::error_code& aError, int) {
    if (aError) {
      return;
    }
    if (aRunning.m_reload) {
      aRunning.m_reload();
    }
    waitForReload(aSignals, aRunning);
  });
}

int
runLoop(const char* aName, const std::string& aFile, const Start& aStart)
{
  asio::io_context io;
  // Before anything else, for a signal that no one waits for would end the process.
  asio::signal_set reload(io, SIGHUP);
  asio::signal_set signals(io, SIGTERM, SIGINT);
  const auto running = aStart(io, aFile);
  if (!running.ok()) {
    std::cerr << aName << ": " << running.status().message() << "\n";
    return kExitUsage;
  }
  waitForReload(reload, *running);
  signals.async_wait([&](const asio::error_code& aError, int) {
    if (aError) {
      return;
    }
    logging::logEvent(EventId::ProcessStopping, "a signal asks for a stop");
    if (running->m_stop) {
      running->m_stop();
      return;
    }
    io.stop();
  });
  io.run();
  logging::logEvent(EventId::ProcessStopping, std::string(aName) + " ends");
  return 0;
}

} // namespace

int
runProgram(const char* aName, int aCount, const char** aWords, const Start& aStart)
{
  Arguments arguments;
  const int status = readArguments(aName, aCount, aWords, arguments);
  if (status >= 0) {
    return status;
  }
  const std::string file = arguments.m_config;
  std::free(arguments.m_config);
  // A peer that goes away must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  logging::initLog(aName);
  try {
    return runLoop(aName, file, aStart);
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
