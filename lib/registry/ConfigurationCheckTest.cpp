// Tests of the check of decoded configurations. Each test has one fault, and names the failure that
// operators would see if the check missed it.
#include "registry/ConfigurationCheck.h"
#include "registry/ConfigurationDifference.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace tamarack;
using namespace tamarack::registry;

namespace {

Change
configuration(uint64_t aVersion, Millis aIdleTimeout = Millis{ 15'000 })
{
  return { { RecordKind::Configuration, {} }, {}, ConfigurationRecord{ aVersion, aIdleTimeout } };
}

Change
service(const std::string& aName, ServiceRecord aRecord = {})
{
  return { { RecordKind::Service, aName }, {}, aRecord };
}

Change
route(const std::string& aName, RouteRecord aRecord)
{
  if (aRecord.m_address.m_value == 0) {
    aRecord.m_address = Ipv4{ 0xc6120000U + static_cast<uint8_t>(aName[0]) };
  }
  return { { RecordKind::Route, aName }, {}, std::move(aRecord) };
}

/// The fields of a route to service `x` without faults.
RouteRecord
validRoute()
{
  return { .m_address = {},
           .m_port = 80,
           .m_kind = RequestKind::Idempotent,
           .m_services = { { "x", 1 } },
           .m_priority = 1,
           .m_latencyObjective = Millis{ 800 },
           .m_deadline = Millis{ 3000 } };
}

/// Returns the kinds of all findings on the records.
std::vector<FindingKind>
kindsOf(const std::vector<Change>& aRecords)
{
  std::vector<FindingKind> kinds;
  for (const Finding& finding : checkConfiguration(aRecords)) {
    kinds.push_back(finding.m_kind);
  }
  return kinds;
}

using Kinds = std::vector<FindingKind>;

} // namespace

TEST_CASE("a configuration without faults has no finding, so that operators do not ignore findings")
{
  CHECK(kindsOf({ service("x"), route("a", validRoute()), configuration(1) }).empty());
}

TEST_CASE("a limit of 0 means that there is no limit, and is not reported as contradictory")
{
  RouteRecord record = validRoute();
  record.m_deadline = {};
  CHECK(kindsOf(
          { service("x", { Millis{ 2000 }, 0.0 }), route("a", record), configuration(1, Millis{}) })
          .empty());
  record.m_deadline = Millis{ 3000 };
  record.m_latencyObjective = {};
  CHECK(kindsOf({ service("x"), route("a", record), configuration(1, Millis{}) }).empty());
}

TEST_CASE("a route that loses its address and port to another is reported with the winner")
{
  RouteRecord record = validRoute();
  record.m_address = Ipv4{ 0xc6120001 };
  SUBCASE("the last route in the list is also the last by name")
  {
    const std::vector<Change> records{ service("x"), route("a", record), route("b", record) };
    const auto findings = checkConfiguration(records);
    REQUIRE(findings.size() == 1);
    CHECK(findings[0].m_kind == FindingKind::ShadowedRoute);
    CHECK(findings[0].m_record == 1);
    CHECK(findings[0].m_text.find("uses route 'b' (last in the list and by name)") !=
          std::string::npos);
  }
  SUBCASE("hosts that read the store use another route than hosts that read from a host")
  {
    const std::vector<Change> records{ service("x"), route("b", record), route("a", record) };
    const auto findings = checkConfiguration(records);
    REQUIRE(findings.size() == 1);
    CHECK(findings[0].m_text.find("route 'a' (last in the list)") != std::string::npos);
    CHECK(findings[0].m_text.find("route 'b' (last by name)") != std::string::npos);
  }
  SUBCASE("another port is another route")
  {
    RouteRecord other = record;
    other.m_port = 81;
    CHECK(kindsOf({ service("x"), route("a", record), route("b", other) }).empty());
  }
}

TEST_CASE("a second entry of the same name is reported, because hosts ignore it")
{
  RouteRecord other = validRoute();
  other.m_port = 81;
  const std::vector<Change> records{ service("x"), route("a", validRoute()), route("a", other) };
  const auto findings = checkConfiguration(records);
  REQUIRE(findings.size() == 1);
  CHECK(findings[0].m_kind == FindingKind::DuplicateName);
  CHECK(findings[0].m_record == 2);
}

TEST_CASE("a route to a service that is not listed is reported, because it has no warm-up limit")
{
  CHECK(kindsOf({ route("a", validRoute()) }) == Kinds{ FindingKind::UnlistedService });
}

TEST_CASE("a route without services is reported, because it accepts no flow")
{
  RouteRecord record = validRoute();
  record.m_services = {};
  CHECK(kindsOf({ route("a", record) }) == Kinds{ FindingKind::NoService });
}

TEST_CASE("a route whose weights are all 0 is reported once, because it accepts no flow")
{
  RouteRecord record = validRoute();
  record.m_services = { { "x", 0 }, { "y", 0 } };
  const std::vector<Change> records{ service("x"), service("y"), route("a", record) };
  const auto findings = checkConfiguration(records);
  REQUIRE(findings.size() == 1);
  CHECK(findings[0].m_kind == FindingKind::ZeroWeight);
  CHECK(findings[0].m_text.find("all weights") != std::string::npos);
}

TEST_CASE("a single weight of 0 is reported, because its service gets no flow of the route")
{
  RouteRecord record = validRoute();
  record.m_services = { { "x", 1 }, { "y", 0 } };
  const std::vector<Change> records{ service("x"), service("y"), route("a", record) };
  const auto findings = checkConfiguration(records);
  REQUIRE(findings.size() == 1);
  CHECK(findings[0].m_kind == FindingKind::ZeroWeight);
  CHECK(findings[0].m_text.find("'y'") != std::string::npos);
}

TEST_CASE("a service that no route uses is reported, because its upstreams stay idle")
{
  CHECK(kindsOf({ service("x"), service("y"), route("a", validRoute()) }) ==
        Kinds{ FindingKind::UnusedService });
}

TEST_CASE("a route with port 0 is reported, because no packet can match it")
{
  RouteRecord record = validRoute();
  record.m_port = 0;
  CHECK(kindsOf({ service("x"), route("a", record) }) == Kinds{ FindingKind::UnusablePort });
}

TEST_CASE("a latency objective above the deadline is reported, and an equal one is not")
{
  RouteRecord record = validRoute();
  record.m_latencyObjective = Millis{ 3001 };
  CHECK(kindsOf({ service("x"), route("a", record) }) ==
        Kinds{ FindingKind::ObjectiveAboveDeadline });
  record.m_latencyObjective = Millis{ 3000 };
  CHECK(kindsOf({ service("x"), route("a", record) }).empty());
}

TEST_CASE("an idle timeout below a deadline is reported, because a waiting flow may be discarded")
{
  CHECK(kindsOf({ service("x"), route("a", validRoute()), configuration(1, Millis{ 2999 }) }) ==
        Kinds{ FindingKind::IdleTimeoutBelowDeadline });
  CHECK(
    kindsOf({ service("x"), route("a", validRoute()), configuration(1, Millis{ 3000 }) }).empty());
}

TEST_CASE("a warm-up rate below one request per second is reported, because upstreams stay cold")
{
  CHECK(kindsOf({ service("x", { Millis{ 2000 }, 0.5 }), route("a", validRoute()) }) ==
        Kinds{ FindingKind::SlowColdRate });
  CHECK(kindsOf({ service("x", { Millis{ 2000 }, 1.0 }), route("a", validRoute()) }).empty());
}

TEST_CASE("negative limits are reported, because hosts accept them as if there were no limit")
{
  CHECK(kindsOf({ service("x", { Millis{ 2000 }, -1.0 }), route("a", validRoute()) }) ==
        Kinds{ FindingKind::NegativeLimit });
  CHECK(kindsOf({ service("x", { Millis{ -1 }, 0.0 }), route("a", validRoute()) }) ==
        Kinds{ FindingKind::NegativeLimit });
  CHECK(kindsOf({ service("x"), route("a", validRoute()), configuration(1, Millis{ -1 }) }) ==
        Kinds{ FindingKind::NegativeLimit });
}

TEST_CASE("different priorities at a service are noted, because they enable overload control")
{
  RouteRecord other = validRoute();
  other.m_priority = 2;
  const Kinds kinds = kindsOf({ service("x"), route("a", validRoute()), route("b", other) });
  CHECK(kinds == Kinds{ FindingKind::OverloadControl });
  CHECK(isNote(FindingKind::OverloadControl));
  CHECK(isNote(FindingKind::NonIdempotentBelowIdempotent));
  CHECK_FALSE(isNote(FindingKind::SlowColdRate));
}

TEST_CASE("a non-idempotent route below an idempotent one at the same service is noted")
{
  RouteRecord other = validRoute();
  other.m_kind = RequestKind::NonIdempotent;
  other.m_priority = 2;
  const std::vector<Change> records{ service("x"), route("a", validRoute()), route("b", other) };
  CHECK(kindsOf(records) ==
        Kinds{ FindingKind::OverloadControl, FindingKind::NonIdempotentBelowIdempotent });
  // The highest priority is 0.
  other.m_priority = 0;
  CHECK(kindsOf({ service("x"), route("a", validRoute()), route("b", other) }) ==
        Kinds{ FindingKind::OverloadControl });
}

TEST_CASE("a comparison lists added and removed records, and each changed field with both values")
{
  RouteRecord changed = validRoute();
  changed.m_latencyObjective = Millis{ 900 };
  changed.m_services = { { "x", 9 }, { "z", 1 } };
  const std::vector<Change> before{ service("x"), service("y"), route("a", validRoute()) };
  const std::vector<Change> after{ service("x"), service("z"), route("a", changed) };
  const auto differences = compareConfigurations(before, after);
  REQUIRE(differences.size() == 4);
  CHECK(differences[0].m_kind == DifferenceKind::Removed);
  CHECK(differences[0].m_key.m_name == "y");
  CHECK(differences[1].m_kind == DifferenceKind::Added);
  CHECK(differences[1].m_key.m_name == "z");
  CHECK(differences[2].m_field == Field::Services);
  CHECK(differences[2].m_before == "x (weight 1)");
  CHECK(differences[2].m_after == "x (weight 9), z (weight 1)");
  CHECK(differences[3].m_field == Field::LatencyObjective);
  CHECK(differences[3].m_before == "800 ms");
  CHECK(differences[3].m_after == "900 ms");
}

TEST_CASE("a comparison finds the smallest change of every field")
{
  const std::vector<Change> before{ service("x", { Millis{ 1 }, 3.5 }),
                                    route("a", validRoute()),
                                    configuration(1) };
  const auto fieldsAfter = [&](const Change& aChange) {
    std::vector<Change> after = before;
    *std::ranges::find(after, aChange.m_key, &Change::m_key) = aChange;
    std::vector<Field> fields;
    for (const Difference& difference : compareConfigurations(before, after)) {
      fields.push_back(difference.m_field);
    }
    return fields;
  };
  using Fields = std::vector<Field>;
  const auto fieldsAfterRoute = [&](const auto& aEdit) {
    RouteRecord record = validRoute();
    aEdit(record);
    return fieldsAfter(route("a", record));
  };
  CHECK(fieldsAfter(configuration(2)) == Fields{ Field::Version });
  CHECK(fieldsAfter(configuration(1, Millis{ 15'001 })) == Fields{ Field::IdleTimeout });
  CHECK(fieldsAfter(service("x", { Millis{ 2 }, 3.5 })) == Fields{ Field::WarmUp });
  CHECK(fieldsAfter(service("x", { Millis{ 1 }, 3.500000001 })) ==
        Fields{ Field::ColdRequestsPerSecond });
  CHECK(fieldsAfterRoute([](RouteRecord& aRoute) { aRoute.m_address = Ipv4{ 1 }; }) ==
        Fields{ Field::Address });
  CHECK(fieldsAfterRoute([](RouteRecord& aRoute) { ++aRoute.m_port; }) == Fields{ Field::Port });
  CHECK(fieldsAfterRoute([](RouteRecord& aRoute) { aRoute.m_kind = RequestKind::NonIdempotent; }) ==
        Fields{ Field::Kind });
  CHECK(fieldsAfterRoute([](RouteRecord& aRoute) { aRoute.m_services[0].m_weight = 2; }) ==
        Fields{ Field::Services });
  CHECK(fieldsAfterRoute([](RouteRecord& aRoute) { ++aRoute.m_priority; }) ==
        Fields{ Field::Priority });
  CHECK(fieldsAfterRoute([](RouteRecord& aRoute) { ++aRoute.m_latencyObjective; }) ==
        Fields{ Field::LatencyObjective });
  CHECK(fieldsAfterRoute([](RouteRecord& aRoute) { ++aRoute.m_deadline; }) ==
        Fields{ Field::Deadline });
}
