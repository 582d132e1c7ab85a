// The reduced TCP of the callers and of the machines that answer them.
#include "session/Callers.h"

namespace tamarack::session {

namespace {

constexpr Millis kClientDelay{ 1 };
constexpr Millis kRampUp{ 20'000 };
constexpr Millis kLoadStart{ 6000 };
constexpr Millis kSynTimeout{ 1000 };
constexpr Millis kDataTimeout{ 300 };
constexpr uint8_t kSynTries = 4;
constexpr uint8_t kDataTries = 6;
constexpr Millis kReportStep{ 500 };
constexpr uint32_t kReportPackets = 3;
constexpr int64_t kFeedLeastMs = 5000;
constexpr int64_t kFeedSpreadMs = 5000;
constexpr Millis kReopen{ 200 };
constexpr Millis kReopenRefused{ 2000 };
/// Share of flows that go to the smaller service, in percent.
constexpr uint64_t kSideShare = 15;
constexpr Millis kOpenStep{ 50 };
constexpr Millis kOutGrace{ 3000 };

std::string_view
endName(FlowEnd aEnd)
{
  switch (aEnd) {
    case FlowEnd::Running:
      return "runs";
    case FlowEnd::Done:
      return "done";
    case FlowEnd::Broken:
      return "broken";
    case FlowEnd::GivenUp:
      return "given up";
    case FlowEnd::Refused:
      return "refused";
    case FlowEnd::Unopened:
      return "not opened";
  }
  return "";
}

} // namespace

Callers::Callers(const SessionOptions& aOptions,
                 World& aWorld,
                 Timeline& aTimeline,
                 Record& aRecord,
                 std::mt19937_64& aRandom,
                 Send aSend)
  : m_options(aOptions)
  , m_world(aWorld)
  , m_timeline(aTimeline)
  , m_record(aRecord)
  , m_random(aRandom)
  , m_send(std::move(aSend))
  , m_rate(aOptions.m_newFlowsPerSecond)
{
}

void
Callers::start()
{
  const auto steps = static_cast<size_t>(kRampUp / kOpenStep);
  for (size_t step = 0; step < steps; ++step) {
    const size_t from = m_options.m_runningFlows * step / steps;
    const size_t to = m_options.m_runningFlows * (step + 1) / steps;
    m_timeline.after(kLoadStart + static_cast<int64_t>(step) * kOpenStep, [this, from, to] {
      for (size_t count = from; count < to; ++count) {
        open(FlowKind::Feed);
      }
    });
  }
  m_timeline.after(kLoadStart + kRampUp, [this] { openEvery(); });
}

void
Callers::openEvery()
{
  // The remainder of the rate is spread by chance.
  const uint64_t perStep = m_rate * static_cast<uint64_t>(kOpenStep.count());
  uint64_t count = perStep / 1000;
  count += m_random() % 1000 < perStep % 1000 ? 1 : 0;
  for (uint64_t index = 0; index < count; ++index) {
    open(FlowKind::Report);
  }
  m_timeline.after(kOpenStep, [this] { openEvery(); });
}

void
Callers::open(FlowKind aKind)
{
  const auto index = static_cast<uint32_t>(m_flows.size());
  const DeploymentShape& shape = m_world.shape();
  Flow flow;
  flow.m_kind = aKind;
  flow.m_service = m_random() % 100 < kSideShare ? &shape.m_side : &shape.m_main;
  flow.m_home = shape.m_dataCentres[m_random() % shape.m_dataCentres.size()];
  flow.m_openedAt = m_timeline.now();
  flow.m_key = { .m_source = Ipv4{ (100U << 24U) + index / 50'000 },
                 .m_destination = *parseIpv4(flow.m_service->m_address),
                 .m_sourcePort = static_cast<uint16_t>(1024 + index % 50'000),
                 .m_destinationPort = 443 };
  m_flows.push_back(std::move(flow));
  ++m_record.figures().m_flowsOpened;
  m_flows.back().m_isCounted = m_world.hasCapacity(m_flows.back().m_home);
  if (m_flows.back().m_isCounted) {
    m_record.onAttempt(m_timeline.now());
  }
  sendStep(index, PacketKind::Syn);
}

void
Callers::sendStep(uint32_t aFlow, PacketKind aKind)
{
  Flow& flow = m_flows[aFlow];
  m_send(aFlow, aKind);
  const Millis base = aKind == PacketKind::Syn ? kSynTimeout : kDataTimeout;
  const Millis timeout = base * (1 << flow.m_tries);
  ++flow.m_tries;
  const uint32_t step = flow.m_step;
  m_timeline.after(timeout, [this, aFlow, aKind, step] { onTimer(aFlow, aKind, step); });
}

void
Callers::onTimer(uint32_t aFlow, PacketKind aKind, uint32_t aStep)
{
  Flow& flow = m_flows[aFlow];
  if (flow.m_end != FlowEnd::Running || flow.m_step != aStep) {
    return;
  }
  const uint8_t most = aKind == PacketKind::Syn ? kSynTries : kDataTries;
  if (flow.m_tries < most) {
    sendStep(aFlow, aKind);
    return;
  }
  if (aKind == PacketKind::Syn) {
    end(aFlow, FlowEnd::Unopened);
    return;
  }
  breakFlow(aFlow);
}

void
Callers::onMachine(uint32_t aFlow, PacketKind aKind, Machine& aMachine, bool aIsExempt)
{
  Flow& flow = m_flows[aFlow];
  m_record.onPacket(m_timeline.now(), aMachine.m_dataCentre, aIsExempt);
  if (aMachine.m_service != flow.m_service->m_name) {
    m_record.onMisdelivery();
    return;
  }
  flow.m_reachedUpstream = true;
  const bool canAnswer = m_world.isConnected(aMachine.m_dataCentre, flow.m_home);
  if (aKind == PacketKind::Syn && aMachine.m_flows.insert(aFlow).second) {
    m_record.onNewFlow(m_timeline.now(), aMachine.m_name, aIsExempt);
  }
  if (!canAnswer) {
    return;
  }
  Machine* machine = &aMachine;
  if (aKind == PacketKind::Syn) {
    m_timeline.after(kClientDelay, [this, aFlow, machine] { onSynAck(aFlow, machine); });
    return;
  }
  const bool isServed = flow.m_machine == machine && machine->m_flows.contains(aFlow);
  if (!isServed) {
    m_timeline.after(kClientDelay, [this, aFlow] { onMachineReset(aFlow); });
    return;
  }
  if (flow.m_ranOn != nullptr && flow.m_ranOn != machine) {
    ++m_record.figures().m_doubleRun;
  }
  flow.m_ranOn = machine;
  m_timeline.after(kClientDelay, [this, aFlow] { onAck(aFlow); });
}

void
Callers::onSynAck(uint32_t aFlow, Machine* aMachine)
{
  Flow& flow = m_flows[aFlow];
  if (flow.m_end != FlowEnd::Running || flow.m_machine != nullptr) {
    return;
  }
  flow.m_machine = aMachine;
  flow.m_establishedAt = m_timeline.now();
  if (flow.m_isCounted) {
    m_record.onServed(flow.m_openedAt);
  }
  onAck(aFlow);
}

void
Callers::onAck(uint32_t aFlow)
{
  Flow& flow = m_flows[aFlow];
  if (flow.m_end != FlowEnd::Running) {
    return;
  }
  ++flow.m_step;
  flow.m_tries = 0;
  if (flow.m_kind == FlowKind::Report) {
    if (flow.m_sent > kReportPackets) {
      end(aFlow, FlowEnd::Done);
      return;
    }
    m_timeline.after(kReportStep, [this, aFlow] { sendNext(aFlow); });
    return;
  }
  const Millis pause(kFeedLeastMs + static_cast<int64_t>(m_random() % kFeedSpreadMs));
  m_timeline.after(pause, [this, aFlow] { sendNext(aFlow); });
}

void
Callers::sendNext(uint32_t aFlow)
{
  Flow& flow = m_flows[aFlow];
  if (flow.m_end != FlowEnd::Running) {
    return;
  }
  ++flow.m_sent;
  const bool isLast = flow.m_kind == FlowKind::Report && flow.m_sent > kReportPackets;
  sendStep(aFlow, isLast ? PacketKind::Fin : PacketKind::Data);
}

void
Callers::onMachineReset(uint32_t aFlow)
{
  const Flow& flow = m_flows[aFlow];
  if (flow.m_end == FlowEnd::Running && flow.m_machine != nullptr) {
    breakFlow(aFlow);
  }
}

void
Callers::onReset(uint32_t aFlow, bool aSaysNotRun)
{
  Flow& flow = m_flows[aFlow];
  if (flow.m_end != FlowEnd::Running) {
    return;
  }
  if (aSaysNotRun && flow.m_reachedUpstream) {
    ++m_record.figures().m_falseRefusals;
  }
  if (flow.m_machine == nullptr) {
    end(aFlow, FlowEnd::Refused);
    return;
  }
  breakFlow(aFlow);
}

void
Callers::breakFlow(uint32_t aFlow)
{
  const Machine* machine = m_flows[aFlow].m_machine;
  // Hosts hear of a data centre that is taken out within the grace time; until then flows that are
  // opened in it end with it.
  const bool wasOut = machine != nullptr && machine->m_outSince != TimePoint{} &&
                      machine->m_outSince + kOutGrace > m_flows[aFlow].m_openedAt;
  const bool isGivenUp = wasOut || (machine != nullptr && machine->m_retired);
  end(aFlow, isGivenUp ? FlowEnd::GivenUp : FlowEnd::Broken);
}

void
Callers::end(uint32_t aFlow, FlowEnd aEnd)
{
  Flow& flow = m_flows[aFlow];
  flow.m_end = aEnd;
  if (flow.m_machine != nullptr) {
    flow.m_machine->m_flows.erase(aFlow);
  }
  const bool isCutOff =
    flow.m_machine != nullptr && !m_world.isConnected(flow.m_machine->m_dataCentre, flow.m_home);
  m_record.onFlowEnd(m_timeline.now(), aEnd, flow.m_openedAt, isCutOff);
  const bool isTraced = m_options.m_tracedFlow != 0 && m_options.m_tracedFlow == aFlow;
  const bool isFailure = m_options.m_traceEvents && aEnd != FlowEnd::Done;
  if (m_options.m_trace != nullptr && (isTraced || isFailure)) {
    *m_options.m_trace << m_timeline.elapsed().count() << " flow " << aFlow << " " << endName(aEnd)
                       << " at "
                       << (flow.m_machine == nullptr ? "no upstream" : flow.m_machine->m_name)
                       << "\n";
  }
  if (flow.m_kind == FlowKind::Feed) {
    m_timeline.after(aEnd == FlowEnd::Refused ? kReopenRefused : kReopen,
                     [this] { open(FlowKind::Feed); });
  }
}

std::map<std::string, size_t>
Callers::runningByMachine() const
{
  std::map<std::string, size_t> running;
  for (const Flow& flow : m_flows) {
    if (flow.m_end == FlowEnd::Running && flow.m_machine != nullptr &&
        flow.m_service == &m_world.shape().m_main) {
      ++running[flow.m_machine->m_name];
    }
  }
  return running;
}

} // namespace tamarack::session
