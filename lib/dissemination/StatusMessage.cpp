// A status is encoded as a MessagePack list of fields that starts with the format version.
#include "dissemination/StatusMessage.h"

#include "base/BoundedText.h"
#include "base/Hash.h"
#include "base/JsonReader.h"

namespace tamarack::dissemination {

namespace {

using Json = nlohmann::json;

constexpr int kFormatVersion = 5;
/// Bits of the flags field.
constexpr uint8_t kIsReader = 1;
constexpr uint8_t kIsLeaving = 2;
constexpr uint8_t kRequestsReply = 4;
/// Position of the load in the list. Earlier builds ignore fields from here on.
constexpr size_t kLoadField = 13;
/// About 31 years; sums with it do not overflow.
constexpr int64_t kMaxConfirmationAgeMs = 1'000'000'000'000;
/// Largest number of bytes that MessagePack puts before a binary value of the size of a load.
constexpr size_t kBinaryHeaderBytes = 3;

/// Returns the identifier of a data centre in load reports.
overload::DataCentreId
dataCentreId(std::string_view aName)
{
  return overload::DataCentreId{ static_cast<uint32_t>(hashText(aName)) };
}

} // namespace

std::vector<uint8_t>
encodeStatus(const StatusMessage& aStatus)
{
  Json knownHosts = Json::array();
  for (const KnownHost& host : aStatus.m_knownHosts) {
    // Most hosts belong to the data centre of the sender, whose name the status already contains.
    // Only other names are added.
    knownHosts.push_back(host.m_host.m_value);
    knownHosts.push_back(2 * uint64_t{ host.m_capacity } + (host.m_isReader ? 1 : 0));
    if (host.m_dataCentre != aStatus.m_dataCentre) {
      knownHosts.push_back(host.m_dataCentre);
    }
  }
  Json nominees = Json::array();
  for (const HostId nominee : aStatus.m_nominees) {
    nominees.push_back(nominee.m_value);
  }
  Json reports = Json::array();
  for (const HealthReport& report : aStatus.m_healthReports) {
    reports.push_back(Json::array({ report.m_token, report.m_signal, report.m_reporter.m_value }));
  }
  const int flags = (aStatus.m_isReader ? kIsReader : 0) | (aStatus.m_isLeaving ? kIsLeaving : 0) |
                    (aStatus.m_requestsReply ? kRequestsReply : 0);
  Json fields = Json::array({ kFormatVersion,
                              aStatus.m_sender.m_value,
                              aStatus.m_dataCentre,
                              aStatus.m_incarnation,
                              aStatus.m_capacity,
                              flags,
                              aStatus.m_revision.m_history,
                              aStatus.m_revision.m_number,
                              aStatus.m_confirmationAgeMs,
                              std::move(knownHosts),
                              std::move(reports),
                              Json::binary(aStatus.m_delta),
                              std::move(nominees) });
  std::vector<uint8_t> bytes = Json::to_msgpack(fields);
  if (!aStatus.m_load || bytes.size() + kBinaryHeaderBytes >= kMaxStatusBytes) {
    return bytes;
  }
  std::vector<uint8_t> load = encodeLoad(*aStatus.m_load,
                                         dataCentreId(aStatus.m_dataCentre),
                                         kMaxStatusBytes - kBinaryHeaderBytes - bytes.size());
  if (load.empty()) {
    return bytes;
  }
  fields.push_back(Json::binary(std::move(load)));
  return Json::to_msgpack(fields);
}

absl::StatusOr<StatusMessage>
decodeStatus(std::span<const uint8_t> aBytes)
{
  try {
    const Json fields = parseMessagePack(aBytes);
    if (toInteger<int>(fields.at(0)) != kFormatVersion) {
      return absl::InvalidArgumentError("status has an unsupported format version");
    }
    const auto flags = toInteger<uint8_t>(fields.at(5));
    StatusMessage status{ .m_sender = HostId{ toInteger<uint32_t>(fields.at(1)) },
                          .m_dataCentre = fields.at(2).get<std::string>(),
                          .m_incarnation = toInteger<uint32_t>(fields.at(3)),
                          .m_capacity = toInteger<uint32_t>(fields.at(4)),
                          .m_isReader = (flags & kIsReader) != 0,
                          .m_isLeaving = (flags & kIsLeaving) != 0,
                          .m_requestsReply = (flags & kRequestsReply) != 0,
                          .m_revision = { toInteger<registry::HistoryId>(fields.at(6)),
                                          toInteger<uint64_t>(fields.at(7)) },
                          .m_confirmationAgeMs = toInteger<int64_t>(fields.at(8)),
                          .m_knownHosts = {},
                          .m_nominees = {},
                          .m_healthReports = {},
                          .m_delta = fields.at(11).get_binary(),
                          .m_load = {} };
    if (status.m_confirmationAgeMs < -1 || status.m_confirmationAgeMs > kMaxConfirmationAgeMs) {
      return absl::InvalidArgumentError("status has a confirmation age out of range");
    }
    const Json& knownHosts = fields.at(9);
    for (size_t index = 0; index < knownHosts.size();) {
      const auto host = toInteger<uint32_t>(knownHosts.at(index++));
      const auto capacityAndRole = toInteger<uint64_t>(knownHosts.at(index++));
      const bool hasOwnDataCentre = index < knownHosts.size() && knownHosts.at(index).is_string();
      status.m_knownHosts.push_back(
        { HostId{ host },
          hasOwnDataCentre ? knownHosts.at(index++).get<std::string>() : status.m_dataCentre,
          static_cast<uint32_t>(capacityAndRole / 2),
          capacityAndRole % 2 != 0 });
    }
    for (const Json& report : fields.at(10)) {
      const auto signal = toInteger<uint8_t>(report.at(1));
      if (signal > static_cast<uint8_t>(HealthSignal::RefusesFlows)) {
        return absl::InvalidArgumentError("status has an unknown health signal");
      }
      status.m_healthReports.push_back({ toInteger<uint32_t>(report.at(0)),
                                         static_cast<HealthSignal>(signal),
                                         HostId{ toInteger<uint32_t>(report.at(2)) } });
    }
    for (const Json& nominee : fields.at(12)) {
      status.m_nominees.push_back(HostId{ toInteger<uint32_t>(nominee) });
    }
    if (fields.size() > kLoadField) {
      absl::StatusOr<StatusLoad> load =
        decodeLoad(fields[kLoadField].get_binary(), dataCentreId(status.m_dataCentre));
      if (!load.ok()) {
        return load.status();
      }
      status.m_load = *std::move(load);
    }
    return status;
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError("malformed status: " + boundedText(error.what()));
  }
}

} // namespace tamarack::dissemination
