// Tests how load is measured, added up and forgotten.
#include "overload/FleetLoad.h"
#include "overload/LoadMeter.h"

#include <doctest/doctest.h>

using namespace tamarack;
using namespace tamarack::overload;

namespace {

constexpr TimePoint kStart{ Millis{ 1'000'000 } };
constexpr DataCentreId kOwn{ 1 };
constexpr DataCentreId kOther{ 2 };

LoadReport
reportOf(double aBusy, uint32_t aService = 1)
{
  return { { { ServiceId{ aService },
               { { .m_route = RouteId{ 1 }, .m_busyRequests = aBusy } },
               { { kOwn, aBusy } } } } };
}

double
busy(const LoadReport& aLoad)
{
  return aLoad.m_services.empty() ? 0 : busyRequests(aLoad.m_services.front());
}

} // namespace

TEST_CASE("sums of reports stay ordered and contain each entry once")
{
  LoadReport sum = reportOf(1, 5);
  addLoad(sum, reportOf(2, 3));
  addLoad(sum, reportOf(4, 5));
  addLoad(sum, { { { ServiceId{ 5 }, { { .m_route = RouteId{ 9 } } }, { { kOther, 1 } } } } });
  REQUIRE(sum.m_services.size() == 2);
  CHECK(sum.m_services[0] == reportOf(2, 3).m_services[0]);
  const ServiceLoad& last = sum.m_services[1];
  CHECK(last.m_routes.size() == 2);
  CHECK(last.m_routes[0].m_busyRequests == 5);
  CHECK(last.m_placements == std::vector<PlacementLoad>{ { kOwn, 5 }, { kOther, 1 } });
}

TEST_CASE("the meter reports rates and busy requests, and forgets them")
{
  LoadMeter meter;
  const ServiceId service{ 1 };
  const RouteId route{ 1 };
  TimePoint now = kStart;
  for (int step = 0; step < 5'000; ++step) {
    now += Millis{ 1 };
    meter.onNewFlow(now, service, route);
    if (step % 2 == 0) {
      meter.onFurtherRequest(now, service, route);
    }
    meter.onResponse(now, service, route, kOther, Millis{ 50 });
  }
  // A clock error must not remove load.
  meter.onResponse(now, service, route, kOther, Millis{ -1'000 });
  const ServiceLoad load = meter.report(now).m_services.at(0);
  CHECK(load.m_routes.at(0).m_newFlowsPerSecond == doctest::Approx(1'000).epsilon(0.01));
  CHECK(load.m_routes.at(0).m_furtherRequestsPerSecond == doctest::Approx(500).epsilon(0.01));
  CHECK(load.m_routes.at(0).m_responsesPerSecond == doctest::Approx(1'000).epsilon(0.01));
  CHECK(load.m_routes.at(0).m_busyRequests == doctest::Approx(50).epsilon(0.01));
  CHECK(load.m_placements.at(0).m_busyRequests == doctest::Approx(50).epsilon(0.01));
  CHECK(meter.report(now + Millis{ 10'000 }).m_services.empty());
}

TEST_CASE("the meter bounds its state and reports the busiest services")
{
  LoadMeter meter;
  for (uint32_t service = 1; service <= 200; ++service) {
    for (uint32_t route = 1; route <= 100; ++route) {
      meter.onResponse(
        kStart, ServiceId{ service }, RouteId{ route }, DataCentreId{ route }, Millis{ service });
    }
  }
  const LoadReport report = meter.report(kStart);
  REQUIRE(report.m_services.size() == kMaxReportedServices);
  CHECK(report.m_services.front().m_service == ServiceId{ 64 - kMaxReportedServices + 1 });
  CHECK(report.m_services.front().m_routes.size() == 32);
  CHECK(report.m_services.front().m_placements.size() == 32);
}

TEST_CASE("a reader adds up its hosts and the other data centres, without reports that are too old")
{
  FleetLoad reader(kOwn);
  reader.setReader(true);
  reader.setOwnReport(kStart, reportOf(1));
  const TimePoint later = kStart + kReaderTakeoverTime;
  reader.onHostReport(kStart, HostId{ 2 }, reportOf(2));
  reader.onHostReport(later, HostId{ 3 }, reportOf(4));
  reader.onDataCentreReport(later, kOther, reportOf(8));
  CHECK(busy(reader.ownDataCentreLoad(later)) == 7);
  CHECK(busy(reader.remoteLoad(later)) == 8);
  CHECK(busy(reader.totalLoad(later)) == 15);
  const TimePoint tooLate = kStart + kMaxLoadReportAge + Millis{ 1 };
  reader.setOwnReport(tooLate, reportOf(1));
  CHECK(busy(reader.totalLoad(tooLate)) == 13);
}

TEST_CASE("the load is unknown without the reader of the own data centre")
{
  FleetLoad follower(kOwn);
  follower.setOwnReport(kStart, reportOf(1));
  follower.onRemoteReport(kStart, reportOf(8));
  CHECK_FALSE(follower.isKnown(kStart));
  CHECK(follower.totalLoad(kStart) == LoadReport{});
  follower.onDataCentreReport(kStart, kOwn, reportOf(2));
  CHECK(busy(follower.totalLoad(kStart)) == 10);
  CHECK_FALSE(follower.isKnown(kStart + kMaxLoadReportAge + Millis{ 1 }));
}

TEST_CASE("a host that becomes the reader uses the sums of its predecessor until its hosts report")
{
  // The sum over the first few hosts would be too small and end the rejection.
  FleetLoad host(kOwn);
  host.onDataCentreReport(kStart, kOwn, reportOf(50));
  host.onRemoteReport(kStart, reportOf(80));
  host.setReader(true);
  host.setOwnReport(kStart, reportOf(1));
  host.onHostReport(kStart, HostId{ 2 }, reportOf(2));
  CHECK(busy(host.totalLoad(kStart)) == 130);
  CHECK(busy(host.totalLoad(kStart + kReaderTakeoverTime)) == 3);
}
