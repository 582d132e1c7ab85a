// What a scripted session is made of: sizes, seeds, the scenarios to compose and what to print.
#pragma once

#include "base/Types.h"

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace tamarack::session {

enum class Deployment : uint8_t
{
  Ventura,
  Makaa,
};

enum class Spray : uint8_t
{
  /// Each packet may go to any host.
  Packet,
  /// A flow keeps its host until the fabric's list changes.
  Sticky,
};

struct SessionOptions
{
  std::vector<std::string> m_scenarios{ "steady" };
  uint64_t m_seed{ 1 };
  size_t m_hosts{ 8 };
  Deployment m_deployment{ Deployment::Ventura };
  Spray m_spray{ Spray::Packet };
  double m_minutes{ 3 };
  /// Flows that run at the same time once the load is up.
  size_t m_runningFlows{ 33'000 };
  /// New flows a second beside the long feeds.
  size_t m_newFlowsPerSecond{ 60 };
  /// Prints the decisions about this flow to m_trace; zero for none.
  uint32_t m_tracedFlow{};
  std::ostream* m_trace{};
  /// Prints the events of all hosts to m_trace.
  bool m_traceEvents{};
};

/// When the first change of a scenario happens.
inline constexpr Millis kFirstChange{ 40'000 };

} // namespace tamarack::session
