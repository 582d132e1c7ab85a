// Tests that an upstream which takes no new flows keeps those that it has, and that an upstream
// which has died does not.
#include "edge/HeartbeatFixture.h"

using namespace tamarack;
using namespace tamarack::edge;

namespace {

constexpr uint16_t kUsers = 6;

/// Runs upstreams 1 to 4. The users have a flow each, on both hosts, to upstream 1.
class CrowdFixture : public HeartbeatFixture
{
public:
  /// `aPublishesHeartbeats` says whether the store publishes heartbeats that change nothing.
  explicit CrowdFixture(bool aPublishesHeartbeats = true)
  {
    start(record(1));
    advance(Millis{ 2000 });
    if (!aPublishesHeartbeats) {
      publishChangesOnly(2);
    }
    for (uint16_t user = 1; user <= 2 * kUsers; ++user) {
      REQUIRE(openFlow(hostOf(user), user) == 1);
      CHECK(sendRequest(hostOf(user), user));
      acknowledgeResponse(hostOf(user), user);
    }
    for (uint64_t identity = 2; identity <= 4; ++identity) {
      start(record(identity));
    }
    advance(Millis{ 4000 });
  }

  Host& hostOf(uint16_t aUser) { return aUser <= kUsers ? reader() : follower(); }

  /// Callers open flows for `aTime`, and those at upstream 1 get no answer. They repeat their SYNs
  /// after 200 ms and 600 ms.
  void pressUnanswered(Millis aTime)
  {
    struct Attempt
    {
      uint16_t m_caller;
      uint32_t m_copies;
      TimePoint m_nextAt;
    };
    std::vector<Attempt> attempts;
    for (const TimePoint end = m_now + aTime; m_now < end;) {
      for (int count = 0; count < 12; ++count) {
        const uint64_t identity = sendSyn(hostOf(count % 2 == 0 ? 1 : 2 * kUsers), ++m_caller);
        if (identity == 1) {
          attempts.push_back({ m_caller, 0, m_now + Millis{ 200 } });
        } else if (identity != 0) {
          completeHandshake(hostOf(count % 2 == 0 ? 1 : 2 * kUsers), m_caller);
        }
      }
      for (Attempt& attempt : attempts) {
        if (m_now >= attempt.m_nextAt && attempt.m_copies < 2) {
          ++attempt.m_copies;
          attempt.m_nextAt = m_now + Millis{ 400 };
          (void)sendSyn(reader(), attempt.m_caller, kFeedPort, attempt.m_copies);
          (void)sendSyn(follower(), attempt.m_caller, kFeedPort, attempt.m_copies);
        }
      }
      exchangeReports();
      advance(kTestTick);
    }
  }

  /// The hosts, and three more that see the same, tell each other what they observe.
  void exchangeReports()
  {
    for (Host* from : { &reader(), &follower() }) {
      const auto status = dissemination::decodeStatus(from->makeStatus(m_now));
      REQUIRE(status.ok());
      from->onStatusPushed();
      for (Host* target : { &reader(), &follower() }) {
        if (target == from) {
          continue;
        }
        (void)target->onStatus(m_now, *status);
        for (uint32_t index = 2; index < 5; ++index) {
          dissemination::StatusMessage copy = *status;
          copy.m_sender = HostId{ 0x0a400001 + index };
          for (dissemination::HealthReport& report : copy.m_healthReports) {
            report.m_reporter = copy.m_sender;
          }
          copy.m_delta.clear();
          (void)target->onStatus(m_now, copy);
        }
      }
    }
  }

  uint16_t m_caller{ 1000 };
};

} // namespace

TEST_CASE("requests on open flows are not reset while their upstream is full and answers no SYN")
{
  // Guards against review case 5: copies of SYNs were taken for a failure of the upstream.
  CrowdFixture fixture;
  for (uint16_t user = 1; user <= 2 * kUsers; ++user) {
    CHECK(fixture.sendRequest(fixture.hostOf(user), user));
  }
  fixture.pressUnanswered(Millis{ 1500 });
  CHECK(fixture.resets().empty());
  CHECK(fixture.countLogged(EventId::UpstreamAvoided) > 0);
  for (uint16_t user = 1; user <= 2 * kUsers; ++user) {
    fixture.acknowledgeResponse(fixture.hostOf(user), user);
    CHECK(fixture.sendRequest(fixture.hostOf(user), user));
  }
}

TEST_CASE(
  "requests on open flows are not reset while their upstream is full and its entry does not "
  "change")
{
  // The store does not publish heartbeats that change nothing, while the entry of upstream 2
  // changes.
  CrowdFixture fixture(false);
  for (uint16_t user = 1; user <= 2 * kUsers; ++user) {
    CHECK(fixture.sendRequest(fixture.hostOf(user), user));
  }
  fixture.pressUnanswered(Millis{ 3500 });
  CHECK(fixture.resets().empty());
}

TEST_CASE("new flows avoid an upstream that answers no SYN")
{
  CrowdFixture fixture;
  fixture.pressUnanswered(Millis{ 1500 });
  int flows = 0;
  for (uint16_t caller = 50'000; caller < 50'040; ++caller) {
    flows += fixture.sendSyn(fixture.hostOf(caller % 2 == 0 ? 1 : 2 * kUsers), caller) == 1 ? 1 : 0;
  }
  CHECK(flows <= 2);
}

TEST_CASE("requests that an upstream had acknowledged before it died are reset within four seconds")
{
  // Their callers have nothing to retransmit. SYNs are unanswered, and the entry expires.
  for (const bool publishesHeartbeats : { true, false }) {
    CrowdFixture fixture(publishesHeartbeats);
    for (uint16_t user = 1; user <= 2 * kUsers; ++user) {
      CHECK(fixture.sendRequest(fixture.hostOf(user), user));
    }
    fixture.crash(1);
    fixture.pressUnanswered(Millis{ 4000 });
    CHECK(fixture.resets().size() == 2 * kUsers);
  }
}

TEST_CASE("a request to an upstream that has died is reset at its second copy at the latest")
{
  CrowdFixture fixture;
  fixture.crash(1);
  for (uint16_t user = 1; user <= 2 * kUsers; ++user) {
    CHECK(fixture.sendRequest(fixture.hostOf(user), user));
  }
  fixture.advance(Millis{ 200 });
  for (uint16_t user = 1; user <= 2 * kUsers; ++user) {
    (void)fixture.sendRequest(fixture.hostOf(user), user);
  }
  fixture.advance(Millis{ 400 });
  for (uint16_t user = 1; user <= 2 * kUsers; ++user) {
    const bool isForwarded = fixture.sendRequest(fixture.hostOf(user), user);
    CHECK((!isForwarded || fixture.resets().contains(user)));
  }
}
