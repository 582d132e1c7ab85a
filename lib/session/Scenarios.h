// The named scenarios of planned changes and faults. Several can be combined in one run.
#pragma once

#include "session/Simulation.h"

#include <span>
#include <string_view>

namespace tamarack::session {

/// Schedules the changes and faults of one scenario. Instantiated for node::Node and BaselineNode.
template<HostPolicy Policy>
void
scheduleScenario(Simulation<Policy>& aSimulation, std::string_view aName);

struct ScenarioInfo
{
  std::string_view m_name;
  std::string_view m_description;
};

/// All scenarios with a description for users.
[[nodiscard]] std::span<const ScenarioInfo>
scenarioTable();

} // namespace tamarack::session
