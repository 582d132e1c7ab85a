// Each record is encoded as a list of fields in a fixed order. Field names would double the size.
#include "registry/RecordCodec.h"

#include "base/BoundedText.h"
#include "base/JsonReader.h"
#include "registry/RecordLimits.h"

namespace tamarack::registry {

namespace {

using Json = nlohmann::json;

Json
encodeFields(const ConfigurationRecord& aRecord)
{
  return { aRecord.m_version, aRecord.m_idleTimeout.count(), aRecord.m_digest };
}

Json
encodeFields(const ServiceRecord& aRecord)
{
  return { aRecord.m_warmUp.count(), aRecord.m_coldRequestsPerSecond };
}

Json
encodeFields(const RouteRecord& aRecord)
{
  Json services = Json::array();
  for (const WeightedService& service : aRecord.m_services) {
    services.push_back(Json::array({ service.m_service, service.m_weight }));
  }
  return Json::array({ aRecord.m_address.m_value,
                       aRecord.m_port,
                       static_cast<int>(aRecord.m_kind),
                       std::move(services),
                       aRecord.m_priority,
                       aRecord.m_latencyObjective.count(),
                       aRecord.m_deadline.count() });
}

Json
encodeFields(const EvacuatedDataCentreRecord& /*aRecord*/)
{
  return Json::array();
}

Json
encodeFields(const UpstreamRecord& aRecord)
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

Millis
toDuration(const Json& aField)
{
  return clampConfiguredTime(Millis{ toInteger<int64_t>(aField) });
}

RouteRecord
decodeRoute(const Json& aFields)
{
  RouteRecord route{ .m_address = Ipv4{ toInteger<uint32_t>(aFields.at(0)) },
                     .m_port = toInteger<uint16_t>(aFields.at(1)),
                     .m_kind = toInteger<int>(aFields.at(2)) == 0 ? RequestKind::Idempotent
                                                                  : RequestKind::NonIdempotent,
                     .m_services = {} };
  for (const Json& service : aFields.at(3)) {
    route.m_services.push_back(
      { service.at(0).get<std::string>(), toInteger<uint32_t>(service.at(1)) });
  }
  // Hosts of an earlier build send only the first four fields.
  if (aFields.size() > 6) {
    route.m_priority = toInteger<uint32_t>(aFields.at(4));
    route.m_latencyObjective = toDuration(aFields.at(5));
    route.m_deadline = toDuration(aFields.at(6));
  }
  return route;
}

UpstreamRecord
decodeUpstream(const Json& aFields)
{
  UpstreamRecord record{ .m_service = aFields.at(0).get<std::string>(),
                         .m_dataCentre = aFields.at(1).get<std::string>(),
                         .m_address = Ipv4{ toInteger<uint32_t>(aFields.at(2)) },
                         .m_port = toInteger<uint16_t>(aFields.at(3)),
                         .m_identity = toInteger<uint64_t>(aFields.at(4)),
                         .m_startedAtMs = toInteger<int64_t>(aFields.at(5)),
                         .m_state = toInteger<int>(aFields.at(6)) == 0 ? UpstreamState::Ready
                                                                       : UpstreamState::Draining,
                         .m_warmUpLeft = Millis{ toInteger<int64_t>(aFields.at(7)) },
                         .m_slots = toInteger<uint32_t>(aFields.at(8)) };
  if (const std::string_view fault = findFault(record); !fault.empty()) {
    throw std::invalid_argument(std::string(fault));
  }
  return record;
}

Record
decodeRecord(RecordKind aKind, const Json& aFields)
{
  switch (aKind) {
    case RecordKind::Configuration:
      return ConfigurationRecord{ toInteger<uint64_t>(aFields.at(0)),
                                  toDuration(aFields.at(1)),
                                  aFields.size() > 2 ? toInteger<uint64_t>(aFields.at(2)) : 0 };
    case RecordKind::Service:
      return ServiceRecord{ toDuration(aFields.at(0)), aFields.at(1).get<double>() };
    case RecordKind::Route:
      return decodeRoute(aFields);
    case RecordKind::EvacuatedDataCentre:
      return EvacuatedDataCentreRecord{};
    case RecordKind::Upstream:
      break;
  }
  return decodeUpstream(aFields);
}

Json
encodeAnyFields(const Record& aRecord)
{
  return std::visit([](const auto& aFields) { return encodeFields(aFields); }, aRecord);
}

/// The history of a change is encoded only if it differs from `aHistory`, the history of the delta.
Json
encodeChange(const Change& aChange, HistoryId aHistory)
{
  Json fields = nullptr;
  if (aChange.m_record) {
    fields = encodeAnyFields(*aChange.m_record);
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

/// Decodes a change and adds it to `aDelta`. An upstream's entry that cannot be read is removed,
/// as it is where the store is read, and listed as rejected.
void
addChange(const Json& aFields, Delta& aDelta)
{
  const int kind = toInteger<int>(aFields.at(0));
  if (kind < 0 || kind > static_cast<int>(RecordKind::Upstream)) {
    throw std::out_of_range("unknown record kind");
  }
  Change change{ .m_key = { static_cast<RecordKind>(kind), aFields.at(1).get<std::string>() },
                 .m_revision = { .m_history = aFields.size() > 5
                                                ? toInteger<HistoryId>(aFields.at(5))
                                                : aDelta.m_revision.m_history,
                                 .m_number = toInteger<uint64_t>(aFields.at(2)) },
                 .m_record = std::nullopt,
                 .m_mayReturn = aFields.at(4).get<bool>() };
  try {
    if (!aFields.at(3).is_null()) {
      change.m_record = decodeRecord(change.m_key.m_kind, aFields.at(3));
    }
  } catch (const std::exception& error) {
    if (change.m_key.m_kind != RecordKind::Upstream) {
      throw;
    }
    change.m_mayReturn = true;
    aDelta.m_rejectedItems.push_back(boundedText(change.m_key.m_name) + ": " +
                                     boundedText(error.what()));
  }
  aDelta.m_changes.push_back(std::move(change));
}

} // namespace

std::vector<uint8_t>
encodeRecord(const RecordKey& aKey, const Record& aRecord)
{
  return Json::to_msgpack(
    Json::array({ static_cast<int>(aKey.m_kind), aKey.m_name, encodeAnyFields(aRecord) }));
}

std::vector<uint8_t>
encodeDelta(const Delta& aDelta)
{
  Json changes = Json::array();
  for (const Change& change : aDelta.m_changes) {
    changes.push_back(encodeChange(change, aDelta.m_revision.m_history));
  }
  Json encoded = Json::array({ aDelta.m_base.m_history,
                               aDelta.m_base.m_number,
                               aDelta.m_revision.m_history,
                               aDelta.m_revision.m_number,
                               aDelta.m_isSnapshot,
                               std::move(changes) });
  // Hosts of an earlier build ignore fields after the changes.
  if (aDelta.m_areRemovalsUncertain) {
    encoded.push_back(true);
  }
  return Json::to_msgpack(encoded);
}

absl::StatusOr<Delta>
decodeDelta(std::span<const uint8_t> aBytes)
{
  try {
    const Json fields = parseMessagePack(aBytes);
    Delta delta{
      .m_base = { toInteger<HistoryId>(fields.at(0)), toInteger<uint64_t>(fields.at(1)) },
      .m_revision = { toInteger<HistoryId>(fields.at(2)), toInteger<uint64_t>(fields.at(3)) },
      .m_isSnapshot = fields.at(4).get<bool>(),
      .m_areRemovalsUncertain = fields.size() > 6 && fields.at(6).get<bool>(),
      .m_changes = {},
    };
    for (const Json& change : fields.at(5)) {
      addChange(change, delta);
    }
    return delta;
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError("malformed delta: " + boundedText(error.what()));
  }
}

} // namespace tamarack::registry
