// Decides packets of flows whose ends echo a token. A new flow gets an upstream; every other packet
// goes where its token says, on any host, after any restart. A flow whose upstream does not answer
// is reset as soon as that helps its caller.
#pragma once

#include "steering/ChanceMeter.h"
#include "steering/FlowEvents.h"
#include "steering/FlowTable.h"
#include "steering/OpeningWatch.h"
#include "steering/Placement.h"

#include <functional>

namespace tamarack::steering {

/// With older records a host does not say that a route or an upstream does not exist.
inline constexpr Millis kTrustedViewAge{ 2500 };
/// After its first reading a host waits for entries that lapsed to come back before it calls a
/// token that it has never seen gone. Until then callers on flows to upstreams that ended before
/// the start of the host wait in vain.
inline constexpr Millis kLearningTime = kLapseGrace;
/// Requests that are older than this are no longer waited for by anybody.
inline constexpr Millis kLongestWait{ 6000 };
/// Callers repeat packets 200 ms apart or more. Those that come closer waited together, as in a
/// host that was paused, and say nothing of the upstream.
inline constexpr Millis kLeastCopyInterval{ 150 };
/// Chances of a repeated opening packet on a calm day: a datagram or its answer was lost.
inline constexpr double kFirstChanceOfCopy = 0.01;
inline constexpr double kLeastChanceOfCopy = 0.005;
/// Chances of a repeated request on a calm day: one in fifty is worked on for over 200 ms.
inline constexpr double kFirstChanceOfRepeat = 0.05;
inline constexpr double kLeastChanceOfRepeat = 0.02;

/// What the records that decisions rest on are worth.
struct View
{
  registry::Revision m_revision{};
  /// All changes until then are known; the epoch before the first reading.
  TimePoint m_confirmedAt;
  /// When this host first read the records.
  TimePoint m_loadedAt;
};

/// The age of records for logs; -1 ms when nothing has confirmed them yet.
[[nodiscard]] inline Millis
ageOf(TimePoint aNow, TimePoint aConfirmedAt)
{
  return aConfirmedAt == TimePoint{} ? Millis{ -1 } : aNow - aConfirmedAt;
}

struct SteeringCounters
{
  uint64_t m_packets{};
  uint64_t m_opened{};
  uint64_t m_openedAgain{};
  uint64_t m_forwarded{};
  uint64_t m_repeats{};
  ErrorCounters m_errors{};
};

/// Called with the time from a caller's request to its first acknowledgement of the answer.
using ResponseObserver = std::function<void(Millis)>;

class TokenSteering
{
public:
  /// `aFlowPlaces`: flows that are remembered at a time.
  TokenSteering(Directory& aDirectory, Placement& aPlacement, size_t aFlowPlaces)
    : m_directory(aDirectory)
    , m_placement(aPlacement)
    , m_flows(aFlowPlaces)
  {
  }

  void setView(const View& aView) { m_view = aView; }
  /// Whether packets that are read now may have waited in this host: their times say nothing of
  /// upstreams.
  void setCatchingUp(bool aIsCatchingUp) { m_isCatchingUp = aIsCatchingUp; }
  void onResponse(ResponseObserver aObserver) { m_observer = std::move(aObserver); }

  [[nodiscard]] Choice decide(TimePoint aNow, const FlowPacket& aPacket);
  /// Gives up requests that were sent to upstreams which have died since: an upstream that had
  /// acknowledged a request leaves its caller nothing to repeat. Returns the flows to reset.
  [[nodiscard]] std::vector<FlowPacket> giveUp(TimePoint aNow);

  /// Looks for new flows whose callers were refused. Call it at each tick.
  void judgeOpenings(TimePoint aNow);

  [[nodiscard]] const SteeringCounters& counters() const { return m_counters; }
  [[nodiscard]] FlowEvents& events() { return m_events; }

private:
  struct Repetition
  {
    /// Of the upstream's silence, in nats; 0 when the packet is not repeated.
    double m_evidence{};
    bool m_isProgress{};
  };

  Choice open(TimePoint aNow, const FlowPacket& aPacket);
  Choice carry(TimePoint aNow, const FlowPacket& aPacket);
  Choice decideUnknown(TimePoint aNow, const FlowPacket& aPacket);
  Choice decideAbsent(TimePoint aNow,
                      const FlowPacket& aPacket,
                      FlowState& aFlow,
                      Upstream& aUpstream);
  Choice decidePresent(TimePoint aNow,
                       const FlowPacket& aPacket,
                       FlowState& aFlow,
                       Upstream& aUpstream,
                       Repetition aSeen);
  Repetition track(TimePoint aNow,
                   const FlowPacket& aPacket,
                   FlowState& aFlow,
                   Upstream& aUpstream);
  /// The evidence of silence, in nats, of a packet that the caller has sent before.
  double weighRepeat(TimePoint aNow,
                     const FlowPacket& aPacket,
                     FlowState& aFlow,
                     Upstream& aUpstream);
  Choice forward(const Upstream& aUpstream);
  /// Resets an open flow, which the caller then gives up.
  void giveUpFlows(TimePoint aNow, const Upstream& aUpstream, std::vector<FlowPacket>& aResets);
  Choice resetFlow(TimePoint aNow, const FlowPacket& aPacket, FlowState& aFlow, ErrorKind aKind);
  Choice refuse(TimePoint aNow,
                const FlowPacket& aPacket,
                ErrorKind aKind,
                EventId aEvent,
                const FlowState* aFlow = nullptr);
  void record(TimePoint aNow, const FlowPacket& aPacket, FlowEvent aEvent);
  void noteSilence(TimePoint aNow,
                   const FlowPacket& aPacket,
                   Upstream& aUpstream,
                   double aSurprise);
  void noteLife(TimePoint aNow, const FlowPacket& aPacket, Upstream& aUpstream);
  /// Weighs how long an answer took, or how long a caller has waited for one.
  void judgePace(TimePoint aNow, const FlowPacket& aPacket, Upstream& aUpstream, Millis aTime);
  [[nodiscard]] bool isViewTrusted(TimePoint aNow) const;
  [[nodiscard]] bool mayRepeat(const packet::FlowKey& aFlow) const;

  Directory& m_directory;
  Placement& m_placement;
  FlowTable m_flows;
  OpeningWatch m_openings;
  /// Flows whose opening packet is repeated, and requests that are.
  ChanceMeter m_openedAgain{ kFirstChanceOfCopy, kLeastChanceOfCopy };
  ChanceMeter m_requestRepeated{ kFirstChanceOfRepeat, kLeastChanceOfRepeat };
  View m_view;
  bool m_isCatchingUp{};
  SteeringCounters m_counters;
  FlowEvents m_events;
  ResponseObserver m_observer;
};

static_assert(TokenModel<TokenSteering>);

} // namespace tamarack::steering
