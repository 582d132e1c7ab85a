// Tests that the text of a log line stays one bounded line.
#include "logging/Log.h"

#include <doctest/doctest.h>

using namespace tamarack::logging;

TEST_CASE("names of other programs neither forge a log line nor make it long")
{
  CHECK(boundedFields("service=x") == "service=x");
  CHECK(boundedFields("service=x\nevent=513") == "service=x?event=513");
  CHECK(boundedFields(std::string(1'000'000, 'x')).size() == kMaxLineBytes + 3);
}
