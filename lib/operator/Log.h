// Structured log lines with event numbers, by Boost.Log, to standard error.
#pragma once

#include "base/Events.h"

#include <span>
#include <string_view>

namespace tamarack::operating {

/// Sets up the log of this process. Call it once, first.
void
initLog(std::string_view aProcess);

/// Writes one line: time, process, event number and name, text.
void
logEvent(EventId aId, std::string_view aText);

/// Writes the events that the decision code has made.
void
logEvents(std::span<const Event> aEvents);

} // namespace tamarack::operating
