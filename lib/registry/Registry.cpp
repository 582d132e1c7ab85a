// Merging by revision: the newer revision of a key wins, whatever the order of arrival.
#include "registry/Registry.h"

#include <algorithm>
#include <set>

namespace tamarack::registry {

namespace {

/// Removed records that are kept for other hosts; a host that lacks more gets a snapshot.
constexpr size_t kMostRemovals = 4096;

/// Whether a record only says that a cold start has gone on, which its receivers reckon with
/// anyway.
bool
isWarmingOn(const std::optional<Record>& aHeld, const std::optional<Record>& aNew)
{
  const auto* const held = aHeld ? std::get_if<UpstreamRecord>(&*aHeld) : nullptr;
  const auto* const next = aNew ? std::get_if<UpstreamRecord>(&*aNew) : nullptr;
  if (held == nullptr || next == nullptr || next->m_warmUpLeft == Millis{} ||
      next->m_warmUpLeft >= held->m_warmUpLeft) {
    return false;
  }
  UpstreamRecord same = *next;
  same.m_warmUpLeft = held->m_warmUpLeft;
  return same == *held;
}

bool
isOfConfiguration(RecordKind aKind)
{
  return aKind == RecordKind::Configuration || aKind == RecordKind::Service ||
         aKind == RecordKind::Route;
}

/// The change that names the version of a configuration; null when there is none.
const Change*
findConfiguration(const std::vector<Change>& aChanges)
{
  const auto found =
    std::ranges::find(aChanges, RecordKey{ RecordKind::Configuration, {} }, &Change::m_key);
  return found == aChanges.end() || !found->m_record ? nullptr : &*found;
}

uint64_t
versionOf(const Change& aConfiguration)
{
  return std::get<ConfigurationRecord>(*aConfiguration.m_record).m_version;
}

void
markRestored(std::vector<Change>& aChanges, bool aIsRestored)
{
  for (Change& change : aChanges) {
    change.m_isRestored = aIsRestored;
  }
}

} // namespace

bool
Registry::take(const Change& aChange)
{
  const auto found = m_records.find(aChange.m_key);
  if (found != m_records.end() && found->second.m_revision >= aChange.m_revision) {
    return false;
  }
  const bool isRemoval = !aChange.m_record.has_value();
  if (found != m_records.end() && isWarmingOn(found->second.m_record, aChange.m_record)) {
    return false;
  }
  if (found == m_records.end()) {
    m_records.emplace(aChange.m_key,
                      Versioned{ aChange.m_revision, aChange.m_record, aChange.m_mayReturn });
    m_removals += isRemoval ? 1 : 0;
    return !isRemoval;
  }
  Versioned& held = found->second;
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
      removals.push_back({ key, aRevision, std::nullopt, aMayReturn });
    }
  }
  for (Change& removal : removals) {
    m_records[removal.m_key] = { aRevision, std::nullopt, removal.m_mayReturn };
    ++m_removals;
    aChanged.push_back(std::move(removal));
  }
}

void
Registry::takeConfiguration(const std::vector<Change>& aConfiguration,
                            std::vector<Change>& aChanged)
{
  const Change* const configuration = findConfiguration(aConfiguration);
  if (configuration == nullptr) {
    return;
  }
  const Revision revision = configuration->m_revision;
  const Revision held = configurationRevision();
  if (held == revision || isConfigurationOld(revision, versionOf(*configuration))) {
    return;
  }
  const bool isOtherHistory = held.m_history != revision.m_history;
  if (!held.isSet() || isOtherHistory) {
    // What this configuration dropped is not known here, also when the other records are older.
    m_floor = std::max(m_floor, revision);
  }
  std::set<RecordKey> present;
  for (const Change& change : aConfiguration) {
    present.insert(change.m_key);
    // A record that did not change keeps its revision, so differences follow the change. One of an
    // earlier history would be missing in them.
    const auto found = m_records.find(change.m_key);
    if (found != m_records.end() && found->second.m_record == change.m_record && !isOtherHistory &&
        change.m_key.m_kind != RecordKind::Configuration) {
      continue;
    }
    if (take(change)) {
      aChanged.push_back(change);
    }
  }
  removeMissing(
    [&present](const RecordKey& aKey) {
      return !isOfConfiguration(aKey.m_kind) || present.contains(aKey);
    },
    revision,
    false,
    aChanged);
}

std::vector<Change>
Registry::merge(const Reading& aReading, bool aIsDisturbed)
{
  std::vector<Change> changed;
  const bool isOfThePast =
    aReading.m_isSnapshot
      ? aReading.m_revision < m_complete
      : aReading.m_revision.isSet() && aReading.m_revision.m_history < m_complete.m_history;
  const bool isRestored = isSuperseded(aReading);
  if (isOfThePast || (isRestored && !aReading.m_isSnapshot)) {
    // What an answer from the past lacks may have been added since; what the store has lost shows
    // only in a reading of everything.
    return changed;
  }
  // An upstream whose registration was lost registers again.
  const bool mayReturn = aIsDisturbed || isRestored;
  std::set<RecordKey> present;
  for (const Change& change : aReading.m_changes) {
    present.insert(change.m_key);
    Change taken = change;
    taken.m_mayReturn = !change.m_record && mayReturn;
    if (take(taken)) {
      changed.push_back(std::move(taken));
    }
  }
  if (aReading.m_configuration) {
    takeConfiguration(*aReading.m_configuration, changed);
  }
  if (aReading.m_isSnapshot) {
    removeMissing(
      [&present](const RecordKey& aKey) {
        return isOfConfiguration(aKey.m_kind) || present.contains(aKey);
      },
      aReading.m_revision,
      mayReturn,
      changed);
    if (!m_complete.isSet() || isRestored) {
      m_floor = std::max(m_floor, aReading.m_revision);
    }
  }
  m_complete = std::max(m_complete, aReading.m_revision);
  forgetOldRemovals();
  markRestored(changed, isRestored);
  return changed;
}

std::vector<Change>
Registry::merge(const Difference& aDifference)
{
  std::vector<Change> changed;
  const bool isRestored =
    m_complete.isSet() && aDifference.m_revision.m_history > m_complete.m_history;
  const bool isIncomplete =
    !aDifference.m_isSnapshot && (aDifference.m_base > m_complete || isRestored);
  const bool isOfThePast = aDifference.m_isSnapshot
                             ? aDifference.m_revision < m_complete
                             : aDifference.m_revision.m_history < m_complete.m_history;
  if (isIncomplete || isOfThePast) {
    return changed;
  }
  const Change* const told = findConfiguration(aDifference.m_changes);
  const Revision held = configurationRevision();
  if (!aDifference.m_isSnapshot && told != nullptr && held.isSet() &&
      held.m_history != told->m_revision.m_history) {
    // It says what changed since a configuration that this host does not hold.
    m_needsEverything = true;
    return changed;
  }
  // Routes of an older configuration than the one that is held may have been dropped since, which
  // nothing would tell this host once more.
  const bool isOld =
    told == nullptr ? held.isSet() : isConfigurationOld(told->m_revision, versionOf(*told));
  const bool isVersionOld = told != nullptr && versionOf(*told) < configurationVersion();
  std::set<RecordKey> present;
  for (const Change& change : aDifference.m_changes) {
    present.insert(change.m_key);
    const bool isLeftOut = isOfConfiguration(change.m_key.m_kind) &&
                           (isVersionOld || (isOld && change.m_record.has_value()));
    if (!isLeftOut && take(change)) {
      changed.push_back(change);
    }
  }
  if (aDifference.m_isSnapshot) {
    const auto isKept = [&](const RecordKey& aKey) {
      return present.contains(aKey) || (isOld && isOfConfiguration(aKey.m_kind));
    };
    removeMissing(isKept, aDifference.m_revision, isRestored, changed);
    // The sender forgot removals before this revision, and so did we.
    m_floor = std::max(m_floor, aDifference.m_revision);
    m_needsEverything = false;
  }
  m_complete = std::max(m_complete, aDifference.m_revision);
  forgetOldRemovals();
  markRestored(changed, isRestored);
  return changed;
}

void
Registry::distrust()
{
  for (auto& [key, versioned] : m_records) {
    versioned.m_revision = {};
  }
  m_complete = {};
  m_floor = {};
  m_needsEverything = false;
}

Difference
Registry::changesSince(Revision aRevision) const
{
  Difference difference{ .m_base = aRevision,
                         .m_revision = m_complete,
                         .m_isSnapshot = aRevision < m_floor,
                         .m_changes = {} };
  for (const auto& [key, versioned] : m_records) {
    const bool isWanted =
      difference.m_isSnapshot ? versioned.m_record.has_value() : versioned.m_revision > aRevision;
    if (isWanted) {
      difference.m_changes.push_back(
        { key, versioned.m_revision, versioned.m_record, versioned.m_mayReturn });
    }
  }
  return difference;
}

Revision
Registry::configurationRevision() const
{
  const auto found = m_records.find({ RecordKind::Configuration, {} });
  return found == m_records.end() ? Revision{} : found->second.m_revision;
}

bool
Registry::isConfigurationOld(Revision aRevision, uint64_t aVersion) const
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
Registry::forgetOldRemovals()
{
  if (m_removals <= kMostRemovals) {
    return;
  }
  std::erase_if(m_records, [](const auto& aEntry) { return !aEntry.second.m_record; });
  m_removals = 0;
  m_floor = m_complete;
}

} // namespace tamarack::registry
