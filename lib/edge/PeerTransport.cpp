// Sends and receives statuses, pulls records from other hosts, and serves the HTTP/2 requests.
#include "edge/PeerTransport.h"

#include "base/Clock.h"
#include "edge/CatchAndLog.h"
#include "registry/RecordCodec.h"

namespace tamarack::edge {

namespace {

/// Deadline of a pull. A running host in the same region answers within milliseconds, but a
/// snapshot of the design size takes most of a second on a 10 Mbit/s link.
constexpr Millis kPullDeadline{ 1200 };

/// The rate limit of snapshots for a processor share in cores.
double
snapshotsPerSecond(double aCpuShare)
{
  return std::max(kMinSnapshotsPerSecond, 1000 * aCpuShare * kSnapshotsPerMillicore);
}

} // namespace

PeerTransport::PeerTransport(asio::io_context& aIo,
                             const EdgeSettings& aSettings,
                             Host& aHost,
                             ProcessCounters& aCounters)
  : m_io(aIo)
  , m_peerPort(aSettings.m_peerPort)
  , m_controlPort(aSettings.m_controlEndpoint.m_port)
  , m_host(aHost)
  , m_counters(aCounters)
  , m_socket(
      aIo,
      { asio::ip::address_v4(aSettings.m_packetEndpoint.m_address.m_value), aSettings.m_peerPort })
  , m_controlServer(
      aIo,
      { asio::ip::address_v4(aSettings.m_controlEndpoint.m_address.m_value),
        aSettings.m_controlEndpoint.m_port },
      [this](const transport::Request& aRequest, const transport::Responder& aRespond) {
        transport::Response response{ .m_status = 500 };
        catchAndLog(m_host, "request", [&] { response = onRequest(aRequest); });
        aRespond(response);
      })
  , m_snapshotLimit(snapshotsPerSecond(aSettings.m_cpuShare),
                    snapshotsPerSecond(aSettings.m_cpuShare))
{
  m_socket.startReceiving(
    [this](auto aBytes) { catchAndLog(m_host, "status", [&] { onDatagram(aBytes); }); },
    [this](bool aIsAllRead) {
      m_socket.flush();
      if (aIsAllRead) {
        m_host.onStatusBacklogRead();
      }
    });
}

void
PeerTransport::sendDueStatuses(TimePoint aNow)
{
  if (m_host.hasUnsentChanges()) {
    pushStatus(aNow);
  }
  const auto targets = m_host.peers().dueTargets(aNow);
  if (!targets.empty()) {
    send(m_host.makePeriodicStatus(aNow), targets);
  }
}

void
PeerTransport::pushStatus(TimePoint aNow)
{
  // The preferred reader sends to all hosts of the data centre; any other host sends to the
  // readers, which forward the observations.
  auto targets = m_host.peers().followers(aNow);
  if (targets.empty() && m_host.hasUnsentChanges()) {
    targets = m_host.peers().readers(aNow);
  }
  if (targets.empty()) {
    // No host relies on this one and no reader is known; observations wait until there is one.
    return;
  }
  if (m_pushLimit.tryAcquire(aNow)) {
    send(m_host.makeStatus(aNow), targets);
    m_host.onStatusPushed();
  }
}

void
PeerTransport::announceLeaving(TimePoint aNow)
{
  send(m_host.makeStatus(aNow), m_host.peers().liveNeighbours(aNow));
}

void
PeerTransport::send(std::span<const uint8_t> aStatus, std::span<const HostId> aTargets)
{
  for (const HostId target : aTargets) {
    m_socket.send(Ipv4{ target.m_value }, m_peerPort, aStatus, {});
    m_counters.m_statusBytesSent += aStatus.size();
  }
  m_socket.flush();
}

void
PeerTransport::onDatagram(std::span<const uint8_t> aBytes)
{
  const TimePoint now = readClock();
  m_host.onActivity(now);
  m_counters.m_statusBytesReceived += aBytes.size();
  if (!m_statusLimit.tryAcquire(now)) {
    ++m_counters.m_statusesDropped;
    return;
  }
  const auto status = dissemination::decodeStatus(aBytes);
  if (!status.ok()) {
    ++m_counters.m_inputErrors[static_cast<size_t>(ErrorKind::PacketUnsupported)];
    return;
  }
  const dissemination::StatusActions reaction = m_host.onStatus(now, *status);
  if (reaction.m_isReplyDue) {
    const std::array<HostId, 1> target{ status->m_sender };
    send(m_host.makeAnswerStatus(now, status->m_dataCentre), target);
  }
  if (m_host.hasPendingHealthReports()) {
    pushStatus(now);
  }
  if (reaction.m_isPullDue && m_host.shouldPull(now, *status)) {
    pullFrom(now, status->m_sender, status->m_confirmationAgeMs);
  }
  if (m_host.peers().isHelloDue()) {
    sendDueStatuses(now);
  }
}

void
PeerTransport::pullFrom(TimePoint aNow, HostId aHost, int64_t aAgeMs)
{
  if (m_isPulling) {
    return;
  }
  if (!m_pullClient || m_pullHost != aHost) {
    m_pullClient = std::make_unique<transport::Http2Client>(
      m_io, asio::ip::tcp::endpoint(asio::ip::address_v4(aHost.m_value), m_controlPort));
    m_pullHost = aHost;
  }
  m_isPulling = true;
  ++m_counters.m_pulls;
  if (!m_host.isLoaded()) {
    m_host.bootstrap().onTransferStarted(aNow);
  }
  transport::Request request{ .m_method = "GET", .m_path = "/changes" };
  const registry::Revision base = m_host.registry().deltaBase();
  request.m_query["history"] = std::to_string(base.m_history);
  request.m_query["since"] = std::to_string(base.m_number);
  m_pullClient->request(
    request, kPullDeadline, [this, aNow, aAgeMs](const transport::Response& aResponse) {
      m_isPulling = false;
      catchAndLog(m_host, "records", [&] { onPullAnswer(aResponse, aNow, aAgeMs); });
    });
}

void
PeerTransport::onPullAnswer(const transport::Response& aResponse,
                            TimePoint aStartedAt,
                            int64_t aAgeMs)
{
  const TimePoint now = readClock();
  const bool isBootstrapTransfer = !m_host.isLoaded();
  const auto failureFields = [&](std::string_view aReason) {
    return "host=" + formatHost(m_pullHost) + " reason=\"" + std::string(aReason) +
           "\" time_ms=" + std::to_string((now - aStartedAt).count());
  };
  if (aResponse.m_status != 200) {
    if (isBootstrapTransfer) {
      m_host.bootstrap().onTransferFailed();
      m_host.logEvent(EventId::TransferFailed,
                      failureFields(aResponse.m_status == 503 ? "busy" : "no answer"));
    }
    // The next status of a host with newer records starts another pull, on a new connection. The
    // client is destroyed later, because this function is called from it.
    asio::post(m_io, [this] {
      if (!m_isPulling) {
        m_pullClient.reset();
      }
    });
    return;
  }
  const auto* bytes = reinterpret_cast<const uint8_t*>(aResponse.m_body.data());
  const auto difference = registry::decodeDelta({ bytes, aResponse.m_body.size() });
  if (!difference.ok()) {
    m_host.bootstrap().onTransferFailed();
    m_host.logEvent(EventId::TransferFailed,
                    failureFields(std::string(difference.status().message())));
    return;
  }
  m_host.onDifference(now, *difference, m_pullHost);
  if (isBootstrapTransfer) {
    m_host.logEvent(EventId::RecordsReceived,
                    "host=" + formatHost(m_pullHost) +
                      " revision=" + registry::formatRevision(difference->m_revision) +
                      " view_age_ms=" + std::to_string(aAgeMs) +
                      " bytes=" + std::to_string(aResponse.m_body.size()) +
                      " time_ms=" + std::to_string((now - aStartedAt).count()));
  }
  if (m_recordsHandler) {
    m_recordsHandler();
  }
}

const std::string&
PeerTransport::encodedSnapshot()
{
  const registry::Registry& registry = m_host.registry();
  const bool isCurrent = m_snapshotRevision == registry.appliedRevision() &&
                         m_isSnapshotUncertain == registry.areRemovalsUncertain();
  if (!isCurrent || m_encodedSnapshot.empty()) {
    const auto bytes = registry::encodeDelta(registry.changesSince({}));
    m_encodedSnapshot.assign(bytes.begin(), bytes.end());
    m_snapshotRevision = registry.appliedRevision();
    m_isSnapshotUncertain = registry.areRemovalsUncertain();
  }
  return m_encodedSnapshot;
}

transport::Response
PeerTransport::onRequest(const transport::Request& aRequest)
{
  if (aRequest.m_path == "/changes") {
    const registry::Revision since{ .m_history = transport::queryNumber(aRequest, "history"),
                                    .m_number = transport::queryNumber(aRequest, "since") };
    if (!since.isSet()) {
      // A host that is refused reads the store instead, which has more capacity.
      const bool isWithinLimit = m_host.isLoaded() && m_snapshotLimit.tryAcquire(readClock());
      return isWithinLimit ? transport::Response{ .m_status = 200, .m_body = encodedSnapshot() }
                           : transport::Response{ .m_status = 503, .m_body = "busy\n" };
    }
    if (since < m_host.registry().compactionRevision()) {
      // Removals before the floor are forgotten, so only a snapshot is complete. After a restore of
      // the store, all hosts of the data centre request one; it is not subject to the rate limit.
      return { .m_status = 200, .m_body = encodedSnapshot() };
    }
    const auto bytes = registry::encodeDelta(m_host.registry().changesSince(since));
    return { .m_status = 200, .m_body = { bytes.begin(), bytes.end() } };
  }
  if (aRequest.m_path == "/dump") {
    return { .m_status = 200, .m_body = writeDump(m_diagnosticsProvider()) };
  }
  if (aRequest.m_path == "/explain") {
    const auto flow = aRequest.m_query.find("flow");
    const auto text =
      writeExplanation(m_diagnosticsProvider(), flow == aRequest.m_query.end() ? "" : flow->second);
    if (!text.ok()) {
      return { .m_status = 400, .m_body = std::string(text.status().message()) + "\n" };
    }
    return { .m_status = 200, .m_body = *text };
  }
  return { .m_status = 404, .m_body = "no such path\n" };
}

} // namespace tamarack::edge
