// Command-line tool that runs simulations of the decision code, prints the metrics of each run as a
// line of JSON, and exits with 1 if a metric violates its target.
#include "session/Scenarios.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <popt.h>
#include <sstream>

namespace {

using namespace tamarack;

constexpr int kExitBoundViolated = 1;
constexpr int kExitUsage = 2;
constexpr int kMaxHosts = 64;
constexpr int kMaxFlows = 2'000'000;

struct Arguments
{
  std::string m_scenario = "steady";
  std::string m_deployment = "ventura";
  std::string m_spray = "packet";
  std::string m_policy = "tamarack";
  long m_seed = 1;
  int m_hosts = 8;
  int m_flows = 33'000;
  int m_newFlows = 60;
  int m_tracedFlow = 0;
  int m_listScenarios = 0;
  int m_traceEvents = 0;
  double m_minutes = 3;
};

/// Strings that popt allocates for the options; freed by the destructor.
struct PoptStrings
{
  PoptStrings() = default;
  PoptStrings(const PoptStrings&) = delete;
  PoptStrings& operator=(const PoptStrings&) = delete;
  ~PoptStrings()
  {
    for (char* text : { m_scenario, m_deployment, m_spray, m_policy }) {
      std::free(text);
    }
  }

  /// Replaces the defaults by the strings that were given.
  void applyTo(Arguments& aArguments) const
  {
    const auto assign = [](const char* aString, std::string& aTarget) {
      if (aString != nullptr) {
        aTarget = aString;
      }
    };
    assign(m_scenario, aArguments.m_scenario);
    assign(m_deployment, aArguments.m_deployment);
    assign(m_spray, aArguments.m_spray);
    assign(m_policy, aArguments.m_policy);
  }

  char* m_scenario{};
  char* m_deployment{};
  char* m_spray{};
  char* m_policy{};
};

/// Splits a list of scenario names at the plus signs.
std::vector<std::string>
splitNames(const std::string& aNames)
{
  std::vector<std::string> names;
  std::istringstream stream(aNames);
  for (std::string name; std::getline(stream, name, '+');) {
    names.push_back(name);
  }
  return names;
}

bool
isScenario(const std::string& aName)
{
  const auto table = session::scenarioTable();
  return std::ranges::find(table, aName, &session::ScenarioInfo::m_name) != table.end();
}

/// Returns a message about the first invalid argument, or an empty string.
std::string
findArgumentError(const Arguments& aArguments)
{
  const std::string_view deployment = aArguments.m_deployment;
  const std::string_view spray = aArguments.m_spray;
  const std::string_view policy = aArguments.m_policy;
  if (deployment != "ventura" && deployment != "makaa") {
    return "--deployment must be ventura or makaa";
  }
  if (spray != "packet" && spray != "sticky") {
    return "--spray must be packet or sticky";
  }
  if (policy != "tamarack" && policy != "baseline") {
    return "--policy must be tamarack or baseline";
  }
  if (aArguments.m_hosts < 1 || aArguments.m_hosts > kMaxHosts) {
    return "--hosts must be from 1 to 64";
  }
  if (!(aArguments.m_minutes >= 0.5 && aArguments.m_minutes <= 60)) {
    return "--minutes must be from 0.5 to 60";
  }
  if (aArguments.m_flows < 0 || aArguments.m_flows > kMaxFlows || aArguments.m_newFlows < 0) {
    return "--flows and --new-flows must be from 0 to 2000000";
  }
  if (aArguments.m_seed < 0 || aArguments.m_tracedFlow < 0) {
    return "--seed and --trace must not be negative";
  }
  const std::vector<std::string> names = splitNames(aArguments.m_scenario);
  if (names.empty()) {
    return "--scenario must name a scenario";
  }
  for (const std::string& name : names) {
    if (!isScenario(name) && !(name == "all" && names.size() == 1)) {
      return "unknown scenario '" + name + "'; --list shows all";
    }
  }
  return {};
}

session::SimulationOptions
makeOptions(const Arguments& aArguments, std::vector<std::string> aScenarios)
{
  using namespace session;
  return { .m_scenarios = std::move(aScenarios),
           .m_seed = static_cast<uint64_t>(aArguments.m_seed),
           .m_hosts = static_cast<size_t>(aArguments.m_hosts),
           .m_deployment = std::string_view(aArguments.m_deployment) == "makaa"
                             ? Deployment::Makaa
                             : Deployment::Ventura,
           .m_sprayMode = std::string_view(aArguments.m_spray) == "sticky" ? SprayMode::PerFlow
                                                                           : SprayMode::PerPacket,
           .m_minutes = aArguments.m_minutes,
           .m_concurrentFlows = static_cast<size_t>(aArguments.m_flows),
           .m_newFlowsPerSecond = static_cast<size_t>(aArguments.m_newFlows),
           .m_tracedFlow = static_cast<uint32_t>(aArguments.m_tracedFlow),
           .m_trace = &std::cout,
           .m_traceEvents = aArguments.m_traceEvents != 0 };
}

/// Runs one simulation and prints its metrics. Returns whether all metrics meet their targets.
bool
measure(const Arguments& aArguments, std::vector<std::string> aScenarios)
{
  const auto metrics =
    session::runSimulation(makeOptions(aArguments, std::move(aScenarios)), aArguments.m_policy);
  std::cout << session::toJsonLine(metrics) << "\n";
  const auto violated = session::violatedBounds(metrics);
  for (const std::string& bound : violated) {
    std::cerr << metrics.m_scenario << ": bound broken: " << bound << "\n";
  }
  return violated.empty();
}

void
listScenarios()
{
  for (const session::ScenarioInfo& scenario : session::scenarioTable()) {
    std::cout << scenario.m_name << ": " << scenario.m_description << "\n";
  }
}

} // namespace

int
main(int aArgumentCount, const char** aArguments)
{
  Arguments arguments;
  PoptStrings poptStrings;
  const poptOption options[] = {
    { "scenario",
      0,
      POPT_ARG_STRING,
      &poptStrings.m_scenario,
      0,
      "scenarios joined by +, or all",
      "NAME[+NAME]" },
    { "seed", 0, POPT_ARG_LONG, &arguments.m_seed, 0, "seed of the session", "N" },
    { "hosts", 0, POPT_ARG_INT, &arguments.m_hosts, 0, "number of entry hosts", "N" },
    { "deployment", 0, POPT_ARG_STRING, &poptStrings.m_deployment, 0, "ventura or makaa", "NAME" },
    { "spray", 0, POPT_ARG_STRING, &poptStrings.m_spray, 0, "packet or sticky", "NAME" },
    { "policy", 0, POPT_ARG_STRING, &poptStrings.m_policy, 0, "tamarack or baseline", "NAME" },
    { "minutes", 0, POPT_ARG_DOUBLE, &arguments.m_minutes, 0, "length of the session", "M" },
    { "flows", 0, POPT_ARG_INT, &arguments.m_flows, 0, "long flows that run at a time", "N" },
    { "new-flows", 0, POPT_ARG_INT, &arguments.m_newFlows, 0, "short flows a second", "N" },
    { "trace",
      0,
      POPT_ARG_INT,
      &arguments.m_tracedFlow,
      0,
      "print the decisions about a flow",
      "FLOW" },
    { "events",
      0,
      POPT_ARG_NONE,
      &arguments.m_traceEvents,
      0,
      "print the events of all hosts",
      nullptr },
    { "list", 0, POPT_ARG_NONE, &arguments.m_listScenarios, 0, "list the scenarios", nullptr },
    POPT_AUTOHELP POPT_TABLEEND
  };
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
    poptGetContext("tamarack-measure", aArgumentCount, aArguments, options, 0), &poptFreeContext);
  const int status = poptGetNextOpt(context.get());
  if (status < -1) {
    std::cerr << poptBadOption(context.get(), 0) << ": " << poptStrerror(status) << "\n";
    return kExitUsage;
  }
  poptStrings.applyTo(arguments);
  if (arguments.m_listScenarios != 0) {
    listScenarios();
    return 0;
  }
  const std::string error = findArgumentError(arguments);
  if (!error.empty()) {
    std::cerr << "tamarack-measure: " << error << "\n";
    return kExitUsage;
  }
  bool allHold = true;
  if (std::string_view(arguments.m_scenario) == "all") {
    for (const session::ScenarioInfo& scenario : session::scenarioTable()) {
      allHold = measure(arguments, { std::string(scenario.m_name) }) && allHold;
    }
  } else {
    allHold = measure(arguments, splitNames(arguments.m_scenario));
  }
  return allHold ? 0 : kExitBoundViolated;
}
