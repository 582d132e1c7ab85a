// The messages between the balancer and the probe process of one host, and the answer of an
// upstream's health endpoint, as JSON.
#pragma once

#include "node/Node.h"

#include <absl/status/statusor.h>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack::daemon {

[[nodiscard]] std::string
targetsToText(const std::vector<node::ProbeTarget>& aTargets);

[[nodiscard]] absl::StatusOr<std::vector<node::ProbeTarget>>
targetsFromText(std::string_view aText);

[[nodiscard]] std::string
reportsToText(const std::vector<admission::UpstreamReport>& aReports);

[[nodiscard]] absl::StatusOr<std::vector<admission::UpstreamReport>>
reportsFromText(std::string_view aText);

/// Reads the answer of a health endpoint: `{"service", "upstream", "generation", "run",
/// "state": "warm" | "cold" | "draining", "sheds", "connections", "busy_slots"}`. An answer of
/// another shape counts as none.
[[nodiscard]] admission::UpstreamReport
readHealth(const node::ProbeTarget& aTarget, std::string_view aText);

} // namespace tamarack::daemon
