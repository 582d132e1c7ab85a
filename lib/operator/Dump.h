// The state of one entry host as JSON, for operators, and the explanation of one flow.
#pragma once

#include "node/Node.h"

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>
#include <string_view>

namespace tamarack::operating {

using Json = nlohmann::ordered_json;

/// Everything that the decision code of a host knows.
[[nodiscard]] Json
dumpNode(const node::Node& aNode, TimePoint aNow);

/// Reads `tcp,SOURCE:PORT,DESTINATION:PORT` (or `udp,...`).
[[nodiscard]] absl::StatusOr<packet::FlowKey>
parseFlow(std::string_view aText);

/// Why a packet of a running flow goes where it goes.
[[nodiscard]] Json
explainFlow(const node::Node& aNode, TimePoint aNow, const packet::FlowKey& aFlow);

} // namespace tamarack::operating
