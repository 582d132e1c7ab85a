// Tests of one host of the edge process without sockets: settings, when the store is called, what
// is served, sent to other hosts and logged, and the diagnostics. The test answers the calls to a
// fake store.
#include "edge/CatchAndLog.h"
#include "edge/Diagnostics.h"
#include "edge/SettingsFile.h"
#include "edge/StoreSynchronizer.h"
#include "registry/RecordCodec.h"

#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace tamarack;
using namespace tamarack::edge;

namespace {

using registry::Change;
using registry::RecordKind;
using registry::StoreUpdate;

constexpr std::string_view kSettings = R"({
  "host": "entry-1", "data_centre": "natal", "packets": "10.0.0.1:8172",
  "readiness": "10.0.0.1:8167", "readiness_path": "/ready", "control": "10.0.0.1:8166",
  "metrics": "10.0.0.1:9464", "peer_port": 7720, "store": "10.9.0.1:8169",
  "seeds": ["10.0.0.1:8166", "10.0.0.2:8166"], "stop_limit_s": 6, "cold_factor": "1.5",
  "cold_slack": "5", "cpu_share": "0.055" })";

/// A store client whose calls stay open until the test answers them.
struct FakeStore
{
  void load(bool aMayBeStale,
            Millis,
            std::function<bool(const StoreUpdate&)> aOnPage,
            StoreAnswerHandler aDone)
  {
    m_calls.push_back(aMayBeStale ? "load-stale" : "load");
    m_onPage = std::move(aOnPage);
    m_done = std::move(aDone);
  }
  void watch(registry::Revision aAfter, Millis aWait, Millis, StoreAnswerHandler aDone)
  {
    m_wait = aWait;
    m_calls.push_back("watch-" + std::to_string(aAfter.m_number));
    m_done = std::move(aDone);
  }
  void close() { m_done = nullptr; }
  void answer(absl::StatusOr<StoreUpdate> aUpdate)
  {
    const StoreAnswerHandler done = std::exchange(m_done, nullptr);
    REQUIRE(done);
    done(std::move(aUpdate));
  }

  std::vector<std::string> m_calls;
  Millis m_wait{};
  std::function<bool(const StoreUpdate&)> m_onPage;
  StoreAnswerHandler m_done;
};

StoreUpdate
initialReading()
{
  StoreUpdate reading{ .m_revision = { .m_number = 10 }, .m_isSnapshot = true };
  reading.m_changes.push_back({ { RecordKind::Upstream, "i-1" },
                                { .m_number = 3 },
                                registry::UpstreamRecord{ .m_service = "reports",
                                                          .m_dataCentre = "natal",
                                                          .m_address = Ipv4{ 0x0a800001 },
                                                          .m_port = 80,
                                                          .m_identity = 1,
                                                          .m_slots = 4 } });
  reading.m_configuration = std::vector<Change>{
    { { RecordKind::Route, "r" },
      { .m_number = 9 },
      registry::RouteRecord{
        Ipv4{ 0xc6120001 }, 443, registry::RequestKind::Idempotent, { { "reports", 1 } } } },
    { { RecordKind::Configuration, "" },
      { .m_number = 9 },
      registry::ConfigurationRecord{ 4, Millis{ 15'000 } } }
  };
  return reading;
}

class Fixture
{
public:
  void tick(Millis aTime)
  {
    m_now += aTime;
    m_host.tick(m_now);
    m_storeSynchronizer.startCallIfDue(m_now);
  }

  [[nodiscard]] bool hasLogged(EventId aEvent)
  {
    for (LogLine& line : m_host.takeLogLines(m_now)) {
      m_logLines.push_back(std::move(line));
    }
    return std::ranges::any_of(m_logLines,
                               [aEvent](const LogLine& aLine) { return aLine.m_event == aEvent; });
  }

  steering::FlowPacket openingPacket() const
  {
    return { .m_flow = { Ipv4{ 0x64400001 }, Ipv4{ 0xc6120001 }, 1000, 443 }, .m_isSyn = true };
  }

  TimePoint m_now{ Millis{ 70'000 } };
  FakeStore m_store;
  Host m_host{ { .m_peers = { .m_self = HostId{ 1 },
                              .m_dataCentre = "natal",
                              .m_capacity = 50,
                              .m_incarnation = 1,
                              .m_seeds = { HostId{ 1 } } },
                 .m_coldLimits = {},
                 .m_flowTableCapacity = 256,
                 .m_seed = 1 } };
  StoreSynchronizer<FakeStore> m_storeSynchronizer{ m_store, m_host, [this] { return m_now; } };
  std::vector<LogLine> m_logLines;
};

} // namespace

TEST_CASE("settings are parsed, and an error lists every fault with its path")
{
  const auto settings = parseEdgeSettings(kSettings);
  REQUIRE(settings.ok());
  CHECK(settings->m_packetEndpoint == Endpoint{ Ipv4{ 0x0a000001 }, 8172 });
  CHECK(settings->m_seeds.size() == 2);
  CHECK(settings->m_coldSlack == 5);

  std::string invalid(kSettings);
  invalid.replace(invalid.find("10.0.0.1:8172"), 13, "10.0.0.1:none");
  invalid.replace(invalid.find("\"0.055\""), 7, "\"fast\"");
  const std::string message(parseEdgeSettings(invalid).status().message());
  CHECK(message.find("/packets") != std::string::npos);
  CHECK(message.find("/cpu_share") != std::string::npos);
  CHECK_FALSE(parseEdgeSettings("{").ok());

  std::string withDisabled(kSettings);
  withDisabled.insert(withDisabled.rfind('}'), R"(, "off": ["pace", "near-first"])");
  const auto settingsWithDisabled = parseEdgeSettings(withDisabled);
  REQUIRE(settingsWithDisabled.ok());
  CHECK_FALSE(settingsWithDisabled->m_mechanisms.isEnabled(Mechanism::SlowUpstreamAvoidance));
  CHECK_FALSE(settingsWithDisabled->m_mechanisms.isEnabled(Mechanism::LocalPreference));
  CHECK(settingsWithDisabled->m_mechanisms.isEnabled(Mechanism::FailedOpenAvoidance));
  withDisabled.replace(withDisabled.find("\"pace\""), 6, "\"peace\"");
  const std::string unknown(parseEdgeSettings(withDisabled).status().message());
  CHECK(unknown.find("/off") != std::string::npos);
  CHECK(unknown.find("growing-avoidance") != std::string::npos);
}

TEST_CASE("a change or an error of the settings file is reported once")
{
  const auto path = std::filesystem::temp_directory_path() /
                    ("tamarack-settings-" + std::to_string(::getpid()) + ".json");
  const auto write = [&](std::string_view aText) { std::ofstream(path) << aText; };
  write(kSettings);
  SettingsFile file(path);
  REQUIRE(file.read().ok());
  CHECK_FALSE(file.readIfChanged());

  std::string moved(kSettings);
  moved.replace(moved.find("10.0.0.1:8172"), 13, "10.0.0.9:8172");
  write(moved);
  const auto changed = file.readIfChanged();
  REQUIRE(changed);
  CHECK((*changed)->m_packetEndpoint.m_address == Ipv4{ 0x0a000009 });
  // The listening address changes only at a restart, so the file keeps differing from the settings
  // in force. That must not be reported again.
  CHECK_FALSE(file.readIfChanged());

  write("{");
  const auto refused = file.readIfChanged();
  REQUIRE(refused);
  CHECK_FALSE(refused->ok());
  CHECK_FALSE(file.readIfChanged());
  CHECK_FALSE(file.read().ok());

  std::filesystem::remove(path);
  CHECK(file.readIfChanged());
  CHECK_FALSE(file.readIfChanged());
}

namespace {

/// Makes a host that has loaded a service whose upstreams are all cold.
std::unique_ptr<Host>
hostWithColdUpstreams(uint32_t aSelf, const std::string& aDataCentre, TimePoint aNow)
{
  auto host = std::make_unique<Host>(HostOptions{ .m_peers = { .m_self = HostId{ aSelf },
                                                               .m_dataCentre = aDataCentre,
                                                               .m_capacity = 50,
                                                               .m_incarnation = 1,
                                                               .m_seeds = { HostId{ 1 } } },
                                                  .m_coldLimits = {},
                                                  .m_flowTableCapacity = 256,
                                                  .m_seed = aSelf });
  StoreUpdate reading = initialReading();
  std::get<registry::UpstreamRecord>(*reading.m_changes[0].m_record).m_warmUpLeft =
    Millis{ 60'000 };
  reading.m_configuration->push_back({ { RecordKind::Service, "reports" },
                                       { .m_number = 9 },
                                       registry::ServiceRecord{ .m_coldRequestsPerSecond = 20 } });
  host->onStoreAnswer(aNow, reading, false, aNow);
  return host;
}

/// Opens 200 flows within 800 ms and returns how many were forwarded.
int
openFlows(Host& aHost, TimePoint aNow)
{
  int forwarded = 0;
  for (uint16_t port = 1; port <= 200; ++port) {
    steering::FlowPacket packet{ .m_flow = { Ipv4{ 0x64400001 }, Ipv4{ 0xc6120001 }, port, 443 },
                                 .m_isSyn = true };
    const auto choice = aHost.decide(aNow + Millis{ port * 4 }, packet);
    forwarded += choice.m_action == steering::Action::Forward ? 1 : 0;
  }
  return forwarded;
}

/// Makes a host the reader: advances the time past a reader election, then confirms its records as
/// an answer of the store does.
void
electAsReader(Host& aHost, TimePoint& aNow)
{
  for (int step = 0; step < 40 && !aHost.isReader(); ++step) {
    aNow += Millis{ 100 };
    aHost.tick(aNow);
  }
  REQUIRE(aHost.isReader());
  aHost.peers().onStoreConfirmation(aNow);
  aHost.tick(aNow);
}

dissemination::StatusMessage
makeStatusFrom(uint32_t aHost, const std::string& aDataCentre)
{
  return { .m_sender = HostId{ aHost }, .m_dataCentre = aDataCentre, .m_incarnation = 1 };
}

} // namespace

TEST_CASE("the readers of all data centres together stay within the limit of a cold upstream")
{
  TimePoint now{ Millis{ 70'000 } };
  int forwarded = 0;
  for (const std::string dataCentre : { "natal", "ceara", "bahia", "recife" }) {
    TimePoint time = now;
    const auto host =
      hostWithColdUpstreams(static_cast<uint32_t>(dataCentre.size()) + 10, dataCentre, now);
    host->onStatus(time, makeStatusFrom(90, dataCentre));
    electAsReader(*host, time);
    host->onStatus(time, makeStatusFrom(90, dataCentre));
    host->tick(time);
    forwarded += openFlows(*host, time);
  }
  CHECK(forwarded > 0);
  CHECK(forwarded <= 20);
}

TEST_CASE(
  "a host that is partitioned from most of its data centre opens no flows to cold upstreams")
{
  TimePoint now{ Millis{ 70'000 } };
  const auto host = hostWithColdUpstreams(10, "natal", now);
  for (const uint32_t other : { 90U, 91U, 92U }) {
    host->onStatus(now, makeStatusFrom(other, "natal"));
  }
  now += Millis{ 3000 };
  electAsReader(*host, now);
  CHECK(openFlows(*host, now) == 0);

  // The host hears one of the three again, so it hears half of the four hosts. At most two parts of
  // a partitioned data centre can contain half of its hosts.
  now += Millis{ 2000 };
  host->onStatus(now, makeStatusFrom(90, "natal"));
  host->peers().onStoreConfirmation(now);
  host->tick(now);
  CHECK(openFlows(*host, now) > 0);

  // While the store is unreachable, every host tries to read it, so none may use the limit.
  now += Millis{ 2500 };
  host->onStatus(now, makeStatusFrom(90, "natal"));
  host->tick(now);
  CHECK(openFlows(*host, now) == 0);
}

TEST_CASE("a host that has heard no other host since its start opens no flows to cold upstreams")
{
  TimePoint now{ Millis{ 70'000 } };
  const auto host = hostWithColdUpstreams(10, "natal", now);
  electAsReader(*host, now);
  CHECK(openFlows(*host, now) == 0);
}

TEST_CASE("observations of an upstream by other hosts change its health and are logged once")
{
  TimePoint now{ Millis{ 70'000 } };
  const auto host = hostWithColdUpstreams(10, "natal", now);
  const auto token = host->directory().upstreams().front()->m_token.m_value;
  const auto logged = [&](EventId aEvent) {
    return std::ranges::count(host->takeLogLines(now), aEvent, &LogLine::m_event);
  };
  for (const uint32_t other : { 90U, 91U, 92U }) {
    dissemination::StatusMessage status = makeStatusFrom(other, "natal");
    status.m_healthReports = { { token, dissemination::HealthSignal::Slow, HostId{ other } } };
    host->onStatus(now, status);
  }
  CHECK(logged(EventId::UpstreamSlow) == 1);
  dissemination::StatusMessage status = makeStatusFrom(93, "natal");
  status.m_healthReports = { { token, dissemination::HealthSignal::Unresponsive, HostId{ 93 } } };
  host->onStatus(now, status);
  host->onStatus(now, status);
  CHECK(logged(EventId::UpstreamAvoided) == 1);
}

TEST_CASE("a host starts with stale records, brings them up to date and continues with watches")
{
  Fixture fixture;
  fixture.tick(Millis{ 100 });
  CHECK(fixture.m_store.m_calls == std::vector<std::string>{ "load-stale" });
  CHECK(fixture.m_host.decide(fixture.m_now, fixture.openingPacket()).m_action ==
        steering::Action::Drop);
  fixture.m_store.answer(initialReading());
  CHECK(fixture.m_host.decide(fixture.m_now, fixture.openingPacket()).m_action ==
        steering::Action::Forward);
  // A stale answer does not confirm that the records are current.
  CHECK(fixture.m_host.viewAge(fixture.m_now) == Millis{ -1 });
  for (int step = 0; step < 12; ++step) {
    fixture.tick(Millis{ 100 });
  }
  CHECK(fixture.m_store.m_calls.back() == "watch-10");
  // The records are unconfirmed, so the first watch has the short wait. It began 400 ms ago and
  // confirms the records as of the end of its wait.
  CHECK(fixture.m_store.m_wait == kUnconfirmedWatchWait);
  fixture.m_store.answer(StoreUpdate{ .m_revision = { .m_number = 10 } });
  CHECK(fixture.m_host.viewAge(fixture.m_now) == Millis{ 400 } - kUnconfirmedWatchWait);
  fixture.tick(Millis{ 100 });
  CHECK(fixture.m_store.m_wait == kWatchWait);
  fixture.tick(kWatchWait);
  fixture.m_store.answer(StoreUpdate{ .m_revision = { .m_number = 10 } });
  CHECK(fixture.m_host.viewAge(fixture.m_now) == Millis{ 0 });
  CHECK(fixture.hasLogged(EventId::RecordsLoaded));
  CHECK(fixture.hasLogged(EventId::ReadingStarted));
}

TEST_CASE("after a lost watch position the store is loaded again, and failing calls are retried "
          "with backoff")
{
  Fixture fixture;
  fixture.tick(Millis{ 100 });
  fixture.m_store.answer(initialReading());
  for (int step = 0; step < 12; ++step) {
    fixture.tick(Millis{ 100 });
  }
  fixture.m_store.answer(absl::OutOfRangeError("revision no longer available"));
  fixture.tick(Millis{ 0 });
  CHECK(fixture.m_store.m_calls.back() == "load");
  CHECK(fixture.hasLogged(EventId::StoreHistoryLost));
  StoreUpdate withoutUpstream = initialReading();
  withoutUpstream.m_revision = { .m_number = 20 };
  withoutUpstream.m_changes.clear();
  fixture.m_store.answer(std::move(withoutUpstream));
  // The upstream may only have lapsed because the store failed, so it still receives flows for a
  // while.
  CHECK(fixture.hasLogged(EventId::UpstreamLapsed));
  CHECK(fixture.m_host.decide(fixture.m_now, fixture.openingPacket()).m_action ==
        steering::Action::Forward);

  size_t calls = 0;
  for (int step = 0; step < 100; ++step) {
    fixture.tick(Millis{ 100 });
    if (fixture.m_store.m_done) {
      ++calls;
      fixture.m_store.answer(absl::UnavailableError("down"));
    }
  }
  CHECK(calls <= 10);
  CHECK(calls >= 5);
  CHECK(fixture.hasLogged(EventId::StoreLost));
  CHECK(fixture.hasLogged(EventId::ViewStale));
}

TEST_CASE(
  "a starting host reads the initial pages, and the rest only if no neighbour supplies the records")
{
  TimePoint now{ Millis{ 70'000 } };
  FakeStore store;
  Host host({ .m_peers = { .m_self = HostId{ 1 },
                           .m_dataCentre = "natal",
                           .m_capacity = 38,
                           .m_incarnation = 1,
                           .m_seeds = { HostId{ 2 } } },
              .m_coldLimits = {},
              .m_flowTableCapacity = 256,
              .m_seed = 1 });
  StoreSynchronizer<FakeStore> synchronizer{ store, host, [&now] { return now; } };
  const auto step = [&](Millis aTime) {
    now += aTime;
    host.tick(now);
    synchronizer.startCallIfDue(now);
  };
  step(Millis{});
  REQUIRE(store.m_done);
  dissemination::StatusMessage status = makeStatusFrom(2, "natal");
  status.m_revision = { .m_number = 10 };
  host.onStatus(now, status);
  CHECK(store.m_onPage({}));
  CHECK(store.m_onPage({}));
  CHECK_FALSE(store.m_onPage({}));
  store.answer(absl::CancelledError("not wanted"));
  CHECK(synchronizer.failures() == 0);
  step(Millis{ 25 });
  CHECK(store.m_calls.size() == 1);
  // The neighbour has transferred no records in time.
  step(kNeighbourSearchTimeout);
  CHECK(store.m_calls.size() == 2);
  CHECK(store.m_onPage({}));
}

TEST_CASE("an answer to an abandoned store call is ignored")
{
  Fixture fixture;
  fixture.tick(Millis{ 100 });
  const StoreAnswerHandler lateHandler = fixture.m_store.m_done;
  fixture.m_storeSynchronizer.abandonCall(fixture.m_now);
  lateHandler(initialReading());
  CHECK_FALSE(fixture.m_host.isLoaded());
  fixture.tick(Millis{ 100 });
  CHECK(fixture.m_store.m_calls.size() == 2);
}

TEST_CASE("a host that cannot reach the store serves with the records of another host")
{
  Fixture reader;
  reader.tick(Millis{ 100 });
  reader.m_store.answer(initialReading());
  Fixture partitioned;
  partitioned.m_host.onDifference(
    partitioned.m_now, reader.m_host.registry().changesSince({}), HostId{ 2 });
  CHECK(partitioned.m_host.isLoaded());
  CHECK(partitioned.m_host.decide(partitioned.m_now, partitioned.openingPacket()).m_action ==
        steering::Action::Forward);
}

TEST_CASE("log lines about flows are rate-limited, and the number of omitted lines is logged")
{
  Fixture fixture;
  fixture.tick(Millis{ 100 });
  fixture.m_store.answer(initialReading());
  size_t lines = 0;
  bool isOmissionLogged = false;
  for (int second = 0; second < 10; ++second) {
    for (uint16_t flow = 0; flow < 1000; ++flow) {
      steering::FlowPacket packet = fixture.openingPacket();
      packet.m_flow.m_sourcePort = flow;
      (void)fixture.m_host.decide(fixture.m_now, packet);
    }
    fixture.tick(Millis{ 1000 });
    for (const LogLine& line : fixture.m_host.takeLogLines(fixture.m_now)) {
      ++lines;
      isOmissionLogged = isOmissionLogged || line.m_event == EventId::LinesOmitted;
    }
  }
  CHECK(static_cast<double>(lines) <= kFlowLogLineBurst + 10 * kFlowLogLinesPerSecond + 20);
  CHECK(isOmissionLogged);
}

TEST_CASE("metrics, dumps and explanations show the loaded records")
{
  Fixture fixture;
  fixture.tick(Millis{ 100 });
  fixture.m_store.answer(initialReading());
  const ProcessCounters counters;
  const logging::LatencyHistogram none;
  const DiagnosticInputs inputs{ fixture.m_host, counters, none, none, fixture.m_now };
  CHECK(writeMetrics(inputs).find("tamarack_upstreams 1") != std::string::npos);
  CHECK(writeDump(inputs).find("\"presence\": \"registered\"") != std::string::npos);
  const auto text = writeExplanation(inputs, "100.64.0.1:1000,198.18.0.1:443");
  REQUIRE(text.ok());
  CHECK(text->find("\"route\": \"r\"") != std::string::npos);
  CHECK(writeExplanation(inputs, "tcp,100.64.0.1:1000,198.18.0.1:443").ok());
  CHECK_FALSE(writeExplanation(inputs, "nonsense").ok());
}

TEST_CASE("an exception in the handler of one message is logged, and the next message is handled")
{
  Fixture fixture;
  int handled = 0;
  const auto handle = [&](bool aIsBad) {
    return catchAndLog(fixture.m_host, "status", [&] {
      if (aIsBad) {
        throw std::out_of_range("index 7");
      }
      ++handled;
    });
  };
  CHECK(handle(false));
  CHECK_FALSE(handle(true));
  CHECK(handle(false));
  CHECK(handled == 2);
  CHECK(fixture.hasLogged(EventId::MessageFailed));
}

TEST_CASE("a dump succeeds when a record name is not valid UTF-8")
{
  Fixture fixture;
  registry::Delta difference{ .m_revision = { .m_number = 12 }, .m_isSnapshot = true };
  Change change = initialReading().m_changes[0];
  change.m_key.m_name = "i-\xff\xfe";
  difference.m_changes = { change };
  const auto received = registry::decodeDelta(registry::encodeDelta(difference));
  REQUIRE(received.ok());
  fixture.m_host.onDifference(fixture.m_now, *received, HostId{ 2 });
  const ProcessCounters counters;
  const logging::LatencyHistogram none;
  const DiagnosticInputs inputs{ fixture.m_host, counters, none, none, fixture.m_now };
  std::string dump;
  CHECK_NOTHROW(dump = writeDump(inputs));
  CHECK(dump.find("\"presence\": \"registered\"") != std::string::npos);
}
