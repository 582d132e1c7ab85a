// Writes to a pipe or file only when poll says that it takes bytes.
#include "logging/LineBuffer.h"

#include <algorithm>
#include <poll.h>
#include <unistd.h>

namespace tamarack::logging {

namespace {

/// A pipe that is ready takes this much without blocking (POSIX PIPE_BUF).
constexpr size_t kSafeWriteBytes = 4096;

} // namespace

void
LineBuffer::add(std::string_view aLine)
{
  if (m_waiting.size() + aLine.size() + 1 > kLineBufferBytes) {
    flush();
  }
  if (m_waiting.size() + aLine.size() + 1 > kLineBufferBytes) {
    ++m_discarded;
    return;
  }
  m_waiting.append(aLine);
  m_waiting.push_back('\n');
}

void
LineBuffer::flush()
{
  size_t written = 0;
  while (written < m_waiting.size()) {
    pollfd ready{ .fd = m_descriptor, .events = POLLOUT, .revents = 0 };
    if (::poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) {
      break;
    }
    const size_t chunk = std::min(kSafeWriteBytes, m_waiting.size() - written);
    const ssize_t count = ::write(m_descriptor, m_waiting.data() + written, chunk);
    if (count <= 0) {
      break;
    }
    written += static_cast<size_t>(count);
  }
  m_waiting.erase(0, written);
}

} // namespace tamarack::logging
