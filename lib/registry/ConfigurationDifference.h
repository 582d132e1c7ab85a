// Compares the records of two configurations field by field.
#pragma once

#include "registry/RecordFields.h"
#include "registry/Records.h"

#include <span>

namespace tamarack::registry {

enum class DifferenceKind : uint8_t
{
  Added,
  Removed,
  Changed,
};

struct Difference
{
  DifferenceKind m_kind{};
  RecordKey m_key;
  /// Field::Record unless the record changed.
  Field m_field{ Field::Record };
  /// Values of a changed field.
  std::string m_before;
  std::string m_after;
};

/// Returns the differences between two configurations, ordered by record.
[[nodiscard]] std::vector<Difference>
compareConfigurations(std::span<const Change> aBefore, std::span<const Change> aAfter);

/// Returns the version of the configuration that the records belong to; 0 if it has none.
[[nodiscard]] uint64_t
versionOf(std::span<const Change> aRecords);

} // namespace tamarack::registry
