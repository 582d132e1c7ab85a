// A log that nobody reads neither blocks nor grows.
#include "logging/LineBuffer.h"

#include <array>
#include <doctest/doctest.h>
#include <string>
#include <unistd.h>

using namespace tamarack::logging;

TEST_CASE("lines beyond the buffer are discarded and counted, without blocking")
{
  std::array<int, 2> ends{};
  REQUIRE(::pipe(ends.data()) == 0);
  LineBuffer buffer(ends[1]);
  const std::string line(200, 'x');
  for (int round = 0; round < 10'000; ++round) {
    buffer.add(line);
    buffer.flush();
  }
  CHECK(buffer.discarded() > 0);
  CHECK(buffer.waiting() <= kLineBufferBytes);
  // Once somebody reads, whole lines come out in order.
  std::string text;
  std::array<char, 65536> chunk{};
  while (buffer.waiting() > 0) {
    const ssize_t count = ::read(ends[0], chunk.data(), chunk.size());
    REQUIRE(count > 0);
    text.append(chunk.data(), static_cast<size_t>(count));
    buffer.flush();
  }
  CHECK(text.substr(0, 402) == line + "\n" + line + "\n");
  ::close(ends[0]);
  ::close(ends[1]);
}
