// The registry in the form that the packet path needs: routes by address, upstreams by token and by
// service, and the state of each upstream. Changes are applied incrementally, so the cost follows
// the number of changes.
#pragma once

#include "base/Events.h"
#include "base/Mechanisms.h"
#include "overload/AdmissionController.h"
#include "registry/Registry.h"
#include "steering/DataCentreReachability.h"
#include "steering/DecayingCounter.h"
#include "steering/LatencyOutlierDetector.h"
#include "steering/PassiveHealth.h"
#include "steering/ProbabilityEstimator.h"
#include "steering/RemotePlacement.h"
#include "steering/ResponseTimeEstimator.h"
#include "steering/RoundTripTimes.h"
#include "steering/Steering.h"

#include <absl/container/flat_hash_map.h>
#include <memory>
#include <string>

namespace tamarack::steering {

/// Grace period of an entry that lapsed while the store was unavailable; the upstream counts as
/// missing afterwards. A running upstream registers again within two seconds of the return of the
/// store.
inline constexpr Millis kLapseGracePeriod{ 2500 };
/// Time for which the entry of an upstream that is gone stays in the registry at most: it expires
/// after three heartbeats of 1.2 s. An entry that remains for longer belongs to a running upstream.
inline constexpr Millis kEntryExpiryTime{ 4000 };
/// Time after which an entry of a store restored from a backup is accepted although it contradicts
/// the known state.
inline constexpr Millis kRestoredRecordHoldTime = kEntryExpiryTime;
/// Number of writes by which a process shows that it runs, although another one with its address or
/// name started later, and the least time between the first and the last of them. Writes of a
/// process that is gone arrive together, when the connection that held them up works again.
inline constexpr int kMinClaimWrites = 3;
inline constexpr Millis kMinClaimWriteSpan{ 2000 };
/// Time for which a data centre stays out of service when a restored store lost the order that took
/// it out. Operators give the order again in that time.
inline constexpr Millis kDataCentreOutHoldTime{ 10'000 };
/// Time for which the token of an upstream that is gone is kept. Flows older than this may be
/// dropped.
inline constexpr Millis kTokenRetention{ 60'000 };
/// Time without a sign of life after which the entry of an upstream no longer keeps its address
/// from a successor. An address is assigned again 2 s after its upstream has ended at the earliest.
inline constexpr Millis kSilenceTimeout{ 2000 };
/// Time without a renewal of any entry after which the registry, rather than an upstream, is taken
/// to be silent. A single upstream renews its entry every 1.2 s, and readers call the store every
/// 0.4 s.
inline constexpr Millis kMaxRenewalGap{ 2800 };
/// Maximum age of the registry view at which a host still reports that a route or an upstream does
/// not exist.
inline constexpr Millis kMaxTrustedViewAge{ 2500 };
/// Limit of the data centres, far above the design size. Entries that name further ones are left
/// out, since what a directory knows of a data centre is never erased.
inline constexpr size_t kMaxDataCentres = 256;
/// Maximum delay until an upstream that turned cold reports it with its next heartbeat; heartbeats
/// are 1.2 s apart.
inline constexpr Millis kColdReportDelay{ 1300 };
/// Time constant of the load that requests put on an upstream: about the duration of a request.
inline constexpr Millis kRequestTimeConstant{ 200 };
/// Time constant of the load that flows put on an upstream: an established flow sends further
/// requests for some seconds.
inline constexpr Millis kFlowTimeConstant{ 5000 };

/// State of the registry entry of an upstream. The order matters: from Missing on, an upstream gets
/// no new flows.
enum class RegistrationState : uint8_t
{
  /// The registry holds its entry.
  Registered,
  /// The entry vanished while the store was disturbed; the upstream may be alive.
  Lapsed,
  /// The entry vanished; the upstream has failed or is disconnected from the store.
  Missing,
  /// The upstream is known to have ended: it drained, restarted, or another upstream has its
  /// address.
  Ended,
};

struct Service;

/// Writes of the entry of a process, although another one with its address or name started later.
struct ContraryWrites
{
  int m_count{};
  TimePoint m_firstAt;
  TimePoint m_lastAt;

  void add(TimePoint aNow)
  {
    m_firstAt = m_count++ == 0 ? aNow : m_firstAt;
    m_lastAt = aNow;
  }
};

/// One process instance of an upstream, with what this host observes of it.
struct Upstream
{
  std::string m_name;
  /// Never null once the upstream is part of the directory.
  Service* m_service{};
  DataCentre* m_dataCentre{};
  registry::UpstreamRecord m_record;
  Token m_token;
  RegistrationState m_registration{ RegistrationState::Registered };
  /// Time from which on the entry counts as gone for good: that of its removal, or the end of the
  /// grace period if the store was disturbed. Unset while the entry stands.
  std::optional<TimePoint> m_entryGoneAt;
  /// The upstream had ended and its entry was gone for good when it was written again, and the
  /// upstream that holds the address started later. The entry is taken for a late write until the
  /// claim to the address is accepted.
  bool m_isLateWrite{};
  /// Time of the last change to a state other than Registered.
  TimePoint m_unregisteredSince;
  /// Revision of the latest renewal of the entry; unset if the entry came with a restored store and
  /// was not renewed since.
  registry::Revision m_renewedRevision{};
  /// Whether the entry was renewed since this host first saw it.
  bool m_isRenewed{};
  /// Time of the latest renewal of the entry, or of the latest response to a caller.
  TimePoint m_lastSignOfLifeAt;
  /// Time of the latest response to a caller that its acknowledgement without payload shows. Unset
  /// from the end of a grace period until the next one.
  TimePoint m_lastAnswerAt;
  /// Another upstream holds the address of this one, so this one gets no flows; see
  /// ServiceDirectory::resolveAddressClaims.
  bool m_hasAddressConflict{};
  /// Time since which m_hasAddressConflict is set.
  TimePoint m_claimedAt;
  /// Writes of the entry since m_claimedAt.
  ContraryWrites m_claimWrites;
  /// End of the cold start of the upstream.
  TimePoint m_coldUntil;
  PassiveHealth m_health;
  LatencyOutlierDetector m_outlierDetector;
  /// Requests and flows that this host sent to the upstream.
  DecayingCounter m_recentRequests{ kRequestTimeConstant };
  DecayingCounter m_recentFlows{ kFlowTimeConstant };
  /// Flows with pending requests were reset; see TokenSteering::resetStalledFlows.
  bool m_areFlowsReset{};
  /// End of the part of the flow table, as a position of TokenSteering::m_idleScanPosition, in
  /// which idle flows of the upstream are reset; 0 if the upstream has not ended.
  uint64_t m_idleScanEnd{};
  /// The data centre of the upstream is out of service by order of an operator.
  bool m_isDataCentreOut{};
  /// Another upstream with the same token takes precedence; this one gets no flows.
  bool m_hasTokenConflict{};
  /// An entry that contradicts the known state: one of a restored store that says that the upstream
  /// is running, although it drained or left, or one of a process that started earlier. Unless
  /// another change of the upstream comes first, the former is applied at m_heldSince +
  /// kRestoredRecordHoldTime, and the latter once it shows that its process runs.
  std::optional<registry::UpstreamRecord> m_heldRecord;
  TimePoint m_heldSince;
  /// Writes of m_heldRecord, if it is of a process that started earlier.
  ContraryWrites m_heldWrites;

  [[nodiscard]] bool isLocal() const { return m_dataCentre->m_isLocal; }
  /// Whether m_heldRecord is of a process that started earlier.
  [[nodiscard]] bool holdsEarlierRecord() const
  {
    return m_heldRecord && m_heldRecord->m_startedAtMs < m_record.m_startedAtMs;
  }
  /// Whether the upstream is known to have ended, although a late write of its entry may stand.
  [[nodiscard]] bool hasEnded() const
  {
    return m_registration == RegistrationState::Ended || m_isLateWrite;
  }
  /// Whether the upstream has ended, or the removal of its entry is evidence that it has. An entry
  /// expires three heartbeats of 1.2 s after its last write, and an upstream dies one heartbeat
  /// after that write at most. So one that has answered within kSilenceTimeout was only cut off
  /// from the store.
  [[nodiscard]] bool isGone(TimePoint aNow) const
  {
    return hasEnded() || (m_registration == RegistrationState::Missing &&
                          aNow - m_lastAnswerAt > kSilenceTimeout);
  }
  [[nodiscard]] bool isCold(TimePoint aNow) const { return aNow < m_coldUntil; }
  /// Whether new flows may go there, regardless of a cold start.
  [[nodiscard]] bool acceptsNewFlows() const
  {
    return m_registration <= RegistrationState::Lapsed &&
           m_record.m_state == registry::UpstreamState::Ready && !m_isDataCentreOut &&
           !m_hasTokenConflict && !m_hasAddressConflict;
  }
  /// Whether new flows may go there without limit, and nothing that this host observed or was told
  /// speaks against it.
  [[nodiscard]] bool isUsable(TimePoint aNow) const;
  /// Whether new flows are limited by the ColdStartLimiter.
  [[nodiscard]] bool isRateLimited(TimePoint aNow) const;
  /// Whether new flows should go to other upstreams, for what this host observed or was told.
  [[nodiscard]] bool isAvoided(TimePoint aNow) const
  {
    return m_health.isAvoided(aNow) || m_outlierDetector.isSlow(aNow) ||
           m_dataCentre->m_reachability.isAvoided(aNow);
  }
  /// Returns the number of slots that new flows can use. A cold upstream counts half, since it is
  /// slower; one whose new flows are limited in number, avoided or closed to them counts 0.
  [[nodiscard]] double usableSlots(TimePoint aNow) const;
};

/// A service and the response times of its upstreams.
struct Service
{
  std::string m_name;
  /// The identifier in load reports.
  ServiceId m_id;
  registry::ServiceRecord m_record;
  /// The configuration lists the service.
  bool m_isConfigured{};
  /// The routes that send flows to the service with a weight above 0, ordered by identifier.
  std::vector<overload::RouteTerms> m_routes;
  /// Overload control applies: the routes differ in priority, and the mechanism is enabled.
  bool m_isGoverned{};
  /// Times of the handshakes with the upstreams, by data centre.
  RoundTripTimes m_roundTripTimes;
  std::vector<Upstream*> m_upstreams;
  /// The upstreams that accept new flows: local ones, then those of each other data centre. Valid
  /// unless m_areOpenUpstreamsStale; UpstreamSelector updates it.
  std::vector<Upstream*> m_openUpstreams;
  /// Number of local upstreams at the front of m_openUpstreams.
  size_t m_openLocalUpstreams{};
  /// Must be set with every change of m_upstreams, of Upstream::acceptsNewFlows() or of the data
  /// centre of an upstream.
  bool m_areOpenUpstreamsStale{ true };
  /// Number of local upstreams that accept new flows but were not usable at the last tick.
  size_t m_avoidedLocalUpstreams{};
  ResponseTimeEstimator m_responseTimes;
  /// Probability that a response is slow. The estimate adapts slowly, so that a few upstreams that
  /// become slow stand out for ten seconds at a hundred responses per second.
  ProbabilityEstimator m_slowResponseProbability{ 0.01, 0.005, 1.0 / 1024 };
  /// Number of local upstreams that were registered at a time recently: the maximum, decaying to
  /// the current number.
  double m_recentLocalUpstreams{};
  /// Placement by the load of the fleet; see UpstreamSelector::setOccupancy.
  RemotePlacement m_remotePlacement;

  /// Whether the configuration names the service. Entries of other services name no upstreams.
  [[nodiscard]] bool isNamed() const { return m_isConfigured || !m_routes.empty(); }
};

struct Route
{
  std::string m_name;
  registry::RouteRecord m_record;
  /// The identifier in load reports.
  overload::RouteId m_id;
};

/// A change of the directory, for the log.
struct DirectoryEvent
{
  EventId m_event;
  /// Fields of the log line.
  std::string m_fields;
};

/// Routes, services and upstreams, indexed for the packet path.
class ServiceDirectory
{
public:
  explicit ServiceDirectory(std::string aDataCentre, Mechanisms aMechanisms = {})
    : m_dataCentre(std::move(aDataCentre))
    , m_mechanisms(aMechanisms)
  {
  }

  /// Sets whether each registration of an upstream is logged. The initial load of a host logs only
  /// their number, since other hosts logged each registration when it happened.
  void setRegistrationLogging(bool aIsLogged) { m_logsRegistrations = aIsLogged; }
  /// Applies changes of the registry.
  void apply(TimePoint aNow, std::span<const registry::Change> aChanges);
  /// Records that entries of upstreams were written again. Must be called after the changes of the
  /// same update were applied.
  void applyRenewals(TimePoint aNow, std::span<const registry::Renewal> aRenewals);
  /// The registry was disturbed: entries that are not renewed until kSilenceTimeout from now say
  /// nothing about their upstreams.
  void restartSilence(TimePoint aNow) { m_silenceSince = aNow; }
  /// The revisions of the registry start anew.
  void resetRevisions();
  /// Whether the upstream has given no sign of life for kSilenceTimeout while other entries were
  /// renewed. A running upstream without callers on this host may be silent: the registry need not
  /// publish heartbeats that change nothing.
  [[nodiscard]] bool isSilent(const Upstream& aUpstream) const;
  /// Returns the evidence of failure of an upstream that bears on its open flows. That of SYNs does
  /// so once the upstream is gone as well; see Upstream::isGone. Evidence is void by its age,
  /// unless the upstream has given no sign of life since and is gone.
  [[nodiscard]] double flowEvidence(TimePoint aNow, const Upstream& aUpstream) const;
  /// Whether open flows of the upstream should be given up for lack of responses. Unless the
  /// upstream is gone, this takes evidence of this host or of one nearby; see
  /// PassiveHealth::isCorroborated.
  [[nodiscard]] bool hasFailed(TimePoint aNow, const Upstream& aUpstream) const;
  /// Ends grace periods and hold times, and erases upstreams whose token retention has ended.
  void tick(TimePoint aNow);

  [[nodiscard]] const Route* findRoute(Ipv4 aAddress, uint16_t aPort) const;
  [[nodiscard]] Upstream* findUpstream(Token aToken) const;
  [[nodiscard]] Service* findService(const std::string& aName) const;
  [[nodiscard]] const auto& dataCentres() const { return m_dataCentres; }
  [[nodiscard]] size_t routes() const { return m_routes.size(); }
  /// The services by name.
  [[nodiscard]] const auto& services() const { return m_services; }
  /// Returns the usable slots and the routes of each service that overload control applies to. The
  /// routes are valid until the next call of apply().
  [[nodiscard]] std::vector<overload::ServiceRoom> serviceRooms(TimePoint aNow) const;
  /// Returns the name of a service or route for logs and metrics, by a linear search; empty if
  /// there is none.
  [[nodiscard]] std::string_view serviceName(ServiceId aService) const;
  [[nodiscard]] std::string_view routeName(overload::RouteId aRoute) const;
  [[nodiscard]] const std::vector<std::unique_ptr<Upstream>>& upstreams() const
  {
    return m_upstreams;
  }
  /// Returns whether only upstreams of other data centres accept new flows.
  [[nodiscard]] bool needsRemoteUpstreams() const;
  /// Returns whether any other data centre is unreachable according to the packets of callers.
  [[nodiscard]] bool isAnyDataCentreUnreachable() const;
  /// Returns the number of entries and operator orders that are held back because they contradict
  /// the known state, most of them after the store was restored.
  [[nodiscard]] size_t heldRecordCount() const;
  [[nodiscard]] const Mechanisms& mechanisms() const { return m_mechanisms; }
  /// Returns the changes since the last call.
  [[nodiscard]] std::vector<DirectoryEvent> takeEvents() { return std::exchange(m_events, {}); }

private:
  void applyRoute(const registry::Change& aChange);
  void applyService(const registry::Change& aChange);
  void applyConfiguration(const registry::Change& aChange);
  void applyDataCentre(TimePoint aNow, const registry::Change& aChange);
  void setDataCentreOut(TimePoint aNow, const std::string& aName, bool aIsOut);
  void applyUpstream(TimePoint aNow, const registry::Change& aChange);
  void applyRemoval(TimePoint aNow, Upstream& aUpstream, bool aMayReturn, bool aIsOfEarlierProcess);
  /// Applies a change that holds a record. `aKnown` is the latest process instance under its name,
  /// or null.
  void applyUpstreamRecord(TimePoint aNow, const registry::Change& aChange, Upstream* aKnown);
  /// Checks an entry of a restored store against the known state. Returns whether it must not be
  /// applied now: it is held back, or belongs to an earlier process instance.
  bool holdRestoredRecord(TimePoint aNow,
                          Upstream& aKnown,
                          const registry::UpstreamRecord& aRecord);
  /// Holds back an entry of a process that started before the current one under its name. `aHeld`
  /// is the entry that was held back before, if any.
  void holdEarlierRecord(TimePoint aNow,
                         Upstream& aCurrent,
                         const std::optional<registry::UpstreamRecord>& aHeld,
                         const registry::UpstreamRecord& aRecord);
  /// Applies the entries and orders whose hold time has ended.
  void releaseHeldRecords(TimePoint aNow);
  void addUpstream(TimePoint aNow, const registry::Change& aChange);
  /// Returns the known upstream of a process instance under its name, or null. `aLatest` is the
  /// latest process instance under the name, or null.
  [[nodiscard]] Upstream* findInstance(const std::string& aName,
                                       const registry::UpstreamRecord& aRecord,
                                       Upstream* aLatest) const;
  /// Makes an upstream the holder of its address, or records its claim if another one holds it.
  void claimAddress(TimePoint aNow, Upstream& aUpstream);
  /// Makes an upstream the holder of an address; the holder before, if any, has ended.
  void giveAddress(TimePoint aNow, Upstream*& aHolder, Upstream& aClaimant);
  /// Whether the entry of an upstream shows that the holder of its address has ended.
  [[nodiscard]] bool displaces(const Upstream& aClaimant, const Upstream& aHolder) const;
  /// Whether an entry shows that its process still runs, although `aLater`, with its address or
  /// name, started later: it is written again and again while the later one gives no sign of life,
  /// or stays although that of the later one is gone and its own would have expired. `aFirstSeenAt`
  /// is the time of its first write.
  [[nodiscard]] bool isEarlierProcessAlive(const ContraryWrites& aWrites,
                                           TimePoint aFirstSeenAt,
                                           const Upstream& aLater,
                                           bool aIsLaterEntryGone) const;
  /// Whether the address that an upstream claims is held by one that started later.
  [[nodiscard]] bool isHeldByLater(const Upstream& aUpstream) const;
  /// Gives addresses to upstreams with a claim whose holders have ended.
  void resolveAddressClaims(TimePoint aNow);
  /// Gives a token to an upstream that was refused it, once its holder has ended or turned out to
  /// be a copy of the entry by another writer.
  void resolveTokenConflicts();
  /// Gives up the address of an upstream, or its claim to it.
  void releaseAddress(TimePoint aNow, Upstream& aUpstream);
  void setAddressConflict(TimePoint aNow, Upstream& aUpstream, bool aHasConflict);
  void updateUpstream(TimePoint aNow, Upstream& aUpstream, const registry::UpstreamRecord& aRecord);
  void setUnregistered(TimePoint aNow,
                       Upstream& aUpstream,
                       RegistrationState aState,
                       const std::string& aReason);
  /// Whether the data centre of an entry is known or may be added.
  [[nodiscard]] bool hasRoomFor(const std::string& aDataCentre) const
  {
    return m_dataCentres.size() < kMaxDataCentres || m_dataCentres.contains(aDataCentre);
  }
  DataCentre& findOrAddDataCentre(const std::string& aName);
  /// Erases services that no configuration names and that have no upstreams.
  void eraseUnusedServices();
  Service& findOrAddService(const std::string& aName);
  /// Adds a route to the terms of the services that it uses, or removes it from them.
  void addRouteTerms(const Route& aRoute);
  void removeRouteTerms(const Route& aRoute);
  void updateGovernance(Service& aService) const;
  void indexToken(Upstream& aUpstream);
  void eraseUpstream(TimePoint aNow, Upstream& aUpstream);
  void addUpstreamEvent(EventId aEvent, const Upstream& aUpstream, std::string aExtraFields = {});

  std::string m_dataCentre;
  Mechanisms m_mechanisms;
  absl::flat_hash_map<uint64_t, Route> m_routes;
  /// Keys of m_routes by the name of the route in the configuration.
  absl::flat_hash_map<std::string, uint64_t> m_routeKeys;
  absl::flat_hash_map<std::string, std::unique_ptr<Service>> m_services;
  /// The data centres of all upstreams seen so far. Entries are never erased, since upstreams point
  /// to them.
  absl::flat_hash_map<std::string, std::unique_ptr<DataCentre>> m_dataCentres;
  std::vector<std::unique_ptr<Upstream>> m_upstreams;
  absl::flat_hash_map<uint32_t, Upstream*> m_upstreamByToken;
  /// The latest process instance under each name.
  absl::flat_hash_map<std::string, Upstream*> m_upstreamByName;
  /// The upstream that holds each address.
  absl::flat_hash_map<uint64_t, Upstream*> m_upstreamByAddress;
  /// The upstreams with m_hasAddressConflict.
  std::vector<Upstream*> m_addressClaimants;
  /// Time of the latest renewal of any entry; the epoch before the first one.
  TimePoint m_lastRenewalAt;
  /// Silence of an entry counts from here at the earliest.
  TimePoint m_silenceSince;
  /// Whether each data centre with an order so far is out of service.
  absl::flat_hash_map<std::string, bool> m_dataCentreOut;
  /// Data centres whose order was lost by a restored store, with the time at which they return to
  /// service without a new order.
  absl::flat_hash_map<std::string, TimePoint> m_outHoldExpiry;
  std::vector<DirectoryEvent> m_events;
  bool m_logsRegistrations{ true };
  /// That the number of data centres has reached its limit was logged.
  bool m_isLimitLogged{};
  TimePoint m_lastTick;
};

/// Return the identifiers of names in load reports.
[[nodiscard]] ServiceId
makeServiceId(std::string_view aName);
[[nodiscard]] overload::RouteId
makeRouteId(std::string_view aName);
[[nodiscard]] overload::DataCentreId
makeDataCentreId(std::string_view aName);

/// Returns the key of an address in the maps of a directory.
[[nodiscard]] inline uint64_t
addressKey(Ipv4 aAddress, uint16_t aPort)
{
  return uint64_t{ aAddress.m_value } << 16 | aPort;
}

/// Returns the token of one process instance of an upstream.
[[nodiscard]] Token
makeToken(uint64_t aIdentity, int64_t aStartedAtMs);

/// Formats a token for the log, as eight hexadecimal digits.
[[nodiscard]] std::string
formatToken(Token aToken);

} // namespace tamarack::steering
