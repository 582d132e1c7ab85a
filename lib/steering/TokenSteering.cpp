// Implements token-based steering. A packet of an established flow costs two look-ups: the upstream
// by its token and the state of the flow.
#include "steering/TokenSteering.h"

namespace tamarack::steering {

namespace {

/// Returns whether TCP sequence number `aLeft` follows `aRight`, taking wrap-around into account.
bool
isAfter(uint32_t aLeft, uint32_t aRight)
{
  return static_cast<int32_t>(aLeft - aRight) > 0;
}

} // namespace

ForwardingDecision
TokenSteering::decide(TimePoint aNow, const FlowPacket& aPacket)
{
  ++m_counters.m_packets;
  return aPacket.m_isSyn ? handleSyn(aNow, aPacket) : handleFlowPacket(aNow, aPacket);
}

bool
TokenSteering::isViewCurrent(TimePoint aNow) const
{
  return m_viewStatus.m_confirmedAt != TimePoint{} &&
         aNow - m_viewStatus.m_confirmedAt <= kMaxTrustedViewAge;
}

bool
TokenSteering::isRetryable(const packet::FlowKey& aFlow) const
{
  const Route* route = m_directory.findRoute(aFlow.m_destination, aFlow.m_destinationPort);
  return route != nullptr && route->m_record.m_kind == registry::RequestKind::Idempotent;
}

std::vector<FlowPacket>
TokenSteering::resetStalledFlows(TimePoint aNow)
{
  std::vector<FlowPacket> resets;
  const bool resetsPending = m_directory.mechanisms().isEnabled(Mechanism::DeadUpstreamResets);
  for (const auto& upstream : m_directory.upstreams()) {
    const bool hasFailed = upstream->hasEnded() || m_directory.hasFailed(aNow, *upstream);
    if (resetsPending && hasFailed && !upstream->m_areFlowsReset) {
      resetPendingRequests(aNow, *upstream, resets);
    }
    upstream->m_areFlowsReset = hasFailed;
    scheduleIdleScan(*upstream);
  }
  resetIdleFlows(aNow, resets);
  resetUnknownFlows(aNow, resets);
  return resets;
}

void
TokenSteering::resetPendingRequests(TimePoint aNow,
                                    const Upstream& aUpstream,
                                    std::vector<FlowPacket>& aResets)
{
  const bool hasEnded = aUpstream.hasEnded();
  for (FlowState& flow : m_flowTable.entries()) {
    if (flow.m_token != aUpstream.m_token || !flow.hasCompleteMap()) {
      continue;
    }
    const std::optional<Millis> pendingTime = flow.pendingTime(aNow);
    if (!pendingTime || *pendingTime > kMaxPendingRequestAge ||
        !(hasEnded || isRetryable(flow.flow()))) {
      continue;
    }
    const FlowPacket packet{ .m_flow = flow.flow(),
                             .m_acknowledged = flow.m_acknowledged,
                             .m_token = flow.m_token };
    (void)resetFlow(
      aNow, packet, flow, hasEnded ? ErrorKind::UpstreamGone : ErrorKind::UpstreamSilent);
    aResets.push_back(packet);
  }
}

ForwardingDecision
TokenSteering::forward(const Upstream& aUpstream)
{
  ++m_counters.m_forwarded;
  return { .m_action = Action::Forward,
           .m_token = aUpstream.m_token,
           .m_identity = aUpstream.m_record.m_identity,
           .m_address = aUpstream.m_record.m_address,
           .m_port = aUpstream.m_record.m_port };
}

void
TokenSteering::recordEvent(TimePoint aNow, const FlowPacket& aPacket, FlowEvent aEvent)
{
  aEvent.m_at = aNow;
  aEvent.m_flow = aPacket.m_flow;
  aEvent.m_synRetransmissions = aPacket.m_isSyn ? aPacket.m_synRetransmissions : 0;
  aEvent.m_revision = m_viewStatus.m_revision;
  aEvent.m_viewAge = ageForLog(aNow, m_viewStatus.m_confirmedAt);
  m_events.add(aEvent);
}

ForwardingDecision
TokenSteering::reject(TimePoint aNow,
                      const FlowPacket& aPacket,
                      ErrorKind aKind,
                      EventId aEvent,
                      const FlowState* aFlow)
{
  ++m_counters.m_errors[static_cast<size_t>(aKind)];
  FlowEvent event{ .m_event = aEvent, .m_error = aKind, .m_token = aPacket.m_token };
  if (aFlow != nullptr) {
    event.m_retransmissions = aFlow->retransmissions();
  }
  if (aEvent == EventId::FlowReset) {
    const Upstream* const upstream = m_directory.findUpstream(aPacket.m_token);
    if (upstream != nullptr && upstream->m_health.evidence() > 0) {
      event.m_evidenceAge = aNow - upstream->m_health.lastEvidenceAt();
    }
  }
  recordEvent(aNow, aPacket, event);
  const bool isDropped = errorRow(aKind).m_response == ErrorResponse::Drop;
  return { .m_action = isDropped ? Action::Drop : Action::Reset, .m_error = aKind };
}

ForwardingDecision
TokenSteering::resetFlow(TimePoint aNow,
                         const FlowPacket& aPacket,
                         FlowState& aFlow,
                         ErrorKind aKind)
{
  const ForwardingDecision decision = reject(aNow, aPacket, aKind, EventId::FlowReset, &aFlow);
  aFlow = {};
  return decision;
}

void
TokenSteering::recordRetransmission(TimePoint aNow,
                                    const FlowPacket& aPacket,
                                    Upstream& aUpstream,
                                    double aSurprisal,
                                    TimePoint aLostAt)
{
  if (m_directory.mechanisms().isEnabled(Mechanism::DataCentreReachability) &&
      aUpstream.m_dataCentre->m_reachability.onRetransmission(aNow)) {
    recordEvent(
      aNow, aPacket, { .m_event = EventId::DataCentreLost, .m_token = aUpstream.m_token });
  }
  if (!m_directory.mechanisms().isEnabled(Mechanism::RetransmissionDetection)) {
    return;
  }
  const bool isReported = aPacket.m_isSyn
                            ? aUpstream.m_health.onSynRetransmission(aNow, aSurprisal)
                            : aUpstream.m_health.onRetransmission(aNow, aSurprisal, aLostAt);
  if (isReported) {
    recordEvent(
      aNow, aPacket, { .m_event = EventId::UpstreamAvoided, .m_token = aUpstream.m_token });
  }
}

void
TokenSteering::recordResponse(TimePoint aNow, const FlowPacket& aPacket, Upstream& aUpstream)
{
  aUpstream.m_lastSignOfLifeAt = aNow;
  // A request may acknowledge what its caller got through another host, and a packet of a backlog
  // may be old.
  if (aPacket.m_length == 0 && !aPacket.m_isFinOrRst && !m_isProcessingBacklog) {
    aUpstream.m_lastAnswerAt = aNow;
  }
  if (aUpstream.m_health.onResponse(aNow)) {
    recordEvent(
      aNow, aPacket, { .m_event = EventId::UpstreamAnswers, .m_token = aUpstream.m_token });
  }
  if (aUpstream.m_dataCentre->m_reachability.onResponse()) {
    recordEvent(
      aNow, aPacket, { .m_event = EventId::DataCentreReached, .m_token = aUpstream.m_token });
  }
}

void
TokenSteering::detectRefusedFlows(TimePoint aNow)
{
  if (!m_directory.mechanisms().isEnabled(Mechanism::FailedOpenAvoidance)) {
    return;
  }
  m_refusedFlowDetector.detect(aNow, m_flowTable, [&](const packet::FlowKey& aFlow, Token aToken) {
    Upstream* const upstream = m_directory.findUpstream(aToken);
    // When links lose many packets, SYN retransmissions are lost, too, so a flow without any is no
    // evidence of a refused connection.
    const bool isSignificant = m_synRetransmissionProbability.surprisal() >= kSuspectEvidence;
    if (upstream != nullptr && isSignificant && upstream->m_health.onConnectionRefused(aNow)) {
      recordEvent(
        aNow, { .m_flow = aFlow }, { .m_event = EventId::UpstreamRefuses, .m_token = aToken });
    }
  });
}

void
TokenSteering::recordResponseTime(TimePoint aNow,
                                  const FlowPacket& aPacket,
                                  Upstream& aUpstream,
                                  Millis aResponseTime)
{
  Service& service = *aUpstream.m_service;
  const double median = service.m_responseTimes.median();
  if (median == 0 || !m_directory.mechanisms().isEnabled(Mechanism::SlowUpstreamAvoidance)) {
    return;
  }
  const auto time = static_cast<double>(aResponseTime.count());
  const bool isSlow = aResponseTime >= kMinSlowTime && time > kSlowMedianFactor * median;
  if (aUpstream.m_outlierDetector.onResponseTime(
        aNow, isSlow, service.m_slowResponseProbability.probability())) {
    recordEvent(aNow,
                aPacket,
                { .m_event = EventId::UpstreamSlow,
                  .m_token = aUpstream.m_token,
                  .m_duration = aResponseTime });
  }
  service.m_slowResponseProbability.add(isSlow);
  if (aResponseTime >= kMinReportedTime && time > kReportMedianFactor * median) {
    recordEvent(aNow,
                aPacket,
                { .m_event = EventId::AnswerSlow,
                  .m_token = aUpstream.m_token,
                  .m_duration = aResponseTime });
  }
}

ForwardingDecision
TokenSteering::handleSyn(TimePoint aNow, const FlowPacket& aPacket)
{
  m_unknownTokens.removeFlow(aPacket.m_flow);
  const Route* route =
    m_directory.findRoute(aPacket.m_flow.m_destination, aPacket.m_flow.m_destinationPort);
  if (route == nullptr) {
    return reject(aNow,
                  aPacket,
                  isViewCurrent(aNow) ? ErrorKind::NoSuchRoute : ErrorKind::RouteUnconfirmed,
                  EventId::FlowRefused);
  }
  FlowState* const stored = m_flowTable.find(aPacket.m_flow);
  // The state of a former flow from the same port says nothing about this one.
  FlowState* const known =
    stored != nullptr && stored->isOpenedBy(aNow, aPacket.m_sequence, m_isProcessingBacklog)
      ? stored
      : nullptr;
  const bool isRetransmission = aPacket.m_synRetransmissions > 0;
  const bool arrivedInBurst =
    known != nullptr &&
    (m_isProcessingBacklog || known->idleTime(aNow) < kMinRetransmissionInterval);
  Token previousToken;
  if (known != nullptr && isRetransmission) {
    previousToken = known->m_token;
    Upstream* const previous = m_directory.findUpstream(previousToken);
    const bool isPreviousUsable = previous != nullptr && !previous->hasEnded();
    if (isPreviousUsable && (known->hasCompleteMap() || arrivedInBurst)) {
      // The flow is established or its handshake is under way. A second upstream would answer as
      // well, and the caller would adopt the token that arrives last, whose upstream need not hold
      // the connection.
      if (!known->hasCompleteMap()) {
        known->addRetransmission();
      }
      ++m_counters.m_synCopiesForwarded;
      return forward(*previous);
    }
    if (isPreviousUsable) {
      const double surprisal = m_synRetransmissionProbability.surprisal();
      m_synRetransmissionProbability.add(true);
      recordRetransmission(aNow, aPacket, *previous, surprisal, aNow);
    }
  }
  const SelectionRequest request{ .m_route = &route->m_record,
                                  .m_flowHash = hashFlow(aPacket.m_flow),
                                  .m_avoidedToken = previousToken };
  Service* const service = m_upstreamSelector.selectService(request);
  if (service == nullptr) {
    return reject(aNow, aPacket, ErrorKind::NoCapacity, EventId::FlowRefused);
  }
  // An upstream may have opened a flow of which an earlier SYN was forwarded, so only other flows
  // can be refused. Packets are also duplicated on the way, and no caller uses a port again within
  // kMinRetransmissionInterval.
  const bool wasForwarded = known != nullptr && (isRetransmission || arrivedInBurst);
  if (!wasForwarded) {
    const overload::Admission admission =
      admit(aNow, aPacket, *route, *service, request.m_flowHash);
    if (admission != overload::Admission::Admit) {
      return refuse(aNow, aPacket, admission, stored);
    }
  }
  const SelectionResult selection = m_upstreamSelector.select(aNow, *service, request);
  Upstream* const upstream = selection.m_upstream;
  if (upstream == nullptr) {
    return reject(aNow, aPacket, selection.m_refusal, EventId::FlowRefused);
  }
  FlowState& flow = m_flowTable.findOrAllocate(aNow, aPacket.m_flow);
  flow = FlowState(aNow, aPacket.m_flow, upstream->m_token, aPacket.m_sequence);
  if (isRetransmission) {
    flow.addRetransmission();
  }
  upstream->m_recentRequests.add(aNow);
  upstream->m_recentFlows.add(aNow);
  upstream->m_health.onNewFlow(aNow);
  upstream->m_dataCentre->m_reachability.onNewFlow(aNow);
  const bool isJustStarted = aNow - m_viewStatus.m_loadedAt < kStartupExclusionTime;
  if (!isRetransmission && !isJustStarted) {
    m_refusedFlowDetector.addFlow(aNow, aPacket.m_flow, upstream->m_token);
  }
  ++(isRetransmission ? m_counters.m_flowsReopened : m_counters.m_flowsOpened);
  recordEvent(aNow,
              aPacket,
              { .m_event = isRetransmission ? EventId::FlowOpenedAgain : EventId::FlowOpened,
                .m_token = upstream->m_token,
                .m_previousToken = previousToken });
  return forward(*upstream);
}

ForwardingDecision
TokenSteering::handleFlowPacket(TimePoint aNow, const FlowPacket& aPacket)
{
  m_flowTable.prefetch(aPacket.m_flow);
  Upstream* const upstream = m_directory.findUpstream(aPacket.m_token);
  if (upstream == nullptr) {
    return handleUnknownToken(aNow, aPacket);
  }
  FlowState& flow = m_flowTable.findOrAllocate(aNow, aPacket.m_flow);
  const FlowObservation observation = updateFlowState(aNow, aPacket, flow, *upstream);
  if (upstream->m_registration >= RegistrationState::Missing || upstream->hasEnded()) {
    if (observation.m_evidence > 0) {
      recordRetransmission(aNow, aPacket, *upstream, observation.m_evidence, observation.m_lostAt);
    }
    // A caller sends an acknowledgement without payload when a response arrives. A request may
    // acknowledge one that it got through another host before the upstream died.
    if (observation.m_isResponseAcknowledged && aPacket.m_length == 0 && !aPacket.m_isFinOrRst &&
        upstream->m_registration == RegistrationState::Missing) {
      recordResponse(aNow, aPacket, *upstream);
    }
    return upstream->isGone(aNow) ? handleUnregistered(aNow, aPacket, flow, *upstream)
                                  : handleRegistered(aNow, aPacket, flow, *upstream, {});
  }
  return handleRegistered(aNow, aPacket, flow, *upstream, observation);
}

TokenSteering::FlowObservation
TokenSteering::updateFlowState(TimePoint aNow,
                               const FlowPacket& aPacket,
                               FlowState& aFlow,
                               Upstream& aUpstream)
{
  const uint32_t end = aPacket.m_sequence + aPacket.m_length;
  const bool isContinued =
    aFlow.m_token == aPacket.m_token && aFlow.isContinuedBy(aNow, aPacket.m_sequence);
  const bool isKnown = aFlow.hasCompleteMap() && isContinued;
  const bool arrivedInBurst =
    m_isProcessingBacklog || aFlow.idleTime(aNow) < kMinRetransmissionInterval;
  FlowObservation observation;
  // Packets in between may have passed through other hosts.
  observation.m_lostAt = aNow - std::min(aFlow.idleTime(aNow), kMaxRetransmissionInterval);
  if (isKnown) {
    aFlow.touch(aNow);
  } else {
    // Either another host forwarded the SYN, or this is the first packet after the handshake. If
    // the token matches the selected upstream, the packet shows that the upstream answered.
    const bool endsHandshake = isContinued;
    observation.m_isResponseAcknowledged = endsHandshake;
    m_synRetransmissionProbability.add(false);
    if (endsHandshake) {
      measureHandshake(aNow, aFlow, aUpstream);
    }
    aFlow = FlowState(aNow, aPacket.m_flow, aPacket.m_token, aPacket.m_sequence);
    aFlow.setHasCompleteMap();
    if (!endsHandshake) {
      // The flow may be older than its state here; most requests are not the first of their flow.
      aFlow.setHasSentRequest();
    }
    aFlow.m_acknowledged = aPacket.m_acknowledged;
  }
  if (isAfter(aPacket.m_acknowledged, aFlow.m_acknowledged)) {
    aFlow.m_acknowledged = aPacket.m_acknowledged;
    m_requestRetransmissionProbability.add(aFlow.retransmissions() > 0);
    const bool isAlreadyRecorded = aFlow.retransmissions() > 1;
    aFlow.clearRetransmissions();
    observation.m_isResponseAcknowledged = true;
    const std::optional<Millis> time = aFlow.pendingTime(aNow);
    if (time && *time > kMaxPendingRequestAge) {
      // The response was acknowledged through another host.
      aFlow.endRequest();
    } else if (time) {
      if (!isAlreadyRecorded && !m_isProcessingBacklog) {
        recordResponseTime(aNow, aPacket, aUpstream, *time);
      }
      if (!m_isProcessingBacklog) {
        aUpstream.m_service->m_responseTimes.add(*time);
        measureResponse(aNow, aPacket, aUpstream, *time);
      }
      if (m_observer) {
        m_observer(*time);
      }
      aFlow.endRequest();
    }
  }
  if (aPacket.m_isFinOrRst) {
    aFlow.setClosed();
  }
  if (aPacket.m_length == 0) {
    return observation;
  }
  if (isAfter(end, aFlow.m_sequenceEnd)) {
    aFlow.m_sequenceEnd = end;
    if (aFlow.pendingTime(aNow).value_or(Millis{}) > kMaxPendingRequestAge) {
      // That request ended through another host.
      aFlow.endRequest();
    }
    if (aFlow.beginRequest(aNow)) {
      aUpstream.m_recentRequests.add(aNow);
      if (aFlow.hasSentRequest()) {
        measureFurtherRequest(aNow, aPacket, aUpstream);
      }
      aFlow.setHasSentRequest();
    }
    return observation;
  }
  if (!isKnown) {
    return observation;
  }
  ++m_counters.m_retransmissions;
  if (!arrivedInBurst) {
    observation.m_evidence = weighRetransmission(aNow, aPacket, aFlow, aUpstream);
  }
  return observation;
}

double
TokenSteering::weighRetransmission(TimePoint aNow,
                                   const FlowPacket& aPacket,
                                   FlowState& aFlow,
                                   Upstream& aUpstream)
{
  // Callers retransmit after 200 ms, and many responses take longer than that. Later
  // retransmissions of the same request count only once its pending time reaches the response
  // timeout.
  const std::optional<Millis> pendingTime = aFlow.pendingTime(aNow);
  const bool hasTimedOut =
    pendingTime && *pendingTime >= aUpstream.m_service->m_responseTimes.responseTimeout();
  const double surprisal = m_requestRetransmissionProbability.surprisal();
  // Requests of a busy upstream are delayed together, so the first retransmission of a request
  // counts half. A request that reaches the response timeout counts twice, since loss alone would
  // have to explain two packets lost in a row.
  const double evidence =
    hasTimedOut ? 2 * surprisal : (aFlow.retransmissions() == 0 ? surprisal / 2 : 0);
  aFlow.addRetransmission();
  if (aFlow.retransmissions() == 2 && pendingTime) {
    recordResponseTime(aNow, aPacket, aUpstream, *pendingTime);
  }
  return evidence;
}

ForwardingDecision
TokenSteering::handleUnregistered(TimePoint aNow,
                                  const FlowPacket& aPacket,
                                  FlowState& aFlow,
                                  Upstream& aUpstream)
{
  // Packets without payload are forwarded: the upstream may be alive and only disconnected from the
  // store.
  const bool hasFailed =
    aUpstream.hasEnded() || m_directory.flowEvidence(aNow, aUpstream) >= kSuspectEvidence;
  if (hasFailed && aPacket.m_length > 0) {
    return resetFlow(aNow, aPacket, aFlow, ErrorKind::UpstreamGone);
  }
  return forward(aUpstream);
}

ForwardingDecision
TokenSteering::handleRegistered(TimePoint aNow,
                                const FlowPacket& aPacket,
                                FlowState& aFlow,
                                Upstream& aUpstream,
                                FlowObservation aObservation)
{
  if (aObservation.m_isResponseAcknowledged) {
    recordResponse(aNow, aPacket, aUpstream);
  }
  if (aObservation.m_evidence > 0) {
    recordRetransmission(aNow, aPacket, aUpstream, aObservation.m_evidence, aObservation.m_lostAt);
  }
  const bool isFailed = aPacket.m_length > 0 && m_directory.hasFailed(aNow, aUpstream);
  if (isFailed && isRetryable(aPacket.m_flow)) {
    return resetFlow(aNow, aPacket, aFlow, ErrorKind::UpstreamSilent);
  }
  return forward(aUpstream);
}

} // namespace tamarack::steering
