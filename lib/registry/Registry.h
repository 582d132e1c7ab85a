// The versioned records of one host. Hosts that merge the same changes in any order hold the same
// records, and any host can tell another what changed since a revision.
//
// A new history of the store is taken as a whole, from a reading or a difference that holds
// everything. Only the configuration is kept while that of the new history has a lower version: no
// host goes back to an older version in one run of its process.
#pragma once

#include "registry/Records.h"

#include <map>
#include <span>

namespace tamarack::registry {

/// What one host tells another of its records.
struct Difference
{
  /// The receiver must hold all changes up to this revision, unless this is a snapshot.
  Revision m_base{};
  Revision m_revision{};
  /// Everything, so that what it lacks is gone.
  bool m_isSnapshot{};
  std::vector<Change> m_changes;
};

class Registry
{
public:
  /// Merges an answer of the store. `aIsDisturbed` says that the store failed a short while ago, so
  /// that missing upstreams may have lapsed without having ended. Returns what changed here.
  std::vector<Change> merge(const Reading& aReading, bool aIsDisturbed);
  /// Merges what another host told. Returns what changed here; nothing when a part is missing.
  std::vector<Change> merge(const Difference& aDifference);

  /// Treats all records as old ones, so that the next reading of everything replaces them, of
  /// whatever history it is.
  void distrust();

  /// What a host that holds everything up to a revision lacks.
  [[nodiscard]] Difference changesSince(Revision aRevision) const;

  /// All changes up to this revision are merged; not set before the first reading.
  [[nodiscard]] Revision complete() const { return m_complete; }
  /// What to ask another host for changes since; not set when everything is needed.
  [[nodiscard]] Revision mergeBase() const { return m_needsEverything ? Revision{} : m_complete; }
  /// Whether an answer of the store is of a later history than the records, which only a reading
  /// of everything can take in.
  [[nodiscard]] bool isSuperseded(const Reading& aReading) const
  {
    return m_complete.isSet() && aReading.m_revision.m_history > m_complete.m_history;
  }
  /// Removals are remembered from this revision on.
  [[nodiscard]] Revision floor() const { return m_floor; }
  [[nodiscard]] uint64_t configurationVersion() const;
  [[nodiscard]] size_t size() const { return m_records.size(); }

private:
  struct Versioned
  {
    Revision m_revision{};
    std::optional<Record> m_record;
    bool m_mayReturn{};
  };

  /// When the configuration that is held was written; not set when none is.
  [[nodiscard]] Revision configurationRevision() const;
  /// Whether a configuration is older than the one that is held.
  [[nodiscard]] bool isConfigurationOld(Revision aRevision, uint64_t aVersion) const;
  /// Takes a change that is newer than what is held. Returns whether the record differs.
  bool take(const Change& aChange);
  void takeConfiguration(const std::vector<Change>& aConfiguration, std::vector<Change>& aChanged);
  template<typename IsPresent>
  void removeMissing(const IsPresent& aIsPresent,
                     Revision aRevision,
                     bool aMayReturn,
                     std::vector<Change>& aChanged);
  void forgetOldRemovals();

  /// With removed records, until there are kMostRemovals of them.
  std::map<RecordKey, Versioned> m_records;
  size_t m_removals{};
  Revision m_complete{};
  Revision m_floor{};
  /// The configuration that is held was lost by the store, and a newer one builds on another.
  bool m_needsEverything{};
};

} // namespace tamarack::registry
