// Tests of ordered, reliable delivery between two hosts.
#include "channel/PeerChannel.h"

#include <doctest/doctest.h>
#include <random>

using namespace tamarack;
using namespace tamarack::channel;

namespace {

constexpr TimePoint kStart{ Millis{ 100'000 } };

/// Sends the due bodies in one frame without loss, returns the acknowledgement to the sender, and
/// returns the delivered bodies.
std::vector<int>
transfer(PeerChannel<int>& aFrom, PeerChannel<int>& aTo, TimePoint aNow)
{
  const auto ready = aTo.receive(aFrom.epoch(), aFrom.takeDue(aNow));
  aFrom.onAck(aTo.peerEpoch(), aTo.lastDelivered());
  return ready;
}

} // namespace

TEST_CASE("bodies are delivered once and in order despite lost, duplicated and reordered frames")
{
  PeerChannel<int> from;
  PeerChannel<int> to;
  std::mt19937_64 random(5);
  std::vector<int> received;
  TimePoint now = kStart;
  int sent = 0;
  std::vector<std::vector<Sequenced<int>>> inFlight;
  for (int step = 0; step < 4000; ++step) {
    now += Millis{ 50 };
    if (sent < 1000) {
      from.send(sent++);
    }
    inFlight.push_back(from.takeDue(now));
    std::shuffle(inFlight.begin(), inFlight.end(), random);
    if (random() % 3 != 0) {
      for (const int body : to.receive(from.epoch(), inFlight.back())) {
        received.push_back(body);
      }
    }
    if (random() % 2 == 0) {
      inFlight.pop_back();
    }
    if (random() % 3 == 0) {
      from.onAck(to.peerEpoch(), to.lastDelivered());
    }
  }
  REQUIRE(received.size() == 1000);
  CHECK(std::is_sorted(received.begin(), received.end()));
  from.onAck(to.peerEpoch(), to.lastDelivered());
  CHECK(from.unackedCount() == 0);
}

TEST_CASE("a sent body is reported as pending, delivered, or dropped by a new epoch")
{
  PeerChannel<int> from;
  PeerChannel<int> to;
  const MessageId message = from.send(1);
  CHECK_FALSE(from.isDelivered(message));
  CHECK(transfer(from, to, kStart) == std::vector{ 1 });
  CHECK(from.isDelivered(message));
  const MessageId dropped = from.send(2);
  from.startNewEpoch();
  CHECK(from.isDropped(dropped));
  CHECK_FALSE(from.isDelivered(dropped));
  from.send(3);
  CHECK(transfer(from, to, kStart) == std::vector{ 3 });
}

TEST_CASE("a delayed frame of a former epoch is ignored")
{
  PeerChannel<int> from;
  PeerChannel<int> to;
  from.send(1);
  const auto late = from.takeDue(kStart);
  from.startNewEpoch();
  from.send(2);
  CHECK(transfer(from, to, kStart) == std::vector{ 2 });
  CHECK(to.receive(1, late).empty());
}
