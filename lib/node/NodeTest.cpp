// Tests of host decisions under moves, crashes, partitions, pauses and full tables. Each test runs
// a cluster of one to five hosts in memory with a simulated clock.
#include "node/Node.h"
#include "settings/LastKnownGoodSettings.h"

#include <doctest/doctest.h>
#include <memory>

using namespace tamarack;
using namespace tamarack::node;

namespace {

constexpr uint32_t kFirstHost = 0x0a000001;
constexpr Ipv4 kVip{ 0xc633640a };
constexpr TimePoint kStart{ Millis{ 1'000'000 } };

settings::Json
makeDocument()
{
  return settings::Json::parse(R"({
    "format": 1, "seed": 7,
    "data_centres": {"a": {"region": "r"}, "b": {"region": "r"}},
    "grants": {"t": {"addresses": ["198.51.100.10"], "upstream_networks": ["10.1.0.0/16"]}},
    "teams": {"t": {
      "services": {"s": {"address": "198.51.100.10", "ports": [443], "pool": "p"}},
      "pools": {"p": {"buckets": 64, "idle_timeout_s": 5,
        "limits": {"connections": 2000, "slots": 4,
                   "cold_start": {"seconds": 10, "new_flows_per_s": 20}},
        "upstreams": {"u1": {"address": "10.1.0.1", "data_centre": "a", "state": "in"},
                      "u2": {"address": "10.1.0.2", "data_centre": "a", "state": "in"},
                      "u3": {"address": "10.1.0.3", "data_centre": "b", "state": "in"}}}}}}
  })");
}

/// Hosts that exchange frames without delay or loss. The clock advances only in `run`.
class TestCluster
{
public:
  explicit TestCluster(size_t aHosts)
  {
    for (size_t index = 0; index < aHosts; ++index) {
      add();
    }
    publishSettings(makeDocument());
    run(Millis{ 6000 });
  }

  size_t add()
  {
    NodeOptions options{ .m_self = HostId{ kFirstHost + static_cast<uint32_t>(m_nodes.size()) },
                         .m_dataCentre = "a",
                         .m_incarnation = ++m_incarnations };
    options.m_seeds = { HostId{ kFirstHost }, HostId{ kFirstHost + 1 } };
    m_nodes.push_back(std::make_unique<Node>(options, m_now));
    m_isPartitioned.push_back(false);
    m_isPaused.push_back(false);
    if (!m_document.is_null()) {
      applySettings(m_nodes.size() - 1);
    }
    return m_nodes.size() - 1;
  }

  void publishSettings(const settings::Json& aDocument)
  {
    m_document = aDocument;
    ++m_revision;
    for (size_t index = 0; index < m_nodes.size(); ++index) {
      applySettings(index);
    }
  }

  void applySettings(size_t aHost)
  {
    settings::LastKnownGoodSettings lastKnownGood;
    REQUIRE(lastKnownGood.applyDocument(m_revision, m_document.dump()).m_errors.empty());
    m_nodes[aHost]->onSettings(m_now, lastKnownGood.settings());
  }

  void run(Millis aTime)
  {
    for (const TimePoint end = m_now + aTime; m_now < end; m_now += kTickInterval) {
      for (size_t index = 0; index < m_nodes.size(); ++index) {
        if (m_nodes[index] && !m_isPaused[index]) {
          tickHost(index);
        }
      }
    }
  }

  Decision send(size_t aHost, uint16_t aPort, bool aOpens, uint8_t aHops = 0)
  {
    PacketArrival arrival{ .m_hops = aHops };
    arrival.m_meta.m_flow = flowOf(aPort);
    arrival.m_meta.m_opensFlow = aOpens;
    return m_nodes[aHost]->decide(m_now, arrival);
  }

  /// Sends a packet to a host and follows relays until a host returns another verdict.
  Decision sendThroughRelays(size_t aHost, uint16_t aPort, bool aOpens)
  {
    Decision decision = send(aHost, aPort, aOpens);
    for (uint8_t hops = 1; decision.m_verdict == Verdict::Relay; ++hops) {
      decision = send(decision.m_relayTo.m_value - kFirstHost, aPort, aOpens, hops);
    }
    return decision;
  }

  static packet::FlowKey flowOf(uint16_t aPort)
  {
    return { .m_source = { 0x64000001 },
             .m_destination = kVip,
             .m_sourcePort = aPort,
             .m_destinationPort = 443 };
  }

  ServiceState& service(size_t aHost)
  {
    return *m_nodes[aHost]->context().findService(settings::makeServiceId("s"));
  }
  size_t countPhase(size_t aHost, mapping::Phase aPhase)
  {
    size_t count = 0;
    for (const mapping::Bucket& bucket : service(aHost).m_map.buckets()) {
      count += bucket.m_phase == aPhase ? 1 : 0;
    }
    return count;
  }

  size_t countOwned(size_t aHost)
  {
    size_t count = 0;
    for (const mapping::Bucket& bucket : service(aHost).m_map.buckets()) {
      count += bucket.m_owner == m_nodes[aHost]->context().m_membership.self() ? 1 : 0;
    }
    return count;
  }

  void setProbeReport(const admission::UpstreamReport& aReport) { m_probeReport = aReport; }

  TimePoint m_now{ kStart };
  std::vector<std::unique_ptr<Node>> m_nodes;
  std::vector<bool> m_isPartitioned;
  std::vector<bool> m_isPaused;
  bool m_areSettingsConfirmed{ true };

private:
  void tickHost(size_t aHost)
  {
    Node& node = *m_nodes[aHost];
    if (m_areSettingsConfirmed) {
      node.onSettingsConfirmed(m_now);
    }
    node.tick(m_now);
    for (const ProbeTarget& target : node.probeTargets(m_now)) {
      admission::UpstreamReport report = m_probeReport;
      report.m_service = target.m_service;
      report.m_upstream = target.m_upstream;
      node.onProbeResult(m_now, report);
    }
    sendFrames(aHost);
  }

  void sendFrames(size_t aHost)
  {
    for (const OutgoingFrame& frame : m_nodes[aHost]->takeFrames(m_now)) {
      const size_t to = frame.m_to.m_value - kFirstHost;
      if (to < m_nodes.size() && m_nodes[to] && !m_isPartitioned[to] && !m_isPartitioned[aHost] &&
          !m_isPaused[to]) {
        m_nodes[to]->onFrame(m_now, frame.m_frame);
        sendFrames(to);
      }
    }
  }

  settings::Json m_document;
  settings::Revision m_revision{};
  uint32_t m_incarnations{};
  admission::UpstreamReport m_probeReport{ .m_answered = true,
                                           .m_identityMatches = true,
                                           .m_run = 1 };
};

settings::Json
documentWithDrained(const char* aUpstream)
{
  settings::Json document = makeDocument();
  document["teams"]["t"]["pools"]["p"]["upstreams"][aUpstream]["state"] = "draining";
  return document;
}

/// Returns a source port, at least `aFrom`, whose flow goes to the upstream with this address.
uint16_t
findPortTo(TestCluster& aCluster, Ipv4 aAddress, uint16_t aFrom = 1000)
{
  for (uint16_t port = aFrom; port < 60'000; ++port) {
    const Decision decision = aCluster.sendThroughRelays(0, port, false);
    if (decision.m_verdict == Verdict::Forward && decision.m_address == aAddress) {
      return port;
    }
  }
  FAIL("no source port gives a flow to the upstream");
  return 0;
}

constexpr Ipv4 kUpstream1{ 0x0a010001 };
constexpr Ipv4 kUpstream3{ 0x0a010003 };

} // namespace

TEST_CASE("all hosts of a stable cluster forward a flow to the same upstream without relaying")
{
  TestCluster cluster(3);
  for (uint16_t port = 1000; port < 1200; ++port) {
    const Decision first = cluster.send(0, port, true);
    REQUIRE(first.m_verdict == Verdict::Forward);
    CHECK(cluster.send(1, port, false).m_address == first.m_address);
    CHECK(cluster.send(2, port, false).m_address == first.m_address);
  }
}

TEST_CASE("a drained upstream keeps its running flows and gets no new ones")
{
  TestCluster cluster(3);
  const uint16_t running = findPortTo(cluster, kUpstream1);
  cluster.publishSettings(documentWithDrained("u1"));
  cluster.run(Millis{ 3000 });
  CHECK(cluster.sendThroughRelays(1, running, false).m_address == kUpstream1);
  size_t moved = 0;
  for (uint16_t port = 2000; port < 2400; ++port) {
    const Decision opened = cluster.sendThroughRelays(port % 3, port, true);
    REQUIRE(opened.m_verdict == Verdict::Forward);
    CHECK(opened.m_address != kUpstream1);
    CHECK(cluster.sendThroughRelays((port + 1) % 3, port, false).m_address == opened.m_address);
    const auto& bucket = cluster.service(0).m_map[opened.m_bucket];
    moved += bucket.m_phase == mapping::Phase::Moving ? 1 : 0;
  }
  CHECK(moved > 0);
}

TEST_CASE("a SYN that is retransmitted during a bucket move goes to the upstream of the first SYN")
{
  TestCluster cluster(3);
  const uint16_t port = findPortTo(cluster, kUpstream1);
  cluster.publishSettings(documentWithDrained("u1"));
  cluster.run(Millis{ 600 });
  REQUIRE(cluster.countPhase(0, mapping::Phase::Prepare) > 0);
  CHECK(cluster.sendThroughRelays(0, port, true).m_address == kUpstream1);
  cluster.run(Millis{ 2000 });
  REQUIRE(cluster.countPhase(0, mapping::Phase::Moving) > 0);
  CHECK(cluster.sendThroughRelays(1, port, true).m_address == kUpstream1);
}

TEST_CASE("a host that does not receive a prepared move loses its map lease before new flows move")
{
  TestCluster cluster(3);
  const ServiceId service = settings::makeServiceId("s");
  const HostId coordinator = cluster.m_nodes[0]->context().m_membership.coordinatorOf(service);
  const size_t coordinatorIndex = coordinator.m_value - kFirstHost;
  const size_t partitionedHost = (coordinatorIndex + 1) % 3;
  cluster.m_isPartitioned[partitionedHost] = true;
  cluster.publishSettings(documentWithDrained("u1"));
  const auto hasLease = [&] {
    return cluster.m_nodes[partitionedHost]->context().m_membership.hasLease(coordinator,
                                                                             cluster.m_now);
  };
  CHECK(hasLease());
  for (int step = 0; step < 20; ++step) {
    cluster.run(kTickInterval);
    const bool newFlowsMove = cluster.countPhase(coordinatorIndex, mapping::Phase::Moving) > 0;
    CHECK_FALSE((newFlowsMove && hasLease()));
  }
  CHECK(cluster.countPhase(coordinatorIndex, mapping::Phase::Moving) > 0);
}

TEST_CASE("a single host that is both coordinator and owner settles its moves")
{
  // Regression test: messages from a host to itself were queued for a peer that does not exist and
  // never delivered.
  TestCluster cluster(1);
  cluster.publishSettings(documentWithDrained("u1"));
  cluster.run(Millis{ 30'000 });
  CHECK(cluster.countPhase(0, mapping::Phase::Stable) == 64);
  for (const mapping::Bucket& bucket : cluster.service(0).m_map.buckets()) {
    CHECK(cluster.service(0).find(bucket.m_base)->m_address != kUpstream1);
  }
}

TEST_CASE("a running flow keeps its pin after the move of its bucket has settled")
{
  TestCluster cluster(3);
  const uint16_t longFlow = findPortTo(cluster, kUpstream1);
  cluster.publishSettings(documentWithDrained("u1"));
  for (int round = 0; round < 30; ++round) {
    cluster.run(Millis{ 1000 });
    CHECK(cluster.sendThroughRelays(static_cast<size_t>(round) % 3, longFlow, false).m_address ==
          kUpstream1);
  }
  CHECK(cluster.countPhase(0, mapping::Phase::Moving) == 0);
  CHECK(cluster.countPhase(0, mapping::Phase::Pinned) == 1);
  // No further packet of the flow arrives, so its pin expires.
  cluster.run(Millis{ 10'000 });
  CHECK(cluster.countPhase(0, mapping::Phase::Stable) == 64);
}

TEST_CASE("the replica serves the pinned flows of an owner that crashed")
{
  TestCluster cluster(3);
  cluster.publishSettings(documentWithDrained("u1"));
  cluster.run(Millis{ 3000 });
  std::map<uint16_t, Ipv4> opened;
  for (uint16_t port = 3000; port < 3400; ++port) {
    opened[port] = cluster.sendThroughRelays(0, port, true).m_address;
  }
  cluster.run(Millis{ 1000 });
  for (size_t crashedHost = 0; crashedHost < 3; ++crashedHost) {
    if (cluster.countOwned(crashedHost) > 0) {
      cluster.m_nodes[crashedHost].reset();
      break;
    }
  }
  cluster.run(Millis{ 4000 });
  for (const auto& [port, address] : opened) {
    for (size_t host = 0; host < 3; ++host) {
      if (cluster.m_nodes[host]) {
        CHECK(cluster.sendThroughRelays(host, port, false).m_address == address);
      }
    }
  }
}

TEST_CASE("a planned stop hands over all pins before it completes")
{
  TestCluster cluster(3);
  cluster.publishSettings(documentWithDrained("u1"));
  cluster.run(Millis{ 3000 });
  std::map<uint16_t, Ipv4> opened;
  for (uint16_t port = 3000; port < 3400; ++port) {
    opened[port] = cluster.sendThroughRelays(0, port, true).m_address;
  }
  size_t leavingHost = 0;
  while (cluster.countOwned(leavingHost) == 0) {
    ++leavingHost;
  }
  cluster.m_nodes[leavingHost]->startLeaving(cluster.m_now);
  for (int step = 0; step < 100 && !cluster.m_nodes[leavingHost]->hasLeft(); ++step) {
    cluster.run(kTickInterval);
    for (const auto& [port, address] : opened) {
      const Decision decision = cluster.sendThroughRelays((leavingHost + 1) % 3, port, false);
      const bool isKept = decision.m_verdict == Verdict::Forward && decision.m_address == address;
      const bool isSilent = decision.m_verdict == Verdict::Refuse &&
                            errorRow(decision.m_error).m_response == ErrorResponse::Drop;
      CHECK((isKept || isSilent));
    }
  }
  REQUIRE(cluster.m_nodes[leavingHost]->hasLeft());
  cluster.run(Millis{ 500 });
  CHECK(cluster.countOwned(leavingHost) == 0);
}

TEST_CASE("with a full pin table new flows go to the base upstream and existing pins are kept")
{
  TestCluster cluster(1);
  // The table is filled directly; opening 200,000 flows would take longer and test nothing more.
  ServiceState& service = cluster.service(0);
  settings::Json document = makeDocument();
  document["teams"]["t"]["pools"]["p"]["upstreams"]["u4"] = { { "address", "10.1.0.4" },
                                                              { "data_centre", "a" } };
  cluster.publishSettings(document);
  cluster.run(Millis{ 15'000 });
  for (uint64_t flow = 1; service.m_pins.size() < service.m_pins.capacity(); ++flow) {
    service.m_pins.insertOrAssign(FlowId{ flow },
                                  { .m_upstream = UpstreamId{ 1 }, .m_lastSeen = cluster.m_now });
  }
  for (uint16_t port = 4000; port < 4200; ++port) {
    const Decision decision = cluster.send(0, port, true);
    REQUIRE(decision.m_verdict == Verdict::Forward);
    CHECK(decision.m_upstream == service.m_map[decision.m_bucket].m_base);
  }
  CHECK(service.m_pins.size() == service.m_pins.capacity());
}

TEST_CASE("a data centre that is taken out of service gets no packets, and its flows are reset")
{
  TestCluster cluster(3);
  const uint16_t port = findPortTo(cluster, kUpstream3);
  settings::Json document = makeDocument();
  document["data_centres"]["b"]["state"] = "out";
  cluster.publishSettings(document);
  // Until the host receives the move, it cannot distinguish old flows from new ones, so it gives no
  // answer.
  CHECK(cluster.send(0, port, false).m_verdict == Verdict::Retry);
  cluster.run(Millis{ 300 });
  const Decision running = cluster.sendThroughRelays(0, port, false);
  CHECK(running.m_verdict == Verdict::Refuse);
  CHECK(running.m_error == ErrorKind::DataCentreOut);
  CHECK(errorRow(running.m_error).m_response == ErrorResponse::ResetFlowEnded);
  cluster.run(Millis{ 1000 });
  for (uint16_t newPort = 5000; newPort < 5200; ++newPort) {
    const Decision decision = cluster.sendThroughRelays(newPort % 3, newPort, true);
    REQUIRE(decision.m_verdict == Verdict::Forward);
    CHECK(decision.m_address != kUpstream3);
  }
}

TEST_CASE("flows of a replaced upstream are refused although a new generation uses its address")
{
  TestCluster cluster(3);
  const uint16_t port = findPortTo(cluster, kUpstream3);
  settings::Json document = makeDocument();
  document["teams"]["t"]["pools"]["p"]["upstreams"]["u3"]["generation"] = 2;
  cluster.publishSettings(document);
  cluster.run(Millis{ 300 });
  const Decision decision = cluster.sendThroughRelays(0, port, false);
  CHECK(decision.m_verdict == Verdict::Refuse);
  CHECK(decision.m_error == ErrorKind::UpstreamGone);
}

TEST_CASE("a packet is refused if the relaying host matched it to another service")
{
  TestCluster cluster(1);
  PacketArrival arrival{ .m_hops = 1, .m_relayedService = ServiceId{ 12345 } };
  arrival.m_meta.m_flow = TestCluster::flowOf(1000);
  CHECK(cluster.m_nodes[0]->decide(cluster.m_now, arrival).m_error == ErrorKind::ServiceMismatch);
}

TEST_CASE("a packet that exceeds the limit of relay hops is refused as looping")
{
  TestCluster cluster(1);
  CHECK(cluster.send(0, 1000, false, kMaxHops + 1).m_error == ErrorKind::PacketLooping);
}

TEST_CASE("a host that was paused holds its decisions until it has heard a peer")
{
  TestCluster cluster(3);
  cluster.m_isPaused[1] = true;
  cluster.run(Millis{ 5000 });
  CHECK(cluster.send(1, 1000, false).m_error == ErrorKind::DecisionsHeld);
  cluster.m_isPaused[1] = false;
  cluster.run(Millis{ 2500 });
  CHECK(cluster.send(1, 1000, false).m_verdict == Verdict::Forward);
}

TEST_CASE("without fresh settings only upstreams with a confirmed identity get packets")
{
  TestCluster cluster(1);
  cluster.m_areSettingsConfirmed = false;
  cluster.run(Millis{ 12'000 });
  CHECK(cluster.send(0, 1000, false).m_verdict == Verdict::Forward);
  // Upstreams of another generation answer the probes at all addresses.
  cluster.setProbeReport({ .m_answered = true, .m_identityMatches = false });
  cluster.run(Millis{ 200 });
  CHECK(cluster.send(0, 1000, false).m_error == ErrorKind::UpstreamUnconfirmed);
}

TEST_CASE(
  "when all upstreams of a service are busy, new flows are refused and running ones continue")
{
  TestCluster cluster(1);
  const uint16_t running = findPortTo(cluster, kUpstream1);
  cluster.setProbeReport(
    { .m_answered = true, .m_identityMatches = true, .m_sheds = true, .m_run = 1 });
  cluster.run(Millis{ 8000 });
  const Decision refused = cluster.send(0, 6000, true);
  CHECK(refused.m_error == ErrorKind::NoCapacity);
  CHECK(errorRow(refused.m_error).m_response == ErrorResponse::ResetFlowNotStarted);
  CHECK(cluster.send(0, running, false).m_address == kUpstream1);
}

TEST_CASE("a host that joins a running cluster forwards nothing until it has its peers' maps")
{
  TestCluster cluster(2);
  cluster.publishSettings(documentWithDrained("u1"));
  cluster.run(Millis{ 3000 });
  const size_t lateHost = cluster.add();
  CHECK(cluster.send(lateHost, 1000, true).m_verdict != Verdict::Forward);
  cluster.run(Millis{ 3000 });
  CHECK(cluster.m_nodes[lateHost]->mapDigest() == cluster.m_nodes[0]->mapDigest());
}

TEST_CASE("a host that has just received its maps neither acts as coordinator nor replaces owners")
{
  // Regression test: a restarted host acted as coordinator before it had heard the owner of moving
  // buckets, and replaced an owner that was alive.
  TestCluster cluster(4);
  cluster.publishSettings(documentWithDrained("u1"));
  cluster.run(Millis{ 3000 });
  const auto ownersOf = [&](size_t aHost) {
    std::vector<HostId> owners;
    for (const mapping::Bucket& bucket : cluster.service(aHost).m_map.buckets()) {
      owners.push_back(bucket.m_owner);
    }
    return owners;
  };
  const auto before = ownersOf(0);
  const size_t lateHost = cluster.add();
  for (int step = 0; step < 10; ++step) {
    cluster.run(kTickInterval);
    const auto& members = cluster.m_nodes[lateHost]->context().m_membership;
    CHECK(members.coordinatorOf(settings::makeServiceId("s")) != members.self());
    CHECK(ownersOf(0) == before);
  }
  cluster.run(Millis{ 2500 });
  CHECK(cluster.m_nodes[lateHost]->context().m_membership.candidates().size() == 5);
}
