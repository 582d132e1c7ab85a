// Tests where a starting host gets its records from, and that a transfer never replaces records by
// older ones.
#include "edge/BootstrapPolicy.h"
#include "edge/Host.h"

#include <doctest/doctest.h>

using namespace tamarack;
using namespace tamarack::edge;

namespace {

using registry::Change;
using registry::RecordKind;
using registry::StoreUpdate;

constexpr TimePoint kStart{ Millis{ 70'000 } };

HostOptions
makeOptions(uint32_t aSelf)
{
  return { .m_peers = { .m_self = HostId{ aSelf },
                        .m_dataCentre = "natal",
                        .m_capacity = 38,
                        .m_incarnation = 1,
                        .m_seeds = { HostId{ 1 }, HostId{ 2 } } },
           .m_coldLimits = {},
           .m_flowTableCapacity = 256,
           .m_seed = aSelf };
}

Change
upstreamRecord(const std::string& aName, uint64_t aIdentity, uint64_t aRevision)
{
  return { { RecordKind::Upstream, aName },
           { .m_number = aRevision },
           registry::UpstreamRecord{ .m_service = "reports",
                                     .m_dataCentre = "natal",
                                     .m_address = Ipv4{ 0x0a800000U + uint32_t(aIdentity) },
                                     .m_port = 80,
                                     .m_identity = aIdentity,
                                     .m_slots = 4 } };
}

/// The content of the store at revision 10: two upstreams and one route.
StoreUpdate
readingAtRevision10()
{
  StoreUpdate reading{ .m_revision = { .m_number = 10 }, .m_isSnapshot = true };
  reading.m_changes = { upstreamRecord("i-1", 1, 3), upstreamRecord("i-2", 2, 4) };
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

/// The content of the store at revision 20: the second upstream and the route have been removed.
StoreUpdate
readingAtRevision20()
{
  StoreUpdate reading = readingAtRevision10();
  reading.m_revision = { .m_number = 20 };
  reading.m_changes.pop_back();
  reading.m_configuration =
    std::vector<Change>{ { { RecordKind::Configuration, "" },
                           { .m_number = 19 },
                           registry::ConfigurationRecord{ 5, Millis{ 15'000 } } } };
  return reading;
}

dissemination::StatusMessage
makeStatusFrom(uint32_t aHost, uint64_t aRevision, int64_t aAgeMs)
{
  return { .m_sender = HostId{ aHost },
           .m_dataCentre = "natal",
           .m_incarnation = 1,
           .m_revision = { .m_number = aRevision },
           .m_confirmationAgeMs = aAgeMs };
}

steering::FlowPacket
openingPacket(uint16_t aPort = 1000)
{
  return { .m_flow = { Ipv4{ 0x64400001 }, Ipv4{ 0xc6120001 }, aPort, 443 }, .m_isSyn = true };
}

} // namespace

TEST_CASE("a starting host does not read the store while a neighbour transfers its records")
{
  BootstrapPolicy policy;
  policy.start(kStart, true);
  CHECK(policy.storeReadReason(kStart).empty());
  policy.onHostHeard(true);
  policy.onTransferStarted(kStart + Millis{ 50 });
  CHECK(policy.storeReadReason(kStart + kNeighbourSearchTimeout).empty());
  CHECK(policy.storeReadReason(kStart + Millis{ 50 } + kSlowTransferThreshold) == "transfer-slow");
  policy.onTransferFailed();
  CHECK(policy.storeReadReason(kStart + Millis{ 100 }) == "transfer-failed");
}

TEST_CASE("a starting host reads the store as soon as no other host can supply records")
{
  BootstrapPolicy withoutSeeds;
  withoutSeeds.start(kStart, false);
  CHECK(withoutSeeds.storeReadReason(kStart) == "no-seeds");

  BootstrapPolicy withoutAnswer;
  withoutAnswer.start(kStart, true);
  CHECK(withoutAnswer.storeReadReason(kStart + kFirstStatusTimeout - Millis{ 1 }).empty());
  CHECK(withoutAnswer.storeReadReason(kStart + kFirstStatusTimeout) == "no-answer");

  BootstrapPolicy withoutTransfer;
  withoutTransfer.start(kStart, true);
  withoutTransfer.onHostHeard(true);
  CHECK(withoutTransfer.storeReadReason(kStart + kFirstStatusTimeout).empty());
  CHECK(withoutTransfer.storeReadReason(kStart + kNeighbourSearchTimeout) == "no-neighbour");

  // All hosts lost power, so those that answer have just started as well.
  BootstrapPolicy afterFullOutage;
  afterFullOutage.start(kStart, true);
  CHECK(afterFullOutage.storeReadReason(kStart + Millis{ 10 }).empty());
  afterFullOutage.onHostHeard(false);
  CHECK(afterFullOutage.storeReadReason(kStart + Millis{ 10 }) == "neighbours-empty");

  // Half of the hosts lost power, so one that kept running can supply records.
  BootstrapPolicy afterPartialOutage;
  afterPartialOutage.start(kStart, true);
  afterPartialOutage.onHostHeard(true);
  afterPartialOutage.onHostHeard(false);
  CHECK(afterPartialOutage.storeReadReason(kStart + Millis{ 10 }).empty());
}

TEST_CASE(
  "a starting host pulls from a neighbour with confirmed records, and after a delay from any host")
{
  Host host(makeOptions(3));
  host.tick(kStart);
  CHECK(host.shouldPull(kStart, makeStatusFrom(4, 10, 300)));
  CHECK_FALSE(host.shouldPull(kStart, makeStatusFrom(4, 10, -1)));
  CHECK_FALSE(host.shouldPull(kStart, makeStatusFrom(4, 10, 30'000)));
  dissemination::StatusMessage remoteStatus = makeStatusFrom(4, 10, 300);
  remoteStatus.m_dataCentre = "recife";
  CHECK_FALSE(host.shouldPull(kStart, remoteStatus));
  const TimePoint later = kStart + kSlowTransferThreshold;
  CHECK(host.shouldPull(later, remoteStatus));
  CHECK(host.shouldPull(later, makeStatusFrom(4, 10, 30'000)));
}

TEST_CASE("an outdated snapshot does not restore a removed upstream or route")
{
  // One neighbour has been partitioned since revision 10; the store and the other hosts are at 20.
  Host partitioned(makeOptions(4));
  partitioned.onStoreAnswer(kStart, readingAtRevision10(), false, kStart);
  Host current(makeOptions(5));
  current.onStoreAnswer(kStart, readingAtRevision20(), false, kStart);

  // The host may serve with the records of the partitioned neighbour, but they are not confirmed.
  Host host(makeOptions(3));
  host.tick(kStart);
  host.onStatus(kStart, makeStatusFrom(4, 10, 30'000));
  host.onDifference(kStart, partitioned.registry().changesSince({}), HostId{ 2 });
  host.onStatus(kStart, makeStatusFrom(5, 20, 100));
  CHECK(host.viewAge(kStart) >= Millis{ 30'000 });

  // The changes after revision 10 arrive, and then a duplicate of the outdated snapshot.
  host.onDifference(kStart, current.registry().changesSince({ .m_number = 10 }), HostId{ 2 });
  host.onDifference(kStart, partitioned.registry().changesSince({}), HostId{ 2 });
  CHECK(host.registry().appliedRevision().m_number == 20);
  CHECK(host.viewAge(kStart) <= Millis{ 100 });
  CHECK(host.directory().findRoute(Ipv4{ 0xc6120001 }, 443) == nullptr);
  CHECK(host.decide(kStart, openingPacket()).m_action == steering::Action::Reset);
  for (const auto& known : host.directory().upstreams()) {
    CHECK(known->acceptsNewFlows() == (known->m_record.m_identity == 1));
  }

  // In the other order, a host that already holds newer records ignores the outdated snapshot.
  Host upToDate(makeOptions(3));
  upToDate.onDifference(kStart, current.registry().changesSince({}), HostId{ 2 });
  upToDate.onDifference(kStart, partitioned.registry().changesSince({}), HostId{ 2 });
  CHECK(upToDate.registry().appliedRevision().m_number == 20);
  CHECK(upToDate.decide(kStart, openingPacket()).m_action != steering::Action::Forward);
}

TEST_CASE("a host with a neighbour's snapshot forwards packets, and its records are as old as the "
          "neighbour's")
{
  Host neighbour(makeOptions(4));
  neighbour.onStoreAnswer(kStart, readingAtRevision10(), false, kStart);
  Host host(makeOptions(3));
  host.tick(kStart);
  host.onStatus(kStart, makeStatusFrom(4, 10, 100));
  host.onDifference(kStart, neighbour.registry().changesSince({}), HostId{ 2 });
  CHECK(host.isLoaded());
  CHECK(host.viewAge(kStart) == Millis{ 100 });
  CHECK(host.decide(kStart, openingPacket()).m_action == steering::Action::Forward);

  // The initial records are logged in one line, later ones in one line each.
  const auto logged = [&](EventId aEvent) {
    return std::ranges::count(host.takeLogLines(kStart), aEvent, &LogLine::m_event);
  };
  CHECK(logged(EventId::UpstreamRegistered) == 0);
  neighbour.onStoreAnswer(
    kStart,
    { .m_revision = { .m_number = 11 }, .m_changes = { upstreamRecord("i-3", 3, 11) } },
    false,
    kStart);
  host.onDifference(kStart, neighbour.registry().changesSince({ .m_number = 10 }), HostId{ 2 });
  CHECK(logged(EventId::UpstreamRegistered) == 1);
}

TEST_CASE(
  "a host places flows before all records are loaded once it has routes and enough upstreams")
{
  // After a power failure of all hosts, each first reads one page of upstreams and the
  // configuration.
  Host host(makeOptions(3));
  host.tick(kStart);
  StoreUpdate page;
  for (uint64_t identity = 1; identity <= kMinPlacementCandidates; ++identity) {
    CHECK_FALSE(host.canDecide(kStart, openingPacket()));
    page.m_changes = { upstreamRecord("i-" + std::to_string(identity), identity, 3) };
    host.onStorePage(kStart, page);
  }
  CHECK_FALSE(host.canDecide(kStart, openingPacket()));
  StoreUpdate configurationPage;
  configurationPage.m_configuration = readingAtRevision10().m_configuration;
  host.onStorePage(kStart, configurationPage);
  REQUIRE(host.canDecide(kStart, openingPacket()));
  CHECK(host.decide(kStart, openingPacket()).m_action == steering::Action::Forward);
  // An unknown route or token may still be on a page that has not been read.
  steering::FlowPacket other = openingPacket();
  other.m_flow.m_destinationPort = 444;
  CHECK_FALSE(host.canDecide(kStart, other));
  steering::FlowPacket midFlow = openingPacket();
  midFlow.m_isSyn = false;
  midFlow.m_token = steering::Token{ 12345 };
  CHECK_FALSE(host.canDecide(kStart, midFlow));
}
