// Records are lists of fields in a fixed order; names would double the bytes.
#include "registry/RecordCodec.h"

#include <nlohmann/json.hpp>

namespace tamarack::registry {

namespace {

using Json = nlohmann::json;

Json
fieldsOf(const ConfigurationRecord& aRecord)
{
  return { aRecord.m_version, aRecord.m_idleTimeout.count() };
}

Json
fieldsOf(const ServiceRecord& aRecord)
{
  return { aRecord.m_warmUp.count(), aRecord.m_coldRequestsPerSecond };
}

Json
fieldsOf(const RouteRecord& aRecord)
{
  Json services = Json::array();
  for (const WeightedService& service : aRecord.m_services) {
    services.push_back(Json::array({ service.m_service, service.m_weight }));
  }
  return Json::array({ aRecord.m_address.m_value,
                       aRecord.m_port,
                       static_cast<int>(aRecord.m_kind),
                       std::move(services) });
}

Json
fieldsOf(const DataCentreOutRecord& /*aRecord*/)
{
  return Json::array();
}

Json
fieldsOf(const UpstreamRecord& aRecord)
{
  return Json::array({ aRecord.m_service,
                       aRecord.m_dataCentre,
                       aRecord.m_address.m_value,
                       aRecord.m_port,
                       aRecord.m_identity,
                       aRecord.m_startedAtMs,
                       static_cast<int>(aRecord.m_state),
                       aRecord.m_warmUpLeft.count(),
                       aRecord.m_slots });
}

RouteRecord
routeOf(const Json& aFields)
{
  RouteRecord route{ .m_address = Ipv4{ aFields.at(0).get<uint32_t>() },
                     .m_port = aFields.at(1).get<uint16_t>(),
                     .m_kind = aFields.at(2).get<int>() == 0 ? RequestKind::Idempotent
                                                             : RequestKind::NonIdempotent,
                     .m_services = {} };
  for (const Json& service : aFields.at(3)) {
    route.m_services.push_back({ service.at(0).get<std::string>(), service.at(1).get<uint32_t>() });
  }
  return route;
}

UpstreamRecord
upstreamOf(const Json& aFields)
{
  return { .m_service = aFields.at(0).get<std::string>(),
           .m_dataCentre = aFields.at(1).get<std::string>(),
           .m_address = Ipv4{ aFields.at(2).get<uint32_t>() },
           .m_port = aFields.at(3).get<uint16_t>(),
           .m_identity = aFields.at(4).get<uint64_t>(),
           .m_startedAtMs = aFields.at(5).get<int64_t>(),
           .m_state =
             aFields.at(6).get<int>() == 0 ? UpstreamState::Ready : UpstreamState::Draining,
           .m_warmUpLeft = Millis{ aFields.at(7).get<int64_t>() },
           .m_slots = aFields.at(8).get<uint32_t>() };
}

Record
recordOf(RecordKind aKind, const Json& aFields)
{
  switch (aKind) {
    case RecordKind::Configuration:
      return ConfigurationRecord{ aFields.at(0).get<uint64_t>(),
                                  Millis{ aFields.at(1).get<int64_t>() } };
    case RecordKind::Service:
      return ServiceRecord{ Millis{ aFields.at(0).get<int64_t>() }, aFields.at(1).get<double>() };
    case RecordKind::Route:
      return routeOf(aFields);
    case RecordKind::DataCentreOut:
      return DataCentreOutRecord{};
    case RecordKind::Upstream:
      break;
  }
  return upstreamOf(aFields);
}

/// A change names its history only where that differs from the difference's.
Json
encodeChange(const Change& aChange, History aHistory)
{
  Json fields = nullptr;
  if (aChange.m_record) {
    fields = std::visit([](const auto& aRecord) { return fieldsOf(aRecord); }, *aChange.m_record);
  }
  Json encoded = Json::array({ static_cast<int>(aChange.m_key.m_kind),
                               aChange.m_key.m_name,
                               aChange.m_revision.m_number,
                               std::move(fields),
                               aChange.m_mayReturn });
  if (aChange.m_revision.m_history != aHistory) {
    encoded.push_back(aChange.m_revision.m_history);
  }
  return encoded;
}

Change
decodeChange(const Json& aFields, History aHistory)
{
  const int kind = aFields.at(0).get<int>();
  if (kind < 0 || kind > static_cast<int>(RecordKind::Upstream)) {
    throw std::out_of_range("a record of an unknown kind");
  }
  Change change{ .m_key = { static_cast<RecordKind>(kind), aFields.at(1).get<std::string>() },
                 .m_revision = { .m_history =
                                   aFields.size() > 5 ? aFields.at(5).get<History>() : aHistory,
                                 .m_number = aFields.at(2).get<uint64_t>() },
                 .m_record = std::nullopt,
                 .m_mayReturn = aFields.at(4).get<bool>() };
  if (!aFields.at(3).is_null()) {
    change.m_record = recordOf(change.m_key.m_kind, aFields.at(3));
  }
  return change;
}

} // namespace

std::vector<uint8_t>
encodeDifference(const Difference& aDifference)
{
  Json changes = Json::array();
  for (const Change& change : aDifference.m_changes) {
    changes.push_back(encodeChange(change, aDifference.m_revision.m_history));
  }
  return Json::to_msgpack(Json::array({ aDifference.m_base.m_history,
                                        aDifference.m_base.m_number,
                                        aDifference.m_revision.m_history,
                                        aDifference.m_revision.m_number,
                                        aDifference.m_isSnapshot,
                                        std::move(changes) }));
}

absl::StatusOr<Difference>
decodeDifference(std::span<const uint8_t> aBytes)
{
  try {
    const Json fields = Json::from_msgpack(aBytes.begin(), aBytes.end());
    Difference difference{
      .m_base = { fields.at(0).get<History>(), fields.at(1).get<uint64_t>() },
      .m_revision = { fields.at(2).get<History>(), fields.at(3).get<uint64_t>() },
      .m_isSnapshot = fields.at(4).get<bool>(),
      .m_changes = {},
    };
    for (const Json& change : fields.at(5)) {
      difference.m_changes.push_back(decodeChange(change, difference.m_revision.m_history));
    }
    return difference;
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(std::string("a difference cannot be read: ") + error.what());
  }
}

} // namespace tamarack::registry
