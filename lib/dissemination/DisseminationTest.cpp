// Hosts of two data centres that exchange statuses by hand: who reads, who is told, and how many
// bytes that takes.
#include "dissemination/Peers.h"

#include <doctest/doctest.h>
#include <map>
#include <memory>
#include <set>

using namespace tamarack;
using namespace tamarack::dissemination;

namespace {

constexpr Millis kStep{ 100 };
/// The design size: hosts of a data centre, and bytes a second of a host's control traffic.
constexpr uint32_t kDesignHosts = 61;
constexpr uint64_t kDesignBytesPerSecond = 13'000;
/// Of IPv4 and UDP.
constexpr uint64_t kDatagramOverhead = 28;
/// Numbers that take as many bytes as those of a fleet that has run for a while.
constexpr uint32_t kFirstAddress = 0x0a400001;
constexpr uint32_t kIncarnation = 0x9abcdef0;
constexpr registry::Revision kRevision{ .m_history = 9, .m_number = 4'400'000 };

/// Hosts, the messages between them, and a store that answers those that may reach it.
class Fleet
{
public:
  explicit Fleet(uint32_t aHostsPerDataCentre)
  {
    const std::vector<HostId> seeds{ HostId{ kFirstAddress }, HostId{ kFirstAddress + 256 } };
    for (uint32_t dataCentre = 0; dataCentre < 2; ++dataCentre) {
      for (uint32_t index = 0; index < aHostsPerDataCentre; ++index) {
        const HostId host{ kFirstAddress + dataCentre * 256 + index };
        m_hosts[host] = std::make_unique<Peers>(
          PeersOptions{ .m_self = host,
                        .m_dataCentre = dataCentre == 0 ? "naivasha" : "fortaleza",
                        .m_capacity = 100,
                        .m_incarnation = kIncarnation,
                        .m_seeds = seeds });
        m_hosts[host]->onRevision(kRevision);
        m_hosts[host]->onOwnConfirmation(m_now);
      }
    }
  }

  void run(Millis aTime)
  {
    for (const TimePoint end = m_now + aTime; m_now < end; m_now += kStep) {
      for (auto& [host, peers] : m_hosts) {
        if (m_dead.contains(host)) {
          continue;
        }
        if (peers->updateReading(m_now) && m_storeIsUp) {
          peers->onOwnConfirmation(m_now);
          ++m_readings;
        }
        for (const HostId target : peers->dueTargets(m_now)) {
          deliver(host, target);
        }
      }
    }
  }

  [[nodiscard]] std::set<HostId> readers() const
  {
    std::set<HostId> readers;
    for (const auto& [host, peers] : m_hosts) {
      if (!m_dead.contains(host) && peers->servesOthers(m_now)) {
        readers.insert(host);
      }
    }
    return readers;
  }

  [[nodiscard]] Millis oldestView() const
  {
    Millis oldest{};
    for (const auto& [host, peers] : m_hosts) {
      if (!m_dead.contains(host)) {
        oldest = std::max(oldest, m_now - peers->confirmedAt());
      }
    }
    return oldest;
  }

  [[nodiscard]] uint64_t mostBytes() const
  {
    uint64_t most = 0;
    for (const auto& [host, bytes] : m_bytes) {
      most = std::max(most, bytes);
    }
    return most;
  }

  TimePoint m_now{ Millis{ 50'000 } };
  bool m_storeIsUp{ true };
  std::set<HostId> m_dead;
  uint64_t m_readings{};
  /// Sent and received, by host.
  std::map<HostId, uint64_t> m_bytes;

private:
  void deliver(HostId aFrom, HostId aTo)
  {
    Peers& sender = *m_hosts[aFrom];
    Status status = sender.makeStatus(m_now, kRevision);
    if (sender.isNamingDue()) {
      sender.nameNeighbours(m_now, status);
    }
    if (send(aFrom, aTo, status)) {
      Peers& receiver = *m_hosts[aTo];
      Status answer = receiver.makeStatus(m_now, kRevision);
      receiver.nameHosts(m_now, status.m_dataCentre, answer);
      send(aTo, aFrom, answer);
    }
  }

  /// Returns whether the receiver answers.
  bool send(HostId aFrom, HostId aTo, const Status& aStatus)
  {
    const auto bytes = encodeStatus(aStatus);
    m_bytes[aFrom] += bytes.size() + kDatagramOverhead;
    const auto to = m_hosts.find(aTo);
    if (to == m_hosts.end() || m_dead.contains(aTo)) {
      return false;
    }
    m_bytes[aTo] += bytes.size() + kDatagramOverhead;
    const auto decoded = decodeStatus(bytes);
    REQUIRE(decoded.ok());
    return to->second->onStatus(m_now, *decoded, kRevision).m_isAnswerDue;
  }

  std::map<HostId, std::unique_ptr<Peers>> m_hosts;
};

} // namespace

TEST_CASE("each data centre settles on one reader, and all views stay fresh")
{
  Fleet fleet(20);
  fleet.run(Millis{ 10'000 });
  CHECK(fleet.readers().size() == 2);
  CHECK(fleet.oldestView() <= kOwnReadingAge);
  fleet.m_readings = 0;
  fleet.run(Millis{ 10'000 });
  CHECK(fleet.m_readings <= 2 * 10 * 10);
}

TEST_CASE("a reader that dies is replaced by one host, within the bounds")
{
  Fleet fleet(20);
  fleet.run(Millis{ 10'000 });
  const HostId dead = *fleet.readers().begin();
  fleet.m_dead.insert(dead);
  Millis oldest{};
  for (int step = 0; step < 40; ++step) {
    fleet.run(kStep);
    oldest = std::max(oldest, fleet.oldestView());
  }
  CHECK(oldest <= Millis{ 2500 });
  fleet.run(Millis{ 3000 });
  CHECK(fleet.readers().size() == 2);
}

TEST_CASE("control traffic of the busiest host stays within the design, with the store up or down")
{
  Fleet fleet(kDesignHosts);
  fleet.run(Millis{ 10'000 });
  fleet.m_bytes.clear();
  fleet.run(Millis{ 10'000 });
  CHECK(fleet.mostBytes() <= 10 * kDesignBytesPerSecond);
  fleet.m_storeIsUp = false;
  fleet.run(Millis{ 5000 });
  CHECK(fleet.readers().empty());
  fleet.m_bytes.clear();
  fleet.run(Millis{ 10'000 });
  CHECK(fleet.mostBytes() <= 10 * kDesignBytesPerSecond);
  fleet.m_storeIsUp = true;
  fleet.run(Millis{ 4000 });
  CHECK(fleet.readers().size() == 2);
  CHECK(fleet.oldestView() <= kOwnReadingAge);
}

TEST_CASE("a status says what is so and whose data centre a host is in")
{
  for (const bool isReader : { false, true }) {
    for (const bool isLeaving : { false, true }) {
      const auto status =
        decodeStatus(encodeStatus({ .m_sender = HostId{ 3 },
                                    .m_dataCentre = "near",
                                    .m_isReader = isReader,
                                    .m_isLeaving = isLeaving,
                                    .m_isAsking = isReader != isLeaving,
                                    .m_known = { { HostId{ 4 }, "far", 500, isReader },
                                                 { HostId{ 5 }, "near", 38, isLeaving } } }));
      REQUIRE(status.ok());
      CHECK(status->m_isReader == isReader);
      CHECK(status->m_isLeaving == isLeaving);
      CHECK(status->m_isAsking == (isReader != isLeaving));
      REQUIRE(status->m_known.size() == 2);
      CHECK(status->m_known[0].m_host == HostId{ 4 });
      CHECK(status->m_known[0].m_dataCentre == "far");
      CHECK(status->m_known[0].m_capacity == 500);
      CHECK(status->m_known[0].m_isReader == isReader);
      CHECK(status->m_known[1].m_host == HostId{ 5 });
      CHECK(status->m_known[1].m_dataCentre == "near");
      CHECK(status->m_known[1].m_capacity == 38);
      CHECK(status->m_known[1].m_isReader == isLeaving);
    }
  }
}

TEST_CASE("mutated statuses are refused or read")
{
  const std::vector<uint8_t> bytes =
    encodeStatus({ .m_sender = HostId{ 3 },
                   .m_dataCentre = "near",
                   .m_known = { { HostId{ 4 }, "far" }, { HostId{ 5 }, "near" } },
                   .m_nominees = { HostId{ 4 } },
                   .m_sightings = { { 7, Sign::Slowness, HostId{ 3 } } },
                   .m_difference = { 1, 2, 3 } });
  REQUIRE(decodeStatus(bytes).ok());
  std::minstd_rand random(5);
  for (int round = 0; round < 100'000; ++round) {
    std::vector<uint8_t> mutated = bytes;
    mutated[random() % mutated.size()] = static_cast<uint8_t>(random());
    mutated[random() % mutated.size()] = static_cast<uint8_t>(random());
    (void)decodeStatus(mutated);
  }
}
