// Checks a valid configuration for entries without effect and for contradictory limits, and
// compares two configurations. It works on decoded records; the caller knows the place of each
// record.
#pragma once

#include "registry/RecordFields.h"
#include "registry/Records.h"

#include <span>
#include <string_view>

namespace tamarack::registry {

enum class FindingKind : uint8_t
{
  DuplicateName,
  /// Another route has the same address and port.
  ShadowedRoute,
  UnusablePort,
  NoService,
  UnlistedService,
  ZeroWeight,
  UnusedService,
  ObjectiveAboveDeadline,
  IdleTimeoutBelowDeadline,
  NegativeLimit,
  SlowColdRate,
  /// From here on, the kinds are notes.
  OverloadControl,
  NonIdempotentBelowIdempotent,
};

struct Finding
{
  FindingKind m_kind{};
  /// Index into the checked records.
  size_t m_record{};
  Field m_field{ Field::Record };
  std::string m_text;
};

/// Whether findings of a kind inform about the effect of a valid configuration, and need no change.
[[nodiscard]] bool
isNote(FindingKind aKind);

/// Returns the name of a kind for programs that read the findings, as in "shadowed-route".
[[nodiscard]] std::string_view
nameOf(FindingKind aKind);

/// Checks the records of one configuration, in the order in which the configuration lists them.
[[nodiscard]] std::vector<Finding>
checkConfiguration(std::span<const Change> aRecords);

} // namespace tamarack::registry
