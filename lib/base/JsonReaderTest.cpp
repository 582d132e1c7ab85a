// Tests the limits of what is read from other programs.
#include "base/JsonReader.h"
#include "base/BoundedText.h"

#include <doctest/doctest.h>

using namespace tamarack;

TEST_CASE("documents are read up to the greatest depth and rejected beyond it")
{
  const auto nested = [](size_t aDepth) {
    return std::string(aDepth, '[') + std::string(aDepth, ']');
  };
  CHECK(parseJson(nested(kMaxJsonDepth)).is_array());
  CHECK_THROWS_AS((void)parseJson(nested(kMaxJsonDepth + 1)), std::invalid_argument);
  CHECK_THROWS_AS((void)parseJson(std::string(1'000'000, '[')), std::invalid_argument);
  CHECK_THROWS_AS((void)parseJson("[1"), nlohmann::json::parse_error);
  // Siblings do not add to the depth.
  CHECK(parseJson("[" + nested(kMaxJsonDepth - 1) + "," + nested(kMaxJsonDepth - 1) + "]").size() ==
        2);
  std::vector<uint8_t> bytes(kMaxJsonDepth - 1, 0x91);
  bytes.push_back(0x90);
  CHECK(parseMessagePack(bytes).is_array());
  bytes.insert(bytes.begin(), 0x91);
  CHECK_THROWS_AS((void)parseMessagePack(bytes), std::invalid_argument);
}

TEST_CASE("numbers are converted only if their type can hold them")
{
  CHECK(toInteger<uint16_t>(65'535) == 65'535);
  for (const char* text : { "65536", "-1", "0.5", "1e300", "18446744073709551616" }) {
    CHECK_THROWS_AS((void)toInteger<uint16_t>(parseJson(text)), std::out_of_range);
  }
  CHECK_THROWS_AS((void)toInteger<uint16_t>(parseJson("\"1\"")), std::invalid_argument);
  CHECK(toInteger<int64_t>(parseJson("-9223372036854775808")) ==
        std::numeric_limits<int64_t>::min());
  CHECK(toNonNegative(parseJson("12.9"), 100) == 12);
  CHECK(toNonNegative(parseJson("100"), 100) == 100);
  for (const char* text : { "101", "-0.5", "1e300", "-1e300" }) {
    CHECK_THROWS_AS((void)toNonNegative(parseJson(text), 100), std::out_of_range);
  }
}

TEST_CASE("a quoted text is one short line of whole characters")
{
  CHECK(boundedText("a\nb\x7f\"c") == "a?b?'c");
  CHECK(boundedText("\xc3\xa9\xc3\xa9", 3) == "\xc3\xa9...");
  CHECK(boundedText(std::string(1'000'000, 'x')).size() == kMaxQuotedBytes + 3);
}
