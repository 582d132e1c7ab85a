// The replica of the store's records that each host holds. Hosts that merge the same changes in any
// order hold the same records, and each host can send another the changes since a revision.
//
// The routes and services of a configuration are replaced as a whole. An unchanged route keeps its
// revision, and hosts that skipped a version keep older revisions than others, so a delta may lack
// a route that the receiver needs. The receiver verifies the digest of the resulting configuration,
// and requests a snapshot if it does not match.
//
// After the store was restored, its new history is adopted only from a snapshot, which replaces all
// records. The one exception is the configuration, which is kept as long as the version in the new
// history is lower: a host never reverts to an older configuration version while its process runs.
#pragma once

#include "registry/Records.h"

#include <map>
#include <span>

namespace tamarack::registry {

/// The changes between two revisions, or a snapshot of all records, as sent from host to host.
struct Delta
{
  /// Unless the delta is a snapshot, the receiver must have applied all changes up to this
  /// revision.
  Revision m_base{};
  /// All changes up to this revision are applied once the delta is merged.
  Revision m_revision{};
  /// Whether the delta lists all records, so that records missing from it have been removed.
  bool m_isSnapshot{};
  /// Whether records that the sender lacks may return; see Registry::setRemovalsUncertain.
  bool m_areRemovalsUncertain{};
  std::vector<Change> m_changes;
  /// Entries of upstreams that could not be read, each as its name followed by the reason. Not
  /// encoded.
  std::vector<std::string> m_rejectedItems;
};

/// A record of an upstream that was written again, changed or not.
struct Renewal
{
  std::string m_name;
  Revision m_revision{};
};

class Registry
{
public:
  /// Merges a response of the store and returns the changes of local records. `aIsStoreUnstable`
  /// means that the store failed recently, so that registrations of running upstreams may have
  /// expired.
  std::vector<Change> merge(const StoreUpdate& aUpdate, bool aIsStoreUnstable);
  /// Merges a delta of another host and returns the changes of local records. Ignores a delta whose
  /// base is newer than the applied revision, and one of an older history.
  std::vector<Change> merge(const Delta& aDelta);

  /// The records of upstreams that were written after those held before the last merge. Empty after
  /// a merge that adopted a newer history, whose records may be older than the ones they replace.
  /// For the same reason, a record that replaces one of before resetRevisions() is not among them.
  [[nodiscard]] std::span<const Renewal> renewals() const { return m_renewals; }

  /// Marks all records as older than any revision, so that the next snapshot replaces them,
  /// whichever history it belongs to.
  void resetRevisions();

  /// Sets whether records that this replica lacks may have been removed because the store was
  /// disturbed, so that running upstreams may register again. A snapshot names no removals, so it
  /// says this of all records that are missing from it. The receiver heeds it for draining
  /// upstreams, whose removal would show that they have left.
  void setRemovalsUncertain(bool aAreUncertain) { m_areRemovalsUncertain = aAreUncertain; }
  [[nodiscard]] bool areRemovalsUncertain() const { return m_areRemovalsUncertain; }

  /// Returns the delta for a host that has applied all changes up to `aRevision`. It is a snapshot
  /// if the removals since then are no longer held.
  [[nodiscard]] Delta changesSince(Revision aRevision) const;

  /// All changes up to this revision have been applied. Unset before the first one.
  [[nodiscard]] Revision appliedRevision() const { return m_appliedRevision; }
  /// The revision since which to request changes from another host. Unset if a snapshot is needed.
  [[nodiscard]] Revision deltaBase() const
  {
    return m_needsSnapshot ? Revision{} : m_appliedRevision;
  }
  /// Whether a response of the store belongs to a newer history than the records held. Such a
  /// history can be adopted only from a snapshot.
  [[nodiscard]] bool isFromNewerHistory(const StoreUpdate& aUpdate) const
  {
    return m_appliedRevision.isSet() && aUpdate.m_revision.m_history > m_appliedRevision.m_history;
  }
  /// The removals held are complete only after this revision; a host that has applied less needs a
  /// snapshot.
  [[nodiscard]] Revision compactionRevision() const { return m_compactionRevision; }
  [[nodiscard]] uint64_t configurationVersion() const;
  [[nodiscard]] size_t size() const { return m_records.size(); }

private:
  struct VersionedRecord
  {
    Revision m_revision{};
    /// Empty if the record was removed. Such an entry is kept so that deltas contain the removal.
    std::optional<Record> m_record;
    bool m_mayReturn{};
  };

  /// The revision of the configuration held; unset if there is none.
  [[nodiscard]] Revision configurationRevision() const;
  /// Whether a configuration is older than the one held, by its revision or by its version.
  [[nodiscard]] bool isConfigurationOutdated(Revision aRevision, uint64_t aVersion) const;
  /// Applies a change if it is newer than the record held. Returns whether the record's content
  /// changed.
  bool apply(const Change& aChange);
  /// Replaces the configuration by a newer one and appends the resulting changes to `aChanged`.
  void applyConfiguration(const std::vector<Change>& aConfiguration, std::vector<Change>& aChanged);
  /// Marks the records up to `aRevision` for which `aIsPresent` is false as removed, and appends
  /// the removals to `aChanged`.
  template<typename IsPresent>
  void removeMissing(const IsPresent& aIsPresent,
                     Revision aRevision,
                     bool aMayReturn,
                     std::vector<Change>& aChanged);
  /// Returns the digest of the routes and services after `aChanges` are applied.
  [[nodiscard]] uint64_t configurationDigest(std::span<const Change> aChanges) const;
  /// Replaces the routes and services by those of a delta, whose configuration is newer than the
  /// one held, and appends the resulting changes to `aChanged`.
  void applyConfiguration(const Delta& aDelta, std::vector<Change>& aChanged);
  /// Drops all entries of removed records once there are more than kMaxRemovals.
  void compactRemovals();

  /// All records. At most kMaxRemovals entries are of removed records.
  std::map<RecordKey, VersionedRecord> m_records;
  /// See renewals().
  std::vector<Renewal> m_renewals;
  /// Number of entries of removed records in m_records.
  size_t m_removals{};
  Revision m_appliedRevision{};
  Revision m_compactionRevision{};
  /// A delta was based on a configuration other than the one held. Only a snapshot can be merged
  /// correctly.
  bool m_needsSnapshot{};
  /// See setRemovalsUncertain().
  bool m_areRemovalsUncertain{};
};

} // namespace tamarack::registry
