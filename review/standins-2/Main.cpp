// Runs one scenario of the second review: standin-world CASE FOLDER PROGRAM. Status 0: the rule was
// kept; 1: it was broken; 2: the scenario could not run. TROUBLE=0 leaves the disruption out.
#include "Scenarios.h"

#include <cstdlib>
#include <iostream>

int
main(int aCount, char** aWords)
{
  if (aCount != 4) {
    std::cerr << "usage: " << aWords[0] << " CASE FOLDER PROGRAM\n";
    return 2;
  }
  const char* const trouble = std::getenv("TROUBLE");
  const bool isTroubled = trouble == nullptr || std::string(trouble) != "0";
  try {
    review::World world(aWords[2], aWords[3]);
    return review::runScenario(aWords[1], world, isTroubled);
  } catch (const std::exception& error) {
    std::cerr << aWords[0] << ": " << error.what() << "\n";
    return 2;
  }
}
