// Typed records of the data that the platform publishes in its store: registered upstreams, the
// routes and services of the configuration, and the data centres that operators have evacuated.
#pragma once

#include "base/Address.h"
#include "base/Types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace tamarack::registry {

/// Identifies a history of the store, that is, the sequence of writes between two restorations. The
/// store increases it when it is restored from a backup, because the writes made after that backup
/// are lost. 0 if the store does not report a history.
using HistoryId = uint64_t;

/// A position in the sequence of writes to the store. A newer history may reuse the numbers of an
/// older one; every revision of a newer history compares greater than all revisions of older ones.
struct Revision
{
  HistoryId m_history{};
  /// The store's change counter; 0 before the first response of the store.
  uint64_t m_number{};

  [[nodiscard]] bool isSet() const { return m_number != 0; }
  friend auto operator<=>(const Revision&, const Revision&) = default;
};

/// Formats a revision for logs and dumps as `number`, or as `history:number` if the store reports a
/// history.
[[nodiscard]] inline std::string
formatRevision(Revision aRevision)
{
  const std::string number = std::to_string(aRevision.m_number);
  return aRevision.m_history == 0 ? number : std::to_string(aRevision.m_history) + ":" + number;
}

enum class UpstreamState : uint8_t
{
  Ready,
  /// The upstream keeps its open flows and is assigned no new ones.
  Draining,
};

/// The registration of one run of an upstream process.
struct UpstreamRecord
{
  std::string m_service;
  std::string m_dataCentre;
  Ipv4 m_address;
  uint16_t m_port{};
  /// The upstream compares this value with the identity that precedes each packet sent to it.
  uint64_t m_identity{};
  /// Unix time at which the process started. It distinguishes two runs with the same identity. 0 if
  /// unknown.
  int64_t m_startedAtMs{};
  UpstreamState m_state{ UpstreamState::Ready };
  /// Remaining warm-up time of the upstream when the record was written.
  Millis m_warmUpLeft{};
  /// Number of requests that the upstream processes concurrently.
  uint32_t m_slots{};

  friend bool operator==(const UpstreamRecord&, const UpstreamRecord&) = default;
};

/// Whether a caller may retry a failed request of a route.
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
  /// Priority of the requests when there is too little room; 0 is the highest.
  uint32_t m_priority{};
  /// Time within which callers want the response; zero if not stated.
  Millis m_latencyObjective{};
  /// Time after which callers give up; zero if not stated.
  Millis m_deadline{};

  friend bool operator==(const RouteRecord&, const RouteRecord&) = default;
};

struct ServiceRecord
{
  Millis m_warmUp{};
  /// Maximum rate of new requests to an upstream that is still warming up; 0 if unlimited.
  double m_coldRequestsPerSecond{};

  friend bool operator==(const ServiceRecord&, const ServiceRecord&) = default;
};

/// Properties of the configuration as a whole.
struct ConfigurationRecord
{
  uint64_t m_version{};
  /// The state of a flow that was idle for longer than this may be discarded.
  Millis m_idleTimeout{};
  /// Digest of all routes and services of the configuration. A host applies a delta only if it
  /// completes the configuration with this digest. 0 if unknown, as from a host of an earlier
  /// build.
  uint64_t m_digest{};

  friend bool operator==(const ConfigurationRecord&, const ConfigurationRecord&) = default;
};

/// Marks a data centre that operators have taken out of service. The record key holds its name.
struct EvacuatedDataCentreRecord
{
  friend bool operator==(const EvacuatedDataCentreRecord&,
                         const EvacuatedDataCentreRecord&) = default;
};

using Record = std::variant<ConfigurationRecord,
                            ServiceRecord,
                            RouteRecord,
                            EvacuatedDataCentreRecord,
                            UpstreamRecord>;

/// The alternatives of Record, in the same order. The values are part of the encoding.
enum class RecordKind : uint8_t
{
  Configuration,
  Service,
  Route,
  EvacuatedDataCentre,
  Upstream,
};

struct RecordKey
{
  RecordKind m_kind{};
  std::string m_name;

  friend auto operator<=>(const RecordKey&, const RecordKey&) = default;
};

/// The state of one record at a revision.
struct Change
{
  RecordKey m_key;
  Revision m_revision{};
  /// Empty if the record was removed.
  std::optional<Record> m_record;
  /// Whether the record was removed while the store was failing or being restored. The upstream may
  /// still be running and register again.
  bool m_mayReturn{};
  /// Whether the change came with a newer history of the store, so that its content may be older
  /// than the record it replaces. Set only on changes returned by Registry::merge() and not
  /// encoded: each host determines it for itself.
  bool m_isRestored{};
};

/// The content of one response of the store, to a read or to a watch.
struct StoreUpdate
{
  /// Once the update is merged, all changes up to this revision are applied.
  Revision m_revision{};
  /// Whether the update lists all records, so that records missing from it have been removed.
  bool m_isSnapshot{};
  /// Changes of upstreams and evacuated data centres, in the order in which they were written.
  std::vector<Change> m_changes;
  /// All records of the newest configuration, if the response contains one.
  std::optional<std::vector<Change>> m_configuration;
  /// Store items that could not be parsed, each as its key followed by the reason.
  std::vector<std::string> m_rejectedItems;
};

} // namespace tamarack::registry
