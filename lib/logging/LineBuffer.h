// The bounded buffer between log lines and a descriptor that may not take them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace tamarack::logging {

/// A reader that stands still for a second at the usual volume loses nothing.
inline constexpr size_t kLineBufferBytes = size_t{ 64 } << 10;

class LineBuffer
{
public:
  explicit LineBuffer(int aDescriptor)
    : m_descriptor(aDescriptor)
  {
  }

  /// Adds one line without its line end; discards it when the buffer is full.
  void add(std::string_view aLine);
  /// Writes what the descriptor takes without blocking.
  void flush();
  [[nodiscard]] uint64_t discarded() const { return m_discarded; }
  [[nodiscard]] size_t waiting() const { return m_waiting.size(); }

private:
  int m_descriptor;
  /// At most kLineBufferBytes.
  std::string m_waiting;
  uint64_t m_discarded{};
};

} // namespace tamarack::logging
