// The messages that a host exchanges with other hosts: statuses in datagrams, and over HTTP/2 the
// differences that are too large for a datagram. The HTTP/2 server also answers operators' requests
// for dumps and explanations.
#pragma once

#include "base/RateLimiter.h"
#include "edge/Diagnostics.h"
#include "edge/EdgeSettings.h"
#include "edge/Host.h"
#include "transport/Datagrams.h"
#include "transport/Http2.h"

namespace tamarack::edge {

/// Rate limit of pushed statuses, which are sent in addition to the periodic ones: statuses per
/// second and burst. One status carries many observations of upstreams.
inline constexpr double kPushesPerSecond = 5;
inline constexpr double kPushBurst = 10;
/// Rate limit of received statuses: statuses per second and burst. At 0.1 ms each, they take half
/// of the processor time that is set aside for control traffic. The reader of a data centre of the
/// design size receives 122 per second.
inline constexpr double kStatusesPerSecond = 200;
inline constexpr double kStatusBurst = 400;
/// Rate limit of snapshots sent to other hosts, per second and per millicore of this host's
/// processor share. A snapshot takes about 2 ms of a core and 60 KB, so snapshots use at most a
/// tenth of the share.
inline constexpr double kSnapshotsPerMillicore = 0.05;
/// Lower bound of that rate limit, in snapshots per second.
inline constexpr double kMinSnapshotsPerSecond = 5;

class PeerTransport
{
public:
  PeerTransport(asio::io_context& aIo,
                const EdgeSettings& aSettings,
                Host& aHost,
                ProcessCounters& aCounters);

  /// Sets the function that supplies the state for dumps and explanations.
  void setDiagnosticsProvider(std::function<DiagnosticInputs()> aProvider)
  {
    m_diagnosticsProvider = std::move(aProvider);
  }
  /// Sets the function to call after records from another host were merged.
  void setRecordsHandler(std::function<void()> aHandler) { m_recordsHandler = std::move(aHandler); }
  /// Sends the periodic statuses that are due, and pushes a status if there are unsent changes.
  void sendDueStatuses(TimePoint aNow);
  /// Sends a status at once to the hosts that rely on this one. The preferred reader sends it even
  /// without changes, which confirms that the records are current.
  void pushStatus(TimePoint aNow);
  /// Sends a status to every live host of the data centre, so that they learn that this one leaves.
  void announceLeaving(TimePoint aNow);

private:
  void onDatagram(std::span<const uint8_t> aBytes);
  transport::Response onRequest(const transport::Request& aRequest);
  /// Requests the records that this host lacks, unless a pull is in progress. `aAgeMs` is the age
  /// of the records that the sender of the status stated, for the log.
  void pullFrom(TimePoint aNow, HostId aHost, int64_t aAgeMs);
  void onPullAnswer(const transport::Response& aResponse, TimePoint aStartedAt, int64_t aAgeMs);
  /// Returns all records in encoded form, encoded only once per revision.
  const std::string& encodedSnapshot();
  void send(std::span<const uint8_t> aStatus, std::span<const HostId> aTargets);

  asio::io_context& m_io;
  uint16_t m_peerPort;
  uint16_t m_controlPort;
  Host& m_host;
  ProcessCounters& m_counters;
  std::function<DiagnosticInputs()> m_diagnosticsProvider;
  std::function<void()> m_recordsHandler;
  transport::DatagramSocket m_socket;
  transport::Http2Server m_controlServer;
  /// The connection to m_pullHost; null before the first pull and after a failed one.
  std::unique_ptr<transport::Http2Client> m_pullClient;
  HostId m_pullHost;
  bool m_isPulling{};
  RateLimiter m_pushLimit{ kPushesPerSecond, kPushBurst };
  RateLimiter m_statusLimit{ kStatusesPerSecond, kStatusBurst };
  RateLimiter m_snapshotLimit;
  std::string m_encodedSnapshot;
  /// Revision of m_encodedSnapshot.
  registry::Revision m_snapshotRevision{};
  /// Whether m_encodedSnapshot says that records missing from it may return.
  bool m_isSnapshotUncertain{};
};

} // namespace tamarack::edge
