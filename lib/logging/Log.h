// Structured log lines with event numbers, by Boost.Log, to standard output. Writing never blocks:
// lines wait in a bounded buffer, and what does not fit is counted and reported later.
#pragma once

#include "base/Events.h"

#include <span>
#include <string_view>

namespace tamarack::logging {

/// Sets up the log of this process. Call it once, first.
void
initLog(std::string_view aProcess);

/// Writes one line: time, process, event number and name, quoted text.
void
logEvent(EventId aId, std::string_view aText);

/// Writes one line whose text is a list of `name=value` fields.
void
logFields(EventId aId, std::string_view aFields);

/// Writes the events that the decision code has made.
void
logEvents(std::span<const Event> aEvents);

/// Hands waiting lines to standard output as far as it takes them now.
void
flushLog();

/// Lines that were discarded because the buffer was full.
[[nodiscard]] uint64_t
discardedLines();

} // namespace tamarack::logging
