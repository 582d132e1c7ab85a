// Reads the fields of one JSON object and records every fault with its path: wrong types, numbers
// out of range, missing and unknown fields.
#pragma once

#include "settings/Document.h"

#include <set>
#include <span>

namespace tamarack::settings {

/// An inclusive range of numbers.
struct Range
{
  uint64_t m_least{};
  uint64_t m_most{};
};

/// All faults in one text, each with its path.
[[nodiscard]] std::string
joinFaults(std::span<const Fault> aFaults);

class FieldReader
{
public:
  FieldReader(const Json& aObject, std::string aPath, std::vector<Fault>& aFaults);

  /// A required object field; an empty object when it is missing or of another type.
  const Json& object(std::string_view aName);
  /// An object field that may be missing.
  const Json& optionalObject(std::string_view aName);
  /// A required list field; an empty list when it is missing or of another type.
  const Json& list(std::string_view aName);
  /// A list field that may be missing.
  const Json& optionalList(std::string_view aName);
  uint64_t number(std::string_view aName, Range aRange);
  uint64_t optionalNumber(std::string_view aName, Range aRange, uint64_t aDefault);
  std::string text(std::string_view aName);
  /// A text that must be one of the choices; the first choice stands for a missing field.
  std::string choice(std::string_view aName, std::span<const std::string_view> aChoices);
  Ipv4 address(std::string_view aName);

  /// Records every field that no call has asked for. Call it last.
  void refuseUnknown();

  void fault(std::string_view aName, std::string aText);
  [[nodiscard]] std::string pathOf(std::string_view aName) const;

private:
  const Json* find(std::string_view aName);

  const Json& m_object;
  std::string m_path;
  std::vector<Fault>& m_faults;
  std::set<std::string, std::less<>> m_known;
};

} // namespace tamarack::settings
