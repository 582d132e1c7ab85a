// Tests of the messages that the exchange of load adds: followers report more often while a service
// is short of slots, and readers of different data centres send each other their status.
#include "dissemination/PeerTracker.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace tamarack;
using namespace tamarack::dissemination;

namespace {

constexpr registry::Revision kRevision{ .m_number = 7 };
constexpr HostId kSelf{ 1 };
constexpr HostId kNeighbour{ 2 };
constexpr HostId kFirstRemote{ 100 };

/// A host that receives a status of its neighbour, and of hosts of other data centres, every 500 ms
/// and counts the statuses that it sends in return.
class Fixture
{
public:
  explicit Fixture(bool aIsReader)
    : m_isReader(aIsReader)
  {
  }

  /// Runs for `aTime` and returns the targets of all statuses sent in that time.
  std::vector<HostId> run(Millis aTime)
  {
    std::vector<HostId> targets;
    for (const TimePoint end = m_now + aTime; m_now < end; m_now += Millis{ 100 }) {
      if ((m_now - TimePoint{}) % Millis{ 500 } == Millis{}) {
        receiveStatuses();
      }
      if (m_tracker.updateReaderRole(m_now)) {
        m_tracker.onStoreConfirmation(m_now);
      }
      std::ranges::copy(m_tracker.dueTargets(m_now), std::back_inserter(targets));
    }
    return targets;
  }

  TimePoint m_now{ Millis{ 50'000 } };
  /// Number of other data centres, and of hosts in each of them that send statuses.
  uint32_t m_remoteDataCentres{};
  uint32_t m_hostsPerRemote{ 3 };
  bool m_areRemoteReadersLive{ true };
  PeerTracker m_tracker{ { .m_self = kSelf,
                           .m_dataCentre = "near",
                           .m_capacity = 100,
                           .m_incarnation = 1,
                           .m_seeds = { kSelf } } };

private:
  void receive(HostId aSender, const std::string& aDataCentre, bool aIsReader)
  {
    StatusMessage status{ .m_sender = aSender,
                          .m_dataCentre = aDataCentre,
                          .m_incarnation = 1,
                          .m_capacity = 50,
                          .m_isReader = aIsReader,
                          .m_revision = kRevision,
                          .m_confirmationAgeMs = aIsReader ? 0 : -1 };
    m_tracker.onRevision(kRevision);
    m_tracker.onStatus(m_now, status, kRevision);
  }

  void receiveStatuses()
  {
    receive(kNeighbour, "near", !m_isReader);
    for (uint32_t index = 0; index < m_remoteDataCentres; ++index) {
      for (uint32_t host = 0; host < m_hostsPerRemote; ++host) {
        receive(HostId{ kFirstRemote.m_value + 10 * index + host },
                "far-" + std::to_string(index),
                host == 0 && m_areRemoteReadersLive);
      }
    }
  }

  bool m_isReader;
};

auto
countTo(const std::vector<HostId>& aTargets, HostId aHost)
{
  return std::ranges::count(aTargets, aHost);
}

} // namespace

TEST_CASE("a follower reports every second, and every 500 ms while a service is short of slots")
{
  Fixture follower(false);
  follower.run(Millis{ 5000 });
  CHECK(countTo(follower.run(Millis{ 10'000 }), kNeighbour) == 10);
  follower.m_tracker.setLoadExchange({ .m_isEnabled = true });
  CHECK(countTo(follower.run(Millis{ 10'000 }), kNeighbour) == 10);
  follower.m_tracker.setLoadExchange({ .m_isEnabled = true, .m_isUrgent = true });
  CHECK(countTo(follower.run(Millis{ 10'000 }), kNeighbour) == 20);
  follower.m_tracker.setLoadExchange({ .m_isEnabled = false, .m_isUrgent = true });
  CHECK(countTo(follower.run(Millis{ 10'000 }), kNeighbour) == 10);
}

TEST_CASE(
  "followers of a large data centre report less often; the reader's traffic would exceed its "
  "limit")
{
  for (const auto& [reports, statuses] :
       { std::pair(20U, 20), std::pair(30U, 13), std::pair(61U, 10) }) {
    Fixture follower(false);
    follower.m_tracker.setLoadExchange(
      { .m_isEnabled = true, .m_isUrgent = true, .m_serviceReports = reports });
    follower.run(Millis{ 5000 });
    const auto sent = countTo(follower.run(Millis{ 10'000 }), kNeighbour);
    CHECK(sent <= statuses);
    CHECK(sent >= statuses - 1);
  }
}

TEST_CASE("a reader sends its status to the readers of other data centres only with load exchange")
{
  Fixture reader(true);
  reader.m_remoteDataCentres = 2;
  reader.run(Millis{ 5000 });
  REQUIRE(reader.m_tracker.isActiveReader(reader.m_now));
  CHECK(countTo(reader.run(Millis{ 10'000 }), kFirstRemote) == 0);
  reader.m_tracker.setLoadExchange({ .m_isEnabled = true });
  const auto targets = reader.run(Millis{ 10'000 });
  CHECK(countTo(targets, kFirstRemote) == 20);
  CHECK(countTo(targets, HostId{ kFirstRemote.m_value + 10 }) == 20);
  CHECK(countTo(targets, HostId{ kFirstRemote.m_value + 1 }) == 0);
}

TEST_CASE("a follower sends nothing to other data centres because of the load exchange")
{
  Fixture follower(false);
  follower.m_remoteDataCentres = 2;
  follower.m_tracker.setLoadExchange({ .m_isEnabled = true, .m_isUrgent = true });
  follower.run(Millis{ 5000 });
  CHECK(countTo(follower.run(Millis{ 10'000 }), kFirstRemote) == 0);
}

TEST_CASE("statuses to other data centres are bounded, also if their readers are unknown")
{
  Fixture reader(true);
  reader.m_remoteDataCentres = 25;
  reader.m_tracker.setLoadExchange({ .m_isEnabled = true });
  reader.run(Millis{ 5000 });
  for (const bool areReadersLive : { true, false }) {
    reader.m_areRemoteReadersLive = areReadersLive;
    reader.run(Millis{ 3000 });
    const auto targets = reader.run(Millis{ 10'000 });
    CHECK(std::ranges::count_if(targets, [](HostId aHost) { return aHost >= kFirstRemote; }) ==
          20 * kMaxRemoteReaders);
  }
}

TEST_CASE("each known host of a data centre is tried in turn until its reader answers")
{
  Fixture reader(true);
  reader.m_remoteDataCentres = 1;
  reader.m_areRemoteReadersLive = false;
  reader.m_tracker.setLoadExchange({ .m_isEnabled = true });
  reader.run(Millis{ 5000 });
  const auto targets = reader.run(Millis{ 3000 });
  for (uint32_t host = 0; host < 3; ++host) {
    CHECK(countTo(targets, HostId{ kFirstRemote.m_value + host }) == 2);
  }
}

TEST_CASE("a reply names the known readers, so that readers of other data centres find each other")
{
  Fixture reader(true);
  reader.m_remoteDataCentres = 4;
  reader.run(Millis{ 5000 });
  const auto namesReaders = [&] {
    StatusMessage reply = reader.m_tracker.makeStatus(reader.m_now, kRevision);
    reader.m_tracker.advertiseHosts(reader.m_now, "far-0", reply);
    return std::ranges::count(reply.m_knownHosts, true, &KnownHost::m_isReader);
  };
  reader.m_tracker.setLoadExchange({ .m_isEnabled = true });
  CHECK(namesReaders() == 4);
}
