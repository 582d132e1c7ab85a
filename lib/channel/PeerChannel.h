// Ordered, reliable delivery of messages between this host and one peer over frames (datagrams)
// that may be lost, delayed or reordered. A message travels as a body of a frame; a frame may carry
// several bodies, and acknowledgements are cumulative. Each direction is divided into epochs, in
// which the sequence numbers start at 1. The sender starts a new epoch when the peer was lost or
// restarted; messages of the former epoch that were not acknowledged are then dropped.
#pragma once

#include "base/Types.h"

#include <cassert>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace tamarack::channel {

/// A body that is not acknowledged within this time is retransmitted.
inline constexpr Millis kResendInterval{ 400 };
/// The maximum number of unacknowledged bodies. Sending one more starts a new epoch, as for a lost
/// peer. The receiver buffers at most as many bodies that arrived out of order.
inline constexpr size_t kMaxUnacked = 4096;
/// The maximum number of bodies in one frame.
inline constexpr size_t kMaxBodiesPerFrame = 64;

/// Identifies a sent body, so that the sender can query whether it was delivered.
struct MessageId
{
  uint32_t m_epoch{};
  uint32_t m_sequence{};
};

template<typename Body>
struct Sequenced
{
  uint32_t m_sequence{};
  Body m_body;
};

template<typename Body>
class PeerChannel
{
public:
  /// Queues a body. The result identifies it in isDelivered() and isDropped().
  MessageId send(Body aBody)
  {
    if (m_unacked.size() >= kMaxUnacked) {
      startNewEpoch();
    }
    ++m_lastQueued;
    m_unacked.push_back({ { m_lastQueued, std::move(aBody) }, TimePoint{} });
    return { m_epoch, m_lastQueued };
  }

  /// Drops all unacknowledged bodies and increments the epoch, which makes the peer discard what it
  /// received out of order.
  void startNewEpoch()
  {
    ++m_epoch;
    m_lastQueued = 0;
    m_acked = 0;
    m_leaseBarrier = 0;
    m_unacked.clear();
  }

  /// Makes renewals of the peer's map lease depend on the body that was sent last.
  void setLeaseBarrier() { m_leaseBarrier = m_lastQueued; }
  /// The peer may renew its map lease only after it has received the bodies up to this sequence
  /// number.
  [[nodiscard]] uint32_t leaseBarrier() const { return m_leaseBarrier; }

  /// Whether the peer has acknowledged a body. False for a body of a former epoch.
  [[nodiscard]] bool isDelivered(const MessageId& aMessage) const
  {
    return aMessage.m_epoch == m_epoch && aMessage.m_sequence <= m_acked;
  }

  /// Whether a body belongs to a former epoch, so that the caller has to send it again.
  [[nodiscard]] bool isDropped(const MessageId& aMessage) const
  {
    return aMessage.m_epoch != m_epoch;
  }

  void onAck(uint32_t aEpoch, uint32_t aSequence)
  {
    if (aEpoch != m_epoch || aSequence > m_lastQueued) {
      return;
    }
    m_acked = std::max(m_acked, aSequence);
    while (!m_unacked.empty() && m_unacked.front().m_sequenced.m_sequence <= m_acked) {
      m_unacked.pop_front();
    }
  }

  /// Returns the bodies for the next frame, which are those never sent and those due for
  /// retransmission, and marks them as sent at `aNow`.
  [[nodiscard]] std::vector<Sequenced<Body>> takeDue(TimePoint aNow)
  {
    std::vector<Sequenced<Body>> due;
    for (UnackedBody& unacked : m_unacked) {
      const bool isNew = unacked.m_sentAt == TimePoint{};
      if (!isNew && aNow - unacked.m_sentAt < kResendInterval) {
        continue;
      }
      if (due.size() == kMaxBodiesPerFrame) {
        break;
      }
      unacked.m_sentAt = aNow;
      due.push_back(unacked.m_sequenced);
    }
    return due;
  }

  /// Whether the newest body has never been sent.
  [[nodiscard]] bool hasUnsent() const
  {
    return !m_unacked.empty() && m_unacked.back().m_sentAt == TimePoint{};
  }
  [[nodiscard]] uint32_t epoch() const { return m_epoch; }
  [[nodiscard]] size_t unackedCount() const { return m_unacked.size(); }

  /// Processes the bodies of a received frame. Returns the bodies that are now deliverable in
  /// order, including those buffered earlier. Frames of a former epoch are ignored.
  [[nodiscard]] std::vector<Body> receive(uint32_t aEpoch, std::vector<Sequenced<Body>> aBodies)
  {
    if (aEpoch < m_peerEpoch) {
      return {};
    }
    if (aEpoch > m_peerEpoch) {
      m_peerEpoch = aEpoch;
      m_lastDelivered = 0;
      m_outOfOrder.clear();
    }
    for (Sequenced<Body>& sequenced : aBodies) {
      m_needsAck = true;
      if (sequenced.m_sequence > m_lastDelivered && m_outOfOrder.size() < kMaxUnacked) {
        m_outOfOrder.try_emplace(sequenced.m_sequence, std::move(sequenced.m_body));
      }
    }
    std::vector<Body> ready;
    for (auto next = m_outOfOrder.begin();
         next != m_outOfOrder.end() && next->first == m_lastDelivered + 1;) {
      ready.push_back(std::move(next->second));
      next = m_outOfOrder.erase(next);
      ++m_lastDelivered;
    }
    return ready;
  }

  /// Resets the receiving direction for a restarted peer, whose epochs start at 1 again.
  void resetReceiveState()
  {
    m_peerEpoch = 0;
    m_lastDelivered = 0;
    m_outOfOrder.clear();
  }

  [[nodiscard]] uint32_t peerEpoch() const { return m_peerEpoch; }
  /// The sequence number up to which receive() has returned all bodies of the peer's epoch.
  [[nodiscard]] uint32_t lastDelivered() const { return m_lastDelivered; }
  /// Whether all bodies up to sequence number `aLast` of the epoch `aEpoch` were received.
  [[nodiscard]] bool hasReceivedAll(uint32_t aEpoch, uint32_t aLast) const
  {
    return aEpoch == m_peerEpoch && aLast <= m_lastDelivered;
  }
  /// Whether bodies have arrived since the last acknowledgement was sent.
  [[nodiscard]] bool needsAck() const { return m_needsAck; }
  void onAckSent() { m_needsAck = false; }

private:
  struct UnackedBody
  {
    Sequenced<Body> m_sequenced;
    /// Zero if the body has never been sent.
    TimePoint m_sentAt;
  };

  // State of the sending direction.
  uint32_t m_epoch{ 1 };
  /// The sequence number of the newest queued body.
  uint32_t m_lastQueued{};
  /// See leaseBarrier(); m_leaseBarrier <= m_lastQueued.
  uint32_t m_leaseBarrier{};
  /// All bodies up to this sequence number were acknowledged; m_acked <= m_lastQueued.
  uint32_t m_acked{};
  /// The bodies that are not acknowledged, in ascending order of sequence numbers.
  std::deque<UnackedBody> m_unacked;

  // State of the receiving direction.
  uint32_t m_peerEpoch{};
  /// All bodies up to this sequence number were returned by receive().
  uint32_t m_lastDelivered{};
  /// Bodies received after a gap, by sequence number. Between calls all keys are greater than
  /// m_lastDelivered + 1.
  std::map<uint32_t, Body> m_outOfOrder;
  bool m_needsAck{};
};

} // namespace tamarack::channel
