// A histogram of durations with logarithmic bins, based on Boost.Histogram.
#pragma once

#include <boost/histogram.hpp>

#include <cstdint>

namespace tamarack::logging {

class LatencyHistogram
{
public:
  LatencyHistogram();

  /// Adds a duration in nanoseconds.
  void add(double aNanoseconds) { m_histogram(aNanoseconds); }
  /// Returns the upper edge of the bin that contains the quantile `aQuantile` (from 0 to 1), in
  /// nanoseconds, or 0 when the histogram is empty.
  [[nodiscard]] double quantile(double aQuantile) const;
  /// Returns the number of durations added.
  [[nodiscard]] uint64_t count() const;

private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<Axis>> m_histogram;
};

} // namespace tamarack::logging
