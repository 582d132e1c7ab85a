// Keeps the last report of each sender and adds them up on request.
#include "overload/FleetLoad.h"

namespace tamarack::overload {

namespace {

/// Bounds for the number of senders, above the design size of 1,100 hosts and 18 data centres.
constexpr size_t kMaxHosts = 2'048;
constexpr size_t kMaxDataCentres = 64;

/// Sets an entry unless it is new and the map is full.
template<typename Map, typename Key, typename Value>
void
setBounded(Map& aMap, const Key& aKey, Value aValue, size_t aMaxSize)
{
  if (aMap.size() < aMaxSize || aMap.contains(aKey)) {
    aMap.insert_or_assign(aKey, std::move(aValue));
  }
}

LoadReport
bounded(LoadReport aReport)
{
  keepBusiestServices(aReport);
  return aReport;
}

} // namespace

bool
FleetLoad::isFresh(TimePoint aNow, const AgedReport& aReport)
{
  return aNow - aReport.m_at <= kMaxLoadReportAge;
}

void
FleetLoad::setReader(bool aIsReader)
{
  if (aIsReader != m_isReader) {
    m_readerSince.reset();
  }
  m_isReader = aIsReader;
}

bool
FleetLoad::isTakingOver(TimePoint aNow) const
{
  return m_isReader && (!m_readerSince || aNow - *m_readerSince < kReaderTakeoverTime);
}

void
FleetLoad::setOwnReport(TimePoint aNow, LoadReport aReport)
{
  m_ownReport = AgedReport{ aNow, bounded(std::move(aReport)) };
  if (m_isReader && !m_readerSince) {
    m_readerSince = aNow;
  }
  const auto isStale = [&](const auto& aEntry) { return !isFresh(aNow, aEntry.second); };
  absl::erase_if(m_hostReports, isStale);
  absl::erase_if(m_dataCentreReports, isStale);
}

void
FleetLoad::onHostReport(TimePoint aNow, HostId aHost, LoadReport aReport)
{
  setBounded(m_hostReports, aHost, AgedReport{ aNow, bounded(std::move(aReport)) }, kMaxHosts);
}

void
FleetLoad::onDataCentreReport(TimePoint aNow, DataCentreId aDataCentre, LoadReport aReport)
{
  setBounded(m_dataCentreReports,
             aDataCentre,
             AgedReport{ aNow, bounded(std::move(aReport)) },
             kMaxDataCentres);
}

void
FleetLoad::onRemoteReport(TimePoint aNow, LoadReport aReport)
{
  m_remoteReport = AgedReport{ aNow, bounded(std::move(aReport)) };
}

const LoadReport*
FleetLoad::readerSum(TimePoint aNow) const
{
  const auto found = m_dataCentreReports.find(m_ownDataCentre);
  const bool isUsable = found != m_dataCentreReports.end() && isFresh(aNow, found->second);
  return isUsable ? &found->second.m_report : nullptr;
}

LoadReport
FleetLoad::ownDataCentreLoad(TimePoint aNow) const
{
  if (!m_isReader || isTakingOver(aNow)) {
    if (const LoadReport* sum = readerSum(aNow)) {
      return *sum;
    }
  }
  if (!m_isReader) {
    return {};
  }
  LoadReport sum;
  if (m_ownReport && isFresh(aNow, *m_ownReport)) {
    sum = m_ownReport->m_report;
  }
  for (const auto& [host, report] : m_hostReports) {
    if (isFresh(aNow, report)) {
      addLoad(sum, report.m_report);
    }
  }
  return bounded(std::move(sum));
}

LoadReport
FleetLoad::remoteLoad(TimePoint aNow) const
{
  if (!m_isReader || isTakingOver(aNow)) {
    if (m_remoteReport && isFresh(aNow, *m_remoteReport)) {
      return m_remoteReport->m_report;
    }
  }
  if (!m_isReader) {
    return {};
  }
  LoadReport sum;
  for (const auto& [dataCentre, report] : m_dataCentreReports) {
    if (dataCentre != m_ownDataCentre && isFresh(aNow, report)) {
      addLoad(sum, report.m_report);
    }
  }
  return bounded(std::move(sum));
}

LoadReport
FleetLoad::totalLoad(TimePoint aNow) const
{
  if (!isKnown(aNow)) {
    return {};
  }
  LoadReport sum = ownDataCentreLoad(aNow);
  addLoad(sum, remoteLoad(aNow));
  return sum;
}

bool
FleetLoad::isKnown(TimePoint aNow) const
{
  if (m_isReader) {
    return m_ownReport && isFresh(aNow, *m_ownReport);
  }
  return readerSum(aNow) != nullptr;
}

} // namespace tamarack::overload
