// Tests how new flows are spread over data centres, services and upstreams, with a queue model.
#include "base/Hash.h"
#include "steering/QueueModel.h"

#include <doctest/doctest.h>

#include <deque>

using namespace tamarack;
using namespace tamarack::steering;

namespace {

constexpr Millis kTick{ 100 };
constexpr Millis kReportInterval{ 500 };
/// A report covers kReportInterval and arrives this much later, so that the mean age of what it
/// describes is 1 s at its arrival.
constexpr Millis kReportDelay{ 750 };
constexpr Millis kStepStart{ 10'000 };
constexpr Millis kStepEnd{ 45'000 };
constexpr Millis kModelEnd{ 60'000 };

/// Two data centres of 60 hosts and 40 slots each, whose hosts learn the load late.
class TwoDataCentres
{
public:
  explicit TwoDataCentres(uint64_t aSeed)
    : m_model({ .m_dataCentres = { "a", "b" }, .m_hosts = 60, .m_upstreams = 20, .m_seed = aSeed })
  {
  }

  /// Runs for one tick; the data centres get flows for the given utilisations of their slots.
  void tick(double aFirstUtilisation, double aSecondUtilisation)
  {
    m_now += kTick;
    const double capacity = m_model.slots() * 1000 / kMeanWorkMs;
    m_model.run(m_now, std::array{ aFirstUtilisation * capacity, aSecondUtilisation * capacity });
    if (m_now.time_since_epoch() % kReportInterval == Millis{}) {
      m_reports.emplace_back(m_now + kReportDelay, m_model.takeOccupancy(kReportInterval));
    }
    while (!m_reports.empty() && m_reports.front().first <= m_now) {
      m_view = m_reports.front().second;
      m_reports.pop_front();
    }
    if (!m_view.empty()) {
      m_model.setOccupancy(m_now, m_view);
    }
  }

  /// Returns the share of the flows of a data centre that went to the other one since the last
  /// call.
  std::array<double, 2> takeRemoteShares()
  {
    auto flows = m_model.takeFlows();
    return { flows[{ 0, 1 }] / (flows[{ 0, 0 }] + flows[{ 0, 1 }]),
             flows[{ 1, 0 }] / (flows[{ 1, 1 }] + flows[{ 1, 0 }]) };
  }

  QueueModel m_model;
  TimePoint m_now;
  std::deque<std::pair<TimePoint, std::vector<double>>> m_reports;
  std::vector<double> m_view;
};

/// What a step of the demand of the first data centre by 1.7 leads to.
struct StepResult
{
  /// The remote share in the 500 ms after the first report of the whole step arrived.
  double m_firstShare{};
  /// The range of the share per second from 10 s after the step to its end.
  double m_lowest{ 1 };
  double m_highest{};
  /// The largest share of the second data centre in that time.
  double m_highestReturn{};
  /// The largest share from 8 s after the end of the step on.
  double m_highestAfter{};
};

StepResult
playStep(double aUtilisation, uint64_t aSeed)
{
  TwoDataCentres fleet(aSeed);
  StepResult result;
  constexpr Millis firstReport = kStepStart + kReportInterval + kReportDelay;
  while (fleet.m_now.time_since_epoch() < kModelEnd) {
    const Millis before = fleet.m_now.time_since_epoch();
    const bool isStep = before >= kStepStart && before < kStepEnd;
    fleet.tick(aUtilisation * (isStep ? 1.7 : 1), aUtilisation);
    const Millis now = fleet.m_now.time_since_epoch();
    if (now == firstReport + Millis{ 50 }) {
      (void)fleet.takeRemoteShares();
    } else if (now == firstReport + Millis{ 550 }) {
      result.m_firstShare = fleet.takeRemoteShares()[0];
    } else if (now % Millis{ 1000 } == Millis{} && now != Millis{ 11'000 }) {
      const auto [share, returned] = fleet.takeRemoteShares();
      if (now > kStepStart + Millis{ 10'000 } && now <= kStepEnd) {
        result.m_lowest = std::min(result.m_lowest, share);
        result.m_highest = std::max(result.m_highest, share);
        result.m_highestReturn = std::max(result.m_highestReturn, returned);
      } else if (now > kStepEnd + Millis{ 8000 }) {
        result.m_highestAfter = std::max({ result.m_highestAfter, share, returned });
      }
    }
  }
  return result;
}

registry::RouteRecord
weightedRoute(std::vector<registry::WeightedService> aServices)
{
  registry::RouteRecord route;
  route.m_services = std::move(aServices);
  return route;
}

/// A host whose services have one upstream each, and the share of flows that each of them gets.
class WeightedFixture
{
public:
  explicit WeightedFixture(uint64_t aSeed)
    : m_selector(m_directory, m_coldStartLimiter, aSeed)
  {
  }

  void setUpstream(const std::string& aService, uint64_t aIdentity, registry::UpstreamState aState)
  {
    const registry::Change change{
      { registry::RecordKind::Upstream, "i-" + std::to_string(aIdentity) },
      { .m_number = ++m_revision },
      registry::UpstreamRecord{ .m_service = aService,
                                .m_dataCentre = "near",
                                .m_address = Ipv4{ 0x0a000000 + static_cast<uint32_t>(aIdentity) },
                                .m_port = 80,
                                .m_identity = aIdentity,
                                .m_state = aState,
                                .m_slots = 2 }
    };
    m_directory.apply(TimePoint{}, { &change, 1 });
  }

  /// Returns the service of each of 10,000 flows; empty for a refused one.
  std::vector<std::string> select(const registry::RouteRecord& aRoute)
  {
    std::vector<std::string> services;
    for (uint64_t flow = 0; flow < 10'000; ++flow) {
      const auto result =
        m_selector.select(TimePoint{}, { .m_route = &aRoute, .m_flowHash = mixHash(flow, 0x5eed) });
      services.push_back(result.m_upstream == nullptr ? "" : result.m_upstream->m_record.m_service);
    }
    return services;
  }

  uint64_t m_revision{};
  ServiceDirectory m_directory{ "near" };
  ColdStartLimiter m_coldStartLimiter{ {} };
  UpstreamSelector m_selector;
};

constexpr auto kReady = registry::UpstreamState::Ready;
constexpr auto kDraining = registry::UpstreamState::Draining;

} // namespace

// Guards against a data centre that queues its callers' requests although another one is free, and
// against a share that keeps changing because each view shows the effect of an earlier share.
TEST_CASE("after a step of 1.7 in one data centre, flows move within 500 ms and do not oscillate")
{
  for (const double utilisation : { 0.5, 0.6 }) {
    for (const uint64_t seed : { 1, 2, 3 }) {
      CAPTURE(utilisation);
      CAPTURE(seed);
      const StepResult result = playStep(utilisation, seed);
      MESSAGE("utilisation " << utilisation << ", first share " << result.m_firstShare
                             << ", settled " << result.m_lowest << " to " << result.m_highest
                             << ", returned " << result.m_highestReturn << ", after "
                             << result.m_highestAfter);
      CHECK(result.m_firstShare > 0.02);
      CHECK(result.m_lowest > 0.05);
      CHECK(result.m_highest - result.m_lowest <= 0.1);
      CHECK(result.m_highestReturn <= 0.1);
      CHECK(result.m_highestAfter <= 0.01);
    }
  }
}

// Guards against billed traffic between data centres that no data centre needs.
TEST_CASE("no flow goes to another data centre while both are equally loaded")
{
  for (const double utilisation : { 0.14, 0.5, 0.7 }) {
    CAPTURE(utilisation);
    TwoDataCentres fleet(4);
    while (fleet.m_now.time_since_epoch() < Millis{ 20'000 }) {
      fleet.tick(utilisation, utilisation);
    }
    const auto [first, second] = fleet.takeRemoteShares();
    CHECK(first == 0);
    CHECK(second == 0);
  }
}

// Guards against flows that follow a load that has long changed, when reports are lost.
TEST_CASE("a load older than 2.5 s no longer moves flows, and none is taken over from before")
{
  const DataCentre near{ .m_name = "near", .m_isLocal = true, .m_reachability = {} };
  const DataCentre far{ .m_name = "far", .m_isLocal = false, .m_reachability = {} };
  const std::array load{ DataCentreOccupancy{ &near, 4, 80 },
                         DataCentreOccupancy{ &far, 0.5, 80 } };
  RemotePlacement placement;
  TimePoint now{ Millis{ 1000 } };
  CHECK(placement.remoteShare(now) == 0);
  for (int tick = 0; tick < 20; ++tick) {
    placement.update(now, load);
    now += kTick;
  }
  now -= kTick;
  CHECK(placement.remoteShare(now) > 0.1);
  CHECK(placement.remoteShare(now + kMaxOccupancyAge) > 0.1);
  now += kMaxOccupancyAge + Millis{ 1 };
  CHECK_FALSE(placement.isKnown(now));
  CHECK(placement.remoteShare(now) == 0);
  placement.update(now, load);
  CHECK(placement.remoteShare(now) == 0);
}

// Guards against a second data centre that is overloaded by the flows of a busy one while a third
// is idle, and against flows to a data centre whose load nobody knows.
TEST_CASE("less busy remote data centres get proportionally more flows, unknown ones none")
{
  const DataCentre near{ .m_name = "near", .m_isLocal = true, .m_reachability = {} };
  const DataCentre idle{ .m_name = "idle", .m_isLocal = false, .m_reachability = {} };
  const DataCentre used{ .m_name = "used", .m_isLocal = false, .m_reachability = {} };
  const DataCentre busy{ .m_name = "busy", .m_isLocal = false, .m_reachability = {} };
  const DataCentre gone{ .m_name = "gone", .m_isLocal = false, .m_reachability = {} };
  RemotePlacement placement;
  placement.update(TimePoint{ Millis{ 1000 } },
                   std::array{ DataCentreOccupancy{ &near, 3, 80 },
                               DataCentreOccupancy{ &idle, 0.3, 80 },
                               DataCentreOccupancy{ &used, 0.6, 80 },
                               DataCentreOccupancy{ &busy, 3.1, 80 },
                               DataCentreOccupancy{ &gone, 0, 0 } });
  std::map<const DataCentre*, int> drawn;
  for (int draw = 0; draw < 300; ++draw) {
    ++drawn[placement.remoteDataCentre((draw + 0.5) / 300)];
  }
  CHECK(drawn[&idle] == 200);
  CHECK(drawn[&used] == 100);
  CHECK(drawn.size() == 2);
}

// Guards against refused flows of a weighted route while another of its services can answer them,
// and against hosts that disagree on the service of a retransmitted SYN.
TEST_CASE("the share of a service without usable upstreams goes to the others by their weights")
{
  WeightedFixture fixture(1);
  WeightedFixture otherHost(2);
  for (WeightedFixture* host : { &fixture, &otherHost }) {
    host->setUpstream("old", 1, kReady);
    host->setUpstream("new", 2, kReady);
    host->setUpstream("third", 3, kReady);
  }
  const auto route = weightedRoute({ { "old", 60 }, { "new", 30 }, { "third", 10 } });
  const auto before = fixture.select(route);
  fixture.setUpstream("old", 1, kDraining);
  otherHost.setUpstream("old", 1, kDraining);
  const auto after = fixture.select(route);
  CHECK(after == otherHost.select(route));
  CHECK(std::ranges::count(after, "") == 0);
  CHECK(std::ranges::count(after, "old") == 0);
  // 30 of 40.
  CHECK(std::ranges::count(after, "new") == doctest::Approx(7500).epsilon(0.03));
  for (size_t flow = 0; flow < before.size(); ++flow) {
    CHECK((before[flow] == "old" || before[flow] == after[flow]));
  }
  fixture.setUpstream("old", 1, kReady);
  CHECK(fixture.select(route) == before);
}

// Guards against flows to a service that an operator took out of a route.
TEST_CASE("a service of weight 0 gets no flows, also when no other service can answer")
{
  WeightedFixture fixture(1);
  fixture.setUpstream("old", 1, kReady);
  fixture.setUpstream("new", 2, kReady);
  const auto route = weightedRoute({ { "old", 0 }, { "new", 10 } });
  CHECK(std::ranges::count(fixture.select(route), "new") == 10'000);
  fixture.setUpstream("new", 2, kDraining);
  CHECK(std::ranges::count(fixture.select(route), "") == 10'000);
  const auto single = weightedRoute({ { "new", 10 } });
  CHECK(std::ranges::count(fixture.select(single), "") == 10'000);
}

// Guards against a selection that gives one upstream much more than its part when requests differ
// in work. A host visiting the upstreams in its own random order measured 1.09 to 1.11 here.
TEST_CASE("requests of uneven work keep the busiest upstream within 1.15 of the mean")
{
  double sum = 0;
  for (const uint64_t seed : { 1, 2, 3, 4, 5 }) {
    QueueModel model(
      { .m_dataCentres = { "a" }, .m_hosts = 30, .m_upstreams = 40, .m_seed = seed });
    model.run(TimePoint{ Millis{ 30'000 } }, std::array{ 600.0 });
    double total = 0;
    double busiest = 0;
    for (const ModelUpstream& upstream : model.upstreams()) {
      total += upstream.m_busyMs;
      busiest = std::max(busiest, upstream.m_busyMs);
    }
    sum += busiest / (total / 40);
  }
  MESSAGE("busiest upstream: " << sum / 5 << " of the mean");
  CHECK(sum / 5 <= 1.15);
}
