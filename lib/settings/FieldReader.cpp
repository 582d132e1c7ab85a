// Typed reads of JSON fields.
#include "settings/FieldReader.h"

#include <algorithm>

namespace tamarack::settings {

namespace {

const Json kEmptyObject = Json::object();
const Json kEmptyList = Json::array();

} // namespace

FieldReader::FieldReader(const Json& aObject, std::string aPath, std::vector<Fault>& aFaults)
  : m_object(aObject.is_object() ? aObject : kEmptyObject)
  , m_path(std::move(aPath))
  , m_faults(aFaults)
{
  if (!aObject.is_object()) {
    m_faults.push_back({ m_path, "must be an object" });
  }
}

const Json*
FieldReader::find(std::string_view aName)
{
  m_known.emplace(aName);
  const auto found = m_object.find(aName);
  return found == m_object.end() ? nullptr : &*found;
}

const Json&
FieldReader::object(std::string_view aName)
{
  const Json* found = find(aName);
  if (found == nullptr) {
    fault(aName, "is missing");
    return kEmptyObject;
  }
  return optionalObject(aName);
}

const Json&
FieldReader::optionalObject(std::string_view aName)
{
  const Json* found = find(aName);
  if (found == nullptr) {
    return kEmptyObject;
  }
  if (!found->is_object()) {
    fault(aName, "must be an object");
    return kEmptyObject;
  }
  return *found;
}

const Json&
FieldReader::list(std::string_view aName)
{
  const Json* found = find(aName);
  if (found == nullptr || !found->is_array()) {
    fault(aName, found == nullptr ? "is missing" : "must be a list");
    return kEmptyList;
  }
  return *found;
}

const Json&
FieldReader::optionalList(std::string_view aName)
{
  return find(aName) == nullptr ? kEmptyList : list(aName);
}

uint64_t
FieldReader::number(std::string_view aName, Range aRange)
{
  const Json* found = find(aName);
  if (found == nullptr) {
    fault(aName, "is missing");
    return aRange.m_least;
  }
  return optionalNumber(aName, aRange, aRange.m_least);
}

uint64_t
FieldReader::optionalNumber(std::string_view aName, Range aRange, uint64_t aDefault)
{
  const Json* found = find(aName);
  if (found == nullptr) {
    return aDefault;
  }
  const bool isNumber = found->is_number_unsigned();
  const uint64_t value = isNumber ? found->get<uint64_t>() : 0;
  if (!isNumber || value < aRange.m_least || value > aRange.m_most) {
    fault(aName,
          "must be a whole number from " + std::to_string(aRange.m_least) + " to " +
            std::to_string(aRange.m_most));
    return aDefault;
  }
  return value;
}

std::string
FieldReader::text(std::string_view aName)
{
  const Json* found = find(aName);
  if (found == nullptr || !found->is_string() || found->get_ref<const std::string&>().empty()) {
    fault(aName, found == nullptr ? "is missing" : "must be a text that is not empty");
    return {};
  }
  return found->get<std::string>();
}

std::string
FieldReader::choice(std::string_view aName, std::span<const std::string_view> aChoices)
{
  if (find(aName) == nullptr) {
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
  fault(aName, "must be one of: " + allowed);
  return std::string(aChoices.front());
}

Ipv4
FieldReader::address(std::string_view aName)
{
  const std::string value = text(aName);
  const auto address = parseIpv4(value);
  if (!value.empty() && !address) {
    fault(aName, "must be an IPv4 address");
  }
  return address.value_or(Ipv4{});
}

void
FieldReader::refuseUnknown()
{
  for (const auto& [name, value] : m_object.items()) {
    if (!m_known.contains(name)) {
      fault(name, "is not a known field");
    }
  }
}

void
FieldReader::fault(std::string_view aName, std::string aText)
{
  m_faults.push_back({ pathOf(aName), std::move(aText) });
}

std::string
FieldReader::pathOf(std::string_view aName) const
{
  return m_path + "/" + std::string(aName);
}

std::string
joinFaults(std::span<const Fault> aFaults)
{
  std::string text;
  for (const Fault& fault : aFaults) {
    text += (text.empty() ? "" : "; ") + fault.m_path + " " + fault.m_text;
  }
  return text;
}

} // namespace tamarack::settings
