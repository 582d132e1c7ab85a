// Computes quantiles from the cumulative counts of the histogram bins.
#include "logging/LatencyHistogram.h"

namespace tamarack::logging {

namespace {

/// Ten bins per decade, so a quantile exceeds the exact value by at most 26 %.
constexpr unsigned kBins = 90;
constexpr double kMinNanoseconds = 10;
constexpr double kMaxNanoseconds = 1e10;

} // namespace

LatencyHistogram::LatencyHistogram()
  : m_histogram(boost::histogram::make_histogram(Axis(kBins, kMinNanoseconds, kMaxNanoseconds)))
{
}

uint64_t
LatencyHistogram::count() const
{
  return static_cast<uint64_t>(boost::histogram::algorithm::sum(m_histogram));
}

double
LatencyHistogram::quantile(double aQuantile) const
{
  const double total = boost::histogram::algorithm::sum(m_histogram);
  if (total == 0) {
    return 0;
  }
  double cumulative = 0;
  for (auto&& bin : boost::histogram::indexed(m_histogram, boost::histogram::coverage::all)) {
    cumulative += static_cast<double>(*bin);
    if (cumulative >= aQuantile * total) {
      return bin.bin().upper();
    }
  }
  return kMaxNanoseconds;
}

} // namespace tamarack::logging
