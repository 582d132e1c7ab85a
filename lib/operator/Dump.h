// Diagnostics for operators: the state of a balancer host as JSON, and an explanation of where the
// host forwards the packets of one flow.
#pragma once

#include "node/Node.h"

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>
#include <string_view>

namespace tamarack::diagnostics {

using Json = nlohmann::ordered_json;

/// The state on which the host bases its forwarding decisions: settings, members, services with
/// their buckets and upstreams, counters and recent events.
[[nodiscard]] Json
dumpNode(const node::Node& aNode, TimePoint aNow);

/// Parses `tcp,SOURCE:PORT,DESTINATION:PORT` (or `udp,...`).
[[nodiscard]] absl::StatusOr<packet::FlowKey>
parseFlow(std::string_view aText);

/// How this host forwards the packets of a flow, and why: the bucket of the flow with its state,
/// the pin of the flow if there is one, and the reason in words.
[[nodiscard]] Json
explainFlow(const node::Node& aNode, TimePoint aNow, const packet::FlowKey& aFlow);

} // namespace tamarack::operating
