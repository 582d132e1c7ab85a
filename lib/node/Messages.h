// The message types that hosts exchange and the frame that carries them.
#pragma once

#include "admission/Admission.h"
#include "channel/PeerChannel.h"
#include "mapping/Bucket.h"
#include "membership/Heartbeat.h"

#include <variant>
#include <vector>

namespace tamarack::node {

/// A message in the body of a frame. The index of a type in the variant is its type tag on the
/// wire.
using Body = std::variant<mapping::MapDelta,
                          mapping::MapRequest,
                          mapping::MapDigests,
                          mapping::PinBatch,
                          mapping::BucketReport,
                          admission::UpstreamReport,
                          admission::ModeUpdate,
                          admission::GrantRequest,
                          admission::Grant,
                          membership::PeerExchange>;

using Channel = channel::PeerChannel<Body>;

/// The unit of transmission between two hosts: a heartbeat as the header and any number of
/// messages.
struct Frame
{
  membership::Heartbeat m_heartbeat;
  std::vector<channel::Sequenced<Body>> m_bodies;
};

/// A frame and its destination.
struct OutgoingFrame
{
  HostId m_to;
  Frame m_frame;
};

} // namespace tamarack::node
