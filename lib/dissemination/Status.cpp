// MessagePack lists with a version in front.
#include "dissemination/Status.h"

#include <nlohmann/json.hpp>

namespace tamarack::dissemination {

namespace {

using Json = nlohmann::json;

constexpr int kVersion = 5;
/// Bits of the field that holds what is either so or not.
constexpr uint8_t kIsReader = 1;
constexpr uint8_t kIsLeaving = 2;
constexpr uint8_t kIsAsking = 4;

} // namespace

std::vector<uint8_t>
encodeStatus(const Status& aStatus)
{
  Json known = Json::array();
  for (const KnownHost& host : aStatus.m_known) {
    // Most are of the sender's data centre, whose name stands in the status already.
    known.push_back(host.m_host.m_value);
    known.push_back(2 * uint64_t{ host.m_capacity } + (host.m_isReader ? 1 : 0));
    if (host.m_dataCentre != aStatus.m_dataCentre) {
      known.push_back(host.m_dataCentre);
    }
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
  const int flags = (aStatus.m_isReader ? kIsReader : 0) | (aStatus.m_isLeaving ? kIsLeaving : 0) |
                    (aStatus.m_isAsking ? kIsAsking : 0);
  return Json::to_msgpack(Json::array({ kVersion,
                                        aStatus.m_sender.m_value,
                                        aStatus.m_dataCentre,
                                        aStatus.m_incarnation,
                                        aStatus.m_capacity,
                                        flags,
                                        aStatus.m_revision.m_history,
                                        aStatus.m_revision.m_number,
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
    const auto flags = fields.at(5).get<uint8_t>();
    Status status{ .m_sender = HostId{ fields.at(1).get<uint32_t>() },
                   .m_dataCentre = fields.at(2).get<std::string>(),
                   .m_incarnation = fields.at(3).get<uint32_t>(),
                   .m_capacity = fields.at(4).get<uint32_t>(),
                   .m_isReader = (flags & kIsReader) != 0,
                   .m_isLeaving = (flags & kIsLeaving) != 0,
                   .m_isAsking = (flags & kIsAsking) != 0,
                   .m_revision = { fields.at(6).get<registry::History>(),
                                   fields.at(7).get<uint64_t>() },
                   .m_ageMs = fields.at(8).get<int64_t>(),
                   .m_known = {},
                   .m_nominees = {},
                   .m_sightings = {},
                   .m_difference = fields.at(11).get_binary() };
    const Json& known = fields.at(9);
    for (size_t index = 0; index < known.size();) {
      const auto host = known.at(index++).get<uint32_t>();
      const auto traits = known.at(index++).get<uint64_t>();
      const bool isElsewhere = index < known.size() && known.at(index).is_string();
      status.m_known.push_back(
        { HostId{ host },
          isElsewhere ? known.at(index++).get<std::string>() : status.m_dataCentre,
          static_cast<uint32_t>(traits / 2),
          traits % 2 != 0 });
    }
    for (const Json& sighting : fields.at(10)) {
      const auto sign = sighting.at(1).get<uint8_t>();
      if (sign > static_cast<uint8_t>(Sign::Refusal)) {
        return absl::InvalidArgumentError("a status with an unknown sign of an upstream");
      }
      status.m_sightings.push_back({ sighting.at(0).get<uint32_t>(),
                                     static_cast<Sign>(sign),
                                     HostId{ sighting.at(2).get<uint32_t>() } });
    }
    for (const Json& nominee : fields.at(12)) {
      status.m_nominees.push_back(HostId{ nominee.get<uint32_t>() });
    }
    return status;
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(std::string("a status cannot be read: ") + error.what());
  }
}

} // namespace tamarack::dissemination
