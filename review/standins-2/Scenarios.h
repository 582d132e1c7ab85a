// The scenarios of the second review's scripts.
#pragma once

#include "World.h"

namespace review {

/// Returns the exit status: 0 if the rule was kept, 1 if it was broken, 2 if the case could not
/// run.
[[nodiscard]] int
runScenario(const std::string& aCase, World& aWorld, bool aIsTroubled);

} // namespace review
