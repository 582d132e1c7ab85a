// What callers got and which faults struck, by time, and a picture of both: a bad second shows
// beside the faults before it.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace soak {

using Clock = std::chrono::steady_clock;

class Timeline
{
public:
  void onServed() { ++binNow().m_served; }
  /// A try that a reset or a time-out ended.
  void onFailed() { ++binNow().m_failed; }
  /// `aLength`: how long the fault lasts; zero for those that strike at once.
  void onFault(std::string aWhat, std::chrono::milliseconds aLength);
  /// An SVG picture: tries of each bin above, a bar for each fault below.
  [[nodiscard]] std::string draw(const std::string& aTitle) const;

private:
  struct Bin
  {
    uint32_t m_served{};
    uint32_t m_failed{};
  };
  struct Fault
  {
    std::chrono::milliseconds m_at;
    std::chrono::milliseconds m_length;
    std::string m_what;
  };

  [[nodiscard]] std::chrono::milliseconds now() const
  {
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_start);
  }
  Bin& binNow();

  Clock::time_point m_start{ Clock::now() };
  std::vector<Bin> m_bins;
  std::vector<Fault> m_faults;
};

} // namespace soak
