// Applies registry changes one by one, without rebuilding any index.
#include "steering/ServiceDirectory.h"

#include "base/Hash.h"

#include <algorithm>

namespace tamarack::steering {

namespace {

using registry::Change;
using registry::RecordKind;
using registry::UpstreamRecord;
using registry::UpstreamState;

/// Time constant of the decay of Service::m_recentLocalUpstreams after upstreams were removed for
/// good.
constexpr Millis kLocalUpstreamsTimeConstant{ 20'000 };

} // namespace

Token
makeToken(uint64_t aIdentity, int64_t aStartedAtMs)
{
  const auto mixed = static_cast<uint32_t>(mixHash(aIdentity, static_cast<uint64_t>(aStartedAtMs)));
  return Token{ mixed == 0 ? 1 : mixed };
}

bool
Upstream::isUsable(TimePoint aNow) const
{
  return acceptsNewFlows() && !isRateLimited(aNow) && !isAvoided(aNow);
}

std::string
formatToken(Token aToken)
{
  constexpr std::string_view digits = "0123456789abcdef";
  std::string text(8, '0');
  for (size_t index = 0; index < text.size(); ++index) {
    text[7 - index] = digits[aToken.m_value >> (4 * index) & 0xf];
  }
  return text;
}

void
ServiceDirectory::apply(TimePoint aNow, std::span<const Change> aChanges)
{
  for (const Change& change : aChanges) {
    switch (change.m_key.m_kind) {
      case RecordKind::Configuration:
        applyConfiguration(change);
        break;
      case RecordKind::Service:
        applyService(change);
        break;
      case RecordKind::Route:
        applyRoute(change);
        break;
      case RecordKind::EvacuatedDataCentre:
        applyDataCentre(aNow, change);
        break;
      case RecordKind::Upstream:
        applyUpstream(aNow, change);
        break;
    }
  }
}

void
ServiceDirectory::applyConfiguration(const Change& aChange)
{
  if (!aChange.m_record) {
    return;
  }
  const auto& record = std::get<registry::ConfigurationRecord>(*aChange.m_record);
  m_events.push_back({ EventId::ConfigurationInForce,
                       "version=" + std::to_string(record.m_version) +
                         " revision=" + registry::formatRevision(aChange.m_revision) });
}

void
ServiceDirectory::applyService(const Change& aChange)
{
  Service& service = findOrAddService(aChange.m_key.m_name);
  service.m_isConfigured = aChange.m_record.has_value();
  if (aChange.m_record) {
    service.m_record = std::get<registry::ServiceRecord>(*aChange.m_record);
  }
}

void
ServiceDirectory::applyRoute(const Change& aChange)
{
  const std::string& name = aChange.m_key.m_name;
  const auto known = m_routeKeys.find(name);
  if (known != m_routeKeys.end()) {
    const auto route = m_routes.find(known->second);
    if (route != m_routes.end() && route->second.m_name == name) {
      removeRouteTerms(route->second);
      m_routes.erase(route);
    }
    m_routeKeys.erase(known);
  }
  if (!aChange.m_record) {
    return;
  }
  const auto& record = std::get<registry::RouteRecord>(*aChange.m_record);
  const uint64_t key = addressKey(record.m_address, record.m_port);
  Route& route = m_routes[key];
  removeRouteTerms(route);
  route = { name, record, makeRouteId(name) };
  addRouteTerms(route);
  m_routeKeys[name] = key;
}

void
ServiceDirectory::applyDataCentre(TimePoint aNow, const Change& aChange)
{
  const std::string& name = aChange.m_key.m_name;
  const bool isOut = aChange.m_record.has_value();
  if (aChange.m_isRestored && !isOut) {
    m_outHoldExpiry[name] = aNow + kDataCentreOutHoldTime;
    return;
  }
  m_outHoldExpiry.erase(name);
  const auto known = m_dataCentreOut.find(name);
  if (known != m_dataCentreOut.end() && known->second == isOut) {
    return;
  }
  setDataCentreOut(aNow, name, isOut);
  m_events.push_back(
    { isOut ? EventId::DataCentreOut : EventId::DataCentreBack,
      "data_centre=" + name + " revision=" + registry::formatRevision(aChange.m_revision) });
}

void
ServiceDirectory::setDataCentreOut(TimePoint aNow, const std::string& aName, bool aIsOut)
{
  m_dataCentreOut[aName] = aIsOut;
  for (const auto& upstream : m_upstreams) {
    if (upstream->m_record.m_dataCentre != aName) {
      continue;
    }
    upstream->m_isDataCentreOut = aIsOut;
    upstream->m_service->m_areOpenUpstreamsStale = true;
    if (aIsOut) {
      continue;
    }
    // Upstreams without load may have turned cold and not have reported it yet.
    const Service* service = findService(upstream->m_record.m_service);
    const Millis warmUp = service != nullptr ? service->m_record.m_warmUp : Millis{};
    upstream->m_coldUntil = std::max(upstream->m_coldUntil, aNow + warmUp + kColdReportDelay);
  }
}

void
ServiceDirectory::applyUpstream(TimePoint aNow, const Change& aChange)
{
  const auto found = m_upstreamByName.find(aChange.m_key.m_name);
  Upstream* known = found == m_upstreamByName.end() ? nullptr : found->second;
  const std::optional<UpstreamRecord> held =
    known == nullptr ? std::nullopt : std::exchange(known->m_heldRecord, std::nullopt);
  if (!aChange.m_record) {
    if (known != nullptr) {
      // The expiry of a late write of an earlier process says nothing of the current one.
      const bool isOfEarlierProcess = held && held->m_startedAtMs < known->m_record.m_startedAtMs;
      applyRemoval(aNow, *known, aChange.m_mayReturn, isOfEarlierProcess);
    }
    return;
  }
  const auto& record = std::get<UpstreamRecord>(*aChange.m_record);
  if (known != nullptr && aChange.m_isRestored && holdRestoredRecord(aNow, *known, record)) {
    return;
  }
  if (known != nullptr && known->m_service->isNamed() &&
      record.m_startedAtMs < known->m_record.m_startedAtMs) {
    holdEarlierRecord(aNow, *known, held, record);
    return;
  }
  applyUpstreamRecord(aNow, aChange, known);
}

void
ServiceDirectory::applyRemoval(TimePoint aNow,
                               Upstream& aUpstream,
                               bool aMayReturn,
                               bool aIsOfEarlierProcess)
{
  const bool mayReturn = aMayReturn && m_mechanisms.isEnabled(Mechanism::LapsedUpstreamGrace);
  aUpstream.m_entryGoneAt = aNow + (mayReturn ? kLapseGracePeriod : Millis{});
  if (std::exchange(aUpstream.m_isLateWrite, false)) {
    setUnregistered(aNow, aUpstream, RegistrationState::Ended, "entry-removed");
    return;
  }
  if (aUpstream.m_registration != RegistrationState::Registered) {
    return;
  }
  const bool hasLeft =
    aUpstream.m_record.m_state == UpstreamState::Draining && !aIsOfEarlierProcess;
  setUnregistered(aNow,
                  aUpstream,
                  mayReturn ? RegistrationState::Lapsed
                            : (hasLeft ? RegistrationState::Ended : RegistrationState::Missing),
                  hasLeft ? "left" : "entry-removed");
}

void
ServiceDirectory::applyUpstreamRecord(TimePoint aNow, const Change& aChange, Upstream* aKnown)
{
  const auto& record = std::get<UpstreamRecord>(*aChange.m_record);
  if (!hasRoomFor(record.m_dataCentre)) {
    if (!std::exchange(m_isLimitLogged, true)) {
      m_events.push_back({ EventId::RecordRefused,
                           "item=\"" + aChange.m_key.m_name + ": more than " +
                             std::to_string(kMaxDataCentres) + " data centres\"" });
    }
    if (aKnown != nullptr && aKnown->m_registration == RegistrationState::Registered) {
      setUnregistered(aNow, *aKnown, RegistrationState::Missing, "entry-replaced");
    }
    return;
  }
  Upstream* const instance = findInstance(aChange.m_key.m_name, record, aKnown);
  if (aKnown != nullptr && aKnown != instance) {
    // An entry of a service that no configuration names was written by another writer. It replaces
    // the entry of the upstream, but does not show that the upstream has restarted.
    if (findOrAddService(record.m_service).isNamed()) {
      setUnregistered(aNow, *aKnown, RegistrationState::Ended, "restarted");
    } else if (aKnown->m_registration == RegistrationState::Registered) {
      setUnregistered(aNow, *aKnown, RegistrationState::Missing, "entry-replaced");
    }
  }
  if (instance != nullptr) {
    m_upstreamByName[instance->m_name] = instance;
    updateUpstream(aNow, *instance, record);
    return;
  }
  addUpstream(aNow, aChange);
}

Upstream*
ServiceDirectory::findInstance(const std::string& aName,
                               const UpstreamRecord& aRecord,
                               Upstream* aLatest) const
{
  const auto isInstance = [&](const Upstream* aUpstream) {
    return aUpstream != nullptr && aUpstream->m_name == aName &&
           aUpstream->m_record.m_identity == aRecord.m_identity &&
           aUpstream->m_record.m_startedAtMs == aRecord.m_startedAtMs &&
           aUpstream->m_record.m_service == aRecord.m_service;
  };
  if (isInstance(aLatest)) {
    return aLatest;
  }
  Upstream* const holder = findUpstream(makeToken(aRecord.m_identity, aRecord.m_startedAtMs));
  return isInstance(holder) ? holder : nullptr;
}

bool
ServiceDirectory::holdRestoredRecord(TimePoint aNow,
                                     Upstream& aKnown,
                                     const UpstreamRecord& aRecord)
{
  if (aRecord.m_startedAtMs < aKnown.m_record.m_startedAtMs) {
    // The restored store lost the entry of the current process instance.
    if (aKnown.m_registration == RegistrationState::Registered) {
      setUnregistered(aNow, aKnown, RegistrationState::Lapsed, "store-restored");
    }
    return true;
  }
  const bool isSameInstance = aKnown.m_record.m_startedAtMs == aRecord.m_startedAtMs &&
                              aKnown.m_record.m_identity == aRecord.m_identity;
  const bool hadEnded = aKnown.m_registration != RegistrationState::Registered ||
                        aKnown.m_record.m_state == UpstreamState::Draining;
  if (!isSameInstance || !hadEnded || aRecord.m_state == UpstreamState::Draining) {
    return false;
  }
  aKnown.m_heldRecord = aRecord;
  aKnown.m_heldSince = aNow;
  return true;
}

void
ServiceDirectory::holdEarlierRecord(TimePoint aNow,
                                    Upstream& aCurrent,
                                    const std::optional<UpstreamRecord>& aHeld,
                                    const UpstreamRecord& aRecord)
{
  // A late write of the process before a restart, or an entry of another writer without the start
  // time. The current process writes its entry again, if it reaches the store.
  if (!aHeld || aHeld->m_startedAtMs != aRecord.m_startedAtMs) {
    aCurrent.m_heldSince = aNow;
    aCurrent.m_heldWrites = {};
  }
  aCurrent.m_heldRecord = aRecord;
}

void
ServiceDirectory::releaseHeldRecords(TimePoint aNow)
{
  std::vector<Upstream*> due;
  for (const auto& upstream : m_upstreams) {
    if (!upstream->m_heldRecord) {
      continue;
    }
    const bool isDue =
      upstream->holdsEarlierRecord()
        ? isEarlierProcessAlive(upstream->m_heldWrites, upstream->m_heldSince, *upstream, true)
        : aNow - upstream->m_heldSince >= kRestoredRecordHoldTime;
    if (isDue) {
      due.push_back(upstream.get());
    }
  }
  for (Upstream* const upstream : due) {
    const Change change{ .m_key = { RecordKind::Upstream, upstream->m_name },
                         .m_revision = upstream->m_renewedRevision,
                         .m_record = *std::exchange(upstream->m_heldRecord, std::nullopt) };
    applyUpstreamRecord(aNow, change, upstream);
  }
  absl::erase_if(m_outHoldExpiry, [&](const auto& aEntry) {
    const bool isDue = aNow >= aEntry.second;
    if (isDue) {
      setDataCentreOut(aNow, aEntry.first, false);
      m_events.push_back(
        { EventId::DataCentreBack, "data_centre=" + aEntry.first + " reason=order-lost" });
    }
    return isDue;
  });
}

bool
ServiceDirectory::needsRemoteUpstreams() const
{
  bool isAnyOpen = false;
  for (const auto& upstream : m_upstreams) {
    if (upstream->acceptsNewFlows() && upstream->isLocal()) {
      return false;
    }
    isAnyOpen = isAnyOpen || upstream->acceptsNewFlows();
  }
  return isAnyOpen;
}

bool
ServiceDirectory::isAnyDataCentreUnreachable() const
{
  return std::ranges::any_of(m_dataCentres, [this](const auto& aEntry) {
    return !aEntry.second->m_isLocal && aEntry.second->m_reachability.isUnreachable(m_lastTick);
  });
}

size_t
ServiceDirectory::heldRecordCount() const
{
  return m_outHoldExpiry.size() +
         static_cast<size_t>(std::ranges::count_if(
           m_upstreams, [](const auto& aUpstream) { return aUpstream->m_heldRecord.has_value(); }));
}

void
ServiceDirectory::addUpstream(TimePoint aNow, const Change& aChange)
{
  const auto& record = std::get<UpstreamRecord>(*aChange.m_record);
  auto upstream = std::make_unique<Upstream>();
  upstream->m_name = aChange.m_key.m_name;
  upstream->m_lastSignOfLifeAt = aNow;
  upstream->m_renewedRevision = aChange.m_isRestored ? registry::Revision{} : aChange.m_revision;
  if (!m_mechanisms.isEnabled(Mechanism::AvoidanceBackoff)) {
    upstream->m_health = PassiveHealth(kInitialAvoidanceTime);
  }
  upstream->m_token = makeToken(record.m_identity, record.m_startedAtMs);
  upstream->m_dataCentre = &findOrAddDataCentre(record.m_dataCentre);
  m_upstreamByName[upstream->m_name] = upstream.get();
  Service& service = findOrAddService(record.m_service);
  service.m_upstreams.push_back(upstream.get());
  service.m_areOpenUpstreamsStale = true;
  upstream->m_service = &service;
  updateUpstream(aNow, *upstream, record);
  indexToken(*upstream);
  m_upstreams.push_back(std::move(upstream));
}

void
ServiceDirectory::updateUpstream(TimePoint aNow, Upstream& aUpstream, const UpstreamRecord& aRecord)
{
  const bool wasOpen = aUpstream.acceptsNewFlows();
  const DataCentre* const formerDataCentre = aUpstream.m_dataCentre;
  const bool isNew = aUpstream.m_record.m_identity != aRecord.m_identity;
  const bool isBack = aUpstream.m_registration != RegistrationState::Registered;
  const bool isDraining = aRecord.m_state == UpstreamState::Draining &&
                          aUpstream.m_record.m_state != UpstreamState::Draining;
  if (addressKey(aUpstream.m_record.m_address, aUpstream.m_record.m_port) !=
      addressKey(aRecord.m_address, aRecord.m_port)) {
    releaseAddress(aNow, aUpstream);
  }
  const bool mayBeLateWrite =
    aUpstream.m_isLateWrite || (aUpstream.m_registration == RegistrationState::Ended &&
                                aUpstream.m_entryGoneAt && aNow >= *aUpstream.m_entryGoneAt);
  aUpstream.m_record = aRecord;
  aUpstream.m_dataCentre = &findOrAddDataCentre(aRecord.m_dataCentre);
  aUpstream.m_registration = RegistrationState::Registered;
  claimAddress(aNow, aUpstream);
  aUpstream.m_isLateWrite = mayBeLateWrite && isHeldByLater(aUpstream);
  aUpstream.m_entryGoneAt.reset();
  const auto out = m_dataCentreOut.find(aRecord.m_dataCentre);
  aUpstream.m_isDataCentreOut = out != m_dataCentreOut.end() && out->second;
  if (wasOpen != aUpstream.acceptsNewFlows() || formerDataCentre != aUpstream.m_dataCentre) {
    aUpstream.m_service->m_areOpenUpstreamsStale = true;
  }
  if (aRecord.m_warmUpLeft > Millis{}) {
    aUpstream.m_coldUntil = std::max(aUpstream.m_coldUntil, aNow + aRecord.m_warmUpLeft);
  }
  if (isDraining) {
    addUpstreamEvent(EventId::UpstreamDraining, aUpstream);
  } else if ((isNew || isBack) && m_logsRegistrations) {
    addUpstreamEvent(EventId::UpstreamRegistered,
                     aUpstream,
                     " cold_ms=" + std::to_string(aRecord.m_warmUpLeft.count()));
  }
}

DataCentre&
ServiceDirectory::findOrAddDataCentre(const std::string& aName)
{
  auto& dataCentre = m_dataCentres[aName];
  if (!dataCentre) {
    dataCentre = std::make_unique<DataCentre>(DataCentre{ .m_name = aName,
                                                          .m_id = makeDataCentreId(aName),
                                                          .m_index = m_dataCentres.size() - 1,
                                                          .m_isLocal = aName == m_dataCentre,
                                                          .m_reachability = {} });
  }
  return *dataCentre;
}

void
ServiceDirectory::indexToken(Upstream& aUpstream)
{
  Upstream*& entry = m_upstreamByToken[aUpstream.m_token.m_value];
  if (entry == nullptr || entry == &aUpstream ||
      entry->m_registration == RegistrationState::Ended) {
    entry = &aUpstream;
    return;
  }
  // All hosts must resolve a collision in the same way: the upstream with the smaller identity
  // keeps the token. Of two entries with one identity, one is a copy by another writer.
  const bool isEntryLater = !entry->m_isRenewed && !aUpstream.m_isRenewed &&
                            aUpstream.m_renewedRevision > entry->m_renewedRevision;
  const bool isCopyKnown = entry->m_record.m_identity == aUpstream.m_record.m_identity &&
                           !aUpstream.m_hasAddressConflict &&
                           (entry->m_hasAddressConflict || isEntryLater);
  Upstream* const first =
    entry->m_record.m_identity <= aUpstream.m_record.m_identity && !isCopyKnown ? entry
                                                                                : &aUpstream;
  Upstream* const second = first == entry ? &aUpstream : entry;
  first->m_hasTokenConflict = false;
  second->m_hasTokenConflict = true;
  first->m_service->m_areOpenUpstreamsStale = true;
  second->m_service->m_areOpenUpstreamsStale = true;
  entry = first;
  addUpstreamEvent(EventId::TokenCollision, *second, " kept_by=" + first->m_name);
}

void
ServiceDirectory::setUnregistered(TimePoint aNow,
                                  Upstream& aUpstream,
                                  RegistrationState aState,
                                  const std::string& aReason)
{
  aUpstream.m_registration = aState;
  aUpstream.m_service->m_areOpenUpstreamsStale = true;
  aUpstream.m_unregisteredSince = aNow;
  const EventId event = aState == RegistrationState::Lapsed    ? EventId::UpstreamLapsed
                        : aState == RegistrationState::Missing ? EventId::UpstreamMissing
                                                               : EventId::UpstreamEnded;
  addUpstreamEvent(event, aUpstream, " reason=" + aReason);
}

void
ServiceDirectory::tick(TimePoint aNow)
{
  const double elapsed = static_cast<double>((aNow - m_lastTick).count());
  m_lastTick = aNow;
  releaseHeldRecords(aNow);
  std::vector<Upstream*> expired;
  for (const auto& upstream : m_upstreams) {
    const Millis absent = aNow - upstream->m_unregisteredSince;
    if (upstream->m_registration == RegistrationState::Lapsed && absent >= kLapseGracePeriod) {
      // A running upstream that reaches the store has registered again by now.
      upstream->m_lastAnswerAt = {};
      setUnregistered(aNow, *upstream, RegistrationState::Missing, "grace-over");
    } else if (upstream->m_registration >= RegistrationState::Missing &&
               absent >= kTokenRetention) {
      expired.push_back(upstream.get());
    }
  }
  for (Upstream* upstream : expired) {
    eraseUpstream(aNow, *upstream);
  }
  if (!expired.empty()) {
    eraseUnusedServices();
  }
  resolveAddressClaims(aNow);
  resolveTokenConflicts();
  for (auto& [name, service] : m_services) {
    double localUpstreams = 0;
    service->m_avoidedLocalUpstreams = 0;
    for (const Upstream* upstream : service->m_upstreams) {
      if (upstream->isLocal()) {
        localUpstreams += upstream->m_registration <= RegistrationState::Lapsed ? 1 : 0;
        service->m_avoidedLocalUpstreams +=
          upstream->acceptsNewFlows() && !upstream->isUsable(aNow) ? 1 : 0;
      }
    }
    const double decay =
      std::exp(-elapsed / static_cast<double>(kLocalUpstreamsTimeConstant.count()));
    service->m_recentLocalUpstreams = std::max(
      localUpstreams, localUpstreams + (service->m_recentLocalUpstreams - localUpstreams) * decay);
  }
}

void
ServiceDirectory::eraseUpstream(TimePoint aNow, Upstream& aUpstream)
{
  const auto eraseIfMapped = [&aUpstream](auto& aMap, const auto& aKey) {
    const auto found = aMap.find(aKey);
    if (found != aMap.end() && found->second == &aUpstream) {
      aMap.erase(found);
    }
  };
  eraseIfMapped(m_upstreamByToken, aUpstream.m_token.m_value);
  eraseIfMapped(m_upstreamByName, aUpstream.m_name);
  releaseAddress(aNow, aUpstream);
  std::erase(aUpstream.m_service->m_upstreams, &aUpstream);
  aUpstream.m_service->m_areOpenUpstreamsStale = true;
  std::erase_if(m_upstreams,
                [&aUpstream](const auto& aEntry) { return aEntry.get() == &aUpstream; });
}

void
ServiceDirectory::eraseUnusedServices()
{
  absl::erase_if(m_services, [](const auto& aEntry) {
    return aEntry.second->m_upstreams.empty() && !aEntry.second->isNamed();
  });
}

const Route*
ServiceDirectory::findRoute(Ipv4 aAddress, uint16_t aPort) const
{
  const auto found = m_routes.find(addressKey(aAddress, aPort));
  return found == m_routes.end() ? nullptr : &found->second;
}

Upstream*
ServiceDirectory::findUpstream(Token aToken) const
{
  const auto found = m_upstreamByToken.find(aToken.m_value);
  return found == m_upstreamByToken.end() ? nullptr : found->second;
}

Service*
ServiceDirectory::findService(const std::string& aName) const
{
  const auto found = m_services.find(aName);
  return found == m_services.end() ? nullptr : found->second.get();
}

void
ServiceDirectory::addUpstreamEvent(EventId aEvent,
                                   const Upstream& aUpstream,
                                   std::string aExtraFields)
{
  m_events.push_back({ aEvent,
                       "upstream=" + aUpstream.m_name + " token=" + formatToken(aUpstream.m_token) +
                         " service=" + aUpstream.m_record.m_service + " data_centre=" +
                         aUpstream.m_record.m_dataCentre + std::move(aExtraFields) });
}

} // namespace tamarack::steering
