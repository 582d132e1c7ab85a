// What the packet path of a host asks of its way of steering. By token: both ends of a flow echo a
// token that names the upstream, so any host forwards any packet without shared state. By bucket
// (node::Node): the ends echo nothing, and hosts agree on buckets of flows.
#pragma once

#include "base/Errors.h"
#include "base/Types.h"
#include "packet/Packet.h"

#include <concepts>

namespace tamarack::steering {

/// Names one start of an upstream, the same on every host without agreement; 0 names none.
using Token = StrongId<struct TokenTag, uint32_t>;

/// What steering by token needs to know of one packet of a caller.
struct FlowPacket
{
  packet::FlowKey m_flow;
  /// The first packet of a flow or a copy of it.
  bool m_opens{};
  /// FIN or RST.
  bool m_ends{};
  /// How often the caller sent the first packet before.
  uint32_t m_copy{};
  uint32_t m_sequence{};
  uint32_t m_acknowledged{};
  uint16_t m_length{};
  /// The token that the caller received last on this flow.
  Token m_token;
};

enum class Action : uint8_t
{
  Forward,
  /// Answer the caller with a reset.
  Reset,
  Drop,
};

struct Choice
{
  Action m_action{ Action::Drop };
  /// Of Reset and Drop.
  ErrorKind m_error{ ErrorKind::TokenUnknown };
  /// Of Forward.
  Token m_token;
  uint64_t m_identity{};
  Ipv4 m_address;
  uint16_t m_port{};
};

/// A way of steering packets whose ends echo a token.
template<typename Model>
concept TokenModel = requires(Model& aModel, TimePoint aNow, const FlowPacket& aPacket)
{
  {
    aModel.decide(aNow, aPacket)
    } -> std::same_as<Choice>;
};

} // namespace tamarack::steering
