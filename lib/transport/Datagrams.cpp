// recvmmsg and sendmmsg on the native handle of an Asio socket.
#include "transport/Datagrams.h"

#include <algorithm>
#include <netinet/in.h>
#include <sys/socket.h>

namespace tamarack::transport {

namespace {

constexpr int kSocketBufferBytes = 4 << 20;
/// Batches that are read before other work gets its turn.
constexpr int kBatchesPerTurn = 4;

} // namespace

/// The arrays that the kernel calls fill or read.
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
  , m_in(std::make_unique<Batch>())
  , m_out(std::make_unique<Batch>())
{
  asio::error_code ignored;
  m_socket.set_option(asio::socket_base::receive_buffer_size(kSocketBufferBytes), ignored);
  m_socket.set_option(asio::socket_base::send_buffer_size(kSocketBufferBytes), ignored);
  m_socket.non_blocking(true);
}

DatagramSocket::~DatagramSocket() = default;

void
DatagramSocket::receive(DatagramHandler aHandler, BatchHandler aAfterBatch)
{
  m_handler = std::move(aHandler);
  m_afterBatch = std::move(aAfterBatch);
  wait();
}

void
DatagramSocket::wait()
{
  m_socket.async_wait(asio::ip::udp::socket::wait_read, [this](const asio::error_code& aError) {
    if (aError) {
      return;
    }
    readBatches();
    wait();
  });
}

void
DatagramSocket::readBatches()
{
  for (int turn = 0; turn < kBatchesPerTurn; ++turn) {
    const int count = ::recvmmsg(
      m_socket.native_handle(), m_in->m_headers.data(), kDatagramsPerBatch, MSG_DONTWAIT, nullptr);
    if (count <= 0) {
      return;
    }
    for (size_t index = 0; index < static_cast<size_t>(count); ++index) {
      m_handler({ m_in->m_bytes[index].data(), m_in->m_headers[index].msg_len });
    }
    const bool isAllRead = static_cast<size_t>(count) < kDatagramsPerBatch;
    m_afterBatch(isAllRead);
    if (isAllRead) {
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
    ++m_dropped;
    return;
  }
  auto& bytes = m_out->m_bytes[m_queued];
  const auto bodyStart = std::copy(aHead.begin(), aHead.end(), bytes.begin());
  std::copy(aBody.begin(), aBody.end(), bodyStart);
  m_out->m_vectors[m_queued].iov_len = aHead.size() + aBody.size();
  sockaddr_in& address = m_out->m_addresses[m_queued];
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(aTo.m_value);
  msghdr& header = m_out->m_headers[m_queued].msg_hdr;
  header.msg_name = &address;
  header.msg_namelen = sizeof(address);
  ++m_queued;
  if (m_queued == kDatagramsPerBatch) {
    flush();
  }
}

void
DatagramSocket::flush()
{
  size_t sent = 0;
  while (sent < m_queued) {
    const int count = ::sendmmsg(m_socket.native_handle(),
                                 m_out->m_headers.data() + sent,
                                 static_cast<unsigned>(m_queued - sent),
                                 MSG_DONTWAIT);
    if (count > 0) {
      sent += static_cast<size_t>(count);
      continue;
    }
    // The first datagram of the rest cannot be sent now, so it is dropped as a network would.
    ++m_dropped;
    ++sent;
  }
  m_queued = 0;
}

} // namespace tamarack::transport
