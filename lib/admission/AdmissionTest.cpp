// Tests of admission control: the state of an upstream, the coordinator's budget of grants, and the
// grants that an owner holds.
#include "admission/AdmissionBudget.h"
#include "admission/GrantPool.h"
#include "admission/UpstreamTracker.h"

#include <doctest/doctest.h>
#include <random>

using namespace tamarack;
using namespace tamarack::admission;

namespace {

constexpr TimePoint kStart{ Millis{ 100'000 } };

settings::Limits
makeLimits(uint32_t aFlowsPerSecond = 20)
{
  return { .m_connections = 1000,
           .m_slots = 4,
           .m_coldStart = { .m_duration = Millis{ 20'000 },
                            .m_newFlowsPerSecond = aFlowsPerSecond } };
}

UpstreamReport
warmReport()
{
  return { .m_answered = true, .m_identityMatches = true, .m_run = 1 };
}

/// Delivers the same report every 500 ms from `aFrom` to `aTo`, both included.
void
deliverReports(UpstreamTracker& aTracker,
               TimePoint aFrom,
               TimePoint aTo,
               const UpstreamReport& aReport)
{
  for (TimePoint now = aFrom; now <= aTo; now += Millis{ 500 }) {
    aTracker.onReport(now, aReport);
  }
}

} // namespace

TEST_CASE("a cold start ends only after its whole duration of answered probes")
{
  UpstreamTracker tracker(makeLimits());
  tracker.startCold(kStart);
  deliverReports(tracker, kStart, kStart + Millis{ 19'000 }, warmReport());
  CHECK(tracker.evaluate(kStart + Millis{ 19'000 }).m_mode == Mode::Metered);
  deliverReports(tracker, kStart + Millis{ 19'500 }, kStart + Millis{ 20'500 }, warmReport());
  CHECK(tracker.evaluate(kStart + Millis{ 20'500 }).m_mode == Mode::Open);
}

TEST_CASE("a failed probe restarts the duration of a cold start")
{
  UpstreamTracker tracker(makeLimits());
  tracker.startCold(kStart);
  deliverReports(tracker, kStart, kStart + Millis{ 15'000 }, warmReport());
  tracker.onReport(kStart + Millis{ 15'500 }, {});
  deliverReports(tracker, kStart + Millis{ 16'000 }, kStart + Millis{ 30'000 }, warmReport());
  CHECK(tracker.evaluate(kStart + Millis{ 30'000 }).m_cold);
}

TEST_CASE("a warm upstream becomes cold when it reports a cold start or has restarted")
{
  UpstreamTracker tracker(makeLimits());
  tracker.assumeWarm(kStart);
  tracker.onReport(kStart, warmReport());
  CHECK(tracker.evaluate(kStart).m_mode == Mode::Open);
  UpstreamReport report = warmReport();
  SUBCASE("it reports a cold start")
  {
    report.m_claimsCold = true;
  }
  SUBCASE("it restarted")
  {
    report.m_run = 2;
  }
  tracker.onReport(kStart + Millis{ 500 }, report);
  CHECK(tracker.evaluate(kStart + Millis{ 500 }).m_mode == Mode::Metered);
  CHECK(tracker.evaluate(kStart + Millis{ 500 }).m_cold);
}

TEST_CASE("failing probes or missing reports close an upstream, and an answer reopens it")
{
  UpstreamTracker tracker(makeLimits());
  tracker.assumeWarm(kStart);
  deliverReports(tracker, kStart, kStart + Millis{ 1000 }, warmReport());
  SUBCASE("all probes fail")
  {
    deliverReports(tracker, kStart + Millis{ 1500 }, kStart + Millis{ 2500 }, {});
  }
  SUBCASE("no report arrives") {}
  CHECK(tracker.evaluate(kStart + Millis{ 1600 }).m_mode == Mode::Open);
  CHECK(tracker.evaluate(kStart + Millis{ 4100 }).m_lost);
  tracker.onReport(kStart + Millis{ 4500 }, warmReport());
  CHECK(tracker.evaluate(kStart + Millis{ 4500 }).m_mode == Mode::Open);
}

// KNOWN-RED.txt, entry 19.
TEST_CASE("one failed probe before reports stop does not count as probes that fail for a second" *
          doctest::may_fail())
{
  UpstreamTracker tracker(makeLimits());
  tracker.assumeWarm(kStart);
  deliverReports(tracker, kStart, kStart + Millis{ 1000 }, warmReport());
  tracker.onReport(kStart + Millis{ 1500 }, {});
  CHECK(tracker.evaluate(kStart + Millis{ 2600 }).m_mode == Mode::Open);
  CHECK(tracker.evaluate(kStart + Millis{ 3900 }).m_mode == Mode::Open);
  // Without any report, the upstream is lost kReportTimeout after its last answer.
  CHECK(tracker.evaluate(kStart + Millis{ 4100 }).m_lost);
}

TEST_CASE("an answer of another generation counts as a failed probe")
{
  UpstreamTracker tracker(makeLimits());
  tracker.assumeWarm(kStart);
  UpstreamReport report = warmReport();
  report.m_identityMatches = false;
  deliverReports(tracker, kStart, kStart + Millis{ 3000 }, report);
  CHECK(tracker.evaluate(kStart + Millis{ 3000 }).m_lost);
}

TEST_CASE("an upstream that sheds load or is full stays closed for the busy hold time")
{
  UpstreamTracker tracker(makeLimits());
  tracker.assumeWarm(kStart);
  UpstreamReport report = warmReport();
  SUBCASE("it sheds load")
  {
    report.m_sheds = true;
  }
  SUBCASE("it has reached its connection limit")
  {
    report.m_connections = 1000;
  }
  tracker.onReport(kStart, report);
  CHECK(tracker.evaluate(kStart).m_busy);
  tracker.onReport(kStart + Millis{ 500 }, warmReport());
  CHECK(tracker.evaluate(kStart + Millis{ 500 }).m_busy);
  tracker.onReport(kStart + Millis{ 1500 }, warmReport());
  CHECK(tracker.evaluate(kStart + Millis{ 1500 }).m_mode == Mode::Open);
}

TEST_CASE("an upstream near its connection limit is metered")
{
  UpstreamTracker tracker(makeLimits());
  tracker.assumeWarm(kStart);
  UpstreamReport report = warmReport();
  report.m_connections = 900;
  tracker.onReport(kStart, report);
  CHECK(tracker.evaluate(kStart).m_mode == Mode::Metered);
  CHECK_FALSE(tracker.evaluate(kStart).m_cold);
}

TEST_CASE("admissions stay within the limit in every second, whenever owners use their grants")
{
  for (const uint32_t limit : { 5U, 20U, 200U }) {
    std::mt19937_64 random(limit);
    AdmissionBudget budget;
    std::array<GrantPool, 4> pools;
    std::deque<TimePoint> admitted;
    size_t most = 0;
    size_t total = 0;
    for (TimePoint now = kStart; now < kStart + Millis{ 60'000 }; now += Millis{ 10 }) {
      GrantPool& pool = pools[random() % pools.size()];
      // Grants accumulate between bursts of new flows and are then used at once.
      const bool isBurst = now.time_since_epoch().count() / 700 % 3 == 0;
      for (uint64_t flow = isBurst ? random() % 20 : 0; flow > 0; --flow) {
        if (pool.tryConsume(now)) {
          admitted.push_back(now);
          ++total;
        }
      }
      while (!admitted.empty() && now - admitted.front() >= Millis{ 1000 }) {
        admitted.pop_front();
      }
      most = std::max(most, admitted.size());
      const uint32_t requested = pool.takeDemand(now);
      if (requested > 0) {
        const AdmissionBudget::GrantConditions conditions{ .m_voteShare = 1.0, .m_cold = true };
        pool.add({ .m_count = budget.grant(now, requested, makeLimits(limit), conditions),
                   .m_requestedAt = now });
      }
    }
    CHECK(most <= limit);
    CHECK(total > limit);
  }
}

TEST_CASE("the grants of both sides of a partition together stay within the limit")
{
  AdmissionBudget left;
  AdmissionBudget right;
  std::deque<std::pair<TimePoint, uint32_t>> granted;
  uint32_t recent = 0;
  for (TimePoint now = kStart; now < kStart + Millis{ 20'000 }; now += Millis{ 20 }) {
    const uint32_t count =
      left.grant(now, 100, makeLimits(), { .m_voteShare = 5.0 / 8, .m_cold = true }) +
      right.grant(now, 100, makeLimits(), { .m_voteShare = 3.0 / 8, .m_cold = true });
    granted.emplace_back(now, count);
    recent += count;
    while (now - granted.front().first >= Millis{ 1000 } + kGrantLifetime) {
      recent -= granted.front().second;
      granted.pop_front();
    }
    CHECK(recent <= 20);
  }
}

TEST_CASE("a coordinator without votes grants nothing")
{
  AdmissionBudget budget;
  for (TimePoint now = kStart; now < kStart + Millis{ 5000 }; now += Millis{ 100 }) {
    CHECK(budget.grant(now, 10, makeLimits(), { .m_voteShare = 0.0, .m_cold = true }) == 0);
  }
}

TEST_CASE("grants for a warm upstream stop at its connection limit")
{
  AdmissionBudget budget;
  const AdmissionBudget::GrantConditions conditions{ .m_voteShare = 1.0, .m_connections = 990 };
  CHECK(budget.grant(kStart, 6, makeLimits(), conditions) == 6);
  CHECK(budget.grant(kStart, 6, makeLimits(), conditions) == 4);
  CHECK(budget.grant(kStart, 6, makeLimits(), conditions) == 0);
}

TEST_CASE("a grant expires at its lifetime, counted from the request")
{
  GrantPool pool;
  CHECK_FALSE(pool.tryConsume(kStart));
  CHECK(pool.takeDemand(kStart) == 1);
  pool.add({ .m_count = 2, .m_requestedAt = kStart });
  CHECK(pool.tryConsume(kStart + Millis{ 399 }));
  CHECK_FALSE(pool.tryConsume(kStart + Millis{ 400 }));
}
