// Computes the admitted shares. Demand and capacity give the share directly; a slow correction by
// the measured busy requests makes up for wrong slots and wrong work per request.
#include "overload/AdmissionController.h"

#include "base/Hash.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace tamarack::overload {

namespace {

/// Bounds of the state. What exceeds them is admitted.
constexpr size_t kMaxServices = 64;
constexpr size_t kMaxRoutes = 32;

/// Rejection starts only above this many busy requests per slot: below, nothing queues.
constexpr double kQueueingBusyPerSlot = 1.1;
/// The work per request is learned below this, because queueing counts as work.
constexpr double kLearningBusyPerSlot = 0.7;
/// Above this ratio of the measured to the learned work per request, queueing is more likely than
/// a change of the work: slots of upstreams that have just failed still count. Such measurements
/// have a small weight, so a lasting change of the work is learned nevertheless.
constexpr double kPlausibleIncrease = 1.2;
constexpr double kImplausibleWeight = 0.1;
/// The correction falls above the first number of busy requests per slot and rises below the
/// second. Below the third, it rises slowly: even if hosts know the queues of all upstreams, 1.3
/// requests per slot are busy when 0.95 of the slots are in use, and an error of 2 % of the learned
/// work would otherwise stay. Hosts place flows by what they sent themselves, so queues are uneven:
/// at 1.6 busy requests per slot, only 0.78 of the slots are in use, at 3.2 0.91.
constexpr double kTooManyBusyPerSlot = 3.0;
constexpr double kTooFewBusyPerSlot = 0.85;
constexpr double kUnsaturatedBusyPerSlot = 1.3;
constexpr double kMinCorrection = 0.5;
constexpr double kMaxCorrection = 2;
/// Relative changes per second. The decrease is per surplus busy request per slot, up to the
/// largest surplus. Views are up to 2 s old, so a decrease of 0.02 goes on after the queues have
/// drained and leaves up to 8 % of the slots unused.
constexpr double kDecreasePerSecond = 0.01;
constexpr double kMaxSurplus = 3;
constexpr double kIncreasePerSecond = 0.03;
constexpr double kSlowIncreasePerSecond = 0.01;
/// Time constant with which the correction returns to 1 while nothing is rejected.
constexpr double kCorrectionReturnSeconds = 10;
/// The correction waits this long after rejection starts or the slots change. A full queue takes 5
/// s to drain, and views are up to 2 s old.
constexpr Millis kSettlingTime{ 6'000 };
constexpr double kSettlingSlotChange = 0.05;
/// Keeps low routes from starving indefinitely, and their work known.
constexpr double kMinShare = 0.02;
constexpr Millis kFittingTime{ 1'000 };

/// Time constant and least number of responses of the learned work. 3 % of the requests need 7
/// times the work, so the mean of a few responses is not representative.
constexpr double kWorkSeconds = 20;
constexpr double kMinResponses = 10;

/// A caller retransmits its SYN this long after the first one.
constexpr std::array<Millis, 2> kSynRetransmissionTimes{ Millis{ 200 }, Millis{ 600 } };
/// Least chance of the next copy of a deferred SYN; below, most callers would wait in vain.
constexpr double kMinShareToDefer = 0.25;
/// Draws considered for one flow; callers send three SYNs.
constexpr uint32_t kMaxDraws = 8;

/// The shares of the past are kept in steps of the tick.
constexpr Millis kHistoryStep{ 100 };
/// Steps that cover the time from the first SYN to its first and second copy, and one tick more.
constexpr std::array<size_t, 3> kCopySteps{ 1, 4, 8 };

constexpr uint64_t kAllDraws = uint64_t{ 1 } << 32U;

uint64_t
draw(uint64_t aFlowHash, uint32_t aAttempt)
{
  return mixHash(aFlowHash, aAttempt) >> 32U;
}

/// Returns how many copies of a SYN are sent within a quarter of the time that callers accept.
uint32_t
maxDeferrals(const RouteTerms& aTerms)
{
  Millis objective = aTerms.m_latencyObjective;
  if (aTerms.m_deadline > Millis{ 0 }) {
    objective = std::min(objective, aTerms.m_deadline);
  }
  return static_cast<uint32_t>(std::ranges::count_if(
    kSynRetransmissionTimes, [&](Millis aTime) { return aTime <= objective / 4; }));
}

bool
differInPriority(std::span<const RouteTerms> aRoutes)
{
  return std::ranges::any_of(aRoutes, [&](const RouteTerms& aTerms) {
    return aTerms.m_priority != aRoutes.front().m_priority;
  });
}

const ServiceLoad&
findLoad(const LoadReport& aLoad, ServiceId aService)
{
  static const ServiceLoad kNoLoad;
  const auto found =
    std::ranges::lower_bound(aLoad.m_services, aService, {}, &ServiceLoad::m_service);
  return found != aLoad.m_services.end() && found->m_service == aService ? *found : kNoLoad;
}

const RouteLoad*
findLoad(const ServiceLoad& aLoad, RouteId aRoute)
{
  const auto found = std::ranges::lower_bound(aLoad.m_routes, aRoute, {}, &RouteLoad::m_route);
  return found != aLoad.m_routes.end() && found->m_route == aRoute ? &*found : nullptr;
}

} // namespace

void
AdmissionController::update(TimePoint aNow,
                            const LoadReport& aLoad,
                            std::span<const ServiceRoom> aRooms)
{
  const Millis elapsed = m_updatedAt ? aNow - *m_updatedAt : Millis{ 0 };
  const double seconds = std::clamp(static_cast<double>(elapsed.count()) / 1000, 0.0, 1.0);
  m_updatedAt = aNow;
  absl::erase_if(m_services, [&](const auto& aEntry) {
    return std::ranges::none_of(aRooms, [&](const ServiceRoom& aRoom) {
      return aRoom.m_service == aEntry.first && differInPriority(aRoom.m_routes);
    });
  });
  for (const ServiceRoom& room : aRooms) {
    const bool isKnown = m_services.contains(room.m_service);
    if (!differInPriority(room.m_routes) || (!isKnown && m_services.size() >= kMaxServices)) {
      continue;
    }
    Service& service = m_services[room.m_service];
    takeRoom(aNow, service, room);
    const ServiceLoad& load = findLoad(aLoad, room.m_service);
    service.m_busyRequests = busyRequests(load);
    if (aLoad.m_services.empty() || !(service.m_slots > 0)) {
      service.m_resumes |= service.m_isOverloaded;
      service.m_isOverloaded = false;
    } else {
      learnWork(service, load, seconds);
      correct(aNow, service, seconds);
      detectOverload(aNow, service, load);
    }
    assignShares(aNow, service, load);
  }
}

void
AdmissionController::takeRoom(TimePoint aNow, Service& aService, const ServiceRoom& aRoom)
{
  if (std::abs(aRoom.m_slots - aService.m_slots) > kSettlingSlotChange * aService.m_slots) {
    aService.m_settledAt = aNow + kSettlingTime;
  }
  aService.m_slots = aRoom.m_slots;
  const auto terms = aRoom.m_routes.first(std::min(aRoom.m_routes.size(), kMaxRoutes));
  std::erase_if(aService.m_routes, [&](const Route& aRoute) {
    return std::ranges::find(terms, aRoute.m_terms.m_route, &RouteTerms::m_route) == terms.end();
  });
  for (const RouteTerms& term : terms) {
    auto route = std::ranges::find(
      aService.m_routes, term.m_route, [](const Route& aRoute) { return aRoute.m_terms.m_route; });
    if (route == aService.m_routes.end()) {
      route = aService.m_routes.insert(route, Route{});
      route->m_recentThresholds.fill(kAllDraws);
      route->m_copyThresholds.fill(kAllDraws);
    }
    route->m_terms = term;
    route->m_maxDeferrals = maxDeferrals(term);
  }
}

void
AdmissionController::learnWork(Service& aService, const ServiceLoad& aLoad, double aSeconds)
{
  // The negated condition also excludes NaN, which would stay in the learned work.
  if (!(aService.m_busyRequests < kLearningBusyPerSlot * aService.m_slots)) {
    return;
  }
  const double kept = std::exp(-aSeconds / kWorkSeconds);
  double busySeconds = 0;
  double responses = 0;
  for (Route& route : aService.m_routes) {
    const RouteLoad* load = findLoad(aLoad, route.m_terms.m_route);
    if (load != nullptr && std::isfinite(load->m_busyRequests + load->m_responsesPerSecond)) {
      const double plausibleBusy =
        kPlausibleIncrease * route.m_workPerRequest * load->m_responsesPerSecond;
      const bool isPlausible = route.m_workPerRequest == 0 || load->m_busyRequests <= plausibleBusy;
      const double weight = isPlausible ? aSeconds : kImplausibleWeight * aSeconds;
      route.m_busySeconds = kept * route.m_busySeconds + load->m_busyRequests * weight;
      route.m_responses = kept * route.m_responses + load->m_responsesPerSecond * weight;
      if (route.m_responses >= kMinResponses) {
        route.m_workPerRequest = route.m_busySeconds / route.m_responses;
      }
    }
    if (route.m_workPerRequest > 0) {
      busySeconds += route.m_busySeconds;
      responses += route.m_responses;
    }
  }
  if (responses > 0) {
    aService.m_meanWorkPerRequest = busySeconds / responses;
  }
}

void
AdmissionController::correct(TimePoint aNow, Service& aService, double aSeconds)
{
  const double busyPerSlot = aService.m_busyRequests / aService.m_slots;
  double& correction = aService.m_correction;
  const bool isSettled = !aService.m_isOverloaded || aNow >= aService.m_settledAt;
  if (isSettled && busyPerSlot > kTooManyBusyPerSlot) {
    const double surplus = std::min(busyPerSlot - kTooManyBusyPerSlot, kMaxSurplus);
    correction *= std::exp(-kDecreasePerSecond * surplus * aSeconds);
  } else if (!aService.m_isOverloaded) {
    correction += (1 - correction) * (1 - std::exp(-aSeconds / kCorrectionReturnSeconds));
  } else if (isSettled && busyPerSlot < kTooFewBusyPerSlot) {
    correction *= std::exp(kIncreasePerSecond * aSeconds);
  } else if (isSettled && busyPerSlot < kUnsaturatedBusyPerSlot) {
    correction *= std::exp(kSlowIncreasePerSecond * aSeconds);
  }
  correction = std::clamp(correction, kMinCorrection, kMaxCorrection);
}

void
AdmissionController::detectOverload(TimePoint aNow, Service& aService, const ServiceLoad& aLoad)
{
  const double usable = m_options.m_requestsPerSlot * aService.m_slots * aService.m_correction;
  aService.m_capacity = usable;
  double demand = 0;
  for (const RouteLoad& load : aLoad.m_routes) {
    const auto route = std::ranges::find(
      aService.m_routes, load.m_route, [](const Route& aRoute) { return aRoute.m_terms.m_route; });
    if (route == aService.m_routes.end()) {
      // Nothing is known of the route, so all its flows are admitted.
      demand += load.m_busyRequests;
      aService.m_capacity -= load.m_busyRequests;
      continue;
    }
    const double work = workOf(aService, *route);
    demand += (load.m_newFlowsPerSecond + load.m_furtherRequestsPerSecond) * work;
    aService.m_capacity -= load.m_furtherRequestsPerSecond * work;
  }
  // An unknown work makes the demand zero.
  const bool isFitting = !(demand > usable);
  if (!aService.m_isOverloaded) {
    const bool isQueueing =
      aService.m_busyRequests > kQueueingBusyPerSlot * aService.m_slots || aService.m_resumes;
    aService.m_resumes = false;
    if (isQueueing && !isFitting) {
      aService.m_isOverloaded = true;
      aService.m_settledAt = aNow + kSettlingTime;
      aService.m_fittingSince.reset();
    }
    return;
  }
  if (!isFitting) {
    aService.m_fittingSince.reset();
    return;
  }
  if (!aService.m_fittingSince) {
    aService.m_fittingSince = aNow;
  }
  aService.m_isOverloaded = aNow - *aService.m_fittingSince < kFittingTime;
}

double
AdmissionController::workOf(const Service& aService, const Route& aRoute)
{
  return aRoute.m_workPerRequest > 0 ? aRoute.m_workPerRequest : aService.m_meanWorkPerRequest;
}

void
AdmissionController::assignShares(TimePoint aNow, Service& aService, const ServiceLoad& aLoad)
{
  std::ranges::sort(aService.m_routes, {}, [&](const Route& aRoute) {
    return std::tuple(aRoute.m_terms.m_priority, workOf(aService, aRoute), aRoute.m_terms.m_route);
  });
  const bool isNewStep = aNow - aService.m_historyAt >= kHistoryStep;
  if (isNewStep) {
    aService.m_historyAt = aNow;
  }
  double remaining = std::max(aService.m_capacity, 0.0);
  for (Route& route : aService.m_routes) {
    const RouteLoad* load = findLoad(aLoad, route.m_terms.m_route);
    double share = 1;
    if (aService.m_isOverloaded && load != nullptr) {
      const double demand = load->m_newFlowsPerSecond * workOf(aService, route);
      share = demand > remaining ? remaining / demand : 1;
      remaining -= share * demand;
    }
    setShare(route, std::max(share, kMinShare), isNewStep);
  }
}

void
AdmissionController::setShare(Route& aRoute, double aShare, bool aIsNewStep)
{
  aRoute.m_share = aShare;
  // Each copy of a deferred SYN draws again, so the share of each draw is smaller.
  double drawShare = aShare;
  aRoute.m_deferrals = 0;
  for (uint32_t deferrals = aRoute.m_maxDeferrals; deferrals > 0 && aShare < 1; --deferrals) {
    const double lower = 1 - std::pow(1 - aShare, 1.0 / (deferrals + 1));
    if (lower >= kMinShareToDefer) {
      drawShare = lower;
      aRoute.m_deferrals = deferrals;
      break;
    }
  }
  const auto threshold = static_cast<Threshold>(drawShare * static_cast<double>(kAllDraws));
  auto& recent = aRoute.m_recentThresholds;
  if (aIsNewStep) {
    std::shift_right(recent.begin(), recent.end(), 1);
    recent.front() = threshold;
  } else {
    recent.front() = std::max(recent.front(), threshold);
  }
  aRoute.m_copyThresholds.front() = threshold;
  for (size_t copy = 1; copy < kCopySteps.size(); ++copy) {
    aRoute.m_copyThresholds[copy] =
      std::ranges::max(std::span(recent).first(std::min(kCopySteps[copy], recent.size())));
  }
}

Admission
AdmissionController::decide(const FlowRequest& aRequest) const
{
  const auto service = m_services.find(aRequest.m_service);
  if (service == m_services.end() || !service->second.m_isOverloaded) {
    return Admission::Admit;
  }
  const auto& routes = service->second.m_routes;
  const auto route = std::ranges::find(
    routes, aRequest.m_route, [](const Route& aRoute) { return aRoute.m_terms.m_route; });
  const uint32_t copy = aRequest.m_synRetransmissions;
  if (route == routes.end() || (copy > 0 && route->m_maxDeferrals == 0)) {
    return Admission::Admit;
  }
  const auto& thresholds = route->m_copyThresholds;
  const Threshold threshold = thresholds[std::min<size_t>(copy, thresholds.size() - 1)];
  for (uint32_t attempt = 0; attempt <= std::min(copy, kMaxDraws - 1); ++attempt) {
    if (draw(aRequest.m_flowHash, attempt) < threshold) {
      return Admission::Admit;
    }
  }
  return copy < route->m_deferrals ? Admission::Defer : Admission::Refuse;
}

std::vector<ServiceAdmission>
AdmissionController::services() const
{
  std::vector<ServiceAdmission> result;
  for (const auto& [id, service] : m_services) {
    ServiceAdmission& admission =
      result.emplace_back(ServiceAdmission{ .m_service = id,
                                            .m_isOverloaded = service.m_isOverloaded,
                                            .m_slots = service.m_slots,
                                            .m_busyRequests = service.m_busyRequests });
    for (const Route& route : service.m_routes) {
      admission.m_admittedShares.emplace_back(route.m_terms.m_route, route.m_share);
    }
  }
  std::ranges::sort(result, {}, &ServiceAdmission::m_service);
  return result;
}

} // namespace tamarack::overload
