// The command line tool for operators: validates settings files and configurations, and prints the
// state of running processes.
#include "edge/EdgeSettings.h"
#include "operator/Dump.h"
#include "platform/ConfigurationCheck.h"
#include "program/Program.h"
#include "settings/LastKnownGoodSettings.h"
#include "transport/Http2.h"

#include <cstdlib>
#include <iostream>
#include <popt.h>

namespace {

using namespace tamarack;

constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;
constexpr std::chrono::milliseconds kRequestTimeout{ 3000 };

struct CheckOptions
{
  std::string m_file;
  /// The file with the configuration in force, to compare with.
  std::optional<std::string> m_against;
  bool m_isJson{};
};

/// Reads a file, and prints an error if it cannot be read.
std::optional<std::string>
readInput(const std::string& aFile)
{
  auto text = program::readFile(aFile);
  if (!text.ok()) {
    std::cerr << "tamarackctl: " << text.status().message() << "\n";
    return std::nullopt;
  }
  return *std::move(text);
}

/// Prints the faults of a settings file, or `aSummary` if it has none. Returns the exit status.
int
printFaults(const std::vector<platform::Remark>& aFaults, std::string_view aSummary, bool aIsJson)
{
  if (aIsJson) {
    std::cout << platform::formatReportAsJson({ .m_errors = aFaults });
  } else if (aFaults.empty()) {
    std::cout << aSummary;
  }
  for (size_t index = 0; !aIsJson && index < aFaults.size(); ++index) {
    const platform::Remark& fault = aFaults[index];
    std::cout << fault.m_place << (fault.m_place.empty() ? "" : ": ") << fault.m_text << "\n";
  }
  return aFaults.empty() ? 0 : kExitFailure;
}

/// Validates the settings of an edge process. Returns the exit status.
int
checkEdgeSettings(std::string_view aText, bool aIsJson)
{
  const auto settings = edge::parseEdgeSettings(aText);
  if (!settings.ok()) {
    return printFaults(
      { { "invalid", "", std::string(settings.status().message()) } }, "", aIsJson);
  }
  return printFaults({},
                     "no faults: host " + settings->m_host + " in " + settings->m_dataCentre +
                       ", " + std::to_string(settings->m_seeds.size()) + " seeds\n",
                     aIsJson);
}

/// Validates a settings document. Returns the exit status.
int
checkSettings(const std::string& aText, bool aIsJson)
{
  settings::LastKnownGoodSettings lastKnownGood;
  const auto outcome = lastKnownGood.applyDocument(1, aText);
  std::vector<platform::Remark> faults;
  for (const settings::ValidationError& fault : outcome.m_errors) {
    faults.push_back({ "invalid", fault.m_path.empty() ? "/" : fault.m_path, fault.m_message });
  }
  std::string summary;
  if (faults.empty()) {
    summary = "no faults: " + std::to_string(lastKnownGood.settings()->m_services.size()) +
              " services, " + std::to_string(lastKnownGood.settings()->m_dataCentres.size()) +
              " data centres\n";
  }
  return printFaults(faults, summary, aIsJson);
}

/// Checks a configuration of the platform's store. Returns the exit status.
int
checkConfiguration(const std::string& aText, const CheckOptions& aOptions)
{
  std::optional<std::string> inForce;
  if (aOptions.m_against) {
    inForce = readInput(*aOptions.m_against);
    if (!inForce) {
      return kExitUsage;
    }
  }
  const auto report = platform::checkConfiguration(aText, inForce);
  if (!report.ok()) {
    std::cerr << "tamarackctl: " << *aOptions.m_against << ": " << report.status().message()
              << "\n";
    return kExitUsage;
  }
  std::cout << (aOptions.m_isJson ? platform::formatReportAsJson(*report)
                                  : platform::formatReport(*report));
  return report->hasFaults() ? kExitFailure : 0;
}

/// Checks the settings of an edge process, which have the key `peer_port`, a configuration of the
/// platform's store, or a settings document. Returns the exit status.
int
checkFile(const CheckOptions& aOptions)
{
  const auto text = readInput(aOptions.m_file);
  if (!text) {
    return kExitUsage;
  }
  const auto document = settings::parseDocument(*text);
  const bool isEdgeSettings = document.ok() && document->contains("peer_port");
  if (!isEdgeSettings && platform::isConfiguration(*text)) {
    return checkConfiguration(*text, aOptions);
  }
  if (aOptions.m_against) {
    std::cerr << "tamarackctl: --against needs a configuration of the platform's store, and "
              << aOptions.m_file << " is none\n";
    return kExitUsage;
  }
  return isEdgeSettings ? checkEdgeSettings(*text, aOptions.m_isJson)
                        : checkSettings(*text, aOptions.m_isJson);
}

/// Sends one request to `address:port` and prints the response body. Returns the exit status.
int
fetchAndPrint(const std::string& aAddress, const transport::Request& aRequest)
{
  asio::io_context io;
  transport::Response response{ .m_status = 0 };
  try {
    transport::Http2Client client(io, transport::parseEndpoint(aAddress));
    client.request(aRequest, kRequestTimeout, [&](const transport::Response& aResponse) {
      response = aResponse;
      io.stop();
    });
    io.run();
  } catch (const std::exception& error) {
    std::cerr << "tamarackctl: " << error.what() << "\n";
    return kExitUsage;
  }
  if (response.m_status == 0) {
    std::cerr << "tamarackctl: no response from " << aAddress << "\n";
    return kExitFailure;
  }
  (response.m_status == 200 ? std::cout : std::cerr) << response.m_body;
  return response.m_status == 200 ? 0 : kExitFailure;
}

int
runCommand(const std::vector<std::string>& aArguments, CheckOptions aOptions)
{
  if (aArguments.size() == 2 && aArguments[0] == "check") {
    aOptions.m_file = aArguments[1];
    return checkFile(aOptions);
  }
  const bool hasCheckOptions = aOptions.m_against || aOptions.m_isJson;
  if (!hasCheckOptions && aArguments.size() == 2 && aArguments[0] == "dump") {
    return fetchAndPrint(aArguments[1], { .m_method = "GET", .m_path = "/dump" });
  }
  if (!hasCheckOptions && aArguments.size() == 3 && aArguments[0] == "explain") {
    if (const auto flow = diagnostics::parseFlow(aArguments[2]); !flow.ok()) {
      std::cerr << "tamarackctl: " << flow.status().message() << "\n";
      return kExitUsage;
    }
    transport::Request request{ .m_method = "GET", .m_path = "/explain" };
    request.m_query["flow"] = aArguments[2];
    return fetchAndPrint(aArguments[1], request);
  }
  std::cerr << "usage: tamarackctl check FILE [--against FILE] [--json]\n"
               "       tamarackctl dump ADDRESS:PORT\n"
               "       tamarackctl explain ADDRESS:PORT tcp,SOURCE:PORT,DESTINATION:PORT\n";
  return kExitUsage;
}

} // namespace

int
main(int aArgc, const char** aArgv)
{
  int version = 0;
  int isJson = 0;
  char* against = nullptr;
  const poptOption options[] = {
    { "against", 0, POPT_ARG_STRING, &against, 0, "check: compare with a configuration", "FILE" },
    { "json", 0, POPT_ARG_NONE, &isJson, 0, "check: print the report as JSON", nullptr },
    { "version", 0, POPT_ARG_NONE, &version, 0, "print the version", nullptr },
    POPT_AUTOHELP POPT_TABLEEND
  };
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
    poptGetContext("tamarackctl", aArgc, aArgv, options, 0), &poptFreeContext);
  poptSetOtherOptionHelp(context.get(), "check FILE | dump ADDRESS | explain ADDRESS FLOW");
  const int status = poptGetNextOpt(context.get());
  const std::unique_ptr<char, decltype(&std::free)> againstOwner(against, &std::free);
  if (status < -1) {
    std::cerr << "tamarackctl: " << poptBadOption(context.get(), 0) << ": " << poptStrerror(status)
              << "\n";
    return kExitUsage;
  }
  if (version != 0) {
    std::cout << "tamarackctl 0.1.0\n";
    return 0;
  }
  std::vector<std::string> arguments;
  while (const char* argument = poptGetArg(context.get())) {
    arguments.emplace_back(argument);
  }
  return runCommand(
    arguments,
    { .m_file = {},
      .m_against = against == nullptr ? std::nullopt : std::optional<std::string>(against),
      .m_isJson = isJson != 0 });
}
