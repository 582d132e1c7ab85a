// Look-ups in the settings and the computation of service and upstream IDs.
#include "settings/Settings.h"

#include "base/Hash.h"

#include <algorithm>

namespace tamarack::settings {

bool
Settings::isDataCentreOut(std::string_view aDataCentre) const
{
  const auto found = m_dataCentres.find(aDataCentre);
  return found == m_dataCentres.end() || found->second.m_out;
}

const Service*
Settings::findService(std::string_view aName) const
{
  const auto found = std::ranges::find(m_services, aName, &Service::m_name);
  return found == m_services.end() ? nullptr : &*found;
}

UpstreamId
makeUpstreamId(std::string_view aService,
               std::string_view aName,
               Ipv4 aAddress,
               uint32_t aGeneration)
{
  const uint64_t nameHash = mixHash(hashText(aService), hashText(aName));
  const uint64_t addressAndGeneration = (uint64_t{ aAddress.m_value } << 32U) | aGeneration;
  return UpstreamId{ static_cast<uint32_t>(mixHash(nameHash, addressAndGeneration)) };
}

ServiceId
makeServiceId(std::string_view aName)
{
  return ServiceId{ static_cast<uint32_t>(hashText(aName)) };
}

} // namespace tamarack::settings
