// The ways in which a host can fail a flow during the lifetime of its upstream.
#pragma once

#include <array>
#include <cstdint>
#include <string>

namespace tamarack::edge {

/// What a host did wrong, as far as its state tells.
enum class LifetimeFault : uint8_t
{
  /// It reset a flow of a running process whose entry it has never had.
  ResetUnknown,
  /// The entry is gone, and packets of callers seem to show that the process does not answer.
  ResetMissing,
  /// The same on a host that has had no response of the process for 2 s. What it sees is what it
  /// would see if the process had died.
  ResetMissingUnheard,
  /// The same although a response came less than 2 s ago, but before the end of the grace period of
  /// an entry that was removed while the store was disturbed.
  ResetAfterGracePeriod,
  /// It takes a draining process for left, since a snapshot of another host lacks its entry.
  ResetAsLeft,
  /// It takes the process for ended by a late write of the former process under its name, which the
  /// process could not replace.
  ResetByHeldEntry,
  /// It takes the process for ended for any other reason.
  ResetAsEnded,
  /// The flow has the token of the former process under the name, since it was opened before the
  /// host knew of the restart.
  ResetOfFormerToken,
  /// Three hosts elsewhere report the process.
  ResetOnReports,
  /// The same on a host that has had no response of the process for 2 s.
  ResetOnReportsUnheard,
  /// None of these; the entry stands.
  ResetRegistered,
  /// A request to a process that has ended was not reset in time.
  WaitsForReplaced,
  /// The same of a process that the host holds for a second claimant of its address, which it does
  /// not take for ended.
  WaitsForClaimant,
  WaitsForLeft,
  WaitsForDead,
};

inline std::string
faultName(LifetimeFault aFault)
{
  static constexpr std::array kNames{
    "ResetUnknown",     "ResetMissing",          "ResetMissingUnheard", "ResetAfterGracePeriod",
    "ResetAsLeft",      "ResetByHeldEntry",      "ResetAsEnded",        "ResetOfFormerToken",
    "ResetOnReports",   "ResetOnReportsUnheard", "ResetRegistered",     "WaitsForReplaced",
    "WaitsForClaimant", "WaitsForLeft",          "WaitsForDead",
  };
  return kNames.at(static_cast<size_t>(aFault));
}

} // namespace tamarack::edge
