// A UDP socket that receives and sends datagrams in batches, with recvmmsg and sendmmsg.
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

/// The number of datagrams that one system call receives or sends at most.
inline constexpr size_t kDatagramsPerBatch = 64;
/// Longer datagrams are truncated on receipt, and counted as dropped instead of being sent.
inline constexpr size_t kMaxDatagramBytes = 2048;

/// Called with each received datagram. The bytes are valid only during the call.
using DatagramHandler = std::function<void(std::span<const uint8_t>)>;

class DatagramSocket
{
public:
  /// Binds to an address and port; with port 0 the kernel chooses a free port.
  DatagramSocket(asio::io_context& aIo, const asio::ip::udp::endpoint& aEndpoint);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  /// Called after each batch with whether the receive queue of the socket has been drained.
  using BatchHandler = std::function<void(bool)>;

  /// Starts receiving: calls `aHandler` for each datagram and `aAfterBatch` after each batch.
  void startReceiving(DatagramHandler aHandler, BatchHandler aAfterBatch);
  /// Queues a datagram that consists of `aHead` followed by `aBody`. A full batch is sent at once.
  void send(Ipv4 aTo,
            uint16_t aPort,
            std::span<const uint8_t> aHead,
            std::span<const uint8_t> aBody);
  /// Sends the queued datagrams. Those that the kernel does not accept are dropped and counted.
  void flush();
  [[nodiscard]] uint16_t port() const { return m_socket.local_endpoint().port(); }
  /// Returns the number of outgoing datagrams dropped so far.
  [[nodiscard]] uint64_t droppedDatagrams() const { return m_droppedDatagrams; }

private:
  struct Batch;

  void waitReadable();
  void readBatches();

  asio::ip::udp::socket m_socket;
  DatagramHandler m_handler;
  BatchHandler m_afterBatch;
  std::unique_ptr<Batch> m_receiveBatch;
  std::unique_ptr<Batch> m_sendBatch;
  /// The number of datagrams in m_sendBatch that are not sent yet; less than kDatagramsPerBatch
  /// between calls.
  size_t m_queuedDatagrams{};
  uint64_t m_droppedDatagrams{};
};

} // namespace tamarack::transport
