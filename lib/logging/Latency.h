// Durations in a Boost.Histogram with logarithmic bins, and their quantiles.
#pragma once

#include <boost/histogram.hpp>

#include <cstdint>

namespace tamarack::logging {

class Latency
{
public:
  Latency();

  /// Adds a duration in nanoseconds.
  void add(double aNanoseconds) { m_histogram(aNanoseconds); }
  /// The duration below which the share `aQuantile` of all lies, in nanoseconds; 0 when empty.
  [[nodiscard]] double quantile(double aQuantile) const;
  [[nodiscard]] uint64_t count() const;

private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<Axis>> m_histogram;
};

} // namespace tamarack::logging
