// Measures the decision code on scripted sessions and checks the figures against the stated bounds.
#include "session/Scenarios.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <popt.h>
#include <sstream>

namespace {

using namespace tamarack;

constexpr int kExitBound = 1;
constexpr int kExitUsage = 2;
constexpr int kMostHosts = 64;
constexpr int kMostFlows = 2'000'000;

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
  int m_trace = 0;
  int m_list = 0;
  int m_events = 0;
  double m_minutes = 3;
};

/// Texts that popt hands over; they are freed here.
struct GivenTexts
{
  GivenTexts() = default;
  GivenTexts(const GivenTexts&) = delete;
  GivenTexts& operator=(const GivenTexts&) = delete;
  ~GivenTexts()
  {
    for (char* text : { m_scenario, m_deployment, m_spray, m_policy }) {
      std::free(text);
    }
  }

  /// Puts the given texts in the places of the defaults.
  void moveTo(Arguments& aArguments) const
  {
    const auto take = [](const char* aGiven, std::string& aTarget) {
      if (aGiven != nullptr) {
        aTarget = aGiven;
      }
    };
    take(m_scenario, aArguments.m_scenario);
    take(m_deployment, aArguments.m_deployment);
    take(m_spray, aArguments.m_spray);
    take(m_policy, aArguments.m_policy);
  }

  char* m_scenario{};
  char* m_deployment{};
  char* m_spray{};
  char* m_policy{};
};

std::vector<std::string>
splitNames(const std::string& aText)
{
  std::vector<std::string> names;
  std::istringstream stream(aText);
  for (std::string name; std::getline(stream, name, '+');) {
    names.push_back(name);
  }
  return names;
}

bool
isScenario(const std::string& aName)
{
  const auto table = session::scenarioTable();
  return std::ranges::find(table, aName, &session::ScenarioRow::m_name) != table.end();
}

/// Returns the fault of the arguments, or an empty text.
std::string
findFault(const Arguments& aArguments)
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
  if (aArguments.m_hosts < 1 || aArguments.m_hosts > kMostHosts) {
    return "--hosts must be from 1 to 64";
  }
  if (!(aArguments.m_minutes >= 0.5 && aArguments.m_minutes <= 60)) {
    return "--minutes must be from 0.5 to 60";
  }
  if (aArguments.m_flows < 0 || aArguments.m_flows > kMostFlows || aArguments.m_newFlows < 0) {
    return "--flows and --new-flows must be from 0 to 2000000";
  }
  if (aArguments.m_seed < 0 || aArguments.m_trace < 0) {
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

session::SessionOptions
makeOptions(const Arguments& aArguments, std::vector<std::string> aScenarios)
{
  using namespace session;
  return { .m_scenarios = std::move(aScenarios),
           .m_seed = static_cast<uint64_t>(aArguments.m_seed),
           .m_hosts = static_cast<size_t>(aArguments.m_hosts),
           .m_deployment = std::string_view(aArguments.m_deployment) == "makaa"
                             ? Deployment::Makaa
                             : Deployment::Ventura,
           .m_spray =
             std::string_view(aArguments.m_spray) == "sticky" ? Spray::Sticky : Spray::Packet,
           .m_minutes = aArguments.m_minutes,
           .m_runningFlows = static_cast<size_t>(aArguments.m_flows),
           .m_newFlowsPerSecond = static_cast<size_t>(aArguments.m_newFlows),
           .m_tracedFlow = static_cast<uint32_t>(aArguments.m_trace),
           .m_trace = &std::cout,
           .m_traceEvents = aArguments.m_events != 0 };
}

/// Runs one session. Returns whether all bounds hold.
bool
measure(const Arguments& aArguments, std::vector<std::string> aScenarios)
{
  const auto figures =
    session::runSession(makeOptions(aArguments, std::move(aScenarios)), aArguments.m_policy);
  std::cout << session::toJsonLine(figures) << "\n";
  const auto broken = session::brokenBounds(figures);
  for (const std::string& bound : broken) {
    std::cerr << figures.m_scenario << ": bound broken: " << bound << "\n";
  }
  return broken.empty();
}

void
listScenarios()
{
  for (const session::ScenarioRow& row : session::scenarioTable()) {
    std::cout << row.m_name << ": " << row.m_meaning << "\n";
  }
}

} // namespace

int
main(int aCount, const char** aWords)
{
  Arguments arguments;
  GivenTexts given;
  const poptOption options[] = {
    { "scenario",
      0,
      POPT_ARG_STRING,
      &given.m_scenario,
      0,
      "scenarios joined by +, or all",
      "NAME[+NAME]" },
    { "seed", 0, POPT_ARG_LONG, &arguments.m_seed, 0, "seed of the session", "N" },
    { "hosts", 0, POPT_ARG_INT, &arguments.m_hosts, 0, "number of entry hosts", "N" },
    { "deployment", 0, POPT_ARG_STRING, &given.m_deployment, 0, "ventura or makaa", "NAME" },
    { "spray", 0, POPT_ARG_STRING, &given.m_spray, 0, "packet or sticky", "NAME" },
    { "policy", 0, POPT_ARG_STRING, &given.m_policy, 0, "tamarack or baseline", "NAME" },
    { "minutes", 0, POPT_ARG_DOUBLE, &arguments.m_minutes, 0, "length of the session", "M" },
    { "flows", 0, POPT_ARG_INT, &arguments.m_flows, 0, "long flows that run at a time", "N" },
    { "new-flows", 0, POPT_ARG_INT, &arguments.m_newFlows, 0, "short flows a second", "N" },
    { "trace", 0, POPT_ARG_INT, &arguments.m_trace, 0, "print the decisions about a flow", "FLOW" },
    { "events",
      0,
      POPT_ARG_NONE,
      &arguments.m_events,
      0,
      "print the events of all hosts",
      nullptr },
    { "list", 0, POPT_ARG_NONE, &arguments.m_list, 0, "list the scenarios", nullptr },
    POPT_AUTOHELP POPT_TABLEEND
  };
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
    poptGetContext("tamarack-measure", aCount, aWords, options, 0), &poptFreeContext);
  const int status = poptGetNextOpt(context.get());
  if (status < -1) {
    std::cerr << poptBadOption(context.get(), 0) << ": " << poptStrerror(status) << "\n";
    return kExitUsage;
  }
  given.moveTo(arguments);
  if (arguments.m_list != 0) {
    listScenarios();
    return 0;
  }
  const std::string fault = findFault(arguments);
  if (!fault.empty()) {
    std::cerr << "tamarack-measure: " << fault << "\n";
    return kExitUsage;
  }
  bool allHold = true;
  if (std::string_view(arguments.m_scenario) == "all") {
    for (const session::ScenarioRow& row : session::scenarioTable()) {
      allHold = measure(arguments, { std::string(row.m_name) }) && allHold;
    }
  } else {
    allHold = measure(arguments, splitNames(arguments.m_scenario));
  }
  return allHold ? 0 : kExitBound;
}
