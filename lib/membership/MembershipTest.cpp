// Tests of liveness, map leases and votes.
#include "membership/Membership.h"

#include <doctest/doctest.h>

using namespace tamarack;
using namespace tamarack::membership;

namespace {

constexpr HostId kSelf{ 1 };
constexpr HostId kPeer{ 2 };
constexpr HostId kOther{ 3 };
constexpr ServiceId kService{ 7 };
constexpr TimePoint kStart{ Millis{ 100'000 } };

Heartbeat
makeHeartbeat(HostId aFrom, TimePoint aSentAt, TimePoint aEcho = {})
{
  return { .m_from = aFrom,
           .m_incarnation = 5,
           .m_sentAt = aSentAt,
           .m_echo = aEcho,
           .m_hasCompleteMap = true,
           .m_viewStable = true };
}

struct Fixture
{
  EventLog m_events;
  Membership m_members{ MembershipOptions{ .m_self = kSelf, .m_dataCentre = "a" }, m_events };
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "a map lease counts from the send time of the echoed frame")
{
  // The echo arrives 700 ms after the frame was sent, so most of the lease has passed.
  m_members.onHeartbeat(kStart + Millis{ 700 }, makeHeartbeat(kPeer, kStart, kStart));
  CHECK_FALSE(m_members.hasLease(kPeer, kStart + Millis{ 700 }));
  m_members.renewLease(kPeer);
  CHECK(m_members.hasLease(kPeer, kStart + Millis{ 700 }));
  CHECK(m_members.hasLease(kPeer, kStart + kMapLease - Millis{ 1 }));
  CHECK_FALSE(m_members.hasLease(kPeer, kStart + kMapLease));
}

TEST_CASE_FIXTURE(
  Fixture,
  "a host that is silent beyond the failure timeout is lost, and recovers when heard")
{
  Heartbeat heartbeat = makeHeartbeat(kPeer, kStart, kStart);
  heartbeat.m_votes = { kService };
  m_members.onHeartbeat(kStart, heartbeat);
  CHECK(m_members.voteShare(kStart, kService) == 1.0);
  CHECK(m_members.expirePeers(kStart + kFailureTimeout).empty());
  CHECK(m_members.expirePeers(kStart + kFailureTimeout + Millis{ 1 }) == std::vector{ kPeer });
  CHECK_FALSE(m_members.isAlive(kPeer));
  const auto outcome =
    m_members.onHeartbeat(kStart + Millis{ 9000 }, makeHeartbeat(kPeer, kStart + Millis{ 9000 }));
  CHECK(outcome.m_recovered);
  CHECK_FALSE(outcome.m_newIncarnation);
}

TEST_CASE_FIXTURE(Fixture,
                  "a host votes for another coordinator only after its last vote has expired")
{
  CHECK(m_members.castVote(kStart, kService, kPeer));
  CHECK_FALSE(m_members.castVote(kStart + Millis{ 500 }, kService, kOther));
  CHECK(m_members.castVote(kStart + Millis{ 500 }, kService, kPeer));
  CHECK_FALSE(m_members.castVote(kStart + Millis{ 1400 }, kService, kOther));
  CHECK(m_members.castVote(kStart + Millis{ 1500 }, kService, kOther));
}

TEST_CASE_FIXTURE(Fixture,
                  "votes expire counted from the echo, and silent listed hosts count as voters")
{
  const ListedHost listed[] = { { kSelf, "a" }, { kPeer, "a" }, { kOther, "b" } };
  m_members.onHostList(kStart, listed);
  Heartbeat heartbeat = makeHeartbeat(kPeer, kStart, kStart);
  heartbeat.m_votes = { kService };
  m_members.onHeartbeat(kStart + Millis{ 400 }, heartbeat);
  CHECK(m_members.voteShare(kStart + Millis{ 500 }, kService) == doctest::Approx(2.0 / 3));
  CHECK(m_members.voteShare(kStart + kVoteLease, kService) == doctest::Approx(1.0 / 3));
}

TEST_CASE_FIXTURE(
  Fixture,
  "a frame of a former incarnation is rejected, and a reordered one changes nothing")
{
  m_members.onHeartbeat(kStart, makeHeartbeat(kPeer, kStart));
  Heartbeat former = makeHeartbeat(kPeer, kStart + Millis{ 10 });
  former.m_incarnation = 4;
  CHECK_FALSE(m_members.onHeartbeat(kStart, former).m_accepted);
  Heartbeat reordered = makeHeartbeat(kPeer, kStart - Millis{ 50 });
  reordered.m_leaving = true;
  CHECK(m_members.onHeartbeat(kStart, reordered).m_accepted);
  CHECK_FALSE(m_members.find(kPeer)->m_leaving);
}

TEST_CASE_FIXTURE(Fixture,
                  "only hosts that have a stable view and are not leaving become coordinator")
{
  m_members.onHeartbeat(kStart, makeHeartbeat(kPeer, kStart));
  CHECK(m_members.coordinatorOf(kService) == kPeer);
  m_members.setViewStable(true);
  CHECK(m_members.candidates() == std::vector{ kPeer });
  m_members.setHasCompleteMap();
  m_members.setViewStable(true);
  CHECK(m_members.candidates() == std::vector{ kSelf, kPeer });
  Heartbeat leaving = makeHeartbeat(kPeer, kStart + Millis{ 1 });
  leaving.m_leaving = true;
  m_members.onHeartbeat(kStart, leaving);
  CHECK(m_members.coordinatorOf(kService) == kSelf);
}

TEST_CASE_FIXTURE(Fixture,
                  "discovered peers are added but count as alive only after they were heard")
{
  const ListedHost discovered[] = { { kOther, "b" } };
  m_members.addDiscoveredPeers(discovered);
  CHECK(m_members.peers().contains(kOther));
  CHECK_FALSE(m_members.isAlive(kOther));
  CHECK(m_members.isAlone());
}
