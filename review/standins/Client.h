// A site of clients behind one address: it opens flows and sends requests on them.
#pragma once

#include "Router.h"

#include <memory>

namespace review {

enum class Outcome : uint8_t
{
  Answered,
  /// No SYN+ACK arrived.
  NotOpened,
  /// The system reset the flow.
  ResetBySystem,
  ResetByServer,
  TimedOut,
};

[[nodiscard]] std::string
nameOf(Outcome aOutcome);

struct ClientOptions
{
  uint32_t m_address{};
  std::string m_zone;
  /// Port of the hosts' data addresses, and of the client's datagrams.
  uint16_t m_dataPort{};
  uint32_t m_route{};
};

/// A reset with sum 0, as a client took it.
struct SystemReset
{
  FlowKey m_flow;
  int64_t m_at{};
};

class Client
{
public:
  using Handler = std::function<void(Outcome)>;

  Client(Loop& aLoop, Router& aRouter, Record& aRecord, ClientOptions aOptions);

  /// Opens a flow from a port.
  void open(uint16_t aPort, uint16_t aRoutePort, Handler aHandler);
  /// Sends a request on an open flow.
  void request(uint16_t aPort,
               const std::string& aMethod,
               const std::string& aId,
               int64_t aDeadlineMs,
               Handler aHandler);
  /// Ends a flow.
  void close(uint16_t aPort);
  [[nodiscard]] FlowKey flowOf(uint16_t aPort) const;
  [[nodiscard]] const std::vector<SystemReset>& systemResets() const { return m_systemResets; }

private:
  struct Flow
  {
    uint16_t m_routePort{};
    uint32_t m_sequence{};
    /// The next byte to send.
    uint32_t m_sent{};
    /// The next byte of the server that is expected.
    uint32_t m_received{};
    uint32_t m_echo{};
    bool m_isOpen{};
    /// Distinguishes two flows from one port.
    uint64_t m_generation{};
    /// The data that waits for an answer.
    std::string m_request;
    std::string m_requestId;
    Handler m_handler;
  };

  void onDatagram(std::string_view aBytes);
  void onReset(const Packet& aPacket, Flow& aFlow);
  void sendSyn(uint16_t aPort, uint64_t aGeneration, uint32_t aCopy);
  void sendRequest(uint16_t aPort, uint64_t aGeneration, const std::string& aId, int64_t aDelayMs);
  void finish(uint16_t aPort, Outcome aOutcome);
  void send(uint16_t aPort,
            uint8_t aFlags,
            uint32_t aSequence,
            uint32_t aAcknowledged,
            const std::string& aData);

  Loop& m_loop;
  Router& m_router;
  Record& m_record;
  ClientOptions m_options;
  int m_socket;
  std::map<uint16_t, Flow> m_flows;
  std::vector<SystemReset> m_systemResets;
  uint64_t m_generations{};
};

} // namespace review
