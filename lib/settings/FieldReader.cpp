// Reads and validates typed fields of JSON objects.
#include "settings/FieldReader.h"

#include <algorithm>

namespace tamarack::settings {

namespace {

const Json kEmptyObject = Json::object();
const Json kEmptyArray = Json::array();

} // namespace

FieldReader::FieldReader(const Json& aObject,
                         std::string aPath,
                         std::vector<ValidationError>& aErrors)
  : m_object(aObject.is_object() ? aObject : kEmptyObject)
  , m_path(std::move(aPath))
  , m_errors(aErrors)
{
  if (!aObject.is_object()) {
    m_errors.push_back({ m_path, "must be an object" });
  }
}

const Json*
FieldReader::findField(std::string_view aName)
{
  m_requestedFields.emplace(aName);
  const auto found = m_object.find(aName);
  return found == m_object.end() ? nullptr : &*found;
}

const Json&
FieldReader::object(std::string_view aName)
{
  const Json* found = findField(aName);
  if (found == nullptr) {
    addError(aName, "is missing");
    return kEmptyObject;
  }
  return optionalObject(aName);
}

const Json&
FieldReader::optionalObject(std::string_view aName)
{
  const Json* found = findField(aName);
  if (found == nullptr) {
    return kEmptyObject;
  }
  if (!found->is_object()) {
    addError(aName, "must be an object");
    return kEmptyObject;
  }
  return *found;
}

const Json&
FieldReader::list(std::string_view aName)
{
  const Json* found = findField(aName);
  if (found == nullptr || !found->is_array()) {
    addError(aName, found == nullptr ? "is missing" : "must be an array");
    return kEmptyArray;
  }
  return *found;
}

const Json&
FieldReader::optionalList(std::string_view aName)
{
  return findField(aName) == nullptr ? kEmptyArray : list(aName);
}

uint64_t
FieldReader::number(std::string_view aName, NumberRange aRange)
{
  const Json* found = findField(aName);
  if (found == nullptr) {
    addError(aName, "is missing");
    return aRange.m_min;
  }
  return optionalNumber(aName, aRange, aRange.m_min);
}

uint64_t
FieldReader::optionalNumber(std::string_view aName, NumberRange aRange, uint64_t aDefault)
{
  const Json* found = findField(aName);
  if (found == nullptr) {
    return aDefault;
  }
  const bool isNumber = found->is_number_unsigned();
  const uint64_t value = isNumber ? found->get<uint64_t>() : 0;
  if (!isNumber || value < aRange.m_min || value > aRange.m_max) {
    addError(aName,
             "must be an integer from " + std::to_string(aRange.m_min) + " to " +
               std::to_string(aRange.m_max));
    return aDefault;
  }
  return value;
}

std::string
FieldReader::text(std::string_view aName)
{
  const Json* found = findField(aName);
  if (found == nullptr || !found->is_string() || found->get_ref<const std::string&>().empty()) {
    addError(aName, found == nullptr ? "is missing" : "must be a non-empty string");
    return {};
  }
  return found->get<std::string>();
}

std::string
FieldReader::choice(std::string_view aName, std::span<const std::string_view> aChoices)
{
  if (findField(aName) == nullptr) {
    return std::string(aChoices.front());
  }
  std::string value = text(aName);
  if (std::ranges::find(aChoices, value) != aChoices.end()) {
    return value;
  }
  std::string allowed;
  for (const std::string_view choice : aChoices) {
    allowed += (allowed.empty() ? "" : ", ") + std::string(choice);
  }
  addError(aName, "must be one of: " + allowed);
  return std::string(aChoices.front());
}

Ipv4
FieldReader::address(std::string_view aName)
{
  const std::string value = text(aName);
  const auto address = parseIpv4(value);
  if (!value.empty() && !address) {
    addError(aName, "must be an IPv4 address");
  }
  return address.value_or(Ipv4{});
}

void
FieldReader::reportUnknownFields()
{
  for (const auto& [name, value] : m_object.items()) {
    if (!m_requestedFields.contains(name)) {
      addError(name, "is not a known field");
    }
  }
}

void
FieldReader::addError(std::string_view aName, std::string aMessage)
{
  m_errors.push_back({ pathOf(aName), std::move(aMessage) });
}

std::string
FieldReader::pathOf(std::string_view aName) const
{
  return m_path + "/" + std::string(aName);
}

std::string
joinErrors(std::span<const ValidationError> aErrors)
{
  std::string text;
  for (const ValidationError& error : aErrors) {
    text += (text.empty() ? "" : "; ") + error.m_path + " " + error.m_message;
  }
  return text;
}

} // namespace tamarack::settings
