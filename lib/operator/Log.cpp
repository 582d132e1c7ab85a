// The format of log lines.
#include "operator/Log.h"

#include <boost/log/attributes/clock.hpp>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <iostream>
#include <string>

namespace tamarack::operating {

namespace {

namespace expr = boost::log::expressions;

boost::log::sources::logger&
logger()
{
  static boost::log::sources::logger instance;
  return instance;
}

} // namespace

void
initLog(std::string_view aProcess)
{
  boost::log::add_common_attributes();
  boost::log::core::get()->add_global_attribute(
    "Process", boost::log::attributes::constant<std::string>(std::string(aProcess)));
  boost::log::add_console_log(
    std::cerr,
    boost::log::keywords::auto_flush = true,
    boost::log::keywords::format =
      (expr::stream << "time="
                    << expr::format_date_time<boost::posix_time::ptime>("TimeStamp",
                                                                        "%Y-%m-%dT%H:%M:%S.%f")
                    << " process=" << expr::attr<std::string>("Process") << " " << expr::smessage));
}

void
logEvent(EventId aId, std::string_view aText)
{
  BOOST_LOG(logger()) << "event=" << static_cast<int>(aId) << " name=" << eventName(aId)
                      << " text=\"" << aText << "\"";
}

void
logEvents(std::span<const Event> aEvents)
{
  for (const Event& event : aEvents) {
    logEvent(event.m_id, event.m_text);
  }
}

} // namespace tamarack::operating
