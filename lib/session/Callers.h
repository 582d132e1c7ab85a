// Simulated callers and their flows, with a simplified TCP: handshake, data, retransmission with
// exponential back-off, and time-outs. A flow counts as broken if its caller sees it fail.
#pragma once

#include "session/Environment.h"
#include "session/EventScheduler.h"
#include "session/MetricsCollector.h"

#include <functional>
#include <random>

namespace tamarack::session {

enum class FlowKind : uint8_t
{
  /// Stays open until the run ends; if it fails, the caller opens a new one.
  LongLived,
  /// Sends a few data packets, which must be executed at most once, and closes.
  ShortLived,
};

enum class PacketKind : uint8_t
{
  Syn,
  Data,
  Fin,
};

struct Flow
{
  packet::FlowKey m_key;
  const ServiceSpec* m_service{};
  /// In a partition, the caller is on the same side as this data centre.
  std::string m_callerDataCentre;
  FlowKind m_kind{};
  FlowOutcome m_outcome{ FlowOutcome::Running };
  /// When the first SYN was sent.
  TimePoint m_openedAt;
  TimePoint m_establishedAt;
  /// The upstream whose SYN-ACK was accepted; null until then.
  SimulatedUpstream* m_upstream{};
  /// The upstream that last executed a data packet of this flow; null if none did.
  SimulatedUpstream* m_executedOn{};
  /// A packet has reached an upstream of the flow's service.
  bool m_reachedUpstream{};
  /// The caller could reach a data centre in service when it opened the flow, so the flow counts
  /// for the served share.
  bool m_countsAsAttempt{};
  /// Transmissions of the current packet.
  uint8_t m_transmissions{};
  /// Data and FIN packets sent, without retransmissions.
  uint32_t m_packetsSent{};
  /// Incremented by each acknowledgement. A retransmission timer of an earlier generation is
  /// ignored.
  uint32_t m_timerGeneration{};
};

/// Flows are identified by their index in the order of opening.
class Callers
{
public:
  /// Sends one packet of a flow into the fabric.
  using Send = std::function<void(uint32_t aFlow, PacketKind aKind)>;

  Callers(const SimulationOptions& aOptions,
          Environment& aEnvironment,
          EventScheduler& aScheduler,
          MetricsCollector& aCollector,
          std::mt19937_64& aRandom,
          Send aSend);

  /// Schedules the ramp-up of the long-lived flows and then short-lived flows at a steady rate.
  void start();
  /// Changes the rate at which short-lived flows are opened.
  void setNewFlowRate(size_t aNewFlowsPerSecond) { m_newFlowsPerSecond = aNewFlowsPerSecond; }

  [[nodiscard]] Flow& flow(uint32_t aFlow) { return m_flows[aFlow]; }
  [[nodiscard]] const std::deque<Flow>& flows() const { return m_flows; }

  /// A packet arrived at an upstream, which answers the caller with an acknowledgement or a reset.
  /// `aIsExempt`: see MetricsCollector.
  void onUpstreamPacket(uint32_t aFlow,
                        PacketKind aKind,
                        SimulatedUpstream& aUpstream,
                        bool aIsExempt);
  /// A host sent the caller a reset. `aClaimsNotRun`: the reset promises that the request was not
  /// executed.
  void onReset(uint32_t aFlow, bool aClaimsNotRun);
  /// Number of running flows of the main service by name of the upstream.
  [[nodiscard]] std::map<std::string, size_t> runningFlowsByUpstream() const;

private:
  void open(FlowKind aKind);
  /// Opens the flows due in one kOpenInterval and schedules itself for the next.
  void openShortLivedFlows();
  /// Sends the current packet and starts its retransmission timer.
  void sendWithRetransmission(uint32_t aFlow, PacketKind aKind);
  void onRetransmissionTimer(uint32_t aFlow, PacketKind aKind, uint32_t aGeneration);
  void onSynAck(uint32_t aFlow, SimulatedUpstream* aUpstream);
  void onAck(uint32_t aFlow);
  void onUpstreamReset(uint32_t aFlow);
  void sendNextPacket(uint32_t aFlow);
  void endFlow(uint32_t aFlow, FlowOutcome aOutcome);
  /// Ends an established flow that failed, as broken or as ended by the operator.
  void breakFlow(uint32_t aFlow);

  const SimulationOptions& m_options;
  Environment& m_environment;
  EventScheduler& m_scheduler;
  MetricsCollector& m_collector;
  std::mt19937_64& m_random;
  Send m_send;
  std::deque<Flow> m_flows;
  size_t m_newFlowsPerSecond{};
};

} // namespace tamarack::session
