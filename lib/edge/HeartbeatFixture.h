// Two hosts before upstreams that register in a store and renew their entries: one host reads the
// store, the other one gets its records from the first. Tests say which upstreams run, and which
// of them the packets of a host reach.
#pragma once

#include "edge/Host.h"
#include "registry/RecordCodec.h"

#include <array>
#include <doctest/doctest.h>
#include <map>
#include <set>

namespace tamarack::edge {

inline constexpr Millis kTestTick{ 100 };
inline constexpr Millis kHeartbeatInterval{ 1200 };
inline constexpr Ipv4 kTestAddress{ 0xc6120001 };
inline constexpr uint16_t kFeedPort = 443;
inline constexpr uint16_t kEntryPort = 444;

class HeartbeatFixture
{
public:
  HeartbeatFixture()
  {
    for (size_t index = 0; index < m_hosts.size(); ++index) {
      m_hosts[index] = std::make_unique<Host>(
        HostOptions{ .m_peers = { .m_self = HostId{ 0x0a400001 + static_cast<uint32_t>(index) },
                                  .m_dataCentre = "near",
                                  .m_capacity = 50,
                                  .m_incarnation = 1,
                                  .m_seeds = { HostId{ 0x0a400001 } } },
                     .m_coldLimits = {},
                     .m_flowTableCapacity = 1024,
                     .m_seed = 1 + index });
    }
    setRoutes("reports");
  }

  Host& reader() { return *m_hosts[0]; }
  Host& follower() { return *m_hosts[1]; }

  /// Writes a configuration whose routes lead to a service. It also lists the service "manuals".
  void setRoutes(const std::string& aService)
  {
    using registry::Change;
    using registry::RecordKind;
    const registry::Revision revision = nextRevision();
    const auto route = [&](const std::string& aName, uint16_t aPort, registry::RequestKind aKind) {
      return Change{ { RecordKind::Route, aName },
                     revision,
                     registry::RouteRecord{ .m_address = kTestAddress,
                                            .m_port = aPort,
                                            .m_kind = aKind,
                                            .m_services = { { aService, 1 } } } };
    };
    m_configuration = std::vector<Change>{
      { { RecordKind::Configuration, "" },
        revision,
        registry::ConfigurationRecord{ ++m_version, Millis{ 15'000 } } },
      { { RecordKind::Service, "reports" }, revision, registry::ServiceRecord{} },
      { { RecordKind::Service, "manuals" }, revision, registry::ServiceRecord{} },
      route("feed", kFeedPort, registry::RequestKind::Idempotent),
      route("entry", kEntryPort, registry::RequestKind::NonIdempotent)
    };
  }

  static registry::UpstreamRecord record(uint64_t aIdentity,
                                         const std::string& aDataCentre = "near")
  {
    return { .m_service = "reports",
             .m_dataCentre = aDataCentre,
             .m_address = Ipv4{ 0x0a800000 + static_cast<uint32_t>(aIdentity) },
             .m_port = 8422,
             .m_identity = aIdentity,
             .m_startedAtMs = 1000,
             .m_slots = 4 };
  }

  static std::string nameOf(uint64_t aIdentity) { return "i-" + std::to_string(aIdentity); }

  /// Starts an upstream, which writes its entry now and at each heartbeat until it is stopped.
  void start(const registry::UpstreamRecord& aRecord)
  {
    m_running[aRecord.m_identity] = aRecord;
    m_expiry.erase(aRecord.m_identity);
    write(nameOf(aRecord.m_identity), aRecord);
  }
  /// An upstream ends without a word; its entry stays until it expires after three heartbeats.
  void crash(uint64_t aIdentity)
  {
    m_running.erase(aIdentity);
    m_expiry[aIdentity] = m_now + 3 * kHeartbeatInterval;
  }

  /// An upstream ends without a word, and its entry never expires.
  void stopHeartbeats(uint64_t aIdentity) { m_running.erase(aIdentity); }

  /// A write of a process that has gone reaches the store; the entry stays until it expires.
  void writeLate(const registry::UpstreamRecord& aRecord)
  {
    write(nameOf(aRecord.m_identity), aRecord);
    m_expiry[aRecord.m_identity] = m_now + 3 * kHeartbeatInterval;
  }

  /// From now on, the store publishes an entry when it changes, and not at each heartbeat. Only the
  /// entry of one upstream changes, with each heartbeat.
  void publishChangesOnly(uint64_t aChangingUpstream) { m_changingUpstream = aChangingUpstream; }

  /// Writes an entry once, or removes it. `aMayReturn` says that it was replaced by an item that
  /// cannot be read.
  void write(const std::string& aName,
             const std::optional<registry::UpstreamRecord>& aRecord,
             bool aMayReturn = false)
  {
    registry::Change change{ .m_key = { registry::RecordKind::Upstream, aName },
                             .m_revision = nextRevision(),
                             .m_record = std::nullopt,
                             .m_mayReturn = aMayReturn };
    if (aRecord) {
      change.m_record = *aRecord;
    }
    m_written.push_back(std::move(change));
  }

  /// Restores the store from a backup that holds these entries. It begins a new history, and the
  /// reader loads it at its next answer.
  void restoreStore(const std::vector<registry::UpstreamRecord>& aEntries)
  {
    ++m_revision.m_history;
    m_isLoaded = false;
    m_written.clear();
    for (const registry::UpstreamRecord& entry : aEntries) {
      write(nameOf(entry.m_identity), entry);
    }
  }

  void advance(Millis aTime)
  {
    for (const TimePoint end = m_now + aTime; m_now < end;) {
      m_now += kTestTick;
      sendHeartbeats();
      answerWatch();
      for (const auto& host : m_hosts) {
        host->onActivity(m_now);
        host->tick(m_now);
        for (const steering::FlowPacket& reset : host->steering().resetStalledFlows(m_now)) {
          m_resets.insert(reset.m_flow.m_sourcePort);
        }
        for (LogLine& line : host->takeLogLines(m_now)) {
          m_logLines.push_back(std::move(line));
        }
      }
    }
  }

  static packet::FlowKey flow(uint16_t aCaller, uint16_t aPort)
  {
    return { Ipv4{ 0x64400007 }, kTestAddress, aCaller, aPort };
  }

  /// Returns the identity of the upstream that a SYN is forwarded to; 0 if it is not forwarded.
  uint64_t sendSyn(Host& aHost,
                   uint16_t aCaller,
                   uint16_t aPort = kFeedPort,
                   uint32_t aCopies = 0,
                   uint32_t aSequence = 100)
  {
    const auto decision = aHost.decide(m_now,
                                       { .m_flow = flow(aCaller, aPort),
                                         .m_isSyn = true,
                                         .m_synRetransmissions = aCopies,
                                         .m_sequence = aSequence });
    m_lastDecision = decision;
    if (decision.m_action != steering::Action::Forward) {
      return 0;
    }
    m_flows[aCaller] = { decision.m_token, aPort, aSequence + 1, 1 };
    return decision.m_identity;
  }

  /// The caller ends the handshake with the upstream that its last SYN was forwarded to.
  void completeHandshake(Host& aHost, uint16_t aCaller) { (void)sendPacket(aHost, aCaller, 0); }

  /// Opens a flow; returns the identity of its upstream, or 0.
  uint64_t openFlow(Host& aHost, uint16_t aCaller, uint16_t aPort = kFeedPort)
  {
    const uint64_t identity = sendSyn(aHost, aCaller, aPort);
    if (identity != 0) {
      completeHandshake(aHost, aCaller);
    }
    return identity;
  }

  /// Sends a request on an open flow, or sends it again. Returns whether it is forwarded.
  bool sendRequest(Host& aHost, uint16_t aCaller)
  {
    return sendPacket(aHost, aCaller, 200).m_action == steering::Action::Forward;
  }
  /// The caller acknowledges the response to its request.
  void acknowledgeResponse(Host& aHost, uint16_t aCaller)
  {
    m_flows[aCaller].m_sequence += 200;
    m_flows[aCaller].m_acknowledged += 1000;
    (void)sendPacket(aHost, aCaller, 0);
  }
  void closeFlow(Host& aHost, uint16_t aCaller)
  {
    steering::FlowPacket packet = makePacket(aCaller, 0);
    packet.m_isFinOrRst = true;
    (void)aHost.decide(m_now, packet);
  }

  /// The decision on the latest packet.
  [[nodiscard]] const steering::ForwardingDecision& lastDecision() const { return m_lastDecision; }
  [[nodiscard]] const std::vector<LogLine>& logLines() const { return m_logLines; }
  /// The revision of the store.
  [[nodiscard]] registry::Revision revision() const { return m_revision; }
  /// The callers whose flows were reset without a packet of theirs.
  [[nodiscard]] const std::set<uint16_t>& resets() const { return m_resets; }
  [[nodiscard]] size_t countLogged(EventId aEvent) const
  {
    return static_cast<size_t>(std::ranges::count(m_logLines, aEvent, &LogLine::m_event));
  }
  [[nodiscard]] std::string lastLogged(EventId aEvent) const
  {
    std::string fields;
    for (const LogLine& line : m_logLines) {
      fields = line.m_event == aEvent ? line.m_fields : fields;
    }
    return fields;
  }

  TimePoint m_now{ Millis{ 100'000 } };
  /// Whether the store answers; heartbeats that are due meanwhile are lost.
  bool m_isStoreUp{ true };
  /// Whether the reader knows of a recent failure of the store, so that removed entries may return.
  bool m_isStoreDisturbed{};
  /// Whether the follower gets the records of the reader.
  bool m_isFollowerFed{ true };

private:
  struct Flow
  {
    steering::Token m_token;
    uint16_t m_port{};
    uint32_t m_sequence{};
    uint32_t m_acknowledged{};
  };

  registry::Revision nextRevision()
  {
    ++m_revision.m_number;
    return m_revision;
  }

  steering::FlowPacket makePacket(uint16_t aCaller, uint16_t aLength)
  {
    const Flow& state = m_flows.at(aCaller);
    return { .m_flow = flow(aCaller, state.m_port),
             .m_sequence = state.m_sequence,
             .m_acknowledged = state.m_acknowledged,
             .m_length = aLength,
             .m_token = state.m_token };
  }

  steering::ForwardingDecision sendPacket(Host& aHost, uint16_t aCaller, uint16_t aLength)
  {
    m_lastDecision = aHost.decide(m_now, makePacket(aCaller, aLength));
    return m_lastDecision;
  }

  void sendHeartbeats()
  {
    if (!m_isStoreUp) {
      return;
    }
    for (auto& [identity, entry] : m_running) {
      // Upstreams send their heartbeats at different times.
      const Millis phase = kTestTick * static_cast<int64_t>(identity * 5 % 12);
      const bool isDue = (m_now.time_since_epoch() + phase) % kHeartbeatInterval == Millis{};
      if (!isDue || (m_changingUpstream && identity != *m_changingUpstream)) {
        continue;
      }
      entry.m_slots += m_changingUpstream ? 1 : 0;
      write(nameOf(identity), entry);
    }
    std::erase_if(m_expiry, [this](const auto& aEntry) {
      const bool isDue = m_now >= aEntry.second;
      if (isDue) {
        write(nameOf(aEntry.first), std::nullopt);
      }
      return isDue;
    });
  }

  void answerWatch()
  {
    if (!m_isStoreUp) {
      return;
    }
    registry::StoreUpdate update{ .m_revision = m_revision, .m_isSnapshot = !m_isLoaded };
    update.m_changes = std::exchange(m_written, {});
    update.m_configuration = std::exchange(m_configuration, {});
    m_isLoaded = true;
    reader().onStoreAnswer(m_now, update, m_isStoreDisturbed, m_now);
    if (!m_isFollowerFed) {
      return;
    }
    const auto delta = registry::decodeDelta(registry::encodeDelta(
      reader().registry().changesSince(follower().registry().appliedRevision())));
    REQUIRE(delta.ok());
    follower().onDifference(m_now, *delta, HostId{ 0x0a400001 });
    follower().peers().onStoreConfirmation(m_now);
  }

  std::array<std::unique_ptr<Host>, 2> m_hosts;
  registry::Revision m_revision{};
  uint64_t m_version{};
  bool m_isLoaded{};
  std::optional<std::vector<registry::Change>> m_configuration;
  std::vector<registry::Change> m_written;
  std::map<uint64_t, registry::UpstreamRecord> m_running;
  std::map<uint64_t, TimePoint> m_expiry;
  /// The only upstream whose heartbeats are published, if set.
  std::optional<uint64_t> m_changingUpstream;
  /// The open flow of each caller, by its port.
  std::map<uint16_t, Flow> m_flows;
  std::set<uint16_t> m_resets;
  std::vector<LogLine> m_logLines;
  steering::ForwardingDecision m_lastDecision;
};

} // namespace tamarack::edge
