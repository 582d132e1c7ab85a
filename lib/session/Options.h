// Options of a simulation run: sizes, random seed, scenarios to combine and trace output.
#pragma once

#include "base/Types.h"

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace tamarack::session {

/// Deployments whose data centres and services a simulation can model; see deploymentSpec().
enum class Deployment : uint8_t
{
  Ventura,
  Makaa,
};

/// How the fabric distributes the packets of a flow over the hosts.
enum class SprayMode : uint8_t
{
  /// Every packet goes to a host chosen at random.
  PerPacket,
  /// A hash of the flow selects the host, which changes only when the fabric's host list changes.
  PerFlow,
};

struct SimulationOptions
{
  /// Names from scenarioTable(); all of them are scheduled in the same run.
  std::vector<std::string> m_scenarios{ "steady" };
  uint64_t m_seed{ 1 };
  /// Load balancer hosts at the start of the run.
  size_t m_hosts{ 8 };
  Deployment m_deployment{ Deployment::Ventura };
  SprayMode m_sprayMode{ SprayMode::PerPacket };
  /// Simulated time.
  double m_minutes{ 3 };
  /// Long-lived flows that are open at the same time after the ramp-up.
  size_t m_concurrentFlows{ 33'000 };
  /// Short-lived flows opened per second after the ramp-up.
  size_t m_newFlowsPerSecond{ 60 };
  /// Index of the flow whose forwarding decisions are written to m_trace; 0 for none.
  uint32_t m_tracedFlow{};
  std::ostream* m_trace{};
  /// Writes the events of all hosts and the flows that failed to m_trace.
  bool m_traceEvents{};
};

/// Simulated time after which most scenarios make their first change. Each adds up to 2 s at
/// random, so that combined scenarios do not all act at the same instant.
inline constexpr Millis kFirstChangeTime{ 40'000 };

} // namespace tamarack::session
