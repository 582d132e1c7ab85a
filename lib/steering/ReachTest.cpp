// A data centre that is cut off: what the callers of a host show of it, and where new flows go.
#include "steering/SteeringFixture.h"

#include <doctest/doctest.h>

using namespace tamarack;
using namespace tamarack::steering;

namespace {

constexpr uint64_t kLocal = 4;
constexpr uint64_t kFar = 10;

/// Callers of a host whose far data centre may be cut off: 20 new flows a second, a copy of an
/// opening packet after 200 ms and another after 600 ms.
class Load
{
public:
  Load()
  {
    for (uint64_t identity = 1; identity <= kLocal; ++identity) {
      m_fixture.addUpstream(Fixture::record(identity));
    }
    for (uint64_t identity = 1; identity <= kFar; ++identity) {
      m_fixture.addUpstream(Fixture::record(100 + identity, "far"));
    }
    // The near upstreams are not enough: those of the data centre were twice as many lately.
    for (uint64_t identity = 51; identity <= 50 + kLocal; ++identity) {
      m_fixture.addUpstream(Fixture::record(identity));
    }
    m_fixture.wait(Millis{ 100 });
    for (uint64_t identity = 51; identity <= 50 + kLocal; ++identity) {
      m_fixture.removeUpstream(identity);
    }
  }

  /// Plays callers for a while. Returns how many flows were not served at their first opening
  /// packet.
  int play(Millis aTime)
  {
    int late = 0;
    for (const TimePoint end = m_fixture.m_now + aTime; m_fixture.m_now < end;) {
      m_fixture.wait(Millis{ 50 });
      repeat(late);
      const uint16_t port = ++m_port;
      const Choice choice = m_fixture.decide(m_fixture.opening(port));
      settle(port, choice, 0, late);
    }
    return late;
  }

  [[nodiscard]] bool isFar(Token aToken) { return !m_fixture.upstream(aToken).isLocal(); }

  Fixture m_fixture;
  bool m_isCut{};

private:
  struct Waiting
  {
    uint16_t m_port{};
    uint32_t m_copies{};
    TimePoint m_nextAt;
  };

  void settle(uint16_t aPort, const Choice& aChoice, uint32_t aCopies, int& aLate)
  {
    const bool isServed =
      aChoice.m_action == Action::Forward && !(m_isCut && isFar(aChoice.m_token));
    if (isServed) {
      m_fixture.goOn(aPort, aChoice.m_token);
      return;
    }
    aLate += aCopies == 0 ? 1 : 0;
    if (aCopies < 2) {
      m_waiting.push_back(
        { aPort, aCopies + 1, m_fixture.m_now + (aCopies == 0 ? Millis{ 200 } : Millis{ 400 }) });
    }
  }

  void repeat(int& aLate)
  {
    for (const Waiting& waiting : std::exchange(m_waiting, {})) {
      if (m_fixture.m_now < waiting.m_nextAt) {
        m_waiting.push_back(waiting);
        continue;
      }
      const Choice choice =
        m_fixture.decide(m_fixture.opening(waiting.m_port, kSafePort, waiting.m_copies));
      settle(waiting.m_port, choice, waiting.m_copies, aLate);
    }
  }

  uint16_t m_port{ 1000 };
  std::vector<Waiting> m_waiting;
};

} // namespace

TEST_CASE("new flows leave a data centre that is cut off, and come back when it is reached")
{
  Load load;
  CHECK(load.play(Millis{ 3000 }) == 0);
  load.m_isCut = true;
  load.play(Millis{ 1500 });
  // Half of the flows went there. Of 60 in three seconds, trials every 300 ms are left at most.
  CHECK(load.play(Millis{ 3000 }) <= 10);
  load.m_isCut = false;
  load.play(Millis{ 1500 });
  CHECK(load.play(Millis{ 2000 }) == 0);
  int far = 0;
  for (uint16_t port = 1; port <= 40; ++port) {
    far += load.isFar(load.m_fixture.open(port)) ? 1 : 0;
  }
  CHECK(far >= 10);
}

TEST_CASE("one silent upstream among others that answer loses nobody a data centre")
{
  Fixture fixture;
  fixture.addUpstream(Fixture::record(101, "far"));
  fixture.addUpstream(Fixture::record(102, "far"));
  Reach& reach = fixture.m_directory.dataCentres().at("far")->m_reach;
  for (int round = 0; round < 20; ++round) {
    fixture.wait(Millis{ 100 });
    CHECK_FALSE(reach.onSilence(fixture.m_now));
    reach.onSilence(fixture.m_now);
    reach.onLife();
  }
  CHECK_FALSE(reach.isLost(fixture.m_now));
}

TEST_CASE("repeated packets in one instant lose nobody a data centre")
{
  Reach reach;
  for (int repeat = 0; repeat < 20; ++repeat) {
    CHECK_FALSE(reach.onSilence(kStart));
  }
  CHECK_FALSE(reach.isLost(kStart));
  CHECK(reach.onSilence(kStart + kSpanOfLoss));
  CHECK(reach.isLost(kStart + kSpanOfLoss));
  CHECK_FALSE(reach.isLost(kStart + kSpanOfLoss + kLossBelief));
  // Then one flow at a time.
  reach.onTried(kStart + kSpanOfLoss + kLossBelief);
  CHECK(reach.isLost(kStart + kSpanOfLoss + kLossBelief + Millis{ 100 }));
}
