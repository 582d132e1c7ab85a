// Stand-ins of the second review: the platform's store, endpoints, callers and the processes under
// test, in one event loop. They follow the platform's pages; what a scenario sees goes into its
// record.
#pragma once

#include <asio.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <sys/types.h>
#include <tuple>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Json = nlohmann::json;
using Millis = std::chrono::milliseconds;

inline constexpr uint16_t kPacketPort = 18172;
inline constexpr uint16_t kEndpointPort = 18400;
inline constexpr uint16_t kStorePort = 18169;
/// 127.14.0.1, the platform's address that callers write into their packets.
inline constexpr uint32_t kRouteAddress = 0x7f0e0001;

inline constexpr uint8_t kSyn = 4;
inline constexpr uint8_t kFin = 16;
inline constexpr uint8_t kRst = 32;
inline constexpr uint8_t kAck = 64;

/// A packet of the platform.
struct Packet
{
  uint32_t m_sum{};
  uint8_t m_flags{};
  uint32_t m_source{};
  uint16_t m_destinationPort{};
  uint16_t m_sourcePort{};
  uint32_t m_destination{};
  uint32_t m_sequence{};
  uint32_t m_acknowledged{};
  uint32_t m_echo{};
  std::vector<uint8_t> m_data;
};

[[nodiscard]] std::vector<uint8_t>
encode(const Packet& aPacket);
/// Returns nothing if the bytes are no packet.
[[nodiscard]] std::optional<Packet>
decode(std::span<const uint8_t> aBytes);
[[nodiscard]] std::string
formatAddress(uint32_t aAddress);

/// Writes lines with the time since the start.
class Record
{
public:
  explicit Record(const std::string& aFile)
    : m_file(aFile)
  {
  }
  void line(const std::string& aText);
  [[nodiscard]] double seconds() const
  {
    return std::chrono::duration<double>(Clock::now() - m_start).count();
  }

private:
  std::ofstream m_file;
  Clock::time_point m_start{ Clock::now() };
};

/// The platform's store: items with revisions over HTTP/1.1, listings in pages, waiting watches and
/// a history that is discarded after kHistory.
class Store
{
public:
  Store(asio::io_context& aIo, uint32_t aAddress);
  /// Writes an item; the return is the acknowledgement.
  void put(const std::string& aKey, const std::string& aValue);
  /// While down, connections are closed and new ones are refused with 503.
  void setDown(bool aIsDown);
  [[nodiscard]] bool isDown() const { return m_isDown; }

private:
  static constexpr std::chrono::seconds kHistory{ 20 };
  static constexpr size_t kPageItems = 500;
  static constexpr size_t kPageBytes = 1'000'000;

  struct Event
  {
    std::string m_key;
    uint64_t m_revision{};
    /// JSON text of the item as it was written.
    std::shared_ptr<const std::string> m_text;
    size_t m_valueBytes{};
    Clock::time_point m_at;
  };
  struct Connection;

  void write(Event aEvent);
  void accept();
  void read(const std::shared_ptr<Connection>& aConnection);
  void onRequest(const std::shared_ptr<Connection>& aConnection, const std::string& aTarget);
  void answerWatch(const std::shared_ptr<Connection>& aConnection);
  void answer(const std::shared_ptr<Connection>& aConnection, int aStatus, std::string aBody);
  void discardHistory();

  asio::io_context& m_io;
  asio::ip::tcp::acceptor m_acceptor;
  std::map<std::string, Event> m_items;
  std::deque<Event> m_history;
  uint64_t m_revision{ 1 };
  /// Watches of earlier revisions are answered with 410.
  uint64_t m_floor{ 1 };
  bool m_isDown{};
  std::vector<std::weak_ptr<Connection>> m_connections;
};

class World;

/// One start of an endpoint. It registers itself, heartbeats, and serves flows.
class Endpoint
{
public:
  struct Options
  {
    std::string m_id;
    std::string m_service;
    std::string m_zone;
    uint32_t m_address{};
    int m_slots{ 4 };
    /// What its machine's time of day is ahead by at its start.
    Millis m_clockAhead{};
    /// How long it is cold after its start.
    Millis m_coldFor{};
  };
  Endpoint(World& aWorld, Options aOptions);
  ~Endpoint();
  Endpoint(const Endpoint&) = delete;
  Endpoint& operator=(const Endpoint&) = delete;

  /// Time that the next requests take.
  void setWork(std::function<Millis()> aWork) { m_work = std::move(aWork); }
  void drain();
  /// The process ends; its machine answers every packet with a reset until it starts again.
  void crash();
  [[nodiscard]] const Options& options() const { return m_options; }
  /// Called when a packet opens a flow here.
  std::function<void(const Packet&)> m_onOpened;

private:
  using FlowKey = std::tuple<uint32_t, uint16_t, uint16_t>;
  struct Flow
  {
    uint32_t m_sequence{};
    bool m_isOpen{};
    /// Sequence number after the last request that was taken.
    uint32_t m_taken{};
    /// The answer to the last request; empty while it runs.
    std::vector<uint8_t> m_answer;
    bool m_isRunning{};
  };

  void beat();
  void receive();
  void onDatagram(std::span<const uint8_t> aBytes);
  void onData(const Packet& aPacket, Flow& aFlow);
  void startRequests();
  void reply(const Packet& aTo, uint8_t aFlags, uint32_t aSequence, std::vector<uint8_t> aData);

  World& m_world;
  Options m_options;
  uint64_t m_number{};
  int64_t m_born{};
  Clock::time_point m_startedAt{ Clock::now() };
  asio::ip::udp::socket m_socket;
  asio::steady_timer m_beat;
  std::array<uint8_t, 2048> m_input{};
  std::map<FlowKey, Flow> m_flows;
  std::deque<Packet> m_queue;
  int m_running{};
  std::function<Millis()> m_work{ [] { return Millis{ 20 }; } };
  std::string m_lastEntry;
  uint64_t m_beats{};
  bool m_isDraining{};
  bool m_hasCrashed{};
  std::shared_ptr<bool> m_isAlive{ std::make_shared<bool>(true) };
};

/// What became of one flow of a caller.
struct FlowResult
{
  double m_sentAt{};
  double m_endedAt{};
  uint16_t m_routePort{};
  /// The endpoint that answered; empty if none did.
  std::string m_endpoint;
  /// "served", "failed" (the endpoint's queue was full), "reset", "refused" (reset before it
  /// opened) or "silent".
  std::string m_outcome;
  bool m_isOpen{};
  bool m_wasResetBySystem{};
};

/// One host of callers. Each flow carries one request after another, with pauses between them.
class Caller
{
public:
  Caller(World& aWorld, uint32_t aAddress, std::string aZone);
  struct FlowOptions
  {
    uint16_t m_routePort{};
    int m_requests{ 1 };
    Millis m_pause{ 500 };
    Millis m_deadline{ 2500 };
  };
  void open(const FlowOptions& aOptions, std::function<void(const FlowResult&)> aDone);

private:
  struct Flow
  {
    FlowOptions m_options;
    std::function<void(const FlowResult&)> m_done;
    FlowResult m_result;
    uint16_t m_port{};
    uint32_t m_sequence{};
    uint32_t m_peer{};
    uint32_t m_echo{};
    int m_copies{};
    int m_left{};
    bool m_isWaiting{};
    Clock::time_point m_requestAt;
    Clock::time_point m_nextAt;
    Millis m_interval{ 200 };
    std::shared_ptr<asio::steady_timer> m_timer;
  };

  void receive();
  void onPacket(const Packet& aPacket);
  void arm(Flow& aFlow, Millis aAfter);
  void onTimer(uint16_t aPort);
  void send(Flow& aFlow, uint8_t aFlags, uint32_t aAcknowledged, size_t aLength);
  void request(Flow& aFlow);
  void end(uint16_t aPort, const std::string& aOutcome);

  World& m_world;
  uint32_t m_address;
  std::string m_zone;
  uint16_t m_nextPort{ 1024 };
  asio::ip::udp::socket m_socket;
  std::array<uint8_t, 2048> m_input{};
  std::map<uint16_t, Flow> m_flows;
};

/// One process under test.
struct Edge
{
  uint32_t m_address{};
  std::string m_zone;
  std::string m_config;
  std::string m_log;
  pid_t m_process{};
  /// The routers send packets to it.
  bool m_isInRotation{ true };
};

class World
{
public:
  /// `aFolder` holds the record; settings and logs go to a temporary folder.
  World(const std::string& aFolder, const std::string& aProgram);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  /// The addresses of this run: part 10 store, 11 processes, 12 endpoints, 13 callers.
  [[nodiscard]] uint32_t address(uint32_t aPart, uint32_t aNumber) const
  {
    return 0x7f000000 | m_lane << 16 | aPart << 8 | aNumber;
  }
  void addEdge(const std::string& aZone);
  void startEdges();
  void start(Edge& aEdge);
  /// Stops a process as planned work does, and starts it again: the routers leave it after two
  /// missed checks, and return to it when it answers them.
  void restartAsPlanned(Edge& aEdge);
  /// Ends a process by its id and waits for it.
  void stop(Edge& aEdge, int aSignal);
  Endpoint& addEndpoint(Endpoint::Options aOptions);
  void removeEndpoint(const std::string& aId);
  [[nodiscard]] Endpoint* findEndpoint(const std::string& aId);
  void at(double aSeconds, std::function<void()> aAction);
  /// Runs the loop until `aSeconds` after the start.
  void run(double aSeconds);
  /// The process to which the router gives a flow.
  [[nodiscard]] uint32_t routerTarget(const std::string& aZone, uint32_t aHash) const;
  /// Returns whether a process ended by itself.
  [[nodiscard]] bool hasProcessEnded();

  asio::io_context m_io;
  Record m_record;
  std::unique_ptr<Store> m_store;
  std::vector<std::unique_ptr<Edge>> m_edges;
  std::vector<std::unique_ptr<Endpoint>> m_endpoints;
  uint32_t m_random{ 12345 };

private:
  void startAgainOnceEnded(Edge& aEdge);

  uint32_t m_lane{};
  std::string m_program;
  std::string m_temporary;
  std::vector<std::shared_ptr<asio::steady_timer>> m_timers;
};

} // namespace review
