// Decides which new flows a service with too little room gets. While the demand exceeds the room,
// flows of the route whose refusal costs callers least are refused first: by priority, then by the
// work that a request needs. Requests on established flows cannot be refused and come first.
#pragma once

#include "overload/LoadReport.h"

#include <absl/container/flat_hash_map.h>
#include <array>
#include <optional>
#include <span>

namespace tamarack::overload {

/// What the configuration states about the requests of a route.
struct RouteTerms
{
  RouteId m_route;
  /// 0 is the highest priority.
  uint32_t m_priority{};
  /// Time within which callers want the response; zero if not stated.
  Millis m_latencyObjective{};
  /// Time after which callers give up; zero if not stated.
  Millis m_deadline{};

  friend bool operator==(const RouteTerms&, const RouteTerms&) = default;
};

/// The room of a service and the routes that share it.
struct ServiceRoom
{
  ServiceId m_service;
  /// Number of requests that the usable upstreams of all data centres can process concurrently.
  double m_slots{};
  std::span<const RouteTerms> m_routes;
};

enum class Admission : uint8_t
{
  /// Forward the flow.
  Admit,
  /// Drop the SYN; the caller retransmits it, and there may be room by then.
  Defer,
  /// Refuse the flow at once.
  Refuse,
};

struct FlowRequest
{
  ServiceId m_service;
  RouteId m_route;
  /// Hash of the flow, the same on every host.
  uint64_t m_flowHash{};
  /// Number of times that the caller sent the SYN before.
  uint32_t m_synRetransmissions{};
};

/// The state of a service, for logs, dumps and metrics.
struct ServiceAdmission
{
  ServiceId m_service;
  bool m_isOverloaded{};
  double m_slots{};
  /// Mean number of requests that upstreams process or queue at a time.
  double m_busyRequests{};
  /// Share of the new flows that is admitted, by route, in the order of preference.
  std::vector<std::pair<RouteId, double>> m_admittedShares;
};

struct AdmissionOptions
{
  /// Number of requests that are assigned to each slot at a time. Above 1 if hosts place flows
  /// unevenly, so that some slots are idle while requests queue for others.
  double m_requestsPerSlot{ 0.95 };
};

class AdmissionController
{
public:
  AdmissionController() = default;
  explicit AdmissionController(AdmissionOptions aOptions)
    : m_options(aOptions)
  {
  }

  /// Recomputes the admitted shares from the load of the fleet. An empty `aLoad` means that the
  /// load is unknown; every flow is admitted then. Services that are missing from `aRooms` are
  /// forgotten.
  void update(TimePoint aNow, const LoadReport& aLoad, std::span<const ServiceRoom> aRooms);

  [[nodiscard]] Admission decide(const FlowRequest& aRequest) const;

  /// The services whose routes differ in priority, with their state.
  [[nodiscard]] std::vector<ServiceAdmission> services() const;

private:
  /// A draw of 32 bits below the threshold is admitted.
  using Threshold = uint64_t;

  struct Route
  {
    RouteTerms m_terms;
    /// Busy requests and responses, integrated while the service had enough slots. Both decay
    /// alike, so their quotient is a mean over recent responses.
    double m_busySeconds{};
    double m_responses{};
    /// Slot seconds per request; 0 if unknown.
    double m_workPerRequest{};
    /// Share of the flows that is admitted at any copy of the SYN.
    double m_share{ 1 };
    /// Number of copies of a SYN that may be deferred, and the most that the latency objective
    /// permits.
    uint32_t m_deferrals{};
    uint32_t m_maxDeferrals{};
    /// The highest thresholds of the last steps of 100 ms, the latest first.
    std::array<Threshold, 8> m_recentThresholds{};
    /// Thresholds of the first SYN and its copies. That of a copy is the highest since the first
    /// SYN was sent: if that was admitted, so is the copy.
    std::array<Threshold, 3> m_copyThresholds{};
  };

  struct Service
  {
    /// In the order of preference; at most kMaxRoutes entries.
    std::vector<Route> m_routes;
    double m_slots{};
    double m_busyRequests{};
    /// Mean over the routes with known work; 0 if there are none.
    double m_meanWorkPerRequest{};
    /// Busy requests that new flows may cause.
    double m_capacity{};
    /// Factor of the available capacity.
    double m_correction{ 1 };
    bool m_isOverloaded{};
    /// The service was overloaded when its load became unknown. On return of the load, the other
    /// hosts may keep queues short, so rejection resumes without queueing.
    bool m_resumes{};
    TimePoint m_settledAt;
    /// Since when the demand has fit into the capacity; empty if it does not.
    std::optional<TimePoint> m_fittingSince;
    /// Start of the latest step of Route::m_recentThresholds.
    TimePoint m_historyAt;
  };

  static void takeRoom(TimePoint aNow, Service& aService, const ServiceRoom& aRoom);
  static void learnWork(Service& aService, const ServiceLoad& aLoad, double aSeconds);
  static void correct(TimePoint aNow, Service& aService, double aSeconds);
  void detectOverload(TimePoint aNow, Service& aService, const ServiceLoad& aLoad);
  static double workOf(const Service& aService, const Route& aRoute);
  static void assignShares(TimePoint aNow, Service& aService, const ServiceLoad& aLoad);
  static void setShare(Route& aRoute, double aShare, bool aIsNewStep);

  AdmissionOptions m_options;
  /// Only services whose routes differ in priority; at most kMaxServices entries.
  absl::flat_hash_map<ServiceId, Service> m_services;
  std::optional<TimePoint> m_updatedAt;
};

} // namespace tamarack::overload
