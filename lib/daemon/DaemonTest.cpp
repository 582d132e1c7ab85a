// Tests of the host configuration file and of the messages between the processes of one host.
#include "daemon/HostConfig.h"
#include "daemon/ProbeMessages.h"

#include <doctest/doctest.h>

using namespace tamarack;
using namespace tamarack::daemon;

namespace {

constexpr const char* kConfig = R"({
  "address": "127.1.1.1", "data_centre": "recife", "platform": "127.9.0.1:7400",
  "seeds": ["127.1.2.1"],
  "ports": {"packets": 7000, "relay": 7001, "peers": 7100, "operators": 7200,
            "settings": 7300, "probe": 7400, "health": 8080}
})";

node::ProbeTarget
makeTarget()
{
  const Ipv4 address{ 0x0a000001 };
  return { .m_service = settings::makeServiceId("feed"),
           .m_upstream = settings::makeUpstreamId("feed", "f1", address, 2),
           .m_address = address,
           .m_serviceName = "feed",
           .m_upstreamName = "f1" };
}

std::string
makeHealthResponse(int aGeneration, const char* aState)
{
  return R"({"service": "feed", "upstream": "f1", "generation": )" + std::to_string(aGeneration) +
         R"(, "run": 9, "state": ")" + aState +
         R"(", "sheds": false, "connections": 12, "busy_slots": 1})";
}

} // namespace

TEST_CASE("a host configuration is parsed, and a fault is reported with its JSON path")
{
  const auto config = parseHostConfig(kConfig);
  REQUIRE(config.ok());
  CHECK(config->m_self == HostId{ 0x7f010101 });
  CHECK(config->m_ports.m_health == 8080);
  std::string invalidPort = kConfig;
  invalidPort.replace(invalidPort.find("7001"), 4, "0");
  const auto refused = parseHostConfig(invalidPort);
  CHECK_FALSE(refused.ok());
  CHECK(refused.status().message().find("/ports/relay") != std::string::npos);
  CHECK_FALSE(parseHostConfig("{}").ok());
  CHECK_FALSE(readHostConfig("no-such-file").ok());
}

TEST_CASE(
  "a health response of another generation does not match, and a malformed one is no answer")
{
  const auto warm = parseHealthResponse(makeTarget(), makeHealthResponse(2, "warm"));
  CHECK(warm.m_answered);
  CHECK(warm.m_identityMatches);
  CHECK(warm.m_connections == 12);
  CHECK(parseHealthResponse(makeTarget(), makeHealthResponse(2, "cold")).m_claimsCold);
  CHECK(parseHealthResponse(makeTarget(), makeHealthResponse(2, "draining")).m_draining);
  const auto otherGeneration = parseHealthResponse(makeTarget(), makeHealthResponse(3, "warm"));
  CHECK(otherGeneration.m_answered);
  CHECK_FALSE(otherGeneration.m_identityMatches);
  CHECK_FALSE(parseHealthResponse(makeTarget(), "busy").m_answered);
  CHECK_FALSE(parseHealthResponse(makeTarget(), "").m_answered);
  CHECK_FALSE(parseHealthResponse(makeTarget(), R"({"service": 5})").m_answered);
}

TEST_CASE("probe targets and reports round-trip through JSON, and malformed messages are rejected")
{
  const auto targets = parseTargets(serializeTargets({ makeTarget() }));
  REQUIRE(targets.ok());
  REQUIRE(targets->size() == 1);
  CHECK((*targets)[0].m_upstream == makeTarget().m_upstream);
  const auto report = parseHealthResponse(makeTarget(), makeHealthResponse(2, "cold"));
  std::vector<std::string> errors;
  const auto reports = parseReports(serializeReports({ report }), errors);
  REQUIRE(reports.ok());
  CHECK((*reports)[0] == report);
  CHECK_FALSE(parseTargets("[{}]").ok());
  CHECK_FALSE(parseReports("nonsense", errors).ok());
  CHECK_FALSE(parseReports("{}", errors).ok());
  CHECK(errors.empty());
}

TEST_CASE("health responses and messages of the probe with odd numbers or nesting are rejected")
{
  const std::string health = makeHealthResponse(2, "warm");
  const std::string nested = std::string(100'000, '[') + std::string(100'000, ']');
  for (const std::string& value : { nested,
                                    std::string("1e300"),
                                    std::string("-1"),
                                    std::string("4294967308"),
                                    std::string("0.5") }) {
    std::string text = health;
    const size_t position = text.find("12");
    REQUIRE(position != std::string::npos);
    text.replace(position, 2, value);
    CHECK_FALSE(parseHealthResponse(makeTarget(), text).m_answered);
  }
  CHECK_FALSE(parseTargets(nested).ok());
  std::vector<std::string> errors;
  CHECK_FALSE(parseReports(nested, errors).ok());
}

TEST_CASE("one probe report that cannot be read does not discard the reports of other upstreams")
{
  const auto good = parseHealthResponse(makeTarget(), makeHealthResponse(2, "warm"));
  auto other = good;
  other.m_upstream = settings::makeUpstreamId("feed", "f2", Ipv4{ 0x0a000002 }, 1);
  for (const std::string& odd : { std::string("1e300"),
                                  std::string("-1"),
                                  std::string("4294967308"),
                                  std::string("0.5"),
                                  std::string("null"),
                                  std::string("[[[]]]") }) {
    std::string text = serializeReports({ good, good, other });
    const size_t position = text.find(R"("connections":12)", text.find('}'));
    REQUIRE(position != std::string::npos);
    text.replace(position, 16, R"("connections":)" + odd);
    std::vector<std::string> errors;
    const auto reports = parseReports(text, errors);
    REQUIRE(reports.ok());
    CHECK(*reports == std::vector<admission::UpstreamReport>{ good, other });
    REQUIRE(errors.size() == 1);
    CHECK(errors.front().size() < 400);
  }
}
