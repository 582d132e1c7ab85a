// JSON serialization of the messages between the balancer and the probe process of one host, and
// parsing of the response of an upstream's health endpoint.
#pragma once

#include "node/Node.h"

#include <absl/status/statusor.h>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack::daemon {

[[nodiscard]] std::string
serializeTargets(const std::vector<node::ProbeTarget>& aTargets);

[[nodiscard]] absl::StatusOr<std::vector<node::ProbeTarget>>
parseTargets(std::string_view aText);

[[nodiscard]] std::string
serializeReports(const std::vector<admission::UpstreamReport>& aReports);

/// Parses a list of probe reports. A report that cannot be read is left out, and its error is added
/// to `aErrors`: the two processes of a host may be of different builds, and the other upstreams
/// must keep their reports.
[[nodiscard]] absl::StatusOr<std::vector<admission::UpstreamReport>>
parseReports(std::string_view aText, std::vector<std::string>& aErrors);

/// Parses the response body of a health endpoint: `{"service", "upstream", "generation", "run",
/// "state": "warm" | "cold" | "draining", "sheds", "connections", "busy_slots"}`. A malformed
/// response is reported like a missing one, with m_answered false. m_identityMatches tells whether
/// service, upstream name and generation in the response are those of the probed upstream.
[[nodiscard]] admission::UpstreamReport
parseHealthResponse(const node::ProbeTarget& aTarget, std::string_view aText);

} // namespace tamarack::daemon
