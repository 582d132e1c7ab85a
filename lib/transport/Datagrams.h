// Batches of datagrams on one UDP socket, by recvmmsg and sendmmsg.
#pragma once

#include "base/Address.h"

#include <asio.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <vector>

namespace tamarack::transport {

inline constexpr size_t kDatagramsPerBatch = 64;
inline constexpr size_t kMaxDatagramBytes = 2048;

/// Called with each datagram; the bytes are valid during the call only.
using DatagramHandler = std::function<void(std::span<const uint8_t>)>;

class DatagramSocket
{
public:
  /// Binds to an address and port; port 0 takes any.
  DatagramSocket(asio::io_context& aIo, const asio::ip::udp::endpoint& aEndpoint);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  /// Called after each batch of datagrams; says whether all that waited has been read.
  using BatchHandler = std::function<void(bool)>;

  /// Calls the handler with each datagram that arrives, and `aAfterBatch` after each batch.
  void receive(DatagramHandler aHandler, BatchHandler aAfterBatch);
  /// Queues a datagram that starts with `aHead` and goes on with `aBody`; a full batch is sent.
  void send(Ipv4 aTo,
            uint16_t aPort,
            std::span<const uint8_t> aHead,
            std::span<const uint8_t> aBody);
  /// Sends what is queued. Datagrams that the kernel does not take are dropped and counted.
  void flush();
  [[nodiscard]] uint16_t port() const { return m_socket.local_endpoint().port(); }
  [[nodiscard]] uint64_t dropped() const { return m_dropped; }

private:
  struct Batch;

  void wait();
  void readBatches();

  asio::ip::udp::socket m_socket;
  DatagramHandler m_handler;
  BatchHandler m_afterBatch;
  std::unique_ptr<Batch> m_in;
  std::unique_ptr<Batch> m_out;
  size_t m_queued{};
  uint64_t m_dropped{};
};

} // namespace tamarack::transport
