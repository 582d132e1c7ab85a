// Catches exceptions from the handler of one message, so that a faulty message cannot end the
// process: the message is abandoned, the error is logged, and the next message is handled normally.
#pragma once

#include "edge/Host.h"

#include <exception>

namespace tamarack::edge {

/// Runs `aHandler` for one message. Returns false when it threw an exception. `aSource` is the kind
/// of message that the log line reports.
template<typename Handler>
bool
catchAndLog(Host& aHost, std::string_view aSource, const Handler& aHandler)
{
  try {
    aHandler();
    return true;
  } catch (const std::exception& error) {
    aHost.logEvent(EventId::MessageFailed,
                   "source=" + std::string(aSource) + " reason=\"" + error.what() + "\"");
    return false;
  }
}

} // namespace tamarack::edge
