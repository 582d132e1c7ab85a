// A bounded buffer of log lines in front of a file descriptor whose reader may be slow or stalled.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace tamarack::logging {

/// Capacity in bytes. It holds about one second of log output at the usual volume, so that a reader
/// that stalls for one second misses no lines.
inline constexpr size_t kLineBufferBytes = size_t{ 64 } << 10;

class LineBuffer
{
public:
  explicit LineBuffer(int aDescriptor)
    : m_descriptor(aDescriptor)
  {
  }

  /// Appends one line, given without its terminator. When the buffer is full, the line is discarded
  /// and counted.
  void add(std::string_view aLine);
  /// Writes as many pending bytes as the descriptor accepts without blocking.
  void flush();
  [[nodiscard]] uint64_t discardedLines() const { return m_discardedLines; }
  [[nodiscard]] size_t pendingBytes() const { return m_pending.size(); }

private:
  int m_descriptor;
  /// Terminated lines that are not written yet, at most kLineBufferBytes bytes. The first one may
  /// be the rest of a line that was written in part.
  std::string m_pending;
  uint64_t m_discardedLines{};
};

} // namespace tamarack::logging
