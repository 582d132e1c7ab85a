// Reads the fields of a JSON object as typed values and records every error with its path: wrong
// types, numbers out of range, missing fields and unknown fields.
#pragma once

#include "settings/Document.h"

#include <set>
#include <span>

namespace tamarack::settings {

/// An inclusive range of numbers.
struct NumberRange
{
  uint64_t m_min{};
  uint64_t m_max{};
};

/// Formats the errors as one text, each with its path, separated by semicolons.
[[nodiscard]] std::string
joinErrors(std::span<const ValidationError> aErrors);

/// Reading never fails: an invalid field is reported in the list of errors and replaced by a
/// default, so that one pass finds all errors of a document.
class FieldReader
{
public:
  /// `aPath` is the JSON pointer of the object. Errors are appended to `aErrors`, which must
  /// outlive the reader, as must `aObject`.
  FieldReader(const Json& aObject, std::string aPath, std::vector<ValidationError>& aErrors);

  /// A required object field. Returns an empty object if the field is missing or of another type.
  const Json& object(std::string_view aName);
  /// An optional object field. Returns an empty object if the field is missing or of another type.
  const Json& optionalObject(std::string_view aName);
  /// A required array field. Returns an empty array if the field is missing or of another type.
  const Json& list(std::string_view aName);
  /// An optional array field. Returns an empty array if the field is missing or of another type.
  const Json& optionalList(std::string_view aName);
  /// A required unsigned integer. Returns the minimum of the range if the field is missing or
  /// invalid.
  uint64_t number(std::string_view aName, NumberRange aRange);
  /// An optional unsigned integer. Returns `aDefault` if the field is missing or invalid.
  uint64_t optionalNumber(std::string_view aName, NumberRange aRange, uint64_t aDefault);
  /// A required string that must not be empty. Returns an empty string if it is missing or invalid.
  std::string text(std::string_view aName);
  /// An optional string that must be one of the choices. Returns the first choice if the field is
  /// missing or invalid.
  std::string choice(std::string_view aName, std::span<const std::string_view> aChoices);
  /// A required IPv4 address in dotted notation. Returns 0.0.0.0 if it is missing or invalid.
  Ipv4 address(std::string_view aName);

  /// Reports every field that has not been read. Must be called after all fields have been read.
  void reportUnknownFields();

  /// Reports an error at the field.
  void addError(std::string_view aName, std::string aMessage);
  /// The JSON pointer of the field.
  [[nodiscard]] std::string pathOf(std::string_view aName) const;

private:
  /// Marks the field as read. Returns null if it is missing.
  const Json* findField(std::string_view aName);

  const Json& m_object;
  std::string m_path;
  std::vector<ValidationError>& m_errors;
  /// The names of the fields that have been read, present or not.
  std::set<std::string, std::less<>> m_requestedFields;
};

} // namespace tamarack::settings
