// Callers, upstreams and the store around real edge processes, in one event loop, with the promises
// that are checked from what callers and upstreams see.
#pragma once

#include "Timeline.h"
#include "platform/PacketHeader.h"
#include "transport/Http1.h"

#include <asio.hpp>

#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace soak {

inline constexpr uint16_t kPacketPort = 18172;
inline constexpr uint16_t kStorePort = 18169;
inline constexpr uint16_t kUpstreamPort = 18400;
/// Routes of the two services; the second one's requests may not be repeated.
inline constexpr std::array<uint16_t, 2> kRoutePorts{ 443, 80 };

/// The address of both routes.
inline constexpr uint32_t kRouteAddress = 0xc6120001;
/// A promise of fresh records holds for hosts that nothing has harmed for this long.
inline constexpr std::chrono::seconds kInTouch{ 4 };

/// The service whose cold upstreams have a limit of new flows, and that limit as hosts get it.
inline constexpr int kLimitedService = 1;
inline constexpr double kColdPerSecond = 3.5;
inline constexpr double kColdFactor = 1.5;
inline constexpr double kColdSlack = 5;

/// Loopback networks of a soak, by what stands there. Soaks in different lanes can run side by
/// side.
enum class Net : uint8_t
{
  Store = 10,
  Host = 11,
  Upstream = 12,
  Caller = 13,
};
inline constexpr uint32_t kLanes = 20;

[[nodiscard]] constexpr uint32_t
netOf(Net aNet, uint32_t aLane)
{
  return 0x7f000000 | (static_cast<uint32_t>(aNet) + 10 * aLane) << 16;
}

/// A broken promise, with what was seen.
using Complaints = std::vector<std::string>;

/// The store: items with revisions, answered over HTTP/1.1. A watch answers at once. It can come
/// back from a copy, in a new history.
class Store
{
public:
  Store(asio::io_context& aIo, const asio::ip::tcp::endpoint& aListen);
  void put(const std::string& aKey, const std::string& aValue);
  void remove(const std::string& aKey);
  /// Watches of older revisions fail from now on.
  void forgetHistory() { m_floor = m_revision; }
  /// Keeps a copy, to which restore() goes back.
  void copy()
  {
    m_copy = m_items;
    m_copiedRevision = m_revision;
  }
  void restore();

private:
  struct Item
  {
    std::string m_value;
    uint64_t m_revision{};
    bool m_isRemoved{};
  };
  [[nodiscard]] tamarack::transport::Response answer(std::string_view aTarget) const;

  std::map<std::string, Item> m_items;
  std::map<std::string, Item> m_copy;
  uint64_t m_revision{ 1 };
  uint64_t m_copiedRevision{ 1 };
  uint64_t m_history{ 1 };
  uint64_t m_floor{};
  tamarack::transport::Http1Server m_server;
};

class World;

/// One start of an upstream.
class Upstream
{
public:
  Upstream(World& aWorld,
           int aService,
           std::string aDataCentre,
           uint32_t aAddress,
           uint32_t aId,
           std::chrono::milliseconds aColdFor);
  void publish(bool aIsDraining);
  /// Ends without a word; its entry goes later.
  void crash();
  [[nodiscard]] bool isAlive() const { return m_isAlive; }
  [[nodiscard]] uint32_t id() const { return m_id; }
  [[nodiscard]] int service() const { return m_service; }
  [[nodiscard]] std::string key() const;
  /// Writes its entry again, as the store lost it.
  void publishAgain() { publish(m_drainingSince != Clock::time_point{}); }

private:
  void receive();
  void onDatagram(std::span<const uint8_t> aDatagram);
  void onOpening(const tamarack::steering::FlowPacket& aPacket);
  void reply(const tamarack::steering::FlowPacket& aPacket, uint8_t aFlags, uint16_t aLength);

  World& m_world;
  int m_service;
  std::string m_dataCentre;
  uint32_t m_address;
  uint32_t m_id;
  /// Number of writes of the entry.
  uint64_t m_writes{};
  bool m_isAlive{ true };
  Clock::time_point m_drainingSince{};
  /// When its cold start ends.
  Clock::time_point m_warmAt;
  asio::steady_timer m_warmTimer;
  /// New flows of the last second while it is cold.
  std::deque<Clock::time_point> m_coldOpenings;
  std::set<tamarack::packet::FlowKey> m_flows;
  /// Requests that ran here.
  std::set<uint32_t> m_runs;
  asio::ip::udp::socket m_socket;
  std::array<uint8_t, 2048> m_input{};
};

/// A caller with one flow at a time, which it keeps for many requests or opens for each.
class Caller
{
public:
  Caller(World& aWorld, uint32_t aAddress, int aRoute);
  void tick();
  [[nodiscard]] uint64_t served() const { return m_served; }
  [[nodiscard]] Clock::time_point lastServed() const { return m_lastServed; }

private:
  enum class State : uint8_t
  {
    Idle,
    Opening,
    Waiting,
  };
  void receive();
  void onPacket(std::span<const uint8_t> aPacket);
  void open();
  void sendRequest();
  void send(uint8_t aFlags, uint16_t aLength, uint32_t aAcknowledged);
  void giveUp();

  World& m_world;
  uint32_t m_address;
  int m_route;
  asio::ip::udp::socket m_socket;
  std::array<uint8_t, 2048> m_input{};
  State m_state{ State::Idle };
  uint16_t m_port{ 1024 };
  uint32_t m_sequence{};
  uint32_t m_peerSequence{};
  uint32_t m_echo{};
  uint32_t m_upstream{};
  bool m_isOpen{};
  int m_copies{};
  Clock::time_point m_startedAt{};
  Clock::time_point m_sentAt{};
  std::chrono::milliseconds m_wait{};
  uint64_t m_served{};
  Clock::time_point m_lastServed{};
};

class World
{
public:
  World(asio::io_context& aIo, uint32_t aSeed, uint32_t aLane);

  Upstream& addUpstream(int aService,
                        const std::string& aDataCentre,
                        std::chrono::milliseconds aColdFor = {});
  [[nodiscard]] Upstream* randomUpstream(int aService);
  [[nodiscard]] size_t living(int aService) const;
  /// Writes a new version, or the newest one again.
  void publishConfiguration(bool aIsNew = true);
  void complain(std::string aText);

  asio::io_context& m_io;
  uint32_t m_lane;
  std::mt19937 m_random;
  Store m_store;
  /// Addresses of the hosts that the router uses now.
  std::vector<uint32_t> m_hosts;
  std::deque<std::unique_ptr<Upstream>> m_upstreams;
  std::deque<std::unique_ptr<Caller>> m_callers;
  /// Runs of requests that may not be repeated, by request id.
  std::map<uint32_t, int> m_runs;
  /// When a fault was last injected.
  Clock::time_point m_lastFault{};
  uint64_t m_configuration{};
  Complaints m_complaints;
  Timeline m_timeline;
};

} // namespace soak
