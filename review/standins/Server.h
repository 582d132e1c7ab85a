// An endpoint: it registers itself in the store, opens flows, and works on requests.
#pragma once

#include "Record.h"
#include "Store.h"
#include "Wire.h"

#include <deque>
#include <set>

namespace review {

struct ServerOptions
{
  /// The digits of its id.
  uint32_t m_id{};
  std::string m_service;
  std::string m_zone;
  SocketAddress m_address;
  /// Time that a request takes.
  int64_t m_workMs{ 60 };
  /// Flows that it holds; when it is full, it answers no SYN.
  size_t m_maxFlows{ 2000 };
};

/// A new flow, as an endpoint took it.
struct Opening
{
  FlowKey m_flow;
  /// Copies of the SYN that were sent before this one.
  uint32_t m_copies{};
  int64_t m_at{};
};

class Server
{
public:
  Server(Loop& aLoop, Store& aStore, Record& aRecord, ServerOptions aOptions);

  [[nodiscard]] const ServerOptions& options() const { return m_options; }
  [[nodiscard]] std::string key() const;
  /// Unix time of its start.
  [[nodiscard]] int64_t bornAt() const { return m_bornAt; }
  /// The endpoint is cold from now on. Its entry says so at its next heartbeat.
  void turnCold(int64_t aForMs) { m_coldUntil = steadyMs() + aForMs; }
  /// Datagrams of these hosts don't arrive any more, as on a link that is cut one way.
  void loseFrom(std::set<uint32_t> aHosts) { m_lostSenders = std::move(aHosts); }
  /// Time since the endpoint last wrote its entry.
  [[nodiscard]] int64_t entryAge() const { return steadyMs() - m_writtenAt; }
  [[nodiscard]] bool isCold() const { return steadyMs() < m_coldUntil; }
  /// Whether the flow is open here: the end of its handshake has arrived.
  [[nodiscard]] bool isOpen(const FlowKey& aFlow) const;
  /// The new flows so far, each once.
  [[nodiscard]] const std::vector<Opening>& openings() const { return m_openings; }
  /// Ids of the requests that ran here.
  [[nodiscard]] const std::set<std::string>& runs() const { return m_runs; }

private:
  struct Flow
  {
    uint32_t m_clientSequence{};
    uint32_t m_ownSequence{};
    /// The next byte of the client that is expected.
    uint32_t m_received{};
    /// The next byte to send.
    uint32_t m_sent{};
    uint32_t m_acknowledged{};
    uint32_t m_echo{};
    bool m_isOpen{};
    bool m_isEnded{};
    /// The last response, until the client has acknowledged it.
    Packet m_response;
  };

  void heartbeat();
  void writeEntry();
  void onDatagram(std::string_view aBytes);
  void onSyn(const Packet& aPacket);
  void onFlowPacket(const Packet& aPacket, Flow& aFlow);
  void endFlow(Flow& aFlow);
  void startRequest(const FlowKey& aFlow, const std::string& aId);
  void respond(const FlowKey& aFlow, const std::string& aId);
  /// Sends the response again while it is not acknowledged.
  void retransmit(const FlowKey& aFlow, uint32_t aSequence, int64_t aDelayMs, int aTimes);
  [[nodiscard]] Packet makePacket(const FlowKey& aFlow, const Flow& aState, uint8_t aFlags) const;
  void send(const Packet& aPacket) const;
  void sendReset(const Packet& aPacket) const;

  Loop& m_loop;
  Store& m_store;
  Record& m_record;
  ServerOptions m_options;
  int64_t m_bornAt;
  int64_t m_coldUntil{};
  int64_t m_writtenAt{};
  std::set<uint32_t> m_lostSenders;
  uint64_t m_heartbeats{};
  int m_socket;
  std::map<FlowKey, Flow> m_flows;
  std::vector<Opening> m_openings;
  std::set<std::string> m_runs;
  /// Flows that are open here.
  size_t m_openFlows{};
  /// When each slot is free again.
  std::array<int64_t, 4> m_slots{};
};

} // namespace review
