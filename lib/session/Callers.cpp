// Simplified TCP state machine of the callers and the answers of the upstreams.
#include "session/Callers.h"

namespace tamarack::session {

namespace {

/// One-way delay from an upstream to the caller.
constexpr Millis kCallerDelay{ 1 };
/// Time over which the long-lived flows are opened.
constexpr Millis kRampUpTime{ 20'000 };
/// Simulated time at which the ramp-up begins.
constexpr Millis kLoadStart{ 6000 };
// Time-outs of the first transmission; they double with each retransmission.
constexpr Millis kSynTimeout{ 1000 };
constexpr Millis kDataTimeout{ 300 };
constexpr uint8_t kMaxSynTransmissions = 4;
constexpr uint8_t kMaxDataTransmissions = 6;
/// Time from an acknowledgement to the next packet of a short-lived flow.
constexpr Millis kShortLivedInterval{ 500 };
constexpr uint32_t kShortLivedDataPackets = 3;
// Time from an acknowledgement to the next packet of a long-lived flow: the minimum plus a random
// part below the spread.
constexpr int64_t kMinLongLivedIntervalMs = 5000;
constexpr int64_t kLongLivedIntervalSpreadMs = 5000;
/// Time until a caller replaces a long-lived flow that has ended.
constexpr Millis kReopenDelay{ 200 };
constexpr Millis kReopenDelayAfterRefusal{ 2000 };
/// Percentage of flows for the secondary service.
constexpr uint64_t kSecondaryServicePercent = 15;
constexpr Millis kOpenInterval{ 50 };
/// Time that hosts have to learn that a data centre was taken out.
constexpr Millis kPropagationGrace{ 3000 };

std::string_view
outcomeName(FlowOutcome aOutcome)
{
  switch (aOutcome) {
    case FlowOutcome::Running:
      return "runs";
    case FlowOutcome::Completed:
      return "done";
    case FlowOutcome::Broken:
      return "broken";
    case FlowOutcome::EndedByOperator:
      return "given up";
    case FlowOutcome::Refused:
      return "refused";
    case FlowOutcome::OpenTimedOut:
      return "not opened";
  }
  return "";
}

} // namespace

Callers::Callers(const SimulationOptions& aOptions,
                 Environment& aEnvironment,
                 EventScheduler& aScheduler,
                 MetricsCollector& aCollector,
                 std::mt19937_64& aRandom,
                 Send aSend)
  : m_options(aOptions)
  , m_environment(aEnvironment)
  , m_scheduler(aScheduler)
  , m_collector(aCollector)
  , m_random(aRandom)
  , m_send(std::move(aSend))
  , m_newFlowsPerSecond(aOptions.m_newFlowsPerSecond)
{
}

void
Callers::start()
{
  const auto steps = static_cast<size_t>(kRampUpTime / kOpenInterval);
  for (size_t step = 0; step < steps; ++step) {
    const size_t from = m_options.m_concurrentFlows * step / steps;
    const size_t to = m_options.m_concurrentFlows * (step + 1) / steps;
    m_scheduler.scheduleAfter(kLoadStart + static_cast<int64_t>(step) * kOpenInterval,
                              [this, from, to] {
                                for (size_t count = from; count < to; ++count) {
                                  open(FlowKind::LongLived);
                                }
                              });
  }
  m_scheduler.scheduleAfter(kLoadStart + kRampUpTime, [this] { openShortLivedFlows(); });
}

void
Callers::openShortLivedFlows()
{
  // Thousandths of a flow per interval. The fractional part opens one more flow with the
  // corresponding probability, so that the rate is met on average.
  const uint64_t milliFlows = m_newFlowsPerSecond * static_cast<uint64_t>(kOpenInterval.count());
  uint64_t count = milliFlows / 1000;
  count += m_random() % 1000 < milliFlows % 1000 ? 1 : 0;
  for (uint64_t index = 0; index < count; ++index) {
    open(FlowKind::ShortLived);
  }
  m_scheduler.scheduleAfter(kOpenInterval, [this] { openShortLivedFlows(); });
}

void
Callers::open(FlowKind aKind)
{
  const auto index = static_cast<uint32_t>(m_flows.size());
  const DeploymentSpec& spec = m_environment.spec();
  Flow flow;
  flow.m_kind = aKind;
  flow.m_service =
    m_random() % 100 < kSecondaryServicePercent ? &spec.m_secondaryService : &spec.m_mainService;
  flow.m_callerDataCentre = spec.m_dataCentres[m_random() % spec.m_dataCentres.size()];
  flow.m_openedAt = m_scheduler.now();
  flow.m_key = { .m_source = Ipv4{ (100U << 24U) + index / 50'000 },
                 .m_destination = *parseIpv4(flow.m_service->m_address),
                 .m_sourcePort = static_cast<uint16_t>(1024 + index % 50'000),
                 .m_destinationPort = 443 };
  m_flows.push_back(std::move(flow));
  ++m_collector.metrics().m_flowsOpened;
  m_flows.back().m_countsAsAttempt =
    m_environment.canReachActiveDataCentre(m_flows.back().m_callerDataCentre);
  if (m_flows.back().m_countsAsAttempt) {
    m_collector.onOpenAttempt(m_scheduler.now());
  }
  sendWithRetransmission(index, PacketKind::Syn);
}

void
Callers::sendWithRetransmission(uint32_t aFlow, PacketKind aKind)
{
  Flow& flow = m_flows[aFlow];
  m_send(aFlow, aKind);
  const Millis base = aKind == PacketKind::Syn ? kSynTimeout : kDataTimeout;
  const Millis timeout = base * (1 << flow.m_transmissions);
  ++flow.m_transmissions;
  const uint32_t generation = flow.m_timerGeneration;
  m_scheduler.scheduleAfter(
    timeout, [this, aFlow, aKind, generation] { onRetransmissionTimer(aFlow, aKind, generation); });
}

void
Callers::onRetransmissionTimer(uint32_t aFlow, PacketKind aKind, uint32_t aGeneration)
{
  Flow& flow = m_flows[aFlow];
  if (flow.m_outcome != FlowOutcome::Running || flow.m_timerGeneration != aGeneration) {
    return;
  }
  const uint8_t maxTransmissions =
    aKind == PacketKind::Syn ? kMaxSynTransmissions : kMaxDataTransmissions;
  if (flow.m_transmissions < maxTransmissions) {
    sendWithRetransmission(aFlow, aKind);
    return;
  }
  if (aKind == PacketKind::Syn) {
    endFlow(aFlow, FlowOutcome::OpenTimedOut);
    return;
  }
  breakFlow(aFlow);
}

void
Callers::onUpstreamPacket(uint32_t aFlow,
                          PacketKind aKind,
                          SimulatedUpstream& aUpstream,
                          bool aIsExempt)
{
  Flow& flow = m_flows[aFlow];
  m_collector.onPacket(m_scheduler.now(), aUpstream.m_dataCentre, aIsExempt);
  if (aUpstream.m_service != flow.m_service->m_name) {
    m_collector.onMisdelivery();
    return;
  }
  flow.m_reachedUpstream = true;
  const bool canAnswer = m_environment.isConnected(aUpstream.m_dataCentre, flow.m_callerDataCentre);
  if (aKind == PacketKind::Syn && aUpstream.m_activeFlows.insert(aFlow).second) {
    m_collector.onNewFlow(m_scheduler.now(), aUpstream.m_name, aIsExempt);
  }
  if (!canAnswer) {
    return;
  }
  SimulatedUpstream* upstream = &aUpstream;
  if (aKind == PacketKind::Syn) {
    m_scheduler.scheduleAfter(kCallerDelay, [this, aFlow, upstream] { onSynAck(aFlow, upstream); });
    return;
  }
  const bool isServed = flow.m_upstream == upstream && upstream->m_activeFlows.contains(aFlow);
  if (!isServed) {
    m_scheduler.scheduleAfter(kCallerDelay, [this, aFlow] { onUpstreamReset(aFlow); });
    return;
  }
  if (flow.m_executedOn != nullptr && flow.m_executedOn != upstream) {
    ++m_collector.metrics().m_duplicateExecutions;
  }
  flow.m_executedOn = upstream;
  m_scheduler.scheduleAfter(kCallerDelay, [this, aFlow] { onAck(aFlow); });
}

void
Callers::onSynAck(uint32_t aFlow, SimulatedUpstream* aUpstream)
{
  Flow& flow = m_flows[aFlow];
  if (flow.m_outcome != FlowOutcome::Running || flow.m_upstream != nullptr) {
    return;
  }
  flow.m_upstream = aUpstream;
  flow.m_establishedAt = m_scheduler.now();
  if (flow.m_countsAsAttempt) {
    m_collector.onEstablished(flow.m_openedAt);
  }
  onAck(aFlow);
}

void
Callers::onAck(uint32_t aFlow)
{
  Flow& flow = m_flows[aFlow];
  if (flow.m_outcome != FlowOutcome::Running) {
    return;
  }
  ++flow.m_timerGeneration;
  flow.m_transmissions = 0;
  if (flow.m_kind == FlowKind::ShortLived) {
    if (flow.m_packetsSent > kShortLivedDataPackets) {
      endFlow(aFlow, FlowOutcome::Completed);
      return;
    }
    m_scheduler.scheduleAfter(kShortLivedInterval, [this, aFlow] { sendNextPacket(aFlow); });
    return;
  }
  const Millis pause(kMinLongLivedIntervalMs +
                     static_cast<int64_t>(m_random() % kLongLivedIntervalSpreadMs));
  m_scheduler.scheduleAfter(pause, [this, aFlow] { sendNextPacket(aFlow); });
}

void
Callers::sendNextPacket(uint32_t aFlow)
{
  Flow& flow = m_flows[aFlow];
  if (flow.m_outcome != FlowOutcome::Running) {
    return;
  }
  ++flow.m_packetsSent;
  const bool isLast =
    flow.m_kind == FlowKind::ShortLived && flow.m_packetsSent > kShortLivedDataPackets;
  sendWithRetransmission(aFlow, isLast ? PacketKind::Fin : PacketKind::Data);
}

void
Callers::onUpstreamReset(uint32_t aFlow)
{
  const Flow& flow = m_flows[aFlow];
  if (flow.m_outcome == FlowOutcome::Running && flow.m_upstream != nullptr) {
    breakFlow(aFlow);
  }
}

void
Callers::onReset(uint32_t aFlow, bool aClaimsNotRun)
{
  Flow& flow = m_flows[aFlow];
  if (flow.m_outcome != FlowOutcome::Running) {
    return;
  }
  if (aClaimsNotRun && flow.m_reachedUpstream) {
    ++m_collector.metrics().m_falseRefusals;
  }
  if (flow.m_upstream == nullptr) {
    endFlow(aFlow, FlowOutcome::Refused);
    return;
  }
  breakFlow(aFlow);
}

void
Callers::breakFlow(uint32_t aFlow)
{
  const SimulatedUpstream* upstream = m_flows[aFlow].m_upstream;
  // Hosts may open flows in a data centre for the grace time after operators took it out. Such
  // flows and earlier ones end because of the operators' decision and do not count as broken.
  const bool wasOpenedInOutDataCentre =
    upstream != nullptr && upstream->m_dataCentreOutSince != TimePoint{} &&
    upstream->m_dataCentreOutSince + kPropagationGrace > m_flows[aFlow].m_openedAt;
  const bool isEndedByOperator =
    wasOpenedInOutDataCentre || (upstream != nullptr && upstream->m_isRemoved);
  endFlow(aFlow, isEndedByOperator ? FlowOutcome::EndedByOperator : FlowOutcome::Broken);
}

void
Callers::endFlow(uint32_t aFlow, FlowOutcome aOutcome)
{
  Flow& flow = m_flows[aFlow];
  flow.m_outcome = aOutcome;
  if (flow.m_upstream != nullptr) {
    flow.m_upstream->m_activeFlows.erase(aFlow);
  }
  const bool isPartitioned =
    flow.m_upstream != nullptr &&
    !m_environment.isConnected(flow.m_upstream->m_dataCentre, flow.m_callerDataCentre);
  m_collector.onFlowEnd(m_scheduler.now(), aOutcome, flow.m_openedAt, isPartitioned);
  const bool isTraced = m_options.m_tracedFlow != 0 && m_options.m_tracedFlow == aFlow;
  const bool isFailure = m_options.m_traceEvents && aOutcome != FlowOutcome::Completed;
  if (m_options.m_trace != nullptr && (isTraced || isFailure)) {
    *m_options.m_trace << m_scheduler.elapsed().count() << " flow " << aFlow << " "
                       << outcomeName(aOutcome) << " at "
                       << (flow.m_upstream == nullptr ? "no upstream" : flow.m_upstream->m_name)
                       << "\n";
  }
  if (flow.m_kind == FlowKind::LongLived) {
    m_scheduler.scheduleAfter(aOutcome == FlowOutcome::Refused ? kReopenDelayAfterRefusal
                                                               : kReopenDelay,
                              [this] { open(FlowKind::LongLived); });
  }
}

std::map<std::string, size_t>
Callers::runningFlowsByUpstream() const
{
  std::map<std::string, size_t> running;
  for (const Flow& flow : m_flows) {
    if (flow.m_outcome == FlowOutcome::Running && flow.m_upstream != nullptr &&
        flow.m_service == &m_environment.spec().m_mainService) {
      ++running[flow.m_upstream->m_name];
    }
  }
  return running;
}

} // namespace tamarack::session
