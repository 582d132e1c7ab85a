// Layout of an encoded load: whether it is a sum, the number of hosts, the identifiers of the data
// centres in ascending order but without that of the sender, and the services in ascending order. A
// service consists of its identifier, its routes and its placements. A sum has each quantity twice:
// of the data centre of the sender, then of all others.
#include "dissemination/LoadCodec.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>

namespace tamarack::dissemination {

namespace {

using overload::DataCentreId;
using overload::LoadReport;
using overload::PlacementLoad;
using overload::RouteId;
using overload::RouteLoad;
using overload::ServiceLoad;

/// Largest quantity that is accepted, in tenths. It is far above the load of any fleet, and sums of
/// accepted quantities stay exact.
constexpr uint64_t kMaxTenths = 1'000'000'000;
/// Limits of the entries of one load. A status of the maximum size has room for fewer.
constexpr uint64_t kMaxDataCentres = 256;
constexpr uint64_t kMaxRoutesPerService = 256;
constexpr uint32_t kMaxHosts = 65'535;

constexpr std::array kRouteQuantities{ &RouteLoad::m_newFlowsPerSecond,
                                       &RouteLoad::m_furtherRequestsPerSecond,
                                       &RouteLoad::m_responsesPerSecond,
                                       &RouteLoad::m_busyRequests };

void
putVarint(std::vector<uint8_t>& aBytes, uint64_t aValue)
{
  for (; aValue >= 0x80; aValue >>= 7) {
    aBytes.push_back(static_cast<uint8_t>(aValue | 0x80));
  }
  aBytes.push_back(static_cast<uint8_t>(aValue));
}

void
putId(std::vector<uint8_t>& aBytes, uint32_t aId)
{
  for (int shift = 24; shift >= 0; shift -= 8) {
    aBytes.push_back(static_cast<uint8_t>(aId >> shift));
  }
}

/// Converts a quantity to tenths. A quantity that is negative or not a number counts as 0.
uint64_t
toTenths(double aQuantity)
{
  const double tenths = std::round(aQuantity * 10);
  return tenths > 0 ? static_cast<uint64_t>(std::min(tenths, static_cast<double>(kMaxTenths))) : 0;
}

/// The quantities of a service in both sums, in tenths.
struct EncodableService
{
  using RouteQuantities = std::array<uint64_t, kRouteQuantities.size()>;

  std::map<RouteId, std::array<RouteQuantities, 2>> m_routes;
  std::map<DataCentreId, std::array<uint64_t, 2>> m_placements;
  /// Decides which services are omitted if not all fit.
  double m_busyRequests{};
};

using EncodableServices = std::map<ServiceId, EncodableService>;

void
addReport(EncodableServices& aServices, const LoadReport& aReport, size_t aSum)
{
  for (const ServiceLoad& load : aReport.m_services) {
    EncodableService& service = aServices[load.m_service];
    for (const RouteLoad& route : load.m_routes) {
      for (size_t index = 0; index < kRouteQuantities.size(); ++index) {
        service.m_routes[route.m_route][aSum][index] = toTenths(route.*kRouteQuantities[index]);
      }
      service.m_busyRequests += std::max(0.0, route.m_busyRequests);
    }
    for (const PlacementLoad& placement : load.m_placements) {
      service.m_placements[placement.m_dataCentre][aSum] = toTenths(placement.m_busyRequests);
    }
  }
}

/// Removes the entries whose quantities are all 0.
void
removeIdleEntries(EncodableServices& aServices)
{
  for (auto& [id, service] : aServices) {
    std::erase_if(service.m_routes,
                  [](const auto& aEntry) { return aEntry.second == decltype(aEntry.second){}; });
    std::erase_if(service.m_placements,
                  [](const auto& aEntry) { return aEntry.second == decltype(aEntry.second){}; });
  }
  std::erase_if(aServices, [](const auto& aEntry) {
    return aEntry.second.m_routes.empty() && aEntry.second.m_placements.empty();
  });
}

void
removeLeastBusy(EncodableServices& aServices)
{
  aServices.erase(std::ranges::min_element(
    aServices, {}, [](const auto& aEntry) { return aEntry.second.m_busyRequests; }));
}

std::vector<uint8_t>
encodeServices(const StatusLoad& aLoad, DataCentreId aSender, const EncodableServices& aServices)
{
  std::vector<DataCentreId> dataCentres{ aSender };
  for (const auto& [id, service] : aServices) {
    for (const auto& [dataCentre, quantities] : service.m_placements) {
      dataCentres.push_back(dataCentre);
    }
  }
  std::ranges::sort(dataCentres);
  dataCentres.erase(std::unique(dataCentres.begin(), dataCentres.end()), dataCentres.end());

  const size_t sums = aLoad.m_isSum ? 2 : 1;
  std::vector<uint8_t> bytes;
  putVarint(bytes, aLoad.m_isSum ? 1 : 0);
  putVarint(bytes, std::min(aLoad.m_hosts, kMaxHosts));
  putVarint(bytes, dataCentres.size() - 1);
  for (const DataCentreId dataCentre : dataCentres) {
    if (dataCentre != aSender) {
      putId(bytes, dataCentre.m_value);
    }
  }
  putVarint(bytes, aServices.size());
  for (const auto& [id, service] : aServices) {
    putId(bytes, id.m_value);
    putVarint(bytes, service.m_routes.size());
    for (const auto& [route, quantities] : service.m_routes) {
      putId(bytes, route.m_value);
      for (size_t sum = 0; sum < sums; ++sum) {
        for (const uint64_t quantity : quantities[sum]) {
          putVarint(bytes, quantity);
        }
      }
    }
    putVarint(bytes, service.m_placements.size());
    for (const auto& [dataCentre, quantities] : service.m_placements) {
      const auto position = std::ranges::lower_bound(dataCentres, dataCentre);
      putVarint(bytes, static_cast<uint64_t>(position - dataCentres.begin()));
      for (size_t sum = 0; sum < sums; ++sum) {
        putVarint(bytes, quantities[sum]);
      }
    }
  }
  return bytes;
}

/// Reads an encoded load. After an error, all further values are 0 and isValid() is false.
class LoadReader
{
public:
  explicit LoadReader(std::span<const uint8_t> aBytes)
    : m_bytes(aBytes)
  {
  }

  [[nodiscard]] bool isValid() const { return m_isValid; }
  [[nodiscard]] bool isAtEnd() const { return m_bytes.empty(); }
  void setInvalid()
  {
    m_isValid = false;
    m_bytes = {};
  }

  /// Reads an integer, which must not be greater than `aMax`.
  uint64_t readVarint(uint64_t aMax)
  {
    uint64_t value = 0;
    for (int shift = 0; shift < 35; shift += 7) {
      const uint8_t byte = readByte();
      value |= static_cast<uint64_t>(byte & 0x7f) << shift;
      if ((byte & 0x80) == 0) {
        if (value > aMax) {
          setInvalid();
        }
        return m_isValid ? value : 0;
      }
    }
    setInvalid();
    return 0;
  }

  uint32_t readId()
  {
    uint32_t id = 0;
    for (int index = 0; index < 4; ++index) {
      id = id << 8 | readByte();
    }
    return id;
  }

  double readQuantity() { return static_cast<double>(readVarint(kMaxTenths)) / 10; }

private:
  uint8_t readByte()
  {
    if (m_bytes.empty()) {
      m_isValid = false;
      return 0;
    }
    const uint8_t byte = m_bytes.front();
    m_bytes = m_bytes.subspan(1);
    return byte;
  }

  std::span<const uint8_t> m_bytes;
  bool m_isValid{ true };
};

/// Reads the routes of a service into the same service of each sum.
void
readRoutes(LoadReader& aReader, std::span<ServiceLoad> aSums)
{
  const uint64_t routes = aReader.readVarint(kMaxRoutesPerService);
  RouteId previous;
  for (uint64_t index = 0; index < routes && aReader.isValid(); ++index) {
    const RouteId id{ aReader.readId() };
    if (index > 0 && id <= previous) {
      aReader.setInvalid();
    }
    previous = id;
    for (ServiceLoad& sum : aSums) {
      RouteLoad route{ .m_route = id };
      for (const auto quantity : kRouteQuantities) {
        route.*quantity = aReader.readQuantity();
      }
      if (route != RouteLoad{ .m_route = id }) {
        sum.m_routes.push_back(route);
      }
    }
  }
}

/// As readRoutes(), for the placements.
void
readPlacements(LoadReader& aReader,
               std::span<const DataCentreId> aDataCentres,
               std::span<ServiceLoad> aSums)
{
  const uint64_t placements = aReader.readVarint(aDataCentres.size());
  uint64_t next = 0;
  for (uint64_t index = 0; index < placements && aReader.isValid(); ++index) {
    const uint64_t position = aReader.readVarint(aDataCentres.size() - 1);
    if (!aReader.isValid() || position < next) {
      aReader.setInvalid();
      return;
    }
    next = position + 1;
    for (ServiceLoad& sum : aSums) {
      const double busyRequests = aReader.readQuantity();
      if (busyRequests > 0) {
        sum.m_placements.push_back({ aDataCentres[position], busyRequests });
      }
    }
  }
}

} // namespace

std::vector<uint8_t>
encodeLoad(const StatusLoad& aLoad, DataCentreId aSender, size_t aMaxBytes)
{
  EncodableServices services;
  addReport(services, aLoad.m_load, 0);
  if (aLoad.m_isSum) {
    addReport(services, aLoad.m_remoteLoad, 1);
  }
  removeIdleEntries(services);
  while (services.size() > kMaxLoadServices) {
    removeLeastBusy(services);
  }
  std::vector<uint8_t> bytes = encodeServices(aLoad, aSender, services);
  while (bytes.size() > aMaxBytes && !services.empty()) {
    removeLeastBusy(services);
    bytes = encodeServices(aLoad, aSender, services);
  }
  return bytes.size() <= aMaxBytes ? bytes : std::vector<uint8_t>{};
}

absl::StatusOr<StatusLoad>
decodeLoad(std::span<const uint8_t> aBytes, DataCentreId aSender)
{
  LoadReader reader(aBytes);
  StatusLoad load;
  load.m_isSum = reader.readVarint(1) != 0;
  load.m_hosts = static_cast<uint32_t>(reader.readVarint(kMaxHosts));
  std::vector<DataCentreId> dataCentres;
  const uint64_t dataCentreCount = reader.readVarint(kMaxDataCentres);
  for (uint64_t index = 0; index < dataCentreCount && reader.isValid(); ++index) {
    const DataCentreId id{ reader.readId() };
    if (id == aSender || (!dataCentres.empty() && id <= dataCentres.back())) {
      reader.setInvalid();
    }
    dataCentres.push_back(id);
  }
  dataCentres.insert(std::ranges::lower_bound(dataCentres, aSender), aSender);
  const uint64_t serviceCount = reader.readVarint(kMaxLoadServices);
  ServiceId previous;
  for (uint64_t index = 0; index < serviceCount && reader.isValid(); ++index) {
    const ServiceId id{ reader.readId() };
    if (index > 0 && id <= previous) {
      reader.setInvalid();
    }
    previous = id;
    std::array<ServiceLoad, 2> sums{ ServiceLoad{ .m_service = id },
                                     ServiceLoad{ .m_service = id } };
    const std::span<ServiceLoad> used(sums.data(), load.m_isSum ? 2 : 1);
    readRoutes(reader, used);
    readPlacements(reader, dataCentres, used);
    for (size_t sum = 0; sum < used.size(); ++sum) {
      if (!sums[sum].m_routes.empty() || !sums[sum].m_placements.empty()) {
        (sum == 0 ? load.m_load : load.m_remoteLoad).m_services.push_back(std::move(sums[sum]));
      }
    }
  }
  if (!reader.isValid() || !reader.isAtEnd()) {
    return absl::InvalidArgumentError("malformed load");
  }
  return load;
}

} // namespace tamarack::dissemination
