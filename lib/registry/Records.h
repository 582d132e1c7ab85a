// What the platform publishes, as typed records: the upstreams that are registered, the routes and
// services of the configuration, and the data centres that operators have taken out.
#pragma once

#include "base/Address.h"
#include "base/Types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace tamarack::registry {

/// Names one history of the store. It rises when the store comes back from a copy, without what was
/// written after the copy was made; 0 when the store names none.
using History = uint64_t;

/// A point in what the store wrote. Numbers are given out again in a later history, which is newer
/// as a whole.
struct Revision
{
  History m_history{};
  /// The store's counter of changes; 0 before the first reading.
  uint64_t m_number{};

  [[nodiscard]] bool isSet() const { return m_number != 0; }
  friend auto operator<=>(const Revision&, const Revision&) = default;
};

/// As logs and dumps write it: the number, with the history before it if the store names one.
[[nodiscard]] inline std::string
formatRevision(Revision aRevision)
{
  const std::string number = std::to_string(aRevision.m_number);
  return aRevision.m_history == 0 ? number : std::to_string(aRevision.m_history) + ":" + number;
}

enum class UpstreamState : uint8_t
{
  Ready,
  /// Keeps its open flows and gets no new ones.
  Draining,
};

/// One start of an upstream.
struct UpstreamRecord
{
  std::string m_service;
  std::string m_dataCentre;
  Ipv4 m_address;
  uint16_t m_port{};
  /// What the upstream compares with the identity that stands before a packet.
  uint64_t m_identity{};
  /// Unix time of its start, which tells two starts of one identity apart; 0 when it is not known.
  int64_t m_startedAtMs{};
  UpstreamState m_state{ UpstreamState::Ready };
  /// How much longer the upstream stays cold, as of the writing of the record.
  Millis m_warmUpLeft{};
  /// Requests that it works on at the same time.
  uint32_t m_slots{};

  friend bool operator==(const UpstreamRecord&, const UpstreamRecord&) = default;
};

/// What a caller may do when a request of a route fails.
enum class RequestKind : uint8_t
{
  Idempotent,
  NonIdempotent,
};

struct WeightedService
{
  std::string m_service;
  uint32_t m_weight{ 1 };

  friend bool operator==(const WeightedService&, const WeightedService&) = default;
};

struct RouteRecord
{
  Ipv4 m_address;
  uint16_t m_port{};
  RequestKind m_kind{ RequestKind::NonIdempotent };
  std::vector<WeightedService> m_services;

  friend bool operator==(const RouteRecord&, const RouteRecord&) = default;
};

struct ServiceRecord
{
  Millis m_warmUp{};
  /// New requests that a cold upstream bears in a second; 0 when no limit is stated.
  double m_coldRequestsPerSecond{};

  friend bool operator==(const ServiceRecord&, const ServiceRecord&) = default;
};

/// What holds for the whole configuration.
struct ConfigurationRecord
{
  uint64_t m_version{};
  /// A flow that is idle for longer may be forgotten.
  Millis m_idleTimeout{};

  friend bool operator==(const ConfigurationRecord&, const ConfigurationRecord&) = default;
};

/// A data centre that operators have taken out; the key names it.
struct DataCentreOutRecord
{
  friend bool operator==(const DataCentreOutRecord&, const DataCentreOutRecord&) = default;
};

using Record = std::
  variant<ConfigurationRecord, ServiceRecord, RouteRecord, DataCentreOutRecord, UpstreamRecord>;

/// The kinds of Record, in the order of its alternatives.
enum class RecordKind : uint8_t
{
  Configuration,
  Service,
  Route,
  DataCentreOut,
  Upstream,
};

struct RecordKey
{
  RecordKind m_kind{};
  std::string m_name;

  friend auto operator<=>(const RecordKey&, const RecordKey&) = default;
};

/// One record as of one revision.
struct Change
{
  RecordKey m_key;
  Revision m_revision{};
  /// Empty when the record was removed.
  std::optional<Record> m_record;
  /// The removal happened while the store was disturbed, so the upstream may be alive and come
  /// back.
  bool m_mayReturn{};
  /// Came with a new history, so it may be older than what was known before. Of a change that a
  /// merge returned; not told to other hosts, which find out for themselves.
  bool m_isRestored{};
};

/// One answer of the store.
struct Reading
{
  /// All changes up to this revision are known once the reading is merged.
  Revision m_revision{};
  /// Whether the reading holds everything, so that what it lacks is gone.
  bool m_isSnapshot{};
  /// Upstreams and data centres, in the order in which they changed.
  std::vector<Change> m_changes;
  /// The newest configuration as a whole, when the reading has one.
  std::optional<std::vector<Change>> m_configuration;
  /// Names of items that could not be understood, with the reason.
  std::vector<std::string> m_refused;
};

} // namespace tamarack::registry
