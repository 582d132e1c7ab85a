// Forwards packets of flows whose two ends echo a token. A new flow is assigned an upstream; every
// other packet is forwarded to the upstream that its token identifies, by any host, also after a
// restart. A flow whose upstream does not answer is reset once that lets its caller recover faster.
#pragma once

#include "overload/AdmissionController.h"
#include "overload/LoadMeter.h"
#include "steering/FlowEvents.h"
#include "steering/FlowTable.h"
#include "steering/ProbabilityEstimator.h"
#include "steering/RefusedFlowDetector.h"
#include "steering/UnknownTokens.h"
#include "steering/UpstreamSelector.h"

#include <functional>

namespace tamarack::steering {

/// Time after the first load of the registry, or after its records were too old to be trusted,
/// during which packets with an unknown token are dropped rather than reset: entries that lapsed in
/// the meantime may be registered again. During that time, requests on flows to upstreams that
/// ended before the host started get no answer.
inline constexpr Millis kUnknownTokenGracePeriod = kLapseGracePeriod;
/// Callers have given up requests that have been pending for longer than this.
inline constexpr Millis kMaxPendingRequestAge{ 6000 };
/// Callers retransmit at intervals of 200 ms or more. Retransmissions that arrive closer together
/// were queued together, for example in a host that was paused, and are no evidence about the
/// upstream.
inline constexpr Millis kMinRetransmissionInterval{ 150 };
/// Callers retransmit at intervals of 1.6 s at most.
inline constexpr Millis kMaxRetransmissionInterval{ 1600 };
/// Initial and minimum estimate of the probability that a SYN is retransmitted although the
/// upstream is healthy, because the SYN or its answer was lost.
inline constexpr double kInitialSynRetransmissionProbability = 0.01;
inline constexpr double kMinSynRetransmissionProbability = 0.005;
/// Initial and minimum estimate of the probability that a request is retransmitted although the
/// upstream is healthy: one request in fifty takes more than 200 ms.
inline constexpr double kInitialRequestRetransmissionProbability = 0.05;
inline constexpr double kMinRequestRetransmissionProbability = 0.02;

/// Maximum number of idle flows that are reset per tick. Their callers open new flows at once, and
/// a host of the smallest size has 3.8 ms of processor time per tick of 100 ms. At 28,000 flows to
/// 150 upstreams, all idle flows of one upstream are reset within three ticks.
inline constexpr size_t kMaxIdleResetsPerTick = 64;

/// Revision and freshness of the registry records that decisions are based on.
struct RegistryViewStatus
{
  registry::Revision m_revision{};
  /// All changes up to this time are known; the epoch before the registry was first loaded.
  TimePoint m_confirmedAt;
  /// Time at which this host first loaded the registry; the epoch before that.
  TimePoint m_loadedAt;
};

/// Returns the time since `aConfirmedAt` for log lines, or -1 ms if `aConfirmedAt` is the epoch,
/// which stands for "never".
[[nodiscard]] inline Millis
ageForLog(TimePoint aNow, TimePoint aConfirmedAt)
{
  return aConfirmedAt == TimePoint{} ? Millis{ -1 } : aNow - aConfirmedAt;
}

struct SteeringCounters
{
  uint64_t m_packets{};
  uint64_t m_flowsOpened{};
  /// Retransmitted SYNs that were assigned an upstream anew.
  uint64_t m_flowsReopened{};
  /// Retransmitted SYNs that were forwarded to the upstream that has their flow.
  uint64_t m_synCopiesForwarded{};
  uint64_t m_forwarded{};
  /// Retransmitted packets with payload.
  uint64_t m_retransmissions{};
  ErrorCounters m_errors{};
};

/// The components of overload control that packets of governed services are reported to. Both
/// outlive the TokenSteering.
struct OverloadControl
{
  /// Null if the load is not measured.
  overload::LoadMeter* m_meter{};
  /// Null if all flows are admitted.
  const overload::AdmissionController* m_controller{};
};

/// Called with the time from a request of a caller to the first acknowledgement of its response.
using ResponseObserver = std::function<void(Millis)>;

class TokenSteering
{
public:
  /// `aFlowCapacity` is the number of flows whose state is kept.
  TokenSteering(ServiceDirectory& aDirectory,
                UpstreamSelector& aUpstreamSelector,
                size_t aFlowCapacity)
    : m_directory(aDirectory)
    , m_upstreamSelector(aUpstreamSelector)
    , m_flowTable(aFlowCapacity)
  {
  }

  void setRegistryViewStatus(const RegistryViewStatus& aStatus)
  {
    const bool isRegained = m_viewStatus.m_confirmedAt != TimePoint{} &&
                            aStatus.m_confirmedAt - m_viewStatus.m_confirmedAt > kMaxTrustedViewAge;
    m_regainedAt = isRegained ? aStatus.m_confirmedAt : m_regainedAt;
    m_viewStatus = aStatus;
  }
  /// Sets whether the packets that follow may have been queued in this host. Their arrival times
  /// are then no evidence about upstreams.
  void setProcessingBacklog(bool aIsProcessingBacklog)
  {
    m_isProcessingBacklog = aIsProcessingBacklog;
  }
  void setResponseObserver(ResponseObserver aObserver) { m_observer = std::move(aObserver); }

  /// Sets what measures the load and decides on new flows of governed services.
  void setOverloadControl(const OverloadControl& aControl) { m_overloadControl = aControl; }

  [[nodiscard]] ForwardingDecision decide(TimePoint aNow, const FlowPacket& aPacket);
  /// Resets flows with pending requests to upstreams that have failed since. An upstream that
  /// acknowledged a request before it failed leaves the caller nothing to retransmit, so the caller
  /// would wait until its own timeout. Of governed services, also resets the idle flows of
  /// upstreams that have ended, at most kMaxIdleResetsPerTick per call, before their callers send
  /// requests that would be lost. Also resets flows with unknown tokens whose requests were
  /// dropped, see UnknownTokens. Returns the flows to reset. Must be called at each tick.
  [[nodiscard]] std::vector<FlowPacket> resetStalledFlows(TimePoint aNow);

  /// Detects new flows whose callers were refused by the upstream. Must be called at each tick.
  void detectRefusedFlows(TimePoint aNow);

  [[nodiscard]] const SteeringCounters& counters() const { return m_counters; }
  [[nodiscard]] FlowEventBuffer& events() { return m_events; }

private:
  /// What one packet shows about the upstream of its flow.
  struct FlowObservation
  {
    /// Evidence, in nats, that the upstream does not answer; 0 if the packet is no retransmission.
    double m_evidence{};
    /// Time of the packet before, if this one is a retransmission of it.
    TimePoint m_lostAt;
    /// The packet shows that the upstream answered: it acknowledges new data, or is the first after
    /// the handshake.
    bool m_isResponseAcknowledged{};
  };

  /// Handles a SYN: selects an upstream, or another one for a retransmission.
  ForwardingDecision handleSyn(TimePoint aNow, const FlowPacket& aPacket);
  /// Handles any packet but a SYN, by its token.
  ForwardingDecision handleFlowPacket(TimePoint aNow, const FlowPacket& aPacket);
  /// Handles a packet whose token belongs to no known upstream.
  ForwardingDecision handleUnknownToken(TimePoint aNow, const FlowPacket& aPacket);
  /// Whether the records show that an upstream they lack has ended, if a packet with its token
  /// arrived at `aFirstAt`.
  [[nodiscard]] bool showsAbsence(TimePoint aNow, TimePoint aFirstAt) const;
  /// Resets the flows whose requests were dropped because the records were older than their tokens,
  /// once newer records show that their upstreams have ended. Adds them to `aResets`.
  void resetUnknownFlows(TimePoint aNow, std::vector<FlowPacket>& aResets);
  /// Handles a packet to an upstream that is gone; see Upstream::isGone.
  ForwardingDecision handleUnregistered(TimePoint aNow,
                                        const FlowPacket& aPacket,
                                        FlowState& aFlow,
                                        Upstream& aUpstream);
  ForwardingDecision handleRegistered(TimePoint aNow,
                                      const FlowPacket& aPacket,
                                      FlowState& aFlow,
                                      Upstream& aUpstream,
                                      FlowObservation aObservation);
  /// Updates the state of the flow and the response times of the service by a packet.
  FlowObservation updateFlowState(TimePoint aNow,
                                  const FlowPacket& aPacket,
                                  FlowState& aFlow,
                                  Upstream& aUpstream);
  /// Returns the evidence, in nats, that a retransmitted packet gives for the upstream not
  /// answering.
  double weighRetransmission(TimePoint aNow,
                             const FlowPacket& aPacket,
                             FlowState& aFlow,
                             Upstream& aUpstream);
  ForwardingDecision forward(const Upstream& aUpstream);
  /// Resets the established flows of an upstream that have a pending request: all of them if the
  /// upstream has ended, otherwise those whose requests are idempotent. Adds them to `aResets`.
  void resetPendingRequests(TimePoint aNow,
                            const Upstream& aUpstream,
                            std::vector<FlowPacket>& aResets);
  /// Begins to search the flow table for idle flows of the upstream if it has ended and its service
  /// is governed.
  void scheduleIdleScan(Upstream& aUpstream);
  /// Resets the established flows without pending requests of governed upstreams that have ended,
  /// each once. Adds them to `aResets`.
  void resetIdleFlows(TimePoint aNow, std::vector<FlowPacket>& aResets);
  /// Counts a flow that begins and asks the controller whether to forward it.
  overload::Admission admit(TimePoint aNow,
                            const FlowPacket& aPacket,
                            const Route& aRoute,
                            const Service& aService,
                            uint64_t aFlowHash);
  /// Rejects a SYN that the controller does not admit. `aKnown` is the state of an earlier flow
  /// with the same ports, or null.
  ForwardingDecision refuse(TimePoint aNow,
                            const FlowPacket& aPacket,
                            overload::Admission aAdmission,
                            FlowState* aKnown);
  /// Whether packets to the upstream count as load: the load is measured, the service is governed
  /// and the upstream has not ended.
  [[nodiscard]] bool isMeasured(const Upstream& aUpstream) const
  {
    return m_overloadControl.m_meter != nullptr && aUpstream.m_service->m_isGoverned &&
           !aUpstream.hasEnded();
  }
  /// Returns the route of a packet that counts as load, or null if it does not count.
  [[nodiscard]] const Route* findMeasuredRoute(const FlowPacket& aPacket,
                                               const Upstream& aUpstream) const;
  /// Measures the round trip at the packet that follows the SYN. `aFlow` is the state since the
  /// SYN.
  void measureHandshake(TimePoint aNow, const FlowState& aFlow, const Upstream& aUpstream);
  void measureFurtherRequest(TimePoint aNow, const FlowPacket& aPacket, const Upstream& aUpstream);
  void measureResponse(TimePoint aNow,
                       const FlowPacket& aPacket,
                       const Upstream& aUpstream,
                       Millis aResponseTime);
  /// Rejects a packet with a reset and discards the state of its flow.
  ForwardingDecision resetFlow(TimePoint aNow,
                               const FlowPacket& aPacket,
                               FlowState& aFlow,
                               ErrorKind aKind);
  /// Counts and records a rejected packet. Drops or resets it, depending on the error.
  ForwardingDecision reject(TimePoint aNow,
                            const FlowPacket& aPacket,
                            ErrorKind aKind,
                            EventId aEvent,
                            const FlowState* aFlow = nullptr);
  void recordEvent(TimePoint aNow, const FlowPacket& aPacket, FlowEvent aEvent);
  void recordRetransmission(TimePoint aNow,
                            const FlowPacket& aPacket,
                            Upstream& aUpstream,
                            double aSurprisal,
                            TimePoint aLostAt);
  void recordResponse(TimePoint aNow, const FlowPacket& aPacket, Upstream& aUpstream);
  /// Feeds outlier detection with the time that a response took or that a request has been pending.
  void recordResponseTime(TimePoint aNow,
                          const FlowPacket& aPacket,
                          Upstream& aUpstream,
                          Millis aResponseTime);
  [[nodiscard]] bool isViewCurrent(TimePoint aNow) const;
  /// Whether the requests of the route are idempotent, so that callers may repeat them.
  [[nodiscard]] bool isRetryable(const packet::FlowKey& aFlow) const;

  ServiceDirectory& m_directory;
  UpstreamSelector& m_upstreamSelector;
  FlowTable m_flowTable;
  RefusedFlowDetector m_refusedFlowDetector;
  UnknownTokens m_unknownTokens;
  /// Probability that the SYN of a flow is retransmitted, and that a request is.
  ProbabilityEstimator m_synRetransmissionProbability{ kInitialSynRetransmissionProbability,
                                                       kMinSynRetransmissionProbability };
  ProbabilityEstimator m_requestRetransmissionProbability{ kInitialRequestRetransmissionProbability,
                                                           kMinRequestRetransmissionProbability };
  RegistryViewStatus m_viewStatus;
  /// First confirmation after the records were too old to be trusted; the epoch if they never were.
  TimePoint m_regainedAt;
  OverloadControl m_overloadControl;
  /// Number of entries of the flow table that resetIdleFlows() has visited so far, in cycles over
  /// the table. It stays below m_idleScanEnd while there is something left to visit.
  uint64_t m_idleScanPosition{};
  uint64_t m_idleScanEnd{};
  bool m_isProcessingBacklog{};
  SteeringCounters m_counters;
  FlowEventBuffer m_events;
  ResponseObserver m_observer;
};

static_assert(TokenSteeringPolicy<TokenSteering>);

} // namespace tamarack::steering
