// Quantiles from cumulated bins.
#include "logging/Latency.h"

namespace tamarack::logging {

namespace {

constexpr unsigned kBins = 90;
constexpr double kLeastNanoseconds = 10;
constexpr double kMostNanoseconds = 1e10;

} // namespace

Latency::Latency()
  : m_histogram(boost::histogram::make_histogram(Axis(kBins, kLeastNanoseconds, kMostNanoseconds)))
{
}

uint64_t
Latency::count() const
{
  return static_cast<uint64_t>(boost::histogram::algorithm::sum(m_histogram));
}

double
Latency::quantile(double aQuantile) const
{
  const double total = boost::histogram::algorithm::sum(m_histogram);
  if (total == 0) {
    return 0;
  }
  double passed = 0;
  for (auto&& bin : boost::histogram::indexed(m_histogram, boost::histogram::coverage::all)) {
    passed += static_cast<double>(*bin);
    if (passed >= aQuantile * total) {
      return bin.bin().upper();
    }
  }
  return kMostNanoseconds;
}

} // namespace tamarack::logging
