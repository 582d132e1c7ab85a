// The load of the whole fleet, as one host knows it. Each host reports its own load to the reader
// of its data centre, the reader adds up the reports and sends the sums to the hosts of its data
// centre and to the readers of the others. Every report has an age and is discarded when it is too
// old, so hosts that are lost or cut off drop out of the sums.
#pragma once

#include "overload/LoadReport.h"

#include <absl/container/flat_hash_map.h>
#include <optional>

namespace tamarack::overload {

/// A report older than this is discarded. Followers report every second, and one datagram may be
/// lost.
inline constexpr Millis kMaxLoadReportAge{ 2500 };

/// While a host has been the reader for less than this, it uses the sums of its predecessor: a sum
/// over the few followers that have reported to it already would be too small.
inline constexpr Millis kReaderTakeoverTime{ 1500 };

class FleetLoad
{
public:
  explicit FleetLoad(DataCentreId aOwnDataCentre)
    : m_ownDataCentre(aOwnDataCentre)
  {
  }

  /// Sets what this host itself measured.
  void setOwnReport(TimePoint aNow, LoadReport aReport);
  /// A host of the own data centre reported what it measured.
  void onHostReport(TimePoint aNow, HostId aHost, LoadReport aReport);
  /// A reader reported the sum over the hosts of its data centre, which may be the own one.
  void onDataCentreReport(TimePoint aNow, DataCentreId aDataCentre, LoadReport aReport);
  /// The reader of the own data centre reported the sum over all other data centres.
  void onRemoteReport(TimePoint aNow, LoadReport aReport);

  /// Returns the sum over the hosts of the own data centre: on a reader, the sum of their reports;
  /// on other hosts, the last sum of the reader. Empty if it is unknown.
  [[nodiscard]] LoadReport ownDataCentreLoad(TimePoint aNow) const;
  /// Returns the sum over the other data centres, as this host would report it to its followers.
  [[nodiscard]] LoadReport remoteLoad(TimePoint aNow) const;
  /// Returns the sum over all data centres.
  [[nodiscard]] LoadReport totalLoad(TimePoint aNow) const;
  /// Whether the sum over the own data centre is known.
  [[nodiscard]] bool isKnown(TimePoint aNow) const;
  /// Sets whether this host is the reader of its data centre.
  void setReader(bool aIsReader);

private:
  struct AgedReport
  {
    TimePoint m_at;
    LoadReport m_report;
  };

  [[nodiscard]] static bool isFresh(TimePoint aNow, const AgedReport& aReport);
  /// Whether this host became the reader so recently that its followers may not have reported yet.
  [[nodiscard]] bool isTakingOver(TimePoint aNow) const;
  /// Returns the last sum of the reader, or null if it is too old.
  [[nodiscard]] const LoadReport* readerSum(TimePoint aNow) const;

  DataCentreId m_ownDataCentre;
  bool m_isReader{};
  /// Empty from the moment when this host becomes the reader until its next own report.
  std::optional<TimePoint> m_readerSince;
  std::optional<AgedReport> m_ownReport;
  std::optional<AgedReport> m_remoteReport;
  /// Entries that are too old are removed with each own report.
  absl::flat_hash_map<HostId, AgedReport> m_hostReports;
  absl::flat_hash_map<DataCentreId, AgedReport> m_dataCentreReports;
};

} // namespace tamarack::overload
