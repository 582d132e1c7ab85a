// The record of a run: what was sent, answered and run, with the time since the start.
#pragma once

#include <cstdint>
#include <fstream>
#include <string>

namespace review {

class Record
{
public:
  explicit Record(const std::string& aFile);

  /// Writes one line.
  void add(const std::string& aText);
  /// Writes one line, also to standard output.
  void addResult(const std::string& aText);
  /// Milliseconds since the start.
  [[nodiscard]] int64_t now() const;

private:
  std::ofstream m_file;
  int64_t m_startedAt;
};

} // namespace review
