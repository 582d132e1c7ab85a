// The named scenarios: what happens to the fleet, and when. Scenarios compose.
#pragma once

#include "session/Session.h"

#include <span>
#include <string_view>

namespace tamarack::session {

/// Schedules the actions of one scenario. Defined for both policies.
template<HostPolicy Policy>
void
scheduleScenario(Session<Policy>& aSession, std::string_view aName);

struct ScenarioRow
{
  std::string_view m_name;
  std::string_view m_meaning;
};

[[nodiscard]] std::span<const ScenarioRow>
scenarioTable();

} // namespace tamarack::session
