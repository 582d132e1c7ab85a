// MessagePack lists with a version in front.
#include "dissemination/Status.h"

#include <nlohmann/json.hpp>

namespace tamarack::dissemination {

namespace {

using Json = nlohmann::json;

constexpr int kVersion = 2;

} // namespace

std::vector<uint8_t>
encodeStatus(const Status& aStatus)
{
  Json known = Json::array();
  for (const KnownHost& host : aStatus.m_known) {
    known.push_back(Json::array({ host.m_host.m_value, host.m_dataCentre }));
  }
  Json nominees = Json::array();
  for (const HostId nominee : aStatus.m_nominees) {
    nominees.push_back(nominee.m_value);
  }
  Json sightings = Json::array();
  for (const Sighting& sighting : aStatus.m_sightings) {
    sightings.push_back(
      Json::array({ sighting.m_token, sighting.m_sign, sighting.m_witness.m_value }));
  }
  return Json::to_msgpack(Json::array({ kVersion,
                                        aStatus.m_sender.m_value,
                                        aStatus.m_dataCentre,
                                        aStatus.m_incarnation,
                                        aStatus.m_capacity,
                                        aStatus.m_isReader,
                                        aStatus.m_isLeaving,
                                        aStatus.m_isAsking,
                                        aStatus.m_revision,
                                        aStatus.m_ageMs,
                                        std::move(known),
                                        std::move(sightings),
                                        Json::binary(aStatus.m_difference),
                                        std::move(nominees) }));
}

absl::StatusOr<Status>
decodeStatus(std::span<const uint8_t> aBytes)
{
  try {
    const Json fields = Json::from_msgpack(aBytes.begin(), aBytes.end());
    if (fields.at(0).get<int>() != kVersion) {
      return absl::InvalidArgumentError("a status of another version");
    }
    Status status{ .m_sender = HostId{ fields.at(1).get<uint32_t>() },
                   .m_dataCentre = fields.at(2).get<std::string>(),
                   .m_incarnation = fields.at(3).get<uint64_t>(),
                   .m_capacity = fields.at(4).get<uint32_t>(),
                   .m_isReader = fields.at(5).get<bool>(),
                   .m_isLeaving = fields.at(6).get<bool>(),
                   .m_isAsking = fields.at(7).get<bool>(),
                   .m_revision = fields.at(8).get<registry::Revision>(),
                   .m_ageMs = fields.at(9).get<int64_t>(),
                   .m_known = {},
                   .m_nominees = {},
                   .m_sightings = {},
                   .m_difference = fields.at(12).get_binary() };
    for (const Json& host : fields.at(10)) {
      status.m_known.push_back(
        { HostId{ host.at(0).get<uint32_t>() }, host.at(1).get<std::string>() });
    }
    for (const Json& sighting : fields.at(11)) {
      const auto sign = sighting.at(1).get<uint8_t>();
      if (sign > static_cast<uint8_t>(Sign::Slowness)) {
        return absl::InvalidArgumentError("a status with an unknown sign of an upstream");
      }
      status.m_sightings.push_back({ sighting.at(0).get<uint32_t>(),
                                     static_cast<Sign>(sign),
                                     HostId{ sighting.at(2).get<uint32_t>() } });
    }
    for (const Json& nominee : fields.at(13)) {
      status.m_nominees.push_back(HostId{ nominee.get<uint32_t>() });
    }
    return status;
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(std::string("a status cannot be read: ") + error.what());
  }
}

} // namespace tamarack::dissemination
