// Reads JSON and MessagePack that other programs wrote. The parsers, copies and destructors of
// nlohmann::json recurse for each level of nesting, so the depth is limited while the input is
// parsed. Numbers are converted only if their type can hold them.
#pragma once

#include <concepts>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace tamarack {

/// Deepest nesting of arrays and objects in any document or message.
inline constexpr size_t kMaxJsonDepth = 64;

namespace detail {

/// Builds a document, and gives up at an array or object that is nested too deeply.
class BoundedDomBuilder : public nlohmann::detail::json_sax_dom_parser<nlohmann::json>
{
  using Base = nlohmann::detail::json_sax_dom_parser<nlohmann::json>;

public:
  using Base::Base;

  bool start_object(size_t aElements) { return enter() && Base::start_object(aElements); }
  bool end_object() { return leave() && Base::end_object(); }
  bool start_array(size_t aElements) { return enter() && Base::start_array(aElements); }
  bool end_array() { return leave() && Base::end_array(); }

private:
  bool enter()
  {
    if (m_depth == kMaxJsonDepth) {
      throw std::invalid_argument("nested more than " + std::to_string(kMaxJsonDepth) +
                                  " levels deep");
    }
    ++m_depth;
    return true;
  }
  bool leave()
  {
    --m_depth;
    return true;
  }

  size_t m_depth{};
};

template<typename Bytes>
nlohmann::json
parseBounded(const Bytes& aBytes, nlohmann::detail::input_format_t aFormat)
{
  nlohmann::json document;
  BoundedDomBuilder builder(document, true);
  nlohmann::json::sax_parse(aBytes.begin(), aBytes.end(), &builder, aFormat);
  return document;
}

} // namespace detail

/// Parses a JSON text. Throws nlohmann::json::exception if it is malformed, and
/// std::invalid_argument if it is nested more deeply than kMaxJsonDepth.
[[nodiscard]] inline nlohmann::json
parseJson(std::string_view aText)
{
  return detail::parseBounded(aText, nlohmann::detail::input_format_t::json);
}

/// Parses a MessagePack value; throws like parseJson().
[[nodiscard]] inline nlohmann::json
parseMessagePack(std::span<const uint8_t> aBytes)
{
  return detail::parseBounded(aBytes, nlohmann::detail::input_format_t::msgpack);
}

/// Converts an integer. Throws std::out_of_range if the value is another number or does not fit the
/// type, and std::invalid_argument if it is no number.
template<std::integral Number>
[[nodiscard]] Number
toInteger(const nlohmann::json& aValue)
{
  if (!aValue.is_number()) {
    throw std::invalid_argument("is not a number");
  }
  const bool isInRange =
    aValue.is_number_unsigned()
      ? std::in_range<Number>(aValue.get<uint64_t>())
      : aValue.is_number_integer() && std::in_range<Number>(aValue.get<int64_t>());
  if (!isInRange) {
    throw std::out_of_range("is not an integer from " +
                            std::to_string(std::numeric_limits<Number>::min()) + " to " +
                            std::to_string(std::numeric_limits<Number>::max()));
  }
  return aValue.get<Number>();
}

/// Converts a number from zero to `aMax`, without its fraction; throws like toInteger().
[[nodiscard]] inline int64_t
toNonNegative(const nlohmann::json& aValue, int64_t aMax)
{
  if (!aValue.is_number()) {
    throw std::invalid_argument("is not a number");
  }
  const auto number = aValue.get<double>();
  if (!(number >= 0 && number <= static_cast<double>(aMax))) {
    throw std::out_of_range("is not a number from 0 to " + std::to_string(aMax));
  }
  return aValue.is_number_float() ? static_cast<int64_t>(number) : aValue.get<int64_t>();
}

} // namespace tamarack
