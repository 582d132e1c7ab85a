// Test fixture: a host, one service in two data centres with an idempotent and a non-idempotent
// route, and a clock that the tests advance.
#pragma once

#include "steering/TokenSteering.h"

#include <doctest/doctest.h>

namespace tamarack::steering {

using registry::Change;
using registry::RecordKind;
using registry::UpstreamState;

inline constexpr Ipv4 kAddress{ 0xc6120001 };
inline constexpr uint16_t kIdempotentPort = 8443;
inline constexpr uint16_t kNonIdempotentPort = 8080;
inline constexpr TimePoint kStart{ Millis{ 100'000 } };

class Fixture
{
public:
  explicit Fixture(Mechanisms aMechanisms = {})
    : m_directory("near", aMechanisms)
  {
    apply({ { RecordKind::Service, "reports" },
            nextRevision(),
            registry::ServiceRecord{ Millis{ 2000 }, 10.0 } });
    addRoute("safe", kIdempotentPort, registry::RequestKind::Idempotent);
    addRoute("unsafe", kNonIdempotentPort, registry::RequestKind::NonIdempotent);
    confirmRegistryView();
  }

  registry::Revision nextRevision()
  {
    ++m_revision.m_number;
    return m_revision;
  }

  void apply(const Change& aChange) { m_directory.apply(m_now, { &aChange, 1 }); }

  void addRoute(const std::string& aName, uint16_t aPort, registry::RequestKind aKind)
  {
    apply({ { RecordKind::Route, aName },
            nextRevision(),
            registry::RouteRecord{ kAddress, aPort, aKind, { { "reports", 1 } } } });
  }

  static registry::UpstreamRecord upstreamRecord(uint64_t aIdentity,
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

  void addUpstream(const registry::UpstreamRecord& aRecord)
  {
    apply({ { RecordKind::Upstream, "i-" + std::to_string(aRecord.m_identity) },
            nextRevision(),
            aRecord });
  }

  /// An entry under a name of its own.
  void addEntry(const std::string& aName, const registry::UpstreamRecord& aRecord)
  {
    apply({ { RecordKind::Upstream, aName }, nextRevision(), aRecord });
  }

  /// The entry of an upstream is written again without a change.
  void renewEntry(const std::string& aName)
  {
    const registry::Renewal renewal{ aName, nextRevision() };
    m_directory.applyRenewals(m_now, { &renewal, 1 });
  }

  void addService(const std::string& aName)
  {
    apply({ { RecordKind::Service, aName }, nextRevision(), registry::ServiceRecord{} });
  }

  void removeUpstream(uint64_t aIdentity, bool aMayReturn = false)
  {
    apply({ { RecordKind::Upstream, "i-" + std::to_string(aIdentity) },
            nextRevision(),
            std::nullopt,
            aMayReturn });
  }

  void confirmRegistryView()
  {
    m_steering.setRegistryViewStatus({ .m_revision = m_revision,
                                       .m_confirmedAt = m_now,
                                       .m_loadedAt = kStart - Millis{ 10'000 } });
  }

  void advance(Millis aTime)
  {
    m_now += aTime;
    confirmRegistryView();
    m_directory.tick(m_now);
    m_steering.detectRefusedFlows(m_now);
  }

  FlowPacket synPacket(uint16_t aCallerPort,
                       uint16_t aPort = kIdempotentPort,
                       uint32_t aRetransmissions = 0) const
  {
    return { .m_flow = flow(aCallerPort, aPort),
             .m_isSyn = true,
             .m_synRetransmissions = aRetransmissions,
             .m_sequence = 100 };
  }

  FlowPacket requestPacket(uint16_t aCallerPort,
                           Token aToken,
                           uint32_t aSequence = 101,
                           uint32_t aAcknowledged = 1,
                           uint16_t aPort = kIdempotentPort) const
  {
    return { .m_flow = flow(aCallerPort, aPort),
             .m_sequence = aSequence,
             .m_acknowledged = aAcknowledged,
             .m_length = 200,
             .m_token = aToken };
  }

  /// The caller completes the handshake of a new flow.
  void completeHandshake(uint16_t aCallerPort, Token aToken)
  {
    FlowPacket packet = requestPacket(aCallerPort, aToken);
    packet.m_length = 0;
    CHECK(decide(packet).m_action == Action::Forward);
  }

  /// The caller acknowledges the response to its request.
  void acknowledgeResponse(uint16_t aCallerPort, Token aToken)
  {
    FlowPacket packet = requestPacket(aCallerPort, aToken, 301, 1001);
    packet.m_length = 0;
    CHECK(decide(packet).m_action == Action::Forward);
  }

  static packet::FlowKey flow(uint16_t aCallerPort, uint16_t aPort)
  {
    return { Ipv4{ 0x64400007 }, kAddress, aCallerPort, aPort };
  }

  ForwardingDecision decide(const FlowPacket& aPacket) { return m_steering.decide(m_now, aPacket); }

  Token openFlow(uint16_t aCallerPort, uint16_t aPort = kIdempotentPort)
  {
    const ForwardingDecision decision = decide(synPacket(aCallerPort, aPort));
    REQUIRE(decision.m_action == Action::Forward);
    return decision.m_token;
  }

  Upstream& upstream(Token aToken) { return *m_directory.findUpstream(aToken); }

  TimePoint m_now{ kStart };
  registry::Revision m_revision{};
  ServiceDirectory m_directory;
  ColdStartLimiter m_coldStartLimiter{ { .m_factor = 1.5, .m_slack = 5 } };
  UpstreamSelector m_upstreamSelector{ m_directory, m_coldStartLimiter, 7 };
  TokenSteering m_steering{ m_directory, m_upstreamSelector, 1024 };
};

} // namespace tamarack::steering
