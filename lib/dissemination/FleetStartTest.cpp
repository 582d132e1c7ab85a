// Large fleets whose hosts find each other: all at once, and hosts that are added to a fleet that
// runs. Each host starts with three seeds and nothing else.
#include "dissemination/Peers.h"

#include <doctest/doctest.h>
#include <map>
#include <memory>
#include <set>

using namespace tamarack;
using namespace tamarack::dissemination;

namespace {

constexpr Millis kStep{ 20 };
constexpr Millis kTick{ 100 };
constexpr registry::Revision kRevision{ .m_history = 9, .m_number = 4'400'000 };
/// One host in so many of a data centre has half a core, the others a twentieth.
constexpr uint32_t kStrongShare = 20;

/// Hosts, the messages between them, which take one step, and a store that always answers.
class StartingFleet
{
public:
  StartingFleet(uint32_t aDataCentres, uint32_t aHostsPerDataCentre)
    : m_dataCentres(aDataCentres)
  {
    add(aHostsPerDataCentre);
  }

  void add(uint32_t aHostsPerDataCentre)
  {
    for (uint32_t dataCentre = 0; dataCentre < m_dataCentres; ++dataCentre) {
      for (uint32_t index = 0; index < aHostsPerDataCentre; ++index) {
        start(dataCentre, m_perDataCentre + index);
      }
    }
    m_perDataCentre += aHostsPerDataCentre;
  }

  void run(Millis aTime)
  {
    for (const TimePoint end = m_now + aTime; m_now < end; m_now += kStep) {
      for (auto& [host, member] : m_members) {
        if (m_now >= member.m_nextTick) {
          member.m_nextTick = m_now + kTick;
          tick(member);
        }
      }
      deliver();
    }
  }

  [[nodiscard]] std::map<std::string, int> readers() const
  {
    std::map<std::string, int> readers;
    for (const auto& [host, member] : m_members) {
      readers[member.m_dataCentre] += member.m_peers->servesOthers(m_now) ? 1 : 0;
    }
    return readers;
  }

  [[nodiscard]] Millis oldestView() const
  {
    Millis oldest{};
    for (const auto& [host, member] : m_members) {
      oldest = std::max(oldest, m_now - member.m_peers->confirmedAt());
    }
    return oldest;
  }

  [[nodiscard]] size_t mostRemembered() const
  {
    size_t most = 0;
    for (const auto& [host, member] : m_members) {
      most = std::max(most, member.m_peers->size());
    }
    return most;
  }

  void kill(uint32_t aDataCentre, uint32_t aIndex) { m_members.erase(hostOf(aDataCentre, aIndex)); }

  /// Seconds of reading of all hosts since the last call.
  double takeReadingSeconds()
  {
    return static_cast<double>(std::exchange(m_readingTicks, 0) * kTick.count()) / 1000;
  }

private:
  struct Member
  {
    std::unique_ptr<Peers> m_peers;
    std::string m_dataCentre;
    TimePoint m_nextTick;
  };

  struct Message
  {
    HostId m_to;
    Status m_status;
  };

  static HostId hostOf(uint32_t aDataCentre, uint32_t aIndex)
  {
    return HostId{ 0x0a400001 + aDataCentre * 4096 + aIndex };
  }

  void start(uint32_t aDataCentre, uint32_t aIndex)
  {
    const HostId self = hostOf(aDataCentre, aIndex);
    Member member{ .m_dataCentre = "dc-" + std::to_string(aDataCentre),
                   // All start within 0.3 s.
                   .m_nextTick = m_now + kStep * (self.m_value % 15) };
    member.m_peers = std::make_unique<Peers>(
      PeersOptions{ .m_self = self,
                    .m_dataCentre = member.m_dataCentre,
                    .m_capacity = aIndex % kStrongShare == 7 ? 500U : 50U,
                    .m_incarnation = self.m_value,
                    .m_seeds = { hostOf(0, 0), hostOf(m_dataCentres / 2, 1), hostOf(0, 2) } });
    m_members.emplace(self, std::move(member));
  }

  void tick(Member& aMember)
  {
    if (aMember.m_peers->updateReading(m_now)) {
      aMember.m_peers->onRevision(kRevision);
      aMember.m_peers->onOwnConfirmation(m_now);
      ++m_readingTicks;
    }
    send(aMember);
  }

  void send(Member& aMember)
  {
    const auto targets = aMember.m_peers->dueTargets(m_now);
    if (targets.empty()) {
      return;
    }
    Status status = aMember.m_peers->makeStatus(m_now, kRevision);
    if (aMember.m_peers->isNamingDue()) {
      aMember.m_peers->nameNeighbours(m_now, status);
    }
    for (const HostId target : targets) {
      m_sent.push_back({ target, status });
    }
  }

  void deliver()
  {
    for (const Message& message : std::exchange(m_sent, {})) {
      const auto to = m_members.find(message.m_to);
      if (to == m_members.end() || to->second.m_nextTick == TimePoint{}) {
        continue;
      }
      Peers& receiver = *to->second.m_peers;
      receiver.onRevision(kRevision);
      if (receiver.onStatus(m_now, message.m_status, kRevision).m_isAnswerDue) {
        Status answer = receiver.makeStatus(m_now, kRevision);
        receiver.nameHosts(m_now, message.m_status.m_dataCentre, answer);
        m_sent.push_back({ message.m_status.m_sender, std::move(answer) });
      }
      if (receiver.isGreetingDue()) {
        send(to->second);
      }
    }
  }

  TimePoint m_now{ Millis{ 50'000 } };
  uint32_t m_dataCentres;
  uint32_t m_perDataCentre{};
  std::map<HostId, Member> m_members;
  std::vector<Message> m_sent;
  int64_t m_readingTicks{};
};

void
checkSettled(const StartingFleet& aFleet)
{
  for (const auto& entry : aFleet.readers()) {
    CHECK_MESSAGE(entry.second == 1, entry.first);
  }
  CHECK(aFleet.oldestView() <= kOwnReadingAge);
}

} // namespace

TEST_CASE("1,100 hosts in 18 data centres that start at once settle on one reader each")
{
  StartingFleet fleet(18, 61);
  fleet.run(Millis{ 4000 });
  checkSettled(fleet);
  // No more than three readers in each data centre, in the mean of the first four seconds.
  CHECK(fleet.takeReadingSeconds() <= 18 * 3 * 4.0);
  CHECK(fleet.mostRemembered() <= 61 + 17 * kContactsPerDataCentre);
  fleet.run(Millis{ 6000 });
  checkSettled(fleet);
  CHECK(fleet.takeReadingSeconds() <= 18 * 1.1 * 6);
}

TEST_CASE("400 hosts of one data centre that start at once settle on one reader")
{
  StartingFleet fleet(1, 400);
  fleet.run(Millis{ 4000 });
  checkSettled(fleet);
  CHECK(fleet.takeReadingSeconds() <= 3 * 4.0);
}

TEST_CASE("hosts that are added to a large fleet hear a reader at once and read nothing")
{
  // The users' quiet day: 57 hosts are added to 295 in six data centres.
  StartingFleet fleet(6, 49);
  fleet.run(Millis{ 6000 });
  checkSettled(fleet);
  (void)fleet.takeReadingSeconds();
  fleet.add(10);
  fleet.run(Millis{ 1000 });
  checkSettled(fleet);
  fleet.run(Millis{ 5000 });
  checkSettled(fleet);
  CHECK(fleet.takeReadingSeconds() <= 6 * 1.1 * 6);
}

TEST_CASE("hosts that are gone are forgotten, though others may go on naming them")
{
  StartingFleet fleet(2, 12);
  fleet.run(Millis{ 6000 });
  for (uint32_t index = 6; index < 12; ++index) {
    fleet.kill(0, index);
    fleet.kill(1, index);
  }
  // Who heard them last forgets them, and after that who was told of them.
  fleet.run(3 * kForgetPeer);
  checkSettled(fleet);
  CHECK(fleet.mostRemembered() <= 5 + kContactsPerDataCentre);
}
