// Guards against log output that blocks the process or grows without bound when nothing reads the
// pipe behind standard output.
#include "logging/LineBuffer.h"

#include <array>
#include <doctest/doctest.h>
#include <string>
#include <unistd.h>

using namespace tamarack::logging;

TEST_CASE("LineBuffer discards and counts excess lines without blocking when the pipe is not read")
{
  std::array<int, 2> ends{};
  REQUIRE(::pipe(ends.data()) == 0);
  LineBuffer buffer(ends[1]);
  const std::string line(200, 'x');
  for (int round = 0; round < 10'000; ++round) {
    buffer.add(line);
    buffer.flush();
  }
  CHECK(buffer.discardedLines() > 0);
  CHECK(buffer.pendingBytes() <= kLineBufferBytes);
  // When the pipe is read again, the buffered lines arrive complete and in order.
  std::string text;
  std::array<char, 65536> chunk{};
  while (buffer.pendingBytes() > 0) {
    const ssize_t count = ::read(ends[0], chunk.data(), chunk.size());
    REQUIRE(count > 0);
    text.append(chunk.data(), static_cast<size_t>(count));
    buffer.flush();
  }
  CHECK(text.substr(0, 402) == line + "\n" + line + "\n");
  ::close(ends[0]);
  ::close(ends[1]);
}
