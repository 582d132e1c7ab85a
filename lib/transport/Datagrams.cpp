// Calls recvmmsg and sendmmsg on the native handle of an Asio socket, because Asio has no interface
// for batches of datagrams.
#include "transport/Datagrams.h"

#include <algorithm>
#include <netinet/in.h>
#include <sys/socket.h>

namespace tamarack::transport {

namespace {

/// The requested size of each of the kernel buffers, receive and send.
constexpr int kSocketBufferBytes = 4 << 20;
/// The number of batches that are received per wakeup, so that other handlers of the event loop are
/// not starved under load.
constexpr int kMaxBatchesPerWakeup = 4;

} // namespace

/// Buffers and message headers of one batch, as recvmmsg fills and sendmmsg reads them.
struct DatagramSocket::Batch
{
  std::array<std::array<uint8_t, kMaxDatagramBytes>, kDatagramsPerBatch> m_bytes{};
  std::array<mmsghdr, kDatagramsPerBatch> m_headers{};
  std::array<iovec, kDatagramsPerBatch> m_vectors{};
  std::array<sockaddr_in, kDatagramsPerBatch> m_addresses{};

  Batch()
  {
    for (size_t index = 0; index < kDatagramsPerBatch; ++index) {
      m_vectors[index] = { m_bytes[index].data(), kMaxDatagramBytes };
      m_headers[index].msg_hdr.msg_iov = &m_vectors[index];
      m_headers[index].msg_hdr.msg_iovlen = 1;
    }
  }
};

DatagramSocket::DatagramSocket(asio::io_context& aIo, const asio::ip::udp::endpoint& aEndpoint)
  : m_socket(aIo, aEndpoint)
  , m_receiveBatch(std::make_unique<Batch>())
  , m_sendBatch(std::make_unique<Batch>())
{
  asio::error_code ignored;
  m_socket.set_option(asio::socket_base::receive_buffer_size(kSocketBufferBytes), ignored);
  m_socket.set_option(asio::socket_base::send_buffer_size(kSocketBufferBytes), ignored);
  m_socket.non_blocking(true);
}

DatagramSocket::~DatagramSocket() = default;

void
DatagramSocket::startReceiving(DatagramHandler aHandler, BatchHandler aAfterBatch)
{
  m_handler = std::move(aHandler);
  m_afterBatch = std::move(aAfterBatch);
  waitReadable();
}

void
DatagramSocket::waitReadable()
{
  m_socket.async_wait(asio::ip::udp::socket::wait_read, [this](const asio::error_code& aError) {
    if (aError) {
      return;
    }
    readBatches();
    waitReadable();
  });
}

void
DatagramSocket::readBatches()
{
  for (int batch = 0; batch < kMaxBatchesPerWakeup; ++batch) {
    const int count = ::recvmmsg(m_socket.native_handle(),
                                 m_receiveBatch->m_headers.data(),
                                 kDatagramsPerBatch,
                                 MSG_DONTWAIT,
                                 nullptr);
    if (count <= 0) {
      return;
    }
    for (size_t index = 0; index < static_cast<size_t>(count); ++index) {
      m_handler(
        { m_receiveBatch->m_bytes[index].data(), m_receiveBatch->m_headers[index].msg_len });
    }
    const bool isDrained = static_cast<size_t>(count) < kDatagramsPerBatch;
    m_afterBatch(isDrained);
    if (isDrained) {
      return;
    }
  }
}

void
DatagramSocket::send(Ipv4 aTo,
                     uint16_t aPort,
                     std::span<const uint8_t> aHead,
                     std::span<const uint8_t> aBody)
{
  if (aHead.size() + aBody.size() > kMaxDatagramBytes) {
    ++m_droppedDatagrams;
    return;
  }
  auto& bytes = m_sendBatch->m_bytes[m_queuedDatagrams];
  const auto bodyStart = std::copy(aHead.begin(), aHead.end(), bytes.begin());
  std::copy(aBody.begin(), aBody.end(), bodyStart);
  m_sendBatch->m_vectors[m_queuedDatagrams].iov_len = aHead.size() + aBody.size();
  sockaddr_in& address = m_sendBatch->m_addresses[m_queuedDatagrams];
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(aTo.m_value);
  msghdr& header = m_sendBatch->m_headers[m_queuedDatagrams].msg_hdr;
  header.msg_name = &address;
  header.msg_namelen = sizeof(address);
  ++m_queuedDatagrams;
  if (m_queuedDatagrams == kDatagramsPerBatch) {
    flush();
  }
}

void
DatagramSocket::flush()
{
  size_t sent = 0;
  while (sent < m_queuedDatagrams) {
    const int count = ::sendmmsg(m_socket.native_handle(),
                                 m_sendBatch->m_headers.data() + sent,
                                 static_cast<unsigned>(m_queuedDatagrams - sent),
                                 MSG_DONTWAIT);
    if (count > 0) {
      sent += static_cast<size_t>(count);
      continue;
    }
    // The first unsent datagram was not accepted. Drop it, as a congested network would, and go on
    // with the next one.
    ++m_droppedDatagrams;
    ++sent;
  }
  m_queuedDatagrams = 0;
}

} // namespace tamarack::transport
