// Merging by revision: the newest revision of each key wins, regardless of the order of arrival.
#include "registry/Registry.h"

#include "base/Hash.h"
#include "registry/RecordCodec.h"

#include <algorithm>
#include <set>

namespace tamarack::registry {

namespace {

/// Maximum number of removed records whose entries are kept for deltas to other hosts. A host that
/// needs an entry that was dropped gets a snapshot.
constexpr size_t kMaxRemovals = 4096;

/// Whether two records of an upstream differ only in a shorter remaining warm-up time. This is not
/// a change: receivers count the warm-up time down by themselves.
bool
isWarmUpProgress(const std::optional<Record>& aHeld, const std::optional<Record>& aNew)
{
  const auto* const held = aHeld ? std::get_if<UpstreamRecord>(&*aHeld) : nullptr;
  const auto* const proposed = aNew ? std::get_if<UpstreamRecord>(&*aNew) : nullptr;
  if (held == nullptr || proposed == nullptr || proposed->m_warmUpLeft == Millis{} ||
      proposed->m_warmUpLeft >= held->m_warmUpLeft) {
    return false;
  }
  UpstreamRecord proposedWithHeldWarmUp = *proposed;
  proposedWithHeldWarmUp.m_warmUpLeft = held->m_warmUpLeft;
  return proposedWithHeldWarmUp == *held;
}

bool
isDraining(const std::optional<Record>& aRecord)
{
  const auto* const upstream = aRecord ? std::get_if<UpstreamRecord>(&*aRecord) : nullptr;
  return upstream != nullptr && upstream->m_state == UpstreamState::Draining;
}

bool
isConfigurationKind(RecordKind aKind)
{
  return aKind == RecordKind::Configuration || aKind == RecordKind::Service ||
         aKind == RecordKind::Route;
}

/// Returns the change that holds the ConfigurationRecord; null if there is none.
const Change*
findConfiguration(const std::vector<Change>& aChanges)
{
  const auto found =
    std::ranges::find(aChanges, RecordKey{ RecordKind::Configuration, {} }, &Change::m_key);
  return found == aChanges.end() || !found->m_record ? nullptr : &*found;
}

const ConfigurationRecord&
configurationOf(const Change& aConfiguration)
{
  return std::get<ConfigurationRecord>(*aConfiguration.m_record);
}

/// Returns the contribution of one record to the digest of a configuration. The digest is the sum
/// of all contributions, so it does not depend on their order.
uint64_t
digestOf(const RecordKey& aKey, const std::optional<Record>& aRecord)
{
  if (!aRecord || !isConfigurationKind(aKey.m_kind) || aKey.m_kind == RecordKind::Configuration) {
    return 0;
  }
  return hashBytes(encodeRecord(aKey, *aRecord), 0);
}

void
setRestored(std::vector<Change>& aChanges, bool aIsRestored)
{
  for (Change& change : aChanges) {
    change.m_isRestored = aIsRestored;
  }
}

} // namespace

bool
Registry::apply(const Change& aChange)
{
  const auto found = m_records.find(aChange.m_key);
  if (found != m_records.end() && found->second.m_revision >= aChange.m_revision) {
    return false;
  }
  const bool isRemoval = !aChange.m_record.has_value();
  // The order of a record and one of before resetRevisions() is unknown.
  const bool isOrderKnown = found == m_records.end() || found->second.m_revision.isSet();
  if (!isRemoval && isOrderKnown && aChange.m_key.m_kind == RecordKind::Upstream) {
    m_renewals.push_back({ aChange.m_key.m_name, aChange.m_revision });
  }
  if (found != m_records.end() && isWarmUpProgress(found->second.m_record, aChange.m_record)) {
    // The revision is kept up to date, since hosts that get deltas of this one need the renewal.
    found->second.m_revision = aChange.m_revision;
    found->second.m_record = aChange.m_record;
    return false;
  }
  if (found == m_records.end()) {
    m_records.emplace(aChange.m_key,
                      VersionedRecord{ aChange.m_revision, aChange.m_record, aChange.m_mayReturn });
    m_removals += isRemoval ? 1 : 0;
    return !isRemoval;
  }
  VersionedRecord& held = found->second;
  const bool wasRemoved = !held.m_record.has_value();
  const bool differs = held.m_record != aChange.m_record;
  m_removals += isRemoval ? 1 : 0;
  m_removals -= wasRemoved ? 1 : 0;
  held = { aChange.m_revision, aChange.m_record, aChange.m_mayReturn };
  return differs;
}

template<typename IsPresent>
void
Registry::removeMissing(const IsPresent& aIsPresent,
                        Revision aRevision,
                        bool aMayReturn,
                        std::vector<Change>& aChanged)
{
  std::vector<Change> removals;
  for (const auto& [key, versioned] : m_records) {
    if (versioned.m_record && versioned.m_revision <= aRevision && !aIsPresent(key)) {
      // A record of before resetRevisions() may be of a history that the store does not have.
      const bool mayReturn = aMayReturn || !versioned.m_revision.isSet();
      removals.push_back({ key, aRevision, std::nullopt, mayReturn });
    }
  }
  for (Change& removal : removals) {
    m_records[removal.m_key] = { aRevision, std::nullopt, removal.m_mayReturn };
    ++m_removals;
    aChanged.push_back(std::move(removal));
  }
}

void
Registry::applyConfiguration(const std::vector<Change>& aConfiguration,
                             std::vector<Change>& aChanged)
{
  const Change* const configuration = findConfiguration(aConfiguration);
  if (configuration == nullptr) {
    return;
  }
  const Revision revision = configuration->m_revision;
  const Revision held = configurationRevision();
  if (held == revision ||
      isConfigurationOutdated(revision, configurationOf(*configuration).m_version)) {
    return;
  }
  const bool isDifferentHistory = held.m_history != revision.m_history;
  if (!held.isSet() || isDifferentHistory) {
    // This host has no entries for the removal of the routes and services that earlier
    // configurations had and this one lacks, even if the other records are of an older revision.
    m_compactionRevision = std::max(m_compactionRevision, revision);
  }
  std::set<RecordKey> present;
  uint64_t digest = 0;
  for (const Change& change : aConfiguration) {
    digest += digestOf(change.m_key, change.m_record);
  }
  for (Change change : aConfiguration) {
    present.insert(change.m_key);
    if (change.m_key.m_kind == RecordKind::Configuration) {
      std::get<ConfigurationRecord>(*change.m_record).m_digest = digest;
    }
    // An unchanged record keeps its revision, so that deltas contain only actual changes. A record
    // of another history gets the new revision, or later deltas would omit it.
    const auto found = m_records.find(change.m_key);
    if (found != m_records.end() && found->second.m_record == change.m_record &&
        !isDifferentHistory && change.m_key.m_kind != RecordKind::Configuration) {
      continue;
    }
    if (apply(change)) {
      aChanged.push_back(change);
    }
  }
  removeMissing(
    [&present](const RecordKey& aKey) {
      return !isConfigurationKind(aKey.m_kind) || present.contains(aKey);
    },
    revision,
    false,
    aChanged);
}

std::vector<Change>
Registry::merge(const StoreUpdate& aUpdate, bool aIsStoreUnstable)
{
  std::vector<Change> changed;
  m_renewals.clear();
  const bool isOutdated =
    aUpdate.m_isSnapshot
      ? aUpdate.m_revision < m_appliedRevision
      : aUpdate.m_revision.isSet() && aUpdate.m_revision.m_history < m_appliedRevision.m_history;
  const bool isRestored = isFromNewerHistory(aUpdate);
  if (isOutdated || (isRestored && !aUpdate.m_isSnapshot)) {
    // Records that an outdated response lacks may have been added since. The records that a
    // restored store has lost can be determined only from a snapshot.
    return changed;
  }
  // A running upstream whose registration was lost registers again.
  const bool mayReturn = aIsStoreUnstable || isRestored;
  std::set<RecordKey> present;
  for (const Change& change : aUpdate.m_changes) {
    present.insert(change.m_key);
    Change applied = change;
    applied.m_mayReturn = !change.m_record && (mayReturn || change.m_mayReturn);
    if (apply(applied)) {
      changed.push_back(std::move(applied));
    }
  }
  if (aUpdate.m_configuration) {
    applyConfiguration(*aUpdate.m_configuration, changed);
  }
  if (aUpdate.m_isSnapshot) {
    removeMissing(
      [&present](const RecordKey& aKey) {
        return isConfigurationKind(aKey.m_kind) || present.contains(aKey);
      },
      aUpdate.m_revision,
      mayReturn,
      changed);
    if (!m_appliedRevision.isSet() || isRestored) {
      m_compactionRevision = std::max(m_compactionRevision, aUpdate.m_revision);
    }
  }
  m_appliedRevision = std::max(m_appliedRevision, aUpdate.m_revision);
  compactRemovals();
  setRestored(changed, isRestored);
  if (isRestored) {
    m_renewals.clear();
  }
  return changed;
}

std::vector<Change>
Registry::merge(const Delta& aDelta)
{
  std::vector<Change> changed;
  m_renewals.clear();
  const bool isRestored =
    m_appliedRevision.isSet() && aDelta.m_revision.m_history > m_appliedRevision.m_history;
  const bool isBaseMissing =
    !aDelta.m_isSnapshot && (aDelta.m_base > m_appliedRevision || isRestored);
  const bool isOutdated = aDelta.m_isSnapshot
                            ? aDelta.m_revision < m_appliedRevision
                            : aDelta.m_revision.m_history < m_appliedRevision.m_history;
  if (isBaseMissing || isOutdated) {
    return changed;
  }
  const Change* const configuration = findConfiguration(aDelta.m_changes);
  const Revision held = configurationRevision();
  if (!aDelta.m_isSnapshot && configuration != nullptr && held.isSet() &&
      held.m_history != configuration->m_revision.m_history) {
    // The delta is relative to a configuration that this host does not hold.
    m_needsSnapshot = true;
    return changed;
  }
  const bool isConfigurationNewer =
    configuration != nullptr && configuration->m_revision != held &&
    !isConfigurationOutdated(configuration->m_revision, configurationOf(*configuration).m_version);
  if (isConfigurationNewer && !aDelta.m_isSnapshot &&
      configurationDigest(aDelta.m_changes) != configurationOf(*configuration).m_digest) {
    m_needsSnapshot = true;
    return changed;
  }
  if (isConfigurationNewer) {
    applyConfiguration(aDelta, changed);
  }
  std::set<RecordKey> present;
  for (const Change& change : aDelta.m_changes) {
    present.insert(change.m_key);
    if (!isConfigurationKind(change.m_key.m_kind) && apply(change)) {
      changed.push_back(change);
    }
  }
  if (aDelta.m_isSnapshot) {
    const auto isKept = [&](const RecordKey& aKey) {
      return present.contains(aKey) || isConfigurationKind(aKey.m_kind);
    };
    if (aDelta.m_areRemovalsUncertain) {
      // Only of a draining upstream does the removal show that it has left. Others get no new flows
      // until they register again, and keep the open ones.
      const auto isKeptOrReady = [&](const RecordKey& aKey) {
        return isKept(aKey) || !isDraining(m_records.at(aKey).m_record);
      };
      removeMissing(isKeptOrReady, aDelta.m_revision, true, changed);
    }
    removeMissing(isKept, aDelta.m_revision, isRestored, changed);
    // The snapshot contains no removals, so this host lacks those before its revision, too.
    m_compactionRevision = std::max(m_compactionRevision, aDelta.m_revision);
    m_needsSnapshot = false;
  }
  m_appliedRevision = std::max(m_appliedRevision, aDelta.m_revision);
  compactRemovals();
  setRestored(changed, isRestored);
  if (isRestored) {
    m_renewals.clear();
  }
  return changed;
}

uint64_t
Registry::configurationDigest(std::span<const Change> aChanges) const
{
  uint64_t digest = 0;
  std::set<RecordKey> changed;
  for (const Change& change : aChanges) {
    changed.insert(change.m_key);
    digest += digestOf(change.m_key, change.m_record);
  }
  for (const auto& [key, versioned] : m_records) {
    if (!changed.contains(key)) {
      digest += digestOf(key, versioned.m_record);
    }
  }
  return digest;
}

void
Registry::applyConfiguration(const Delta& aDelta, std::vector<Change>& aChanged)
{
  const Revision revision = findConfiguration(aDelta.m_changes)->m_revision;
  std::set<RecordKey> present;
  for (Change change : aDelta.m_changes) {
    if (!isConfigurationKind(change.m_key.m_kind)) {
      continue;
    }
    present.insert(change.m_key);
    // The revision of a record that differs from the one held may be lower, if the sender skipped a
    // version. It is raised to that of the configuration, so that deltas of this host contain it.
    const auto found = m_records.find(change.m_key);
    if (found != m_records.end() && found->second.m_record != change.m_record) {
      change.m_revision = revision;
    }
    if (apply(change)) {
      aChanged.push_back(std::move(change));
    }
  }
  if (!aDelta.m_isSnapshot) {
    return;
  }
  removeMissing(
    [&present](const RecordKey& aKey) {
      return !isConfigurationKind(aKey.m_kind) || present.contains(aKey);
    },
    revision,
    false,
    aChanged);
  // A snapshot of an earlier build has no digest.
  auto& held = m_records[{ RecordKind::Configuration, {} }];
  std::get<ConfigurationRecord>(*held.m_record).m_digest = configurationDigest({});
}

void
Registry::resetRevisions()
{
  for (auto& [key, versioned] : m_records) {
    versioned.m_revision = {};
  }
  m_appliedRevision = {};
  m_compactionRevision = {};
  m_needsSnapshot = false;
}

Delta
Registry::changesSince(Revision aRevision) const
{
  Delta delta{ .m_base = aRevision,
               .m_revision = m_appliedRevision,
               .m_isSnapshot = aRevision < m_compactionRevision,
               .m_areRemovalsUncertain = m_areRemovalsUncertain,
               .m_changes = {} };
  for (const auto& [key, versioned] : m_records) {
    const bool isIncluded =
      delta.m_isSnapshot ? versioned.m_record.has_value() : versioned.m_revision > aRevision;
    if (isIncluded) {
      delta.m_changes.push_back(
        { key, versioned.m_revision, versioned.m_record, versioned.m_mayReturn });
    }
  }
  return delta;
}

Revision
Registry::configurationRevision() const
{
  const auto found = m_records.find({ RecordKind::Configuration, {} });
  return found == m_records.end() ? Revision{} : found->second.m_revision;
}

bool
Registry::isConfigurationOutdated(Revision aRevision, uint64_t aVersion) const
{
  return aRevision < configurationRevision() || aVersion < configurationVersion();
}

uint64_t
Registry::configurationVersion() const
{
  const auto found = m_records.find({ RecordKind::Configuration, {} });
  if (found == m_records.end() || !found->second.m_record) {
    return 0;
  }
  return std::get<ConfigurationRecord>(*found->second.m_record).m_version;
}

void
Registry::compactRemovals()
{
  if (m_removals <= kMaxRemovals) {
    return;
  }
  std::erase_if(m_records, [](const auto& aEntry) { return !aEntry.second.m_record; });
  m_removals = 0;
  m_compactionRevision = m_appliedRevision;
}

} // namespace tamarack::registry
