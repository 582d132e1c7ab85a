// Structured logging with event numbers to standard output, based on Boost.Log. Logging never
// blocks: lines go to a bounded buffer, and lines that do not fit are discarded and counted.
#pragma once

#include "base/Events.h"

#include <span>
#include <string>
#include <string_view>

namespace tamarack::logging {

/// Configures logging for this process; `aProcess` is the process name in each line. Must be called
/// once, before any other function of this header.
void
initLog(std::string_view aProcess);

/// Logs one line with time, process, event number, event name and quoted text, and flushes the
/// buffer.
void
logEvent(EventId aId, std::string_view aText);

/// Longest text of a line, in bytes.
inline constexpr size_t kMaxLineBytes = 2000;

/// Returns `aFields` as they are logged: without control characters, and cut at kMaxLineBytes.
[[nodiscard]] std::string
boundedFields(std::string_view aFields);

/// Logs one line whose text is a list of `name=value` fields. The line stays in the buffer until
/// the next flush.
void
logFields(EventId aId, std::string_view aFields);

/// Logs events that the decision code returned.
void
logEvents(std::span<const Event> aEvents);

/// Writes buffered lines to standard output as far as it accepts them without blocking.
void
flushLog();

/// Returns the number of lines discarded so far because the buffer was full.
[[nodiscard]] uint64_t
discardedLines();

} // namespace tamarack::logging
