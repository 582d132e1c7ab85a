// Compares the texts of the fields, which are equal only if the values are.
#include "registry/ConfigurationDifference.h"

#include <algorithm>
#include <map>

namespace tamarack::registry {

namespace {

std::string
formatServices(std::span<const WeightedService> aServices)
{
  std::string text;
  for (const WeightedService& service : aServices) {
    text += (text.empty() ? "" : ", ") + service.m_service + " (weight " +
            std::to_string(service.m_weight) + ")";
  }
  return text.empty() ? "none" : text;
}

using FieldValues = std::vector<std::pair<Field, std::string>>;

FieldValues
valuesOf(const ConfigurationRecord& aRecord)
{
  return { { Field::Version, std::to_string(aRecord.m_version) },
           { Field::IdleTimeout, formatMillis(aRecord.m_idleTimeout) } };
}

FieldValues
valuesOf(const ServiceRecord& aRecord)
{
  return { { Field::WarmUp, formatMillis(aRecord.m_warmUp) },
           { Field::ColdRequestsPerSecond, formatNumber(aRecord.m_coldRequestsPerSecond) } };
}

FieldValues
valuesOf(const RouteRecord& aRecord)
{
  const bool isIdempotent = aRecord.m_kind == RequestKind::Idempotent;
  return { { Field::Address, formatIpv4(aRecord.m_address) },
           { Field::Port, std::to_string(aRecord.m_port) },
           { Field::Kind, isIdempotent ? "idempotent" : "non-idempotent" },
           { Field::Services, formatServices(aRecord.m_services) },
           { Field::Priority, std::to_string(aRecord.m_priority) },
           { Field::LatencyObjective, formatMillis(aRecord.m_latencyObjective) },
           { Field::Deadline, formatMillis(aRecord.m_deadline) } };
}

/// Other records are not part of a configuration.
FieldValues
valuesOf(const auto&)
{
  return {};
}

/// Returns the records by key; the first of several with the same key, as the hosts do.
std::map<RecordKey, FieldValues>
valuesByKey(std::span<const Change> aRecords)
{
  std::map<RecordKey, FieldValues> values;
  for (const Change& change : aRecords) {
    if (change.m_record) {
      values.try_emplace(
        change.m_key,
        std::visit([](const auto& aRecord) { return valuesOf(aRecord); }, *change.m_record));
    }
  }
  return values;
}

} // namespace

std::vector<Difference>
compareConfigurations(std::span<const Change> aBefore, std::span<const Change> aAfter)
{
  const auto before = valuesByKey(aBefore);
  const auto after = valuesByKey(aAfter);
  std::vector<Difference> differences;
  for (const auto& [key, values] : before) {
    const auto found = after.find(key);
    if (found == after.end()) {
      differences.push_back({ DifferenceKind::Removed, key });
      continue;
    }
    for (size_t index = 0; index < values.size(); ++index) {
      const auto& [field, value] = values[index];
      if (value != found->second[index].second) {
        differences.push_back(
          { DifferenceKind::Changed, key, field, value, found->second[index].second });
      }
    }
  }
  for (const auto& [key, values] : after) {
    if (!before.contains(key)) {
      differences.push_back({ DifferenceKind::Added, key });
    }
  }
  std::ranges::stable_sort(differences, {}, &Difference::m_key);
  return differences;
}

uint64_t
versionOf(std::span<const Change> aRecords)
{
  const auto found = std::ranges::find_if(aRecords, [](const Change& aChange) {
    return aChange.m_key.m_kind == RecordKind::Configuration && aChange.m_record;
  });
  return found == aRecords.end() ? 0 : std::get<ConfigurationRecord>(*found->m_record).m_version;
}

} // namespace tamarack::registry
