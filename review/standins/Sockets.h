// Non-blocking loopback sockets.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace review {

/// An IPv4 address in host byte order, and a port.
struct SocketAddress
{
  uint32_t m_address{};
  uint16_t m_port{};
};

[[nodiscard]] std::string
formatSocketAddress(const SocketAddress& aAddress);

/// Binds a socket; throws std::runtime_error if that fails.
[[nodiscard]] int
bindDatagrams(const SocketAddress& aAddress);
[[nodiscard]] int
listenOn(const SocketAddress& aAddress);
/// Returns the descriptor of an established connection, or -1.
[[nodiscard]] int
connectTo(const SocketAddress& aAddress);
/// Whether a new socket of the type, SOCK_STREAM or SOCK_DGRAM, can be bound.
[[nodiscard]] bool
isFree(const SocketAddress& aAddress, int aType);

void
sendDatagram(int aDescriptor, const SocketAddress& aTo, std::string_view aBytes);
/// Calls `aHandler` with each datagram that has arrived, and the address of its sender.
void
readDatagrams(int aDescriptor, const std::function<void(std::string_view, uint32_t)>& aHandler);

} // namespace review
