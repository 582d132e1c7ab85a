// Runs one scenario: review-scenario NAME PROGRAM FOLDER RECORD. The variable TROUBLE=0 leaves out
// the disruption. Ends with 0 if the rule held, 1 if it was broken, 2 if the scenario did not run.
#include "Scenario.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace {

using namespace review;

const std::map<std::string, int (*)(Scene&)> kScenarios{
  { "foreign-entry", runForeignEntry }, { "large-entries", runLargeEntries },
  { "reused-port", runReusedPort },     { "full-endpoints", runFullEndpoints },
  { "stale-verdict", runStaleVerdict }, { "cold-after-evacuation", runColdAfterEvacuation },
};

int
run(const std::vector<std::string>& aWords)
{
  const auto scenario = kScenarios.find(aWords.size() == 4 ? aWords[0] : "");
  if (scenario == kScenarios.end()) {
    std::cerr << "usage: review-scenario NAME PROGRAM FOLDER RECORD\n";
    return kNotRun;
  }
  const char* const trouble = std::getenv("TROUBLE");
  Loop loop;
  Record record(aWords[3]);
  Fleet fleet(loop, record, { .m_program = aWords[1], .m_folder = aWords[2] });
  Scene scene{ loop, record, fleet, trouble == nullptr || std::string(trouble) != "0" };
  const int result = scenario->second(scene);
  record.addResult(result == kHeld     ? "the rule held"
                   : result == kBroken ? "the rule was broken"
                                       : "the scenario did not run");
  return result;
}

} // namespace

int
main(int aCount, char** aWords)
{
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return run({ aWords + 1, aWords + aCount });
  } catch (const std::exception& error) {
    std::cerr << "review-scenario: " << error.what() << "\n";
    return kNotRun;
  }
}
