// The edge process: the sockets and timers around the state of one host. The packet format and the
// store client are template parameters, so that each platform supplies its own.
#pragma once

#include "base/Clock.h"
#include "edge/CatchAndLog.h"
#include "edge/Diagnostics.h"
#include "edge/PeerTransport.h"
#include "edge/SettingsFile.h"
#include "edge/StoreSynchronizer.h"
#include "logging/Log.h"
#include "transport/Datagrams.h"
#include "transport/Http1.h"

#include <random>

namespace tamarack::edge {

/// Interval of the timer for periodic work. Packets are decided on when they arrive, not at ticks.
inline constexpr Millis kTickInterval{ 100 };
/// Time between two ticks after which the process counts as paused for so long that the store call
/// in progress is abandoned.
inline constexpr Millis kStoreCallAbandonPause{ 1500 };
/// How often the settings file is checked for changes, because it may change without a signal.
inline constexpr Millis kSettingsPollInterval{ 2000 };
/// A stopping host exits when no packet has arrived for this long, which exceeds the time that
/// callers take to retransmit a packet through another host.
inline constexpr Millis kDrainQuietPeriod{ 900 };
/// Least duration of a planned stop. The fabric takes a host out of rotation after two failed
/// readiness checks, half a second apart.
inline constexpr Millis kMinStopDuration{ 1300 };
/// The process exits by itself this long before the stop limit, at which it would be killed.
inline constexpr Millis kStopMargin{ 700 };
/// Limit of packets that are held back until the records are loaded: the packets that a host of the
/// design size receives in half a second.
inline constexpr size_t kMaxDeferredPackets = 1024;
/// Number of requests assigned to each slot of an overloaded service. Each host places flows by
/// what it sent itself, so slots are used unevenly. An idle slot costs a caller its response, while
/// a request too many waits or is rejected by its upstream at once.
inline constexpr double kRequestsPerSlot = 1.3;
/// The decision on one of this many packets is timed.
inline constexpr uint64_t kPacketsPerTimedDecision = 64;

/// Parses and writes the packets of a platform.
template<typename Format>
concept PacketFormat = requires(std::span<const uint8_t> aIn,
                                std::span<uint8_t> aOut,
                                const steering::FlowPacket& aPacket)
{
  {
    Format::parse(aIn)
    } -> std::same_as<std::variant<steering::FlowPacket, ErrorKind>>;
  Format::writeToken(aOut, steering::Token{});
  Format::identityPrefix(uint64_t{});
  Format::makeReset(aPacket);
};

template<PacketFormat Format, RecordSource Source>
class EdgeDaemon
{
public:
  EdgeDaemon(asio::io_context& aIo, EdgeSettings aSettings, SettingsFile aFile)
    : m_io(aIo)
    , m_settings(std::move(aSettings))
    , m_file(std::move(aFile))
    , m_host(hostOptions(m_settings))
    , m_source(std::make_unique<Source>(aIo, tcpEndpoint(m_settings.m_storeEndpoint)))
    , m_storeSynchronizer(std::make_unique<Synchronizer>(*m_source, m_host, readClock))
    , m_packetSocket(aIo, udpEndpoint(m_settings.m_packetEndpoint))
    , m_peerTransport(aIo, m_settings, m_host, m_counters)
    , m_readinessServer(aIo,
                        tcpEndpoint(m_settings.m_readinessEndpoint),
                        [this](auto aPath) { return handleReadiness(aPath); })
    , m_metricsServer(aIo,
                      tcpEndpoint(m_settings.m_metricsEndpoint),
                      [this](auto aPath) { return handleMetrics(aPath); })
    , m_timer(aIo)
  {
    m_host.steering().setResponseObserver(
      [this](Millis aTime) { m_responseTimes.add(static_cast<double>(aTime.count()) * 1e6); });
    m_peerTransport.setDiagnosticsProvider([this] { return diagnosticInputs(); });
    m_storeSynchronizer->setAnswerHandler([this] { onRecordsChanged(); });
    m_peerTransport.setRecordsHandler([this] { onRecordsChanged(); });
    m_host.logEvent(EventId::ProcessStarted,
                    "host=" + m_settings.m_host + " data_centre=" + m_settings.m_dataCentre);
    tick();
  }

  /// Begins a planned stop: the host reports itself not ready at once, but serves packets until
  /// none arrive any more, see isStopComplete().
  void stop()
  {
    m_stoppingAt = readClock();
    m_host.peers().setLeaving();
    m_peerTransport.announceLeaving(m_stoppingAt);
  }

  /// Reads the settings file again, changed or not.
  void reload() { apply(m_file.read()); }

private:
  using Synchronizer = StoreSynchronizer<Source>;

  /// Applies the settings that can change in a running process. Other changes need a restart, which
  /// the log line reports.
  void apply(const absl::StatusOr<EdgeSettings>& aSettings)
  {
    if (!aSettings.ok()) {
      m_host.logEvent(EventId::SettingsRefused,
                      "reason=\"" + std::string(aSettings.status().message()) + "\"");
      return;
    }
    const bool hasStoreEndpointChanged = aSettings->m_storeEndpoint != m_settings.m_storeEndpoint;
    m_settings.m_seeds = aSettings->m_seeds;
    m_settings.m_storeEndpoint = aSettings->m_storeEndpoint;
    m_settings.m_stopLimit = aSettings->m_stopLimit;
    m_host.peers().setSeeds(m_settings.m_seeds);
    if (hasStoreEndpointChanged) {
      m_storeSynchronizer.reset();
      m_source = std::make_unique<Source>(m_io, tcpEndpoint(m_settings.m_storeEndpoint));
      m_storeSynchronizer = std::make_unique<Synchronizer>(*m_source, m_host, readClock);
      m_storeSynchronizer->setAnswerHandler([this] { onRecordsChanged(); });
    }
    m_host.logEvent(EventId::SettingsReloaded,
                    std::string("needs_restart=") + (*aSettings == m_settings ? "no" : "yes"));
  }

  static asio::ip::tcp::endpoint tcpEndpoint(const Endpoint& aEndpoint)
  {
    return { asio::ip::address_v4(aEndpoint.m_address.m_value), aEndpoint.m_port };
  }

  static asio::ip::udp::endpoint udpEndpoint(const Endpoint& aEndpoint)
  {
    return { asio::ip::address_v4(aEndpoint.m_address.m_value), aEndpoint.m_port };
  }

  static HostOptions hostOptions(const EdgeSettings& aSettings)
  {
    // Hosts store nothing on disk, so the start time distinguishes two runs of the process.
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    const auto incarnation =
      static_cast<uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(wall).count());
    return { .m_peers = { .m_self = HostId{ aSettings.m_packetEndpoint.m_address.m_value },
                          .m_dataCentre = aSettings.m_dataCentre,
                          .m_capacity = static_cast<uint32_t>(aSettings.m_cpuShare * 1000),
                          .m_incarnation = incarnation,
                          .m_seeds = aSettings.m_seeds },
             .m_coldLimits = { .m_factor = aSettings.m_coldFactor,
                               .m_slack = aSettings.m_coldSlack },
             .m_admission = { .m_requestsPerSlot = kRequestsPerSlot },
             .m_flowTableCapacity = aSettings.m_flowTableCapacity,
             .m_seed = incarnation ^ aSettings.m_packetEndpoint.m_address.m_value,
             .m_mechanisms = aSettings.m_mechanisms };
  }

  void tick()
  {
    const TimePoint now = readClock();
    m_host.onActivity(now);
    if (m_lastTick != TimePoint{} && now - m_lastTick > kStoreCallAbandonPause) {
      m_storeSynchronizer->abandonCall(now);
    }
    m_lastTick = now;
    if (now - m_settingsReadAt >= kSettingsPollInterval) {
      m_settingsReadAt = now;
      if (const auto changed = m_file.readIfChanged()) {
        apply(*changed);
      }
    }
    m_host.tick(now);
    startServingWhenReady();
    // Upstreams of these flows died after they had acknowledged a request, so their callers have
    // nothing to retransmit and learn of the failure only from the reset.
    for (const steering::FlowPacket& abandoned : m_host.steering().resetStalledFlows(now)) {
      applyChoice({}, abandoned, { .m_action = steering::Action::Reset });
    }
    m_packetSocket.flush();
    m_storeSynchronizer->startCallIfDue(now);
    m_peerTransport.sendDueStatuses(now);
    writeLog(now);
    if (isStopComplete(now)) {
      m_io.stop();
      return;
    }
    m_timer.expires_after(m_host.isLoaded() ? kTickInterval : kBootstrapTickInterval);
    m_timer.async_wait([this](const asio::error_code& aError) {
      if (!aError) {
        tick();
      }
    });
  }

  /// Whether the process may exit: the stop limit is near, or the fabric has had time to take the
  /// host out of rotation and no packets arrive any more.
  [[nodiscard]] bool isStopComplete(TimePoint aNow) const
  {
    if (m_stoppingAt == TimePoint{}) {
      return false;
    }
    const Millis stopping = aNow - m_stoppingAt;
    const bool isQuiet = aNow - m_lastPacketAt >= kDrainQuietPeriod;
    return (isQuiet && stopping >= kMinStopDuration) ||
           stopping >= m_settings.m_stopLimit - kStopMargin;
  }

  /// New records may have arrived: decides on packets that waited for them, and tells other hosts.
  void onRecordsChanged()
  {
    const TimePoint now = readClock();
    startServingWhenReady();
    m_peerTransport.pushStatus(now);
    m_storeSynchronizer->startCallIfDue(now);
  }

  /// Starts to receive packets once any upstreams are known or all records are loaded; until then,
  /// packets wait in the socket buffer. Retries the deferred packets once any route is known.
  void startServingWhenReady()
  {
    if (m_host.directory().routes() > 0 && !m_deferredPackets.empty()) {
      for (const std::vector<uint8_t>& datagram : std::exchange(m_deferredPackets, {})) {
        handlePacket(datagram);
      }
      m_packetSocket.flush();
    }
    if (m_isServing || (m_host.directory().upstreams().empty() && !m_host.isLoaded())) {
      return;
    }
    m_isServing = true;
    m_packetSocket.startReceiving([this](auto aDatagram) { handlePacket(aDatagram); },
                                  [this](bool aIsAllRead) { onReceiveBatchEnd(aIsAllRead); });
  }

  /// Called after each batch of packets; `aIsAllRead` says that the socket buffer is empty.
  void onReceiveBatchEnd(bool aIsAllRead)
  {
    m_packetSocket.flush();
    if (aIsAllRead) {
      m_host.onPacketBacklogRead();
    }
    if (m_host.hasPendingHealthReports()) {
      m_peerTransport.pushStatus(readClock());
    }
  }

  /// Handles an arriving or deferred packet. An exception abandons only this packet.
  void handlePacket(std::span<const uint8_t> aDatagram)
  {
    catchAndLog(m_host, "packet", [&] { onPacket(aDatagram); });
  }

  void onPacket(std::span<const uint8_t> aDatagram)
  {
    const TimePoint now = readClock();
    m_host.onActivity(now);
    m_lastPacketAt = now;
    const auto parsed = Format::parse(aDatagram);
    if (const auto* error = std::get_if<ErrorKind>(&parsed)) {
      ++m_counters.m_inputErrors[static_cast<size_t>(*error)];
      return;
    }
    const auto& packet = std::get<steering::FlowPacket>(parsed);
    if (!m_host.canDecide(now, packet)) {
      if (m_deferredPackets.size() < kMaxDeferredPackets) {
        m_deferredPackets.emplace_back(aDatagram.begin(), aDatagram.end());
      }
      return;
    }
    const bool isTimed = ++m_packetsReceived % kPacketsPerTimedDecision == 0;
    const auto start =
      isTimed ? std::chrono::steady_clock::now() : std::chrono::steady_clock::time_point{};
    const steering::ForwardingDecision choice = m_host.decide(now, packet);
    if (isTimed) {
      m_decisionTimes.add(
        std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - start).count());
    }
    applyChoice(aDatagram, packet, choice);
  }

  /// Forwards or drops a packet, or resets its flow.
  void applyChoice(std::span<const uint8_t> aDatagram,
                   const steering::FlowPacket& aPacket,
                   const steering::ForwardingDecision& aChoice)
  {
    switch (aChoice.m_action) {
      case steering::Action::Drop:
        return;
      case steering::Action::Reset:
        m_packetSocket.send(aPacket.m_flow.m_source,
                            m_settings.m_packetEndpoint.m_port,
                            Format::makeReset(aPacket),
                            {});
        return;
      case steering::Action::Forward:
        break;
    }
    const auto identityPrefix = Format::identityPrefix(aChoice.m_identity);
    if (aChoice.m_token == aPacket.m_token) {
      m_packetSocket.send(aChoice.m_address, aChoice.m_port, identityPrefix, aDatagram);
      return;
    }
    std::copy(aDatagram.begin(), aDatagram.end(), m_rewriteBuffer.begin());
    const std::span<uint8_t> copy(m_rewriteBuffer.data(), aDatagram.size());
    Format::writeToken(copy, aChoice.m_token);
    m_packetSocket.send(aChoice.m_address, aChoice.m_port, identityPrefix, copy);
  }

  void writeLog(TimePoint aNow)
  {
    for (const LogLine& line : m_host.takeLogLines(aNow)) {
      logging::logFields(line.m_event, line.m_fields);
    }
    logging::flushLog();
  }

  transport::Response handleReadiness(std::string_view aPath) const
  {
    if (aPath != m_settings.m_readinessPath) {
      return { .m_status = 404 };
    }
    const bool isReady = m_isServing && m_stoppingAt == TimePoint{} && !m_host.isWithdrawn();
    return { .m_status = isReady ? 200 : 503 };
  }

  transport::Response handleMetrics(std::string_view aPath)
  {
    if (aPath != "/metrics") {
      return { .m_status = 404 };
    }
    transport::Response response{ .m_status = 500 };
    catchAndLog(m_host, "metrics", [&] {
      response = { .m_status = 200, .m_body = writeMetrics(diagnosticInputs()) };
    });
    return response;
  }

  DiagnosticInputs diagnosticInputs()
  {
    m_counters.m_datagramsDropped = m_packetSocket.droppedDatagrams();
    m_counters.m_storeFailures = m_storeSynchronizer->failures();
    m_counters.m_inputErrors[static_cast<size_t>(ErrorKind::HistoryUnnamed)] =
      m_storeSynchronizer->answersWithoutHistory();
    return { m_host, m_counters, m_decisionTimes, m_responseTimes, readClock() };
  }

  asio::io_context& m_io;
  EdgeSettings m_settings;
  SettingsFile m_file;
  ProcessCounters m_counters;
  Host m_host;
  std::unique_ptr<Source> m_source;
  std::unique_ptr<Synchronizer> m_storeSynchronizer;
  transport::DatagramSocket m_packetSocket;
  PeerTransport m_peerTransport;
  transport::Http1Server m_readinessServer;
  transport::Http1Server m_metricsServer;
  asio::steady_timer m_timer;
  /// Times of decisions on packets, in nanoseconds.
  logging::LatencyHistogram m_decisionTimes;
  /// Response times of upstreams, in nanoseconds.
  logging::LatencyHistogram m_responseTimes;
  /// Holds the copy of a packet whose token is replaced.
  std::array<uint8_t, transport::kMaxDatagramBytes> m_rewriteBuffer{};
  TimePoint m_lastTick;
  TimePoint m_settingsReadAt{ readClock() };
  /// When the planned stop began; the epoch before.
  TimePoint m_stoppingAt;
  TimePoint m_lastPacketAt;
  /// Packets that need records which are not loaded yet; at most kMaxDeferredPackets.
  std::vector<std::vector<uint8_t>> m_deferredPackets;
  uint64_t m_packetsReceived{};
  /// Packets are received.
  bool m_isServing{};
};

} // namespace tamarack::edge
