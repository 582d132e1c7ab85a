// Decides which upstream holds an address that several entries of the registry name: a successor, a
// former process whose last write arrived late, or another writer that does not own the address.
//
// Processes at one address run one after the other, so the one that started last is the successor.
// It gets the address unless the holder has just given a sign of life. The registry need not
// publish heartbeats that change nothing, so the silence of an entry that stands does not show that
// its process has ended, and never gives an address back to a process that started earlier.
#include "steering/ServiceDirectory.h"

#include <algorithm>

namespace tamarack::steering {

namespace {

/// Formats what decides a claim: how long the holder has given no sign of life, and how much later
/// the process of the claimant started.
std::string
formatClaim(TimePoint aNow, const Upstream& aClaimant, const Upstream& aHolder)
{
  const int64_t startedLater = aClaimant.m_record.m_startedAtMs - aHolder.m_record.m_startedAtMs;
  return " holder_unheard_ms=" + std::to_string((aNow - aHolder.m_lastSignOfLifeAt).count()) +
         " started_later_ms=" + std::to_string(startedLater);
}

} // namespace

void
ServiceDirectory::applyRenewals(TimePoint aNow, std::span<const registry::Renewal> aRenewals)
{
  if (aRenewals.empty()) {
    return;
  }
  if (aNow - m_lastRenewalAt > kMaxRenewalGap) {
    restartSilence(aNow);
  }
  m_lastRenewalAt = aNow;
  for (const registry::Renewal& renewal : aRenewals) {
    const auto found = m_upstreamByName.find(renewal.m_name);
    if (found == m_upstreamByName.end() || found->second->m_renewedRevision >= renewal.m_revision) {
      continue;
    }
    Upstream& upstream = *found->second;
    upstream.m_renewedRevision = renewal.m_revision;
    if (upstream.holdsEarlierRecord()) {
      upstream.m_heldWrites.add(aNow);
      continue;
    }
    upstream.m_isRenewed = true;
    upstream.m_lastSignOfLifeAt = aNow;
    if (upstream.m_hasAddressConflict) {
      upstream.m_claimWrites.add(aNow);
    }
    if (upstream.m_registration == RegistrationState::Ended && !upstream.m_heldRecord) {
      // The holder of the address was silent for a while, but its entry was never removed.
      updateUpstream(aNow, upstream, registry::UpstreamRecord(upstream.m_record));
    }
  }
  resolveAddressClaims(aNow);
  resolveTokenConflicts();
}

void
ServiceDirectory::resetRevisions()
{
  for (const auto& upstream : m_upstreams) {
    upstream->m_renewedRevision = {};
  }
}

bool
ServiceDirectory::isSilent(const Upstream& aUpstream) const
{
  return m_lastRenewalAt - std::max(aUpstream.m_lastSignOfLifeAt, m_silenceSince) >=
         kSilenceTimeout;
}

bool
ServiceDirectory::displaces(const Upstream& aClaimant, const Upstream& aHolder) const
{
  if (aHolder.m_registration == RegistrationState::Ended) {
    return true;
  }
  if (aClaimant.m_registration != RegistrationState::Registered ||
      !aClaimant.m_service->isNamed()) {
    return false;
  }
  if (!aHolder.m_service->isNamed()) {
    return true;
  }
  // An entry without a start time counts as one of an earlier process.
  const int64_t startedLater = aClaimant.m_record.m_startedAtMs - aHolder.m_record.m_startedAtMs;
  if (startedLater < 0) {
    const bool isHolderGone = aHolder.m_registration != RegistrationState::Registered;
    // Entries of upstreams have a start time; one without it may be of another writer.
    const bool isOfUpstream = aClaimant.m_record.m_startedAtMs != 0 || isHolderGone;
    return aClaimant.m_hasAddressConflict && isOfUpstream &&
           isEarlierProcessAlive(
             aClaimant.m_claimWrites, aClaimant.m_claimedAt, aHolder, isHolderGone);
  }
  const bool isLater = startedLater > 0 || aClaimant.m_renewedRevision > aHolder.m_renewedRevision;
  return isLater && (aHolder.m_registration != RegistrationState::Registered || isSilent(aHolder));
}

bool
ServiceDirectory::isEarlierProcessAlive(const ContraryWrites& aWrites,
                                        TimePoint aFirstSeenAt,
                                        const Upstream& aLater,
                                        bool aIsLaterEntryGone) const
{
  const TimePoint writtenSince =
    std::max({ aWrites.m_firstAt, aLater.m_lastSignOfLifeAt, m_silenceSince });
  if (aWrites.m_count >= kMinClaimWrites && aWrites.m_lastAt - writtenSince >= kMinClaimWriteSpan) {
    return true;
  }
  // A host hears of the removal of an entry late by the age of its records at most. The later
  // process lives if it answers.
  const TimePoint heardAt =
    std::max({ aFirstSeenAt, aWrites.m_lastAt, aLater.m_lastAnswerAt, m_silenceSince });
  return aIsLaterEntryGone && m_lastTick - heardAt >= kEntryExpiryTime + kMaxTrustedViewAge;
}

bool
ServiceDirectory::isHeldByLater(const Upstream& aUpstream) const
{
  const auto holder =
    m_upstreamByAddress.find(addressKey(aUpstream.m_record.m_address, aUpstream.m_record.m_port));
  return aUpstream.m_hasAddressConflict && holder != m_upstreamByAddress.end() &&
         holder->second->m_record.m_startedAtMs > aUpstream.m_record.m_startedAtMs;
}

void
ServiceDirectory::claimAddress(TimePoint aNow, Upstream& aUpstream)
{
  Upstream*& holder =
    m_upstreamByAddress[addressKey(aUpstream.m_record.m_address, aUpstream.m_record.m_port)];
  if (holder == &aUpstream || aUpstream.m_hasAddressConflict) {
    return;
  }
  if (holder == nullptr || displaces(aUpstream, *holder)) {
    giveAddress(aNow, holder, aUpstream);
    return;
  }
  // While this host has seen neither entry renewed, the one of the process that started last, or
  // that was written last, is more likely to belong to a running upstream.
  const auto order = [](const Upstream& aEntry) {
    return std::pair(aEntry.m_record.m_startedAtMs, aEntry.m_renewedRevision);
  };
  const bool isLater = !holder->m_isRenewed && !aUpstream.m_isRenewed &&
                       aUpstream.m_service->isNamed() && order(aUpstream) > order(*holder);
  Upstream& claimant = isLater ? *std::exchange(holder, &aUpstream) : aUpstream;
  setAddressConflict(aNow, claimant, true);
  addUpstreamEvent(EventId::AddressConflict,
                   claimant,
                   " held_by=" + holder->m_name + formatClaim(aNow, claimant, *holder));
}

void
ServiceDirectory::giveAddress(TimePoint aNow, Upstream*& aHolder, Upstream& aClaimant)
{
  if (aHolder != nullptr && aHolder->m_registration != RegistrationState::Ended) {
    setUnregistered(aNow,
                    *aHolder,
                    RegistrationState::Ended,
                    "address-taken by=" + aClaimant.m_name +
                      formatClaim(aNow, aClaimant, *aHolder));
  }
  aHolder = &aClaimant;
}

void
ServiceDirectory::resolveAddressClaims(TimePoint aNow)
{
  for (size_t index = 0; index < m_addressClaimants.size();) {
    Upstream& claimant = *m_addressClaimants[index];
    Upstream*& holder =
      m_upstreamByAddress[addressKey(claimant.m_record.m_address, claimant.m_record.m_port)];
    if (holder != nullptr && !displaces(claimant, *holder)) {
      ++index;
      continue;
    }
    giveAddress(aNow, holder, claimant);
    setAddressConflict(aNow, claimant, false);
  }
}

void
ServiceDirectory::resolveTokenConflicts()
{
  for (const auto& upstream : m_upstreams) {
    if (!upstream->m_hasTokenConflict ||
        upstream->m_registration != RegistrationState::Registered) {
      continue;
    }
    Upstream*& holder = m_upstreamByToken[upstream->m_token.m_value];
    const bool isFree = holder == nullptr || holder == upstream.get() ||
                        holder->m_registration == RegistrationState::Ended;
    if (!isFree && (holder->m_record.m_identity != upstream->m_record.m_identity ||
                    !displaces(*upstream, *holder))) {
      continue;
    }
    if (!isFree) {
      holder->m_hasTokenConflict = true;
      holder->m_service->m_areOpenUpstreamsStale = true;
    }
    holder = upstream.get();
    upstream->m_hasTokenConflict = false;
    upstream->m_service->m_areOpenUpstreamsStale = true;
  }
}

void
ServiceDirectory::releaseAddress(TimePoint aNow, Upstream& aUpstream)
{
  const auto holder =
    m_upstreamByAddress.find(addressKey(aUpstream.m_record.m_address, aUpstream.m_record.m_port));
  if (holder != m_upstreamByAddress.end() && holder->second == &aUpstream) {
    m_upstreamByAddress.erase(holder);
  }
  setAddressConflict(aNow, aUpstream, false);
}

void
ServiceDirectory::setAddressConflict(TimePoint aNow, Upstream& aUpstream, bool aHasConflict)
{
  if (aUpstream.m_hasAddressConflict == aHasConflict) {
    return;
  }
  aUpstream.m_hasAddressConflict = aHasConflict;
  aUpstream.m_claimedAt = aNow;
  aUpstream.m_claimWrites = {};
  aUpstream.m_service->m_areOpenUpstreamsStale = true;
  if (aHasConflict) {
    m_addressClaimants.push_back(&aUpstream);
  } else {
    aUpstream.m_isLateWrite = false;
    std::erase(m_addressClaimants, &aUpstream);
  }
}

} // namespace tamarack::steering
