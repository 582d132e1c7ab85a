// Runs the meters, reports and controllers of nine hosts in three data centres against a queue
// model: upstreams with 2 slots and a queue of 8, callers that retry, reports with delays.
#pragma once

#include "base/Hash.h"
#include "overload/AdmissionController.h"
#include "overload/FleetLoad.h"
#include "overload/LoadMeter.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <optional>
#include <queue>
#include <random>
#include <tuple>
#include <vector>

namespace tamarack::overload::model {

inline constexpr ServiceId kService{ 1 };
inline constexpr uint32_t kDataCentres = 3;
inline constexpr uint32_t kHosts = 9;
inline constexpr size_t kSlots = 2;
inline constexpr size_t kQueue = 8;
inline constexpr size_t kUpstreamsBefore = 100;
inline constexpr size_t kUpstreamsAfter = 30;
inline constexpr TimePoint kStart{ Millis{ 1'000'000 } };
/// The work per request is learned until the upstreams are lost.
inline constexpr TimePoint kLoss = kStart + Millis{ 15'000 };
inline constexpr TimePoint kSteady = kLoss + Millis{ 10'000 };
inline constexpr TimePoint kEnd = kLoss + Millis{ 40'000 };
inline constexpr double kMeanServiceMs = 50;
/// 3 % of the requests need 7 times the work.
inline constexpr double kMeanWorkMs = kMeanServiceMs * (0.97 + 0.03 * 7);
/// After the loss, twice the remaining slots are requested.
inline constexpr double kRequestsPerMs = 2.0 * kUpstreamsAfter * kSlots / kMeanWorkMs;
inline constexpr double kPriority1Part = 0.3;

struct Options
{
  /// Added to the reports' own ages of 0 to 1.5 s, on the way to the hosts.
  Millis m_reportDelay{};
  /// Time at which one host of each data centre ends, among them a reader.
  std::optional<TimePoint> m_hostsLostAt;
  /// From this time, no report leaves or reaches the data centre 3.
  std::optional<TimePoint> m_reportsLostAt;
  /// Whether flows between the data centre 3 and the others are lost at the same time. The records
  /// say that all upstreams are usable.
  bool m_isCutOff{};
  uint64_t m_seed{ 1 };
  size_t m_upstreamsAfter = kUpstreamsAfter;
  /// Whether hosts select the least busy upstream. Otherwise they select the one of four that they
  /// selected least recently themselves, so queues differ and slots stay unused.
  bool m_knowsQueues{ true };
};

struct Request
{
  RouteId m_route;
  TimePoint m_at;
  uint32_t m_attempt{};
  uint64_t m_flowHash{};
};

struct Upstream
{
  size_t m_busy{};
  std::deque<std::function<void()>> m_waiting;

  [[nodiscard]] size_t load() const { return m_busy + m_waiting.size(); }
};

struct Host
{
  HostId m_id;
  DataCentreId m_dataCentre;
  LoadMeter m_meter;
  FleetLoad m_fleet;
  AdmissionController m_controller;
  bool m_isAlive{ true };
  TimePoint m_sentAt{};
  /// When the host last selected each upstream.
  std::array<TimePoint, kUpstreamsBefore> m_selectedAt{};
};

class Model
{
public:
  explicit Model(Options aOptions)
    : m_options(aOptions)
    , m_random(aOptions.m_seed)
    , m_upstreams(kUpstreamsBefore)
  {
    for (uint32_t host = 0; host < kHosts; ++host) {
      const DataCentreId dataCentre{ 1 + host % kDataCentres };
      m_hosts.push_back({ HostId{ 1 + host }, dataCentre, {}, FleetLoad(dataCentre), {} });
      after(Millis{ 11 * host }, [this, host] { tick(m_hosts[host]); });
    }
    after(Millis{ 1 }, [this] { arrive(); });
    after(Millis{ 100 }, [this] { sample(); });
  }

  void run()
  {
    while (m_now < kEnd) {
      const auto event = m_events.top();
      m_events.pop();
      integrate(event.m_at);
      m_now = event.m_at;
      event.m_action();
    }
  }

  /// Part of the requests with priority 1 after the loss that was answered in time.
  [[nodiscard]] double answeredShare() const { return double(m_answered) / double(m_asked); }
  /// Part of the slots in use, in the steady state.
  [[nodiscard]] double usedShare() const
  {
    const double duration = static_cast<double>((kEnd - kSteady).count());
    return m_busyMs / (duration * static_cast<double>(kSlots * m_options.m_upstreamsAfter));
  }

  /// Admitted shares of the route with priority 2 in the steady state, of each host and tick.
  std::vector<double> m_lowShares;
  size_t m_overloads{};

private:
  struct Event
  {
    TimePoint m_at;
    uint64_t m_number;
    std::function<void()> m_action;
    bool operator<(const Event& aOther) const
    {
      return std::tie(aOther.m_at, aOther.m_number) < std::tie(m_at, m_number);
    }
  };

  void after(Millis aDelay, std::function<void()> aAction)
  {
    m_events.push({ m_now + aDelay, ++m_number, std::move(aAction) });
  }

  double uniform() { return std::uniform_real_distribution<>(0, 1)(m_random); }
  [[nodiscard]] size_t usable() const
  {
    return m_now < kLoss ? kUpstreamsBefore : m_options.m_upstreamsAfter;
  }

  void integrate(TimePoint aUntil)
  {
    if (m_now >= kSteady) {
      size_t busy = 0;
      for (size_t index = 0; index < usable(); ++index) {
        busy += m_upstreams[index].m_busy;
      }
      m_busyMs += static_cast<double>(busy) * static_cast<double>((aUntil - m_now).count());
    }
  }

  void arrive()
  {
    for (int count = std::poisson_distribution<>(kRequestsPerMs)(m_random); count > 0; --count) {
      const RouteId route{ uniform() < kPriority1Part ? 1U : 2U };
      m_asked += isCounted(route, m_now) ? 1 : 0;
      open({ .m_route = route, .m_at = m_now });
    }
    after(Millis{ 1 }, [this] { arrive(); });
  }

  static bool isCounted(RouteId aRoute, TimePoint aAt)
  {
    return aRoute == RouteId{ 1 } && aAt >= kLoss && aAt < kEnd - Millis{ 2'000 };
  }

  void open(Request aRequest)
  {
    aRequest.m_flowHash = m_random();
    Host& host = hostOf(aRequest.m_flowHash);
    host.m_meter.onNewFlow(m_now, kService, aRequest.m_route);
    sendSyn(aRequest, 0);
  }

  Host& hostOf(uint64_t aFlowHash)
  {
    size_t index = mixHash(aFlowHash, 99) % kHosts;
    while (!m_hosts[index].m_isAlive) {
      index = (index + 1) % kHosts;
    }
    return m_hosts[index];
  }

  void sendSyn(const Request& aRequest, uint32_t aCopy)
  {
    Host& host = hostOf(aRequest.m_flowHash);
    switch (host.m_controller.decide({ kService, aRequest.m_route, aRequest.m_flowHash, aCopy })) {
      case Admission::Admit:
        forward(host, aRequest);
        break;
      case Admission::Defer:
        // The caller abandons the attempt if its third SYN is dropped.
        if (aCopy < 2) {
          after(Millis{ aCopy == 0 ? 200 : 400 },
                [this, aRequest, aCopy] { sendSyn(aRequest, aCopy + 1); });
        }
        break;
      case Admission::Refuse:
        retry(aRequest);
        break;
    }
  }

  void retry(Request aRequest)
  {
    if (++aRequest.m_attempt <= 2) {
      after(Millis{ 100 }, [this, aRequest] { open(aRequest); });
    }
  }

  [[nodiscard]] bool isLost(DataCentreId aFrom, DataCentreId aTo) const
  {
    return m_options.m_reportsLostAt && m_now >= *m_options.m_reportsLostAt && aFrom != aTo &&
           std::max(aFrom, aTo) == DataCentreId{ kDataCentres };
  }

  [[nodiscard]] bool isReachable(const Host& aHost, size_t aUpstream) const
  {
    return !m_options.m_isCutOff || !isLost(aHost.m_dataCentre, dataCentreOf(aUpstream));
  }

  static DataCentreId dataCentreOf(size_t aIndex)
  {
    return { static_cast<uint32_t>(1 + aIndex % kDataCentres) };
  }

  size_t select(const Host& aHost)
  {
    std::optional<size_t> selected;
    const size_t start = m_random() % usable();
    for (size_t step = 0; step < usable(); ++step) {
      const size_t other =
        m_options.m_knowsQueues ? (start + step) % usable() : m_random() % usable();
      const bool isBetter =
        !selected ||
        (m_options.m_knowsQueues ? m_upstreams[other].load() < m_upstreams[*selected].load()
                                 : aHost.m_selectedAt[other] < aHost.m_selectedAt[*selected]);
      if (isBetter && isReachable(aHost, other)) {
        selected = other;
      }
      if (selected && !m_options.m_knowsQueues && step >= 3) {
        break;
      }
    }
    return selected.value();
  }

  void forward(Host& aHost, const Request& aRequest)
  {
    const size_t selected = select(aHost);
    aHost.m_selectedAt[selected] = m_now;
    Upstream& upstream = m_upstreams[selected];
    const TimePoint sentAt = m_now;
    auto process = [this, &aHost, &upstream, aRequest, sentAt] {
      ++upstream.m_busy;
      const double mean = kMeanServiceMs * (uniform() < 0.03 ? 7 : 1);
      const double serviceTime = std::exponential_distribution<>(1 / mean)(m_random);
      after(Millis{ std::lround(serviceTime) }, [this, &aHost, &upstream, aRequest, sentAt] {
        complete(aHost, upstream, aRequest, sentAt);
      });
    };
    if (upstream.m_busy < kSlots) {
      process();
    } else if (upstream.m_waiting.size() < kQueue) {
      upstream.m_waiting.emplace_back(std::move(process));
    } else {
      aHost.m_meter.onResponse(
        m_now, kService, aRequest.m_route, dataCentreOf(selected), Millis{ 1 });
      retry(aRequest);
    }
  }

  void complete(Host& aHost, Upstream& aUpstream, const Request& aRequest, TimePoint aSentAt)
  {
    --aUpstream.m_busy;
    aHost.m_meter.onResponse(
      m_now, kService, aRequest.m_route, aHost.m_dataCentre, m_now - aSentAt);
    if (isCounted(aRequest.m_route, aRequest.m_at) &&
        m_now - aRequest.m_at <= kRoutes[0].m_latencyObjective) {
      ++m_answered;
    }
    if (!aUpstream.m_waiting.empty()) {
      const auto next = std::move(aUpstream.m_waiting.front());
      aUpstream.m_waiting.pop_front();
      next();
    }
  }

  void tick(Host& aHost)
  {
    if (m_options.m_hostsLostAt && m_now >= *m_options.m_hostsLostAt &&
        aHost.m_id.m_value <= kDataCentres) {
      aHost.m_isAlive = false;
      return;
    }
    Host& reader = readerOf(aHost.m_dataCentre);
    aHost.m_fleet.setReader(&reader == &aHost);
    aHost.m_fleet.setOwnReport(m_now, aHost.m_meter.report(m_now));
    const ServiceRoom room{ kService, static_cast<double>(kSlots * usable()), kRoutes };
    aHost.m_controller.update(m_now, aHost.m_fleet.totalLoad(m_now), { &room, 1 });
    const ServiceAdmission state = aHost.m_controller.services().front();
    const bool isBusy = state.m_busyRequests > 0.7 * state.m_slots;
    const bool isReader = &reader == &aHost;
    if (m_now - aHost.m_sentAt >= Millis{ isReader || isBusy ? 500 : 1'000 }) {
      aHost.m_sentAt = m_now;
      isReader ? sendSums(aHost) : sendReport(aHost, reader);
    }
    after(Millis{ 100 }, [this, &aHost] { tick(aHost); });
  }

  Host& readerOf(DataCentreId aDataCentre)
  {
    return *std::ranges::find_if(m_hosts, [&](const Host& aHost) {
      return aHost.m_isAlive && aHost.m_dataCentre == aDataCentre;
    });
  }

  void sendReport(Host& aHost, Host& aReader)
  {
    after(Millis{ 1 }, [this, &aReader, id = aHost.m_id, report = aHost.m_meter.report(m_now)] {
      aReader.m_fleet.onHostReport(m_now, id, report);
    });
  }

  void sendSums(Host& aReader)
  {
    const DataCentreId from = aReader.m_dataCentre;
    const LoadReport own = aReader.m_fleet.ownDataCentreLoad(m_now);
    const LoadReport remote = aReader.m_fleet.remoteLoad(m_now);
    for (Host& host : m_hosts) {
      const bool isFollower = host.m_dataCentre == from;
      if (&host == &aReader || isLost(from, host.m_dataCentre) ||
          (!isFollower && &host != &readerOf(host.m_dataCentre))) {
        continue;
      }
      after(Millis{ 1 } + m_options.m_reportDelay, [this, &host, from, isFollower, own, remote] {
        host.m_fleet.onDataCentreReport(m_now, from, own);
        if (isFollower) {
          host.m_fleet.onRemoteReport(m_now, remote);
        }
      });
    }
  }

  void sample()
  {
    for (const Host& host : m_hosts) {
      const auto services = host.m_controller.services();
      if (!host.m_isAlive || services.empty()) {
        continue;
      }
      m_overloads += services.front().m_isOverloaded ? 1 : 0;
      if (m_now >= kSteady) {
        m_lowShares.push_back(services.front().m_admittedShares.back().second);
      }
    }
    after(Millis{ 100 }, [this] { sample(); });
  }

  inline static const std::array<RouteTerms, 2> kRoutes{
    RouteTerms{ RouteId{ 1 }, 1, Millis{ 1'000 }, Millis{ 3'000 } },
    RouteTerms{ RouteId{ 2 }, 2, Millis{ 3'000 }, Millis{ 5'000 } }
  };

  Options m_options;
  TimePoint m_now{ kStart };
  std::mt19937_64 m_random;
  std::priority_queue<Event> m_events;
  uint64_t m_number{};
  std::deque<Host> m_hosts;
  std::vector<Upstream> m_upstreams;
  uint64_t m_asked{};
  uint64_t m_answered{};
  double m_busyMs{};
};

} // namespace tamarack::overload::model
