// The versioned records of one host. Hosts that merge the same changes in any order hold the same
// records, and any host can tell another what changed since a revision.
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

  /// What a host that holds everything up to a revision lacks.
  [[nodiscard]] Difference changesSince(Revision aRevision) const;

  /// All changes up to this revision are merged; 0 before the first reading.
  [[nodiscard]] Revision complete() const { return m_complete; }
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

  /// When the configuration that is held was written; 0 when none is.
  [[nodiscard]] Revision configurationRevision() const;
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
};

} // namespace tamarack::registry
