// Diagnostics of the edge process: metrics in the Prometheus text format, a dump of its state as
// JSON, and an explanation of how it would handle packets of a flow.
#pragma once

#include "edge/Host.h"
#include "logging/LatencyHistogram.h"

#include <absl/status/statusor.h>
#include <string>

namespace tamarack::edge {

/// Counters of the process's input and output, in addition to those of the steering.
struct ProcessCounters
{
  /// Datagrams that could not be sent.
  uint64_t m_datagramsDropped{};
  uint64_t m_storeFailures{};
  uint64_t m_statusBytesSent{};
  uint64_t m_statusBytesReceived{};
  uint64_t m_pulls{};
  /// Statuses that the rate limit of received statuses rejected.
  uint64_t m_statusesDropped{};
  /// Packets and statuses that could not be parsed, and store answers without a history, by
  /// error kind.
  ErrorCounters m_inputErrors{};
};

/// The state that diagnostics are written from.
struct DiagnosticInputs
{
  const Host& m_host;
  const ProcessCounters& m_counters;
  const logging::LatencyHistogram& m_decisionTimes;
  const logging::LatencyHistogram& m_responseTimes;
  TimePoint m_now;
};

[[nodiscard]] std::string
writeMetrics(const DiagnosticInputs& aInputs);

[[nodiscard]] std::string
writeDump(const DiagnosticInputs& aInputs);

/// Explains as JSON how packets of a flow would be handled. `aFlow` is
/// `SOURCE:PORT,DESTINATION:PORT`, followed for an open flow by `,TOKEN` in hexadecimal digits.
[[nodiscard]] absl::StatusOr<std::string>
writeExplanation(const DiagnosticInputs& aInputs, std::string_view aFlow);

} // namespace tamarack::edge
