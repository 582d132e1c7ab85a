// Simulation of the hosts of two data centres that exchange status messages. Checks which hosts
// read the store, how recent the records of all hosts are and how much traffic that takes.
#include "dissemination/PeerTracker.h"

#include <doctest/doctest.h>
#include <map>
#include <memory>
#include <set>

using namespace tamarack;
using namespace tamarack::dissemination;

namespace {

constexpr Millis kTick{ 100 };
/// The size that the system is designed for: hosts per data centre, and the limit of the control
/// traffic of one host in bytes per second, sent and received.
constexpr uint32_t kHostsPerDataCentre = 61;
constexpr uint64_t kMaxBytesPerSecond = 13'000;
/// Size of the IPv4 and UDP headers in bytes.
constexpr uint64_t kDatagramOverhead = 28;
/// Values whose encoding is as long as that of the values in a fleet that has run for a long time.
constexpr uint32_t kFirstAddress = 0x0a400001;
constexpr uint32_t kIncarnation = 0x9abcdef0;
constexpr registry::Revision kRevision{ .m_history = 9, .m_number = 4'400'000 };

/// Simulates hosts, the messages between them, and a store that answers all reads while it is up.
class FleetSimulation
{
public:
  explicit FleetSimulation(uint32_t aHostsPerDataCentre)
  {
    const std::vector<HostId> seeds{ HostId{ kFirstAddress }, HostId{ kFirstAddress + 256 } };
    for (uint32_t dataCentre = 0; dataCentre < 2; ++dataCentre) {
      for (uint32_t index = 0; index < aHostsPerDataCentre; ++index) {
        const HostId host{ kFirstAddress + dataCentre * 256 + index };
        m_hosts[host] = std::make_unique<PeerTracker>(
          PeerTrackerOptions{ .m_self = host,
                              .m_dataCentre = dataCentre == 0 ? "naivasha" : "fortaleza",
                              .m_capacity = 100,
                              .m_incarnation = kIncarnation,
                              .m_seeds = seeds });
        m_hosts[host]->onRevision(kRevision);
        m_hosts[host]->onStoreConfirmation(m_now);
      }
    }
  }

  void run(Millis aTime)
  {
    for (const TimePoint end = m_now + aTime; m_now < end; m_now += kTick) {
      for (auto& [host, peers] : m_hosts) {
        if (m_stopped.contains(host)) {
          continue;
        }
        if (peers->updateReaderRole(m_now) && m_storeIsUp) {
          peers->onStoreConfirmation(m_now);
          ++m_storeReads;
        }
        for (const HostId target : peers->dueTargets(m_now)) {
          exchange(host, target);
        }
      }
    }
  }

  [[nodiscard]] std::set<HostId> readers() const
  {
    std::set<HostId> readers;
    for (const auto& [host, peers] : m_hosts) {
      if (!m_stopped.contains(host) && peers->isActiveReader(m_now)) {
        readers.insert(host);
      }
    }
    return readers;
  }

  [[nodiscard]] Millis maxConfirmationAge() const
  {
    Millis maxAge{};
    for (const auto& [host, peers] : m_hosts) {
      if (!m_stopped.contains(host)) {
        maxAge = std::max(maxAge, m_now - peers->confirmedAt());
      }
    }
    return maxAge;
  }

  [[nodiscard]] uint64_t maxBytes() const
  {
    uint64_t largest = 0;
    for (const auto& [host, bytes] : m_bytes) {
      largest = std::max(largest, bytes);
    }
    return largest;
  }

  TimePoint m_now{ Millis{ 50'000 } };
  bool m_storeIsUp{ true };
  std::set<HostId> m_stopped;
  uint64_t m_storeReads{};
  /// Bytes sent and received by each host.
  std::map<HostId, uint64_t> m_bytes;

private:
  void exchange(HostId aFrom, HostId aTo)
  {
    PeerTracker& sender = *m_hosts[aFrom];
    StatusMessage status = sender.makeStatus(m_now, kRevision);
    if (sender.isAdvertisementDue()) {
      sender.advertiseNeighbours(m_now, status);
    }
    if (send(aFrom, aTo, status)) {
      PeerTracker& receiver = *m_hosts[aTo];
      StatusMessage reply = receiver.makeStatus(m_now, kRevision);
      receiver.advertiseHosts(m_now, status.m_dataCentre, reply);
      send(aTo, aFrom, reply);
    }
  }

  /// Sends a status and returns whether the receiver replies.
  bool send(HostId aFrom, HostId aTo, const StatusMessage& aStatus)
  {
    const auto bytes = encodeStatus(aStatus);
    m_bytes[aFrom] += bytes.size() + kDatagramOverhead;
    const auto to = m_hosts.find(aTo);
    if (to == m_hosts.end() || m_stopped.contains(aTo)) {
      return false;
    }
    m_bytes[aTo] += bytes.size() + kDatagramOverhead;
    const auto decoded = decodeStatus(bytes);
    REQUIRE(decoded.ok());
    return to->second->onStatus(m_now, *decoded, kRevision).m_isReplyDue;
  }

  std::map<HostId, std::unique_ptr<PeerTracker>> m_hosts;
};

} // namespace

TEST_CASE("each data centre elects exactly one reader, and the records of all hosts stay fresh")
{
  FleetSimulation fleet(20);
  fleet.run(Millis{ 10'000 });
  CHECK(fleet.readers().size() == 2);
  CHECK(fleet.maxConfirmationAge() <= kSelfReadAge);
  fleet.m_storeReads = 0;
  fleet.run(Millis{ 10'000 });
  CHECK(fleet.m_storeReads <= 2 * 10 * 10);
}

TEST_CASE("a failed reader is replaced by one host before records exceed the maximum age")
{
  FleetSimulation fleet(20);
  fleet.run(Millis{ 10'000 });
  const HostId failed = *fleet.readers().begin();
  fleet.m_stopped.insert(failed);
  Millis maxAge{};
  for (int step = 0; step < 40; ++step) {
    fleet.run(kTick);
    maxAge = std::max(maxAge, fleet.maxConfirmationAge());
  }
  CHECK(maxAge <= Millis{ 2500 });
  fleet.run(Millis{ 3000 });
  CHECK(fleet.readers().size() == 2);
}

TEST_CASE("control traffic of each host stays within the limit, whether the store is up or down")
{
  FleetSimulation fleet(kHostsPerDataCentre);
  fleet.run(Millis{ 10'000 });
  fleet.m_bytes.clear();
  fleet.run(Millis{ 10'000 });
  CHECK(fleet.maxBytes() <= 10 * kMaxBytesPerSecond);
  fleet.m_storeIsUp = false;
  fleet.run(Millis{ 5000 });
  CHECK(fleet.readers().empty());
  fleet.m_bytes.clear();
  fleet.run(Millis{ 10'000 });
  CHECK(fleet.maxBytes() <= 10 * kMaxBytesPerSecond);
  fleet.m_storeIsUp = true;
  fleet.run(Millis{ 4000 });
  CHECK(fleet.readers().size() == 2);
  CHECK(fleet.maxConfirmationAge() <= kSelfReadAge);
}

TEST_CASE("encoding and decoding a status preserves its flags and the properties of known hosts")
{
  for (const bool isReader : { false, true }) {
    for (const bool isLeaving : { false, true }) {
      const auto status =
        decodeStatus(encodeStatus({ .m_sender = HostId{ 3 },
                                    .m_dataCentre = "near",
                                    .m_isReader = isReader,
                                    .m_isLeaving = isLeaving,
                                    .m_requestsReply = isReader != isLeaving,
                                    .m_knownHosts = { { HostId{ 4 }, "far", 500, isReader },
                                                      { HostId{ 5 }, "near", 38, isLeaving } } }));
      REQUIRE(status.ok());
      CHECK(status->m_isReader == isReader);
      CHECK(status->m_isLeaving == isLeaving);
      CHECK(status->m_requestsReply == (isReader != isLeaving));
      REQUIRE(status->m_knownHosts.size() == 2);
      CHECK(status->m_knownHosts[0].m_host == HostId{ 4 });
      CHECK(status->m_knownHosts[0].m_dataCentre == "far");
      CHECK(status->m_knownHosts[0].m_capacity == 500);
      CHECK(status->m_knownHosts[0].m_isReader == isReader);
      CHECK(status->m_knownHosts[1].m_host == HostId{ 5 });
      CHECK(status->m_knownHosts[1].m_dataCentre == "near");
      CHECK(status->m_knownHosts[1].m_capacity == 38);
      CHECK(status->m_knownHosts[1].m_isReader == isLeaving);
    }
  }
}

TEST_CASE("mutated statuses are rejected or decoded")
{
  const std::vector<uint8_t> bytes =
    encodeStatus({ .m_sender = HostId{ 3 },
                   .m_dataCentre = "near",
                   .m_knownHosts = { { HostId{ 4 }, "far" }, { HostId{ 5 }, "near" } },
                   .m_nominees = { HostId{ 4 } },
                   .m_healthReports = { { 7, HealthSignal::Slow, HostId{ 3 } } },
                   .m_delta = { 1, 2, 3 } });
  REQUIRE(decodeStatus(bytes).ok());
  std::minstd_rand random(5);
  for (int iteration = 0; iteration < 100'000; ++iteration) {
    std::vector<uint8_t> mutated = bytes;
    mutated[random() % mutated.size()] = static_cast<uint8_t>(random());
    mutated[random() % mutated.size()] = static_cast<uint8_t>(random());
    (void)decodeStatus(mutated);
  }
}

TEST_CASE("statuses that are nested deeply or state an impossible age are rejected")
{
  std::vector<uint8_t> nested(100'000, 0x91);
  nested.push_back(0xc0);
  CHECK_FALSE(decodeStatus(nested).ok());
  for (const int64_t age : { std::numeric_limits<int64_t>::max(),
                             std::numeric_limits<int64_t>::min(),
                             int64_t{ -2 } }) {
    CHECK_FALSE(decodeStatus(encodeStatus({ .m_sender = HostId{ 3 },
                                            .m_dataCentre = "near",
                                            .m_confirmationAgeMs = age }))
                  .ok());
  }
}
