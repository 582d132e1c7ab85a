// The registry as the packet path needs it: routes by address, upstreams by token and by service,
// and whether each upstream is there, cold, or gone. Its cost follows the changes.
#pragma once

#include "base/Events.h"
#include "base/Mechanisms.h"
#include "registry/Registry.h"
#include "steering/ChanceMeter.h"
#include "steering/LoadMeter.h"
#include "steering/Pace.h"
#include "steering/PassiveHealth.h"
#include "steering/Reach.h"
#include "steering/ResponseTimes.h"
#include "steering/Steering.h"

#include <absl/container/flat_hash_map.h>
#include <memory>
#include <string>

namespace tamarack::steering {

/// An upstream whose entry lapsed while the store was away is back within two seconds of its
/// return.
inline constexpr Millis kLapseGrace{ 2500 };
/// After a new history of the store, an entry that contradicts what was known is believed when it
/// has stood for three heartbeats of 1.2 s: nobody renews that of an upstream that is gone.
inline constexpr Millis kRestoredEntryWait{ 4000 };
/// A data centre that was taken out stays out for so long when the store lost the order, which
/// operators give again.
inline constexpr Millis kLostOrderWait{ 10'000 };
/// Flows older than this may be dropped, so a token is forgotten this long after its upstream.
inline constexpr Millis kRememberGone{ 60'000 };
/// An upstream reports that it has turned cold with its next heartbeat, 1.2 s later at most.
inline constexpr Millis kColdReportDelay{ 1300 };
/// Requests that an upstream works on fade from its load in about the time that one takes.
inline constexpr Millis kRequestFade{ 200 };
/// A flow that is kept open weighs on its upstream for some seconds of requests.
inline constexpr Millis kFlowFade{ 5000 };

enum class Presence : uint8_t
{
  Registered,
  /// Its entry vanished while the store was disturbed; it may be alive.
  Lapsed,
  /// Its entry vanished; it may be cut off from the store, or dead.
  Missing,
  /// It has ended for sure: it drained, started anew, or another upstream has its address.
  Ended,
};

struct Service;

struct Upstream
{
  std::string m_name;
  /// These two are never null once it stands in the directory.
  Service* m_service{};
  DataCentre* m_dataCentre{};
  registry::UpstreamRecord m_record;
  Token m_token;
  Presence m_presence{ Presence::Registered };
  /// Of all but Registered.
  TimePoint m_absentSince;
  TimePoint m_coldUntil;
  PassiveHealth m_health;
  Pace m_pace;
  LoadMeter m_requests{ kRequestFade };
  LoadMeter m_flows{ kFlowFade };
  /// Callers that waited for its answers have been told that none will come.
  bool m_isGivenUp{};
  /// Its data centre is taken out.
  bool m_isOut{};
  /// Another upstream with the same token came first; this one gets no flows.
  bool m_isShadowed{};
  /// An entry of a new history that says the upstream goes on, though it drained or left. Taken at
  /// m_restoredAt + kRestoredEntryWait, unless another change comes first.
  std::optional<registry::UpstreamRecord> m_restored;
  TimePoint m_restoredAt;

  [[nodiscard]] bool isLocal() const { return m_dataCentre->m_isLocal; }
  [[nodiscard]] bool isCold(TimePoint aNow) const { return aNow < m_coldUntil; }
  /// Whether new flows may go there, cold or not.
  [[nodiscard]] bool isOpen() const
  {
    return m_presence <= Presence::Lapsed && m_record.m_state == registry::UpstreamState::Ready &&
           !m_isOut && !m_isShadowed;
  }
};

struct Service
{
  registry::ServiceRecord m_record;
  std::vector<Upstream*> m_upstreams;
  ResponseTimes m_responses;
  /// How often an answer is slow. Follows slowly, so that a few upstreams that turn slow stand out
  /// for ten seconds at a hundred answers a second.
  ChanceMeter m_slowAnswers{ 0.01, 0.005, 1.0 / 1024 };
  /// Most local upstreams that were registered at a time lately.
  double m_localStrength{};
};

struct Route
{
  std::string m_name;
  registry::RouteRecord m_record;
};

/// A change of what this host believes of an upstream, for the log.
struct Belief
{
  EventId m_event;
  std::string m_fields;
};

class Directory
{
public:
  explicit Directory(std::string aDataCentre, Mechanisms aMechanisms = {})
    : m_dataCentre(std::move(aDataCentre))
    , m_mechanisms(aMechanisms)
  {
  }

  /// Whether each upstream that registers is logged. The first records of a host are not: their
  /// number is, and other hosts logged each one when it came.
  void setListing(bool aIsListing) { m_isListing = aIsListing; }
  /// Takes changes of the registry in.
  void apply(TimePoint aNow, std::span<const registry::Change> aChanges);
  /// Ends grace times and forgets what is long gone.
  void tick(TimePoint aNow);

  [[nodiscard]] const Route* findRoute(Ipv4 aAddress, uint16_t aPort) const;
  [[nodiscard]] Upstream* findUpstream(Token aToken) const;
  [[nodiscard]] Service* findService(const std::string& aName) const;
  [[nodiscard]] const auto& dataCentres() const { return m_dataCentres; }
  [[nodiscard]] size_t routes() const { return m_routes.size(); }
  [[nodiscard]] const std::vector<std::unique_ptr<Upstream>>& upstreams() const
  {
    return m_upstreams;
  }
  /// Whether new flows can only go to upstreams of other data centres.
  [[nodiscard]] bool isDependent() const;
  /// Whether callers show that another data centre cannot be reached.
  [[nodiscard]] bool isAnyLost() const;
  /// Entries and orders that wait since the store came back from a copy.
  [[nodiscard]] size_t heldBack() const;
  [[nodiscard]] const Mechanisms& mechanisms() const { return m_mechanisms; }
  [[nodiscard]] std::vector<Belief> takeBeliefs() { return std::exchange(m_beliefs, {}); }

private:
  void applyRoute(const registry::Change& aChange);
  void applyService(const registry::Change& aChange);
  void applyConfiguration(const registry::Change& aChange);
  void applyDataCentre(TimePoint aNow, const registry::Change& aChange);
  void setDataCentreOut(TimePoint aNow, const std::string& aName, bool aIsOut);
  void applyUpstream(TimePoint aNow, const registry::Change& aChange);
  /// Takes an entry of a new history. Returns whether it has to wait, or is of an earlier start.
  bool isDoubted(TimePoint aNow, Upstream& aHeld, const registry::UpstreamRecord& aRecord);
  /// Ends the waits that a new history began.
  void settleRestored(TimePoint aNow);
  void addUpstream(TimePoint aNow, const std::string& aName, const registry::UpstreamRecord&);
  void update(TimePoint aNow, Upstream& aUpstream, const registry::UpstreamRecord& aRecord);
  void setAbsent(TimePoint aNow, Upstream& aUpstream, Presence aPresence);
  DataCentre& dataCentreOf(const std::string& aName);
  void indexToken(Upstream& aUpstream);
  void forget(Upstream& aUpstream);
  void believe(EventId aEvent, const Upstream& aUpstream, std::string aExtra = {});

  std::string m_dataCentre;
  Mechanisms m_mechanisms;
  absl::flat_hash_map<uint64_t, Route> m_routes;
  /// Where a route of the configuration stands in m_routes, by its name.
  absl::flat_hash_map<std::string, uint64_t> m_routeKeys;
  absl::flat_hash_map<std::string, std::unique_ptr<Service>> m_services;
  /// Of all upstreams that were ever seen.
  absl::flat_hash_map<std::string, std::unique_ptr<DataCentre>> m_dataCentres;
  std::vector<std::unique_ptr<Upstream>> m_upstreams;
  absl::flat_hash_map<uint32_t, Upstream*> m_byToken;
  /// The newest start under each name.
  absl::flat_hash_map<std::string, Upstream*> m_byName;
  absl::flat_hash_map<uint64_t, Upstream*> m_byAddress;
  absl::flat_hash_map<std::string, bool> m_isOut;
  /// Data centres whose orders the store lost, and when they are back without another order.
  absl::flat_hash_map<std::string, TimePoint> m_backAt;
  std::vector<Belief> m_beliefs;
  bool m_isListing{ true };
  TimePoint m_lastTick;
};

/// The token of one start of an upstream.
[[nodiscard]] Token
makeToken(uint64_t aIdentity, int64_t aStartedAtMs);

/// A token as logs write it.
[[nodiscard]] std::string
formatToken(Token aToken);

} // namespace tamarack::steering
