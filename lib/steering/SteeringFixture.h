// A host with one service in two data centres and two routes, whose clock the tests move.
#pragma once

#include "steering/TokenSteering.h"

#include <doctest/doctest.h>

namespace tamarack::steering {

using registry::Change;
using registry::RecordKind;
using registry::UpstreamState;

inline constexpr Ipv4 kAddress{ 0xc6120001 };
inline constexpr uint16_t kSafePort = 8443;
inline constexpr uint16_t kUnsafePort = 8080;
inline constexpr TimePoint kStart{ Millis{ 100'000 } };

class Fixture
{
public:
  Fixture()
  {
    apply({ { RecordKind::Service, "reports" },
            next(),
            registry::ServiceRecord{ Millis{ 2000 }, 10.0 } });
    addRoute("safe", kSafePort, registry::RequestKind::Idempotent);
    addRoute("unsafe", kUnsafePort, registry::RequestKind::NonIdempotent);
    confirm();
  }

  registry::Revision next()
  {
    ++m_revision.m_number;
    return m_revision;
  }

  void apply(const Change& aChange) { m_directory.apply(m_now, { &aChange, 1 }); }

  void addRoute(const std::string& aName, uint16_t aPort, registry::RequestKind aKind)
  {
    apply({ { RecordKind::Route, aName },
            next(),
            registry::RouteRecord{ kAddress, aPort, aKind, { { "reports", 1 } } } });
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

  void addUpstream(const registry::UpstreamRecord& aRecord)
  {
    apply({ { RecordKind::Upstream, "i-" + std::to_string(aRecord.m_identity) }, next(), aRecord });
  }

  void removeUpstream(uint64_t aIdentity, bool aMayReturn = false)
  {
    apply({ { RecordKind::Upstream, "i-" + std::to_string(aIdentity) },
            next(),
            std::nullopt,
            aMayReturn });
  }

  void confirm()
  {
    m_steering.setView({ .m_revision = m_revision,
                         .m_confirmedAt = m_now,
                         .m_loadedAt = kStart - Millis{ 10'000 } });
  }

  void wait(Millis aTime)
  {
    m_now += aTime;
    confirm();
    m_directory.tick(m_now);
    m_steering.judgeOpenings(m_now);
  }

  FlowPacket opening(uint16_t aCallerPort, uint16_t aPort = kSafePort, uint32_t aCopy = 0) const
  {
    return {
      .m_flow = flow(aCallerPort, aPort), .m_opens = true, .m_copy = aCopy, .m_sequence = 100
    };
  }

  FlowPacket request(uint16_t aCallerPort,
                     Token aToken,
                     uint32_t aSequence = 101,
                     uint32_t aAcknowledged = 1,
                     uint16_t aPort = kSafePort) const
  {
    return { .m_flow = flow(aCallerPort, aPort),
             .m_sequence = aSequence,
             .m_acknowledged = aAcknowledged,
             .m_length = 200,
             .m_token = aToken };
  }

  /// The caller ends the handshake of a new flow.
  void goOn(uint16_t aCallerPort, Token aToken)
  {
    FlowPacket packet = request(aCallerPort, aToken);
    packet.m_length = 0;
    CHECK(decide(packet).m_action == Action::Forward);
  }

  /// The caller has got the answer to its request.
  void acknowledge(uint16_t aCallerPort, Token aToken)
  {
    FlowPacket packet = request(aCallerPort, aToken, 301, 1001);
    packet.m_length = 0;
    CHECK(decide(packet).m_action == Action::Forward);
  }

  static packet::FlowKey flow(uint16_t aCallerPort, uint16_t aPort)
  {
    return { Ipv4{ 0x64400007 }, kAddress, aCallerPort, aPort };
  }

  Choice decide(const FlowPacket& aPacket) { return m_steering.decide(m_now, aPacket); }

  Token open(uint16_t aCallerPort, uint16_t aPort = kSafePort)
  {
    const Choice choice = decide(opening(aCallerPort, aPort));
    REQUIRE(choice.m_action == Action::Forward);
    return choice.m_token;
  }

  Upstream& upstream(Token aToken) { return *m_directory.findUpstream(aToken); }

  TimePoint m_now{ kStart };
  registry::Revision m_revision{};
  Directory m_directory{ "near" };
  ColdBudget m_coldBudget{ { .m_factor = 1.5, .m_slack = 5 } };
  Placement m_placement{ m_directory, m_coldBudget, 7 };
  TokenSteering m_steering{ m_directory, m_placement, 1024 };
};

} // namespace tamarack::steering
