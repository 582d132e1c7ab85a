// Tests the shares and decisions of one controller for given loads.
#include "overload/AdmissionController.h"

#include <doctest/doctest.h>

#include <array>
#include <cmath>

using namespace tamarack;
using namespace tamarack::overload;

namespace {

constexpr ServiceId kService{ 7 };
constexpr RouteId kHigh{ 1 };
constexpr RouteId kLow{ 2 };
constexpr double kSlots = 100;
constexpr uint64_t kFlows = 20'000;

class Fixture
{
public:
  explicit Fixture(Millis aLowObjective = {}, uint32_t aLowPriority = 2)
    : m_terms{ RouteTerms{ kHigh, 1 }, RouteTerms{ kLow, aLowPriority, aLowObjective } }
  {
    update(20, 20, 0.5 * kSlots, 2'000);
  }

  /// Updates each 100 ms. A request takes 50 ms, so 20 per second use one slot.
  void update(double aHighPerSecond, double aLowPerSecond, double aBusy, int aMillis)
  {
    const auto load = [&](RouteId aRoute, double aRate) {
      return RouteLoad{ .m_route = aRoute,
                        .m_newFlowsPerSecond = aRate,
                        .m_responsesPerSecond = aBusy / 2 / 0.05,
                        .m_busyRequests = aBusy / 2 };
    };
    const LoadReport report{
      { { kService, { load(kHigh, aHighPerSecond), load(kLow, aLowPerSecond) }, {} } }
    };
    updateWith(report, aMillis);
  }

  void updateWith(const LoadReport& aLoad, int aMillis)
  {
    const ServiceRoom room{ kService, kSlots, m_terms };
    for (int elapsed = 0; elapsed < aMillis; elapsed += 100) {
      m_now += Millis{ 100 };
      m_controller.update(m_now, aLoad, { &room, 1 });
    }
  }

  /// Twice the capacity is requested, a quarter of it by the route with the high priority.
  void overload(int aMillis = 1'000) { update(1'000, 3'000, 1.2 * kSlots, aMillis); }

  [[nodiscard]] Admission decide(RouteId aRoute, uint64_t aFlow, uint32_t aCopy = 0) const
  {
    return m_controller.decide({ kService, aRoute, aFlow, aCopy });
  }

  [[nodiscard]] double share(RouteId aRoute, Admission aExpected, uint32_t aCopy = 0) const
  {
    uint64_t count = 0;
    for (uint64_t flow = 0; flow < kFlows; ++flow) {
      count += decide(aRoute, flow, aCopy) == aExpected ? 1 : 0;
    }
    return static_cast<double>(count) / static_cast<double>(kFlows);
  }

  [[nodiscard]] bool isOverloaded() const { return m_controller.services().front().m_isOverloaded; }

  std::array<RouteTerms, 2> m_terms;
  AdmissionController m_controller;
  TimePoint m_now{ Millis{ 1'000'000 } };
};

} // namespace

TEST_CASE("the lower priority is admitted as far as the higher leaves capacity")
{
  Fixture fixture;
  fixture.overload();
  CHECK(fixture.share(kHigh, Admission::Admit) == 1);
  // 95 slots less 50 of the high route, for a demand of 150.
  CHECK(fixture.share(kLow, Admission::Admit) == doctest::Approx(0.3).epsilon(0.05));
  CHECK(fixture.share(kLow, Admission::Defer) == 0);
}

TEST_CASE("the lowest route is not starved when the higher one takes all capacity")
{
  Fixture fixture;
  fixture.update(9'000, 3'000, 1.2 * kSlots, 1'000);
  CHECK(fixture.m_controller.services().front().m_admittedShares.back().second == 0.02);
  CHECK(fixture.share(kLow, Admission::Admit) == doctest::Approx(0.02).epsilon(0.2));
}

TEST_CASE(
  "nothing is refused without queueing, without demand, or one second after the demand fits")
{
  Fixture fixture;
  fixture.update(1'000, 3'000, 1.05 * kSlots, 1'000);
  CHECK_FALSE(fixture.isOverloaded());
  fixture.update(500, 500, 1.5 * kSlots, 1'000);
  CHECK_FALSE(fixture.isOverloaded());
  fixture.overload();
  CHECK(fixture.isOverloaded());
  fixture.update(500, 500, 0.5 * kSlots, 1'000);
  CHECK(fixture.isOverloaded());
  fixture.update(500, 500, 0.5 * kSlots, 100);
  CHECK_FALSE(fixture.isOverloaded());
  CHECK(fixture.share(kLow, Admission::Admit) == 1);
}

TEST_CASE("an unknown load means admission, and rejection resumes when it is known again")
{
  // The other hosts keep the queues short meanwhile, so queueing alone would not restart rejection.
  Fixture fixture;
  fixture.overload();
  fixture.updateWith({}, 100);
  CHECK_FALSE(fixture.isOverloaded());
  CHECK(fixture.share(kLow, Admission::Admit) == 1);
  fixture.update(1'000, 3'000, kSlots, 100);
  CHECK(fixture.isOverloaded());
}

TEST_CASE("services whose routes have the same priority have no state")
{
  Fixture fixture(Millis{}, 1);
  fixture.overload();
  CHECK(fixture.m_controller.services().empty());
  CHECK(fixture.share(kLow, Admission::Admit) == 1);
}

TEST_CASE("without known work, every flow is admitted")
{
  Fixture fixture;
  fixture.m_controller = {};
  fixture.overload();
  CHECK(fixture.share(kLow, Admission::Admit) == 1);
}

TEST_CASE("a report with values that are no numbers does not spoil what was learned")
{
  Fixture fixture;
  fixture.update(NAN, NAN, NAN, 500);
  CHECK(fixture.share(kLow, Admission::Admit) == 1);
  fixture.overload();
  CHECK(fixture.share(kLow, Admission::Admit) == doctest::Approx(0.3).epsilon(0.05));
}

TEST_CASE("hosts with the same view make the same decisions")
{
  Fixture left(Millis{ 2'400 });
  Fixture right(Millis{ 2'400 });
  left.overload();
  right.overload(3'000);
  for (uint64_t flow = 0; flow < kFlows; ++flow) {
    REQUIRE(left.decide(kLow, flow) == right.decide(kLow, flow));
  }
}

TEST_CASE("a copy of a SYN is admitted where the first was, also when the share falls meanwhile")
{
  // A reset would reach a flow that another host has opened.
  for (const Millis objective : { Millis{ 400 }, Millis{ 800 }, Millis{ 2'400 } }) {
    for (const uint32_t copy : { 1U, 2U }) {
      Fixture before(objective);
      before.overload();
      Fixture after = before;
      after.update(1'800, 3'000, 1.2 * kSlots, copy == 1 ? 200 : 600);
      for (uint64_t flow = 0; flow < kFlows; ++flow) {
        if (before.decide(kLow, flow) == Admission::Admit) {
          REQUIRE(after.decide(kLow, flow, copy) == Admission::Admit);
        }
      }
    }
  }
}

TEST_CASE("flows are deferred only within a quarter of the latency objective and with a chance")
{
  const auto deferred = [](Millis aObjective, uint32_t aCopy) {
    Fixture fixture(aObjective);
    fixture.update(400, 3'000, 1.2 * kSlots, 1'000);
    return fixture.share(kLow, Admission::Defer, aCopy) > 0;
  };
  CHECK_FALSE(deferred(Millis{ 0 }, 0));
  CHECK_FALSE(deferred(Millis{ 799 }, 0));
  CHECK(deferred(Millis{ 800 }, 0));
  CHECK_FALSE(deferred(Millis{ 800 }, 1));
  CHECK_FALSE(deferred(Millis{ 2'399 }, 1));
  Fixture fixture(Millis{ 2'400 });
  fixture.update(20, 2'400, 1.2 * kSlots, 1'000);
  CHECK(fixture.share(kLow, Admission::Defer, 1) > 0);
  CHECK(fixture.share(kLow, Admission::Defer, 2) == 0);
  // The share is below 0.25.
  fixture.update(1'700, 3'000, 1.2 * kSlots, 1'000);
  CHECK(fixture.share(kLow, Admission::Defer) == 0);
  CHECK(fixture.share(kLow, Admission::Refuse) > 0.9);
}

TEST_CASE("all copies of deferred SYNs together reach the share of the route, not more")
{
  Fixture fixture(Millis{ 2'400 });
  fixture.update(20, 2'400, 1.2 * kSlots, 2'000);
  const double share = fixture.m_controller.services().front().m_admittedShares.back().second;
  CHECK(share < 1);
  CHECK(fixture.share(kLow, Admission::Admit) < share - 0.1);
  CHECK(fixture.share(kLow, Admission::Admit, 2) == doctest::Approx(share).epsilon(0.03));
}

TEST_CASE("the number of services and routes is bounded")
{
  std::vector<RouteTerms> terms;
  for (uint32_t route = 1; route <= 100; ++route) {
    terms.push_back({ RouteId{ route }, route });
  }
  std::vector<ServiceRoom> rooms;
  for (uint32_t service = 1; service <= 100; ++service) {
    rooms.push_back({ ServiceId{ service }, kSlots, terms });
  }
  AdmissionController controller;
  controller.update(TimePoint{ Millis{ 1'000 } }, {}, rooms);
  CHECK(controller.services().size() == 64);
  CHECK(controller.services().front().m_admittedShares.size() == 32);
  controller.update(TimePoint{ Millis{ 1'100 } }, {}, {});
  CHECK(controller.services().empty());
}
