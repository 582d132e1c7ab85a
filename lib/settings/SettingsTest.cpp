// The check of documents and the acceptance part by part.
#include "settings/Acceptor.h"
#include "settings/Spreader.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace tamarack;
using namespace tamarack::settings;

namespace {

/// A valid document of two teams.
Json
makeDocument()
{
  return Json::parse(R"({
    "format": 1, "seed": 7,
    "data_centres": {"recife": {"region": "ne", "state": "in"}, "natal": {"region": "ne"}},
    "grants": {
      "field": {"addresses": ["198.51.100.10"], "upstream_networks": ["10.1.0.0/16"]},
      "manuals": {"addresses": ["198.51.100.20"], "upstream_networks": ["10.2.0.0/16"]}},
    "teams": {
      "field": {
        "services": {"feed": {"address": "198.51.100.10", "ports": [443], "pool": "p"}},
        "pools": {"p": {"limits": {"connections": 2000, "slots": 4,
                                   "cold_start": {"seconds": 30, "new_flows_per_s": 20}},
          "upstreams": {"f1": {"address": "10.1.0.1", "data_centre": "recife"},
                        "f2": {"address": "10.1.0.2", "data_centre": "natal"}}}}},
      "manuals": {
        "services": {"guide": {"address": "198.51.100.20", "ports": [443], "pool": "p"}},
        "pools": {"p": {"limits": {"connections": 2000, "slots": 4,
                                   "cold_start": {"seconds": 30, "new_flows_per_s": 20}},
          "upstreams": {"m1": {"address": "10.2.0.1", "data_centre": "recife"}}}}}}
  })");
}

/// The paths of the faults of a document.
std::vector<std::string>
faultPaths(const Json& aDocument)
{
  Acceptor acceptor;
  std::vector<std::string> paths;
  for (const Fault& fault : acceptor.offerDocument(1, aDocument.dump()).m_faults) {
    paths.push_back(fault.m_path);
  }
  return paths;
}

bool
hasFaultAt(const Json& aDocument, std::string_view aPath)
{
  const auto paths = faultPaths(aDocument);
  return std::ranges::find(paths, aPath) != paths.end();
}

} // namespace

TEST_CASE("a valid document is accepted whole")
{
  Acceptor acceptor;
  const auto outcome = acceptor.offerDocument(3, makeDocument().dump());
  CHECK(outcome.m_changed);
  CHECK(outcome.m_faults.empty());
  REQUIRE(acceptor.settings());
  CHECK(acceptor.settings()->m_revision == 3);
  CHECK(acceptor.settings()->m_services.size() == 2);
  CHECK(acceptor.settings()->findService("feed")->m_upstreams.size() == 2);
}

TEST_CASE("each fault is found at its path")
{
  Json document = makeDocument();
  SUBCASE("an unknown field")
  {
    document["teams"]["field"]["colour"] = 1;
    CHECK(hasFaultAt(document, "/teams/field/colour"));
  }
  SUBCASE("an address of another team")
  {
    document["teams"]["manuals"]["services"]["guide"]["address"] = "198.51.100.10";
    CHECK(hasFaultAt(document, "/teams/manuals/services/guide/address"));
  }
  SUBCASE("an upstream in the network of another team")
  {
    document["teams"]["manuals"]["pools"]["p"]["upstreams"]["m1"]["address"] = "10.1.0.1";
    CHECK(hasFaultAt(document, "/teams/manuals/pools/p/upstreams/m1/address"));
  }
  SUBCASE("one address for two upstreams")
  {
    document["teams"]["field"]["pools"]["p"]["upstreams"]["f2"]["address"] = "10.1.0.1";
    CHECK(hasFaultAt(document, "/teams/field/pools/p/upstreams/f2/address"));
  }
  SUBCASE("one pool for two services")
  {
    Json& services = document["teams"]["field"]["services"];
    services["second"] = services["feed"];
    services["second"]["ports"] = { 444 };
    CHECK(hasFaultAt(document, "/teams/field/services/second/pool"));
  }
  SUBCASE("a limit out of range")
  {
    document["teams"]["field"]["pools"]["p"]["limits"]["slots"] = 0;
    CHECK(hasFaultAt(document, "/teams/field/pools/p/limits/slots"));
  }
  SUBCASE("a number of buckets that is no power of two")
  {
    document["teams"]["field"]["pools"]["p"]["buckets"] = 1000;
    CHECK(hasFaultAt(document, "/teams/field/pools/p/buckets"));
  }
  SUBCASE("an unknown data centre")
  {
    document["teams"]["field"]["pools"]["p"]["upstreams"]["f1"]["data_centre"] = "oslo";
    CHECK(hasFaultAt(document, "/teams/field/pools/p/upstreams/f1/data_centre"));
  }
  SUBCASE("grants that overlap")
  {
    document["grants"]["manuals"]["upstream_networks"] = { "10.1.4.0/24" };
    CHECK(hasFaultAt(document, "/grants/manuals"));
  }
  SUBCASE("a team without a grant")
  {
    document["teams"]["other"] = document["teams"]["field"];
    CHECK(hasFaultAt(document, "/teams/other"));
  }
}

TEST_CASE("text that is too long, too deep, doubled or broken is refused")
{
  CHECK_FALSE(parseDocument(std::string(kMaxDocumentBytes + 1, ' ')).ok());
  std::string deep;
  for (int level = 0; level < 40; ++level) {
    deep += "{\"a\":";
  }
  CHECK_FALSE(parseDocument(deep + "1" + std::string(40, '}')).ok());
  CHECK_FALSE(parseDocument(R"({"a": 1, "a": 2})").ok());
  CHECK_FALSE(parseDocument("{\"a\": ").ok());
  CHECK_FALSE(parseDocument("[1]").ok());
}

TEST_CASE("a bad subtree keeps its former form and the others go into force")
{
  Acceptor acceptor;
  (void)acceptor.offerDocument(1, makeDocument().dump());
  Json document = makeDocument();
  document["teams"]["field"]["pools"]["p"]["limits"]["slots"] = "four";
  document["teams"]["manuals"]["pools"]["p"]["upstreams"]["m1"]["state"] = "draining";
  const auto outcome = acceptor.offerDocument(2, document.dump());
  CHECK(outcome.m_changed);
  CHECK(outcome.m_faults.size() == 1);
  CHECK(acceptor.settings()->findService("feed")->m_limits.m_slots == 4);
  CHECK(acceptor.settings()->findService("guide")->m_upstreams[0].m_draining);
  CHECK(acceptor.form().m_teams.at("field").m_revision == 1);
  CHECK(acceptor.form().m_teams.at("manuals").m_revision == 2);
}

TEST_CASE("revisions only rise")
{
  Acceptor acceptor;
  (void)acceptor.offerDocument(5, makeDocument().dump());
  Json stale = makeDocument();
  stale["data_centres"]["recife"]["state"] = "out";
  CHECK_FALSE(acceptor.offerDocument(4, stale.dump()).m_changed);
  CHECK_FALSE(acceptor.settings()->isOut("recife"));
}

TEST_CASE("hosts that skipped revisions converge by exchanging accepted forms")
{
  Json bad = makeDocument();
  bad["teams"]["field"]["services"]["feed"]["ports"] = { 0 };
  Acceptor sawBoth;
  (void)sawBoth.offerDocument(1, makeDocument().dump());
  (void)sawBoth.offerDocument(2, bad.dump());
  Acceptor skipped;
  (void)skipped.offerDocument(2, bad.dump());
  CHECK(skipped.settings()->findService("feed") == nullptr);
  CHECK(skipped.offerForm(sawBoth.form()).m_changed);
  CHECK(skipped.settings()->findService("feed") != nullptr);
  CHECK(toJson(skipped.form()) == toJson(sawBoth.form()));
}

TEST_CASE("a removed team stays removed when a peer still has it")
{
  Acceptor peer;
  (void)peer.offerDocument(1, makeDocument().dump());
  Json without = makeDocument();
  without["teams"].erase("manuals");
  without["grants"].erase("manuals");
  Acceptor acceptor;
  (void)acceptor.offerDocument(1, makeDocument().dump());
  (void)acceptor.offerDocument(2, without.dump());
  (void)acceptor.offerForm(peer.form());
  CHECK(acceptor.settings()->findService("guide") == nullptr);
}

TEST_CASE("a peer's answer carries a difference when the peer knows the watcher's form")
{
  EventLog events;
  Spreader source({ .m_self = HostId{ 1 }, .m_dataCentre = "recife" }, events);
  Spreader watcher({ .m_self = HostId{ 2 }, .m_dataCentre = "recife" }, events);
  const TimePoint now{ Millis{ 100'000 } };
  source.onPlatformAnswer(now, { .m_settingsRevision = 1, .m_settings = makeDocument().dump() });
  const std::string whole = source.answer(now, { 0, 0 });
  REQUIRE(watcher.onPeerAnswer(now, HostId{ 1 }, whole));
  Json document = makeDocument();
  document["data_centres"]["natal"]["state"] = "out";
  source.onPlatformAnswer(now, { .m_settingsRevision = 2, .m_settings = document.dump() });
  CHECK(source.hasNews({ 1, 0 }));
  const std::string difference = source.answer(now, { 1, 0 });
  CHECK(difference.size() < whole.size() / 2);
  REQUIRE(watcher.onPeerAnswer(now, HostId{ 1 }, difference));
  CHECK(watcher.settings()->isOut("natal"));
  CHECK(toJson(watcher.form()) == toJson(source.form()));
}

TEST_CASE("a stale platform neither reverts nor confirms")
{
  EventLog events;
  Spreader spreader({ .m_self = HostId{ 1 }, .m_dataCentre = "recife" }, events);
  const TimePoint first{ Millis{ 100'000 } };
  spreader.onPlatformAnswer(first,
                            { .m_settingsRevision = 2, .m_settings = makeDocument().dump() });
  Json old = makeDocument();
  old["data_centres"]["recife"]["state"] = "out";
  spreader.onPlatformAnswer(first + Millis{ 500 },
                            { .m_settingsRevision = 1, .m_settings = old.dump() });
  CHECK_FALSE(spreader.settings()->isOut("recife"));
  CHECK(spreader.confirmedAt() == first);
}

TEST_CASE("a source that fails rests, so that all hosts together stay within the platform's budget")
{
  EventLog events;
  Spreader spreader({ .m_self = HostId{ 1 }, .m_dataCentre = "recife" }, events);
  TimePoint now{ Millis{ 100'000 } };
  size_t asked = 0;
  for (int step = 0; step < 600; ++step) {
    now += Millis{ 100 };
    for (const auto& [source, request] : spreader.takeWatches(now)) {
      ++asked;
      spreader.onFailure(now, source);
    }
  }
  // 1,100 hosts may call the platform 2,000 times a second together; this one asked for 60 s.
  CHECK(asked <= 60 * 2000 / 1100);
  CHECK(asked >= 30);
  CHECK_FALSE(spreader.onPeerAnswer(now, HostId{ 2 }, "not json"));
  CHECK_FALSE(spreader.onPeerAnswer(now, HostId{ 2 }, R"({"revision": 1})"));
}
