// Counting into bins and drawing.
#include "Timeline.h"

#include <algorithm>
#include <sstream>

namespace soak {

namespace {

/// Short enough to show one bad second, long enough for some tens of tries.
constexpr std::chrono::milliseconds kBin{ 250 };
/// Pixels.
constexpr double kBinWidth = 8;
constexpr double kPlotHeight = 160;
constexpr double kLeft = 50;
constexpr double kTop = 30;
constexpr double kRow = 12;
constexpr double kRightOfText = 220;

class Picture
{
public:
  void box(double aX, double aY, double aWidth, double aHeight, const char* aColour)
  {
    m_text << "<rect x=\"" << aX << "\" y=\"" << aY << "\" width=\"" << aWidth << "\" height=\""
           << aHeight << "\" fill=\"" << aColour << "\"/>\n";
  }
  void text(double aX, double aY, const std::string& aText)
  {
    m_text << "<text x=\"" << aX << "\" y=\"" << aY << "\">" << aText << "</text>\n";
  }
  [[nodiscard]] std::string finish(double aWidth, double aHeight) const
  {
    std::ostringstream whole;
    whole << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << aWidth << "\" height=\""
          << aHeight << "\" font-family=\"sans-serif\" font-size=\"10\">\n"
          << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
          << m_text.str() << "</svg>\n";
    return whole.str();
  }

private:
  std::ostringstream m_text;
};

double
xOf(std::chrono::milliseconds aTime)
{
  return kLeft + kBinWidth * static_cast<double>(aTime.count()) / static_cast<double>(kBin.count());
}

} // namespace

void
Timeline::onFault(std::string aWhat, std::chrono::milliseconds aLength)
{
  m_faults.push_back({ now(), aLength, std::move(aWhat) });
}

Timeline::Bin&
Timeline::binNow()
{
  const auto bin = static_cast<size_t>(now() / kBin);
  m_bins.resize(std::max(m_bins.size(), bin + 1));
  return m_bins[bin];
}

std::string
Timeline::draw(const std::string& aTitle) const
{
  uint32_t most = 1;
  for (const Bin& bin : m_bins) {
    most = std::max(most, bin.m_served + bin.m_failed);
  }
  const double unit = kPlotHeight / most;
  Picture picture;
  picture.text(kLeft, kTop / 2, aTitle + "; tries in 250 ms: served grey, failed red");
  picture.text(4, kTop + 8, std::to_string(most));
  for (size_t index = 0; index < m_bins.size(); ++index) {
    const double x = kLeft + kBinWidth * static_cast<double>(index);
    const double served = unit * m_bins[index].m_served;
    const double failed = unit * m_bins[index].m_failed;
    picture.box(x, kTop + kPlotHeight - served, kBinWidth - 1, served, "#8a9aa8");
    picture.box(x, kTop + kPlotHeight - served - failed, kBinWidth - 1, failed, "#c62828");
  }
  double y = kTop + kPlotHeight + kRow;
  const std::chrono::milliseconds end = kBin * static_cast<int64_t>(m_bins.size());
  for (std::chrono::seconds second{ 0 }; second <= end; second += std::chrono::seconds(5)) {
    picture.text(xOf(second), y, std::to_string(second.count()) + " s");
  }
  for (const Fault& fault : m_faults) {
    y += kRow;
    const double x = xOf(fault.m_at);
    const double width = std::max(2.0, xOf(fault.m_at + fault.m_length) - x);
    picture.box(x, y - kRow + 3, width, kRow - 3, "#e0a030");
    picture.text(x + width + 3, y, fault.m_what);
  }
  return picture.finish(xOf(end) + kRightOfText, y + kRow);
}

} // namespace soak
