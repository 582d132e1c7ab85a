// Buffers log lines and writes them only when poll reports the descriptor as writable, since
// standard output may be a pipe in blocking mode.
#include "logging/LineBuffer.h"

#include <algorithm>
#include <poll.h>
#include <unistd.h>

namespace tamarack::logging {

namespace {

/// The largest write to a writable pipe that does not block; PIPE_BUF on Linux.
constexpr size_t kMaxNonBlockingWriteBytes = 4096;

} // namespace

void
LineBuffer::add(std::string_view aLine)
{
  if (m_pending.size() + aLine.size() + 1 > kLineBufferBytes) {
    flush();
  }
  if (m_pending.size() + aLine.size() + 1 > kLineBufferBytes) {
    ++m_discardedLines;
    return;
  }
  m_pending.append(aLine);
  m_pending.push_back('\n');
}

void
LineBuffer::flush()
{
  size_t written = 0;
  while (written < m_pending.size()) {
    pollfd ready{ .fd = m_descriptor, .events = POLLOUT, .revents = 0 };
    if (::poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) {
      break;
    }
    const size_t chunk = std::min(kMaxNonBlockingWriteBytes, m_pending.size() - written);
    const ssize_t count = ::write(m_descriptor, m_pending.data() + written, chunk);
    if (count <= 0) {
      break;
    }
    written += static_cast<size_t>(count);
  }
  m_pending.erase(0, written);
}

} // namespace tamarack::logging
