// Defines the format of log lines and a Boost.Log sink that appends them to the line buffer of
// standard output.
#include "logging/Log.h"

#include "logging/LineBuffer.h"

#include <boost/log/attributes/clock.hpp>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/make_shared.hpp>

#include <algorithm>
#include <string>
#include <unistd.h>

namespace tamarack::logging {

namespace {

namespace expr = boost::log::expressions;
namespace sinks = boost::log::sinks;

boost::log::sources::logger&
logger()
{
  static boost::log::sources::logger instance;
  return instance;
}

LineBuffer&
lineBuffer()
{
  static LineBuffer instance(STDOUT_FILENO);
  return instance;
}

/// A sink backend that appends formatted records to the line buffer.
class LineBufferBackend
  : public sinks::basic_formatted_sink_backend<char, sinks::concurrent_feeding>
{
public:
  void consume(const boost::log::record_view& /*aRecord*/, const std::string& aLine)
  {
    lineBuffer().add(aLine);
  }
};

} // namespace

void
initLog(std::string_view aProcess)
{
  boost::log::add_common_attributes();
  boost::log::core::get()->add_global_attribute(
    "Process", boost::log::attributes::constant<std::string>(std::string(aProcess)));
  using Sink = sinks::unlocked_sink<LineBufferBackend>;
  auto sink = boost::make_shared<Sink>(boost::make_shared<LineBufferBackend>());
  sink->set_formatter(expr::stream << "time="
                                   << expr::format_date_time<boost::posix_time::ptime>(
                                        "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                                   << " process=" << expr::attr<std::string>("Process") << " "
                                   << expr::smessage);
  boost::log::core::get()->add_sink(sink);
}

void
logEvent(EventId aId, std::string_view aText)
{
  logFields(aId, "text=\"" + std::string(aText) + "\"");
  flushLog();
}

std::string
boundedFields(std::string_view aFields)
{
  // Names in fields come from other programs, and a line break would forge a line.
  std::string fields(aFields.substr(0, kMaxLineBytes));
  std::ranges::replace_if(
    fields, [](char aCharacter) { return static_cast<unsigned char>(aCharacter) < 0x20; }, '?');
  return aFields.size() > kMaxLineBytes ? fields + "..." : fields;
}

void
logFields(EventId aId, std::string_view aFields)
{
  BOOST_LOG(logger()) << "event=" << static_cast<int>(aId) << " name=" << eventName(aId) << " "
                      << boundedFields(aFields);
}

void
logEvents(std::span<const Event> aEvents)
{
  for (const Event& event : aEvents) {
    logEvent(event.m_id, event.m_text);
  }
}

void
flushLog()
{
  lineBuffer().flush();
}

uint64_t
discardedLines()
{
  return lineBuffer().discardedLines();
}

} // namespace tamarack::logging
