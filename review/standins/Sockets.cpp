// Implements the sockets on the POSIX interface.
#include "Sockets.h"

#include "Wire.h"

#include <array>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int kBufferBytes = 4 << 20;
constexpr timeval kConnectTimeout{ 0, 200'000 };

sockaddr_in
toSystem(const SocketAddress& aAddress)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aAddress.m_port);
  address.sin_addr.s_addr = htonl(aAddress.m_address);
  return address;
}

bool
bindSocket(int aDescriptor, const SocketAddress& aAddress)
{
  const sockaddr_in address = toSystem(aAddress);
  return ::bind(aDescriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
}

} // namespace

std::string
formatSocketAddress(const SocketAddress& aAddress)
{
  return formatAddress(aAddress.m_address) + ":" + std::to_string(aAddress.m_port);
}

int
bindDatagrams(const SocketAddress& aAddress)
{
  const int descriptor = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (!bindSocket(descriptor, aAddress)) {
    throw std::runtime_error("cannot bind " + formatSocketAddress(aAddress));
  }
  ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &kBufferBytes, sizeof(kBufferBytes));
  return descriptor;
}

int
listenOn(const SocketAddress& aAddress)
{
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (!bindSocket(descriptor, aAddress) || ::listen(descriptor, 64) != 0) {
    throw std::runtime_error("cannot listen on " + formatSocketAddress(aAddress));
  }
  return descriptor;
}

int
connectTo(const SocketAddress& aAddress)
{
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ::setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &kConnectTimeout, sizeof(kConnectTimeout));
  const sockaddr_in address = toSystem(aAddress);
  if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    ::close(descriptor);
    return -1;
  }
  ::fcntl(descriptor, F_SETFL, O_NONBLOCK);
  return descriptor;
}

bool
isFree(const SocketAddress& aAddress, int aType)
{
  const int descriptor = ::socket(AF_INET, aType | SOCK_CLOEXEC, 0);
  const bool isBound = bindSocket(descriptor, aAddress);
  ::close(descriptor);
  return isBound;
}

void
sendDatagram(int aDescriptor, const SocketAddress& aTo, std::string_view aBytes)
{
  const sockaddr_in address = toSystem(aTo);
  ::sendto(aDescriptor,
           aBytes.data(),
           aBytes.size(),
           MSG_NOSIGNAL,
           reinterpret_cast<const sockaddr*>(&address),
           sizeof(address));
}

void
readDatagrams(int aDescriptor, const std::function<void(std::string_view, uint32_t)>& aHandler)
{
  std::array<char, 4096> bytes{};
  for (int count = 0; count < 256; ++count) {
    sockaddr_in sender{};
    socklen_t senderBytes = sizeof(sender);
    const ssize_t size = ::recvfrom(aDescriptor,
                                    bytes.data(),
                                    bytes.size(),
                                    0,
                                    reinterpret_cast<sockaddr*>(&sender),
                                    &senderBytes);
    if (size < 0) {
      return;
    }
    aHandler({ bytes.data(), static_cast<size_t>(size) }, ntohl(sender.sin_addr.s_addr));
  }
}

} // namespace review
