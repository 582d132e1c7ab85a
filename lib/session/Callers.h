// Callers and their flows: a much reduced TCP that opens, sends, retransmits and gives up. What the
// callers see decides whether a flow counts as broken.
#pragma once

#include "session/Record.h"
#include "session/Timeline.h"
#include "session/World.h"

#include <functional>
#include <random>

namespace tamarack::session {

enum class FlowKind : uint8_t
{
  /// Runs until the session ends.
  Feed,
  /// Sends a few packets that must be run at most once, then ends.
  Report,
};

/// What a packet of a flow is.
enum class PacketKind : uint8_t
{
  Syn,
  Data,
  Fin,
};

struct Flow
{
  packet::FlowKey m_key;
  const ServiceShape* m_service{};
  /// The data centre whose side of a partition the caller is on.
  std::string m_home;
  FlowKind m_kind{};
  FlowEnd m_end{ FlowEnd::Running };
  TimePoint m_openedAt;
  TimePoint m_establishedAt;
  Machine* m_machine{};
  /// The machine that ran the flow's first data.
  Machine* m_ranOn{};
  bool m_reachedUpstream{};
  /// Some upstream could carry the flow when it began.
  bool m_isCounted{};
  uint8_t m_tries{};
  uint32_t m_sent{};
  /// Raised by each answer, so that a timer for an answered packet does nothing.
  uint32_t m_step{};
};

class Callers
{
public:
  /// Sends one packet of a flow into the fabric.
  using Send = std::function<void(uint32_t aFlow, PacketKind aKind)>;

  Callers(const SessionOptions& aOptions,
          World& aWorld,
          Timeline& aTimeline,
          Record& aRecord,
          std::mt19937_64& aRandom,
          Send aSend);

  /// Opens flows up to the wanted load, and then new ones at a steady rate.
  void start();
  /// Raises or lowers the rate of new flows.
  void setRate(size_t aNewFlowsPerSecond) { m_rate = aNewFlowsPerSecond; }

  [[nodiscard]] Flow& flow(uint32_t aFlow) { return m_flows[aFlow]; }
  [[nodiscard]] const std::deque<Flow>& flows() const { return m_flows; }

  /// A packet arrived at a machine; the answer travels back to the caller.
  void onMachine(uint32_t aFlow, PacketKind aKind, Machine& aMachine, bool aIsExempt);
  /// A host answered the caller with a reset.
  void onReset(uint32_t aFlow, bool aSaysNotRun);
  /// Running flows of the main service by machine.
  [[nodiscard]] std::map<std::string, size_t> runningByMachine() const;

private:
  void open(FlowKind aKind);
  void openEvery();
  void sendStep(uint32_t aFlow, PacketKind aKind);
  void onTimer(uint32_t aFlow, PacketKind aKind, uint32_t aStep);
  void onSynAck(uint32_t aFlow, Machine* aMachine);
  void onAck(uint32_t aFlow);
  void onMachineReset(uint32_t aFlow);
  void sendNext(uint32_t aFlow);
  void end(uint32_t aFlow, FlowEnd aEnd);
  void breakFlow(uint32_t aFlow);

  const SessionOptions& m_options;
  World& m_world;
  Timeline& m_timeline;
  Record& m_record;
  std::mt19937_64& m_random;
  Send m_send;
  std::deque<Flow> m_flows;
  size_t m_rate{};
};

} // namespace tamarack::session
