// Optional mechanisms of token-based steering. A setting can disable each of them, to measure its
// effect or to exclude it while an incident is investigated. docs/SETTINGS.md describes the
// behaviour without each mechanism.
#pragma once

#include <array>
#include <bitset>
#include <cstdint>
#include <string_view>

namespace tamarack {

/// The order matches kMechanismNames.
enum class Mechanism : uint8_t
{
  /// New flows avoid an upstream to which callers retransmit packets.
  RetransmissionDetection,
  /// Reports of other hosts about unresponsive and slow upstreams are taken into account.
  PeerHealthReports,
  /// New flows avoid an upstream whose response times are several times the median of its service.
  SlowUpstreamAvoidance,
  /// New flows avoid an upstream when callers do not continue the flows opened to it.
  FailedOpenAvoidance,
  /// The time for which an upstream is avoided doubles with each further failure, up to a limit.
  /// Without it, that limit is the duration of the first avoidance.
  AvoidanceBackoff,
  /// Upstreams in the data centre of the host are preferred over remote ones.
  LocalPreference,
  /// Compares the load of up to four randomly drawn upstreams and selects the least loaded. Without
  /// it, one upstream is drawn at random.
  LoadComparison,
  /// Load on an upstream in its cold start counts more than load on a warm one.
  ColdUpstreamWeight,
  /// An upstream whose entry vanished during a disturbance of the store stays in use for a while.
  LapsedUpstreamGrace,
  /// Resets the flows of an upstream that has ended or no longer responds.
  DeadUpstreamResets,
  /// A starting host obtains its first records from other hosts instead of the store.
  PeerBootstrap,
  /// A starting host reads the first pages of the store at once, without waiting for other hosts.
  InitialPageRead,
  /// New flows avoid a data centre when callers retransmit packets to its upstreams and none of
  /// them responds.
  DataCentreReachability,
  /// The host reports that it is not ready when no upstream can serve its callers and no host of
  /// another data centre is heard.
  ReadinessWithdrawal,
  /// While the capacity of a service whose routes differ in priority is insufficient, new flows of
  /// the lower priorities are refused first. Idle flows of its upstreams that have ended are reset.
  PriorityAdmission,
};

/// Names of the mechanisms in the settings, in the order of Mechanism.
inline constexpr std::array<std::string_view, 15> kMechanismNames{
  "caller-silence",    "host-reports",  "pace",        "refusals",    "growing-avoidance",
  "near-first",        "four-compared", "cold-weight", "lapse-grace", "dead-resets",
  "neighbour-records", "glance-pages",  "reach",       "withdrawal",  "priority-admission",
};

/// The set of mechanisms that the settings disable; empty by default.
class Mechanisms
{
public:
  [[nodiscard]] bool isEnabled(Mechanism aMechanism) const
  {
    return !m_disabled.test(static_cast<size_t>(aMechanism));
  }

  /// Disables a mechanism. Returns false if there is no mechanism of that name.
  bool disable(std::string_view aName)
  {
    for (size_t index = 0; index < kMechanismNames.size(); ++index) {
      if (kMechanismNames[index] == aName) {
        m_disabled.set(index);
        return true;
      }
    }
    return false;
  }

  friend bool operator==(const Mechanisms&, const Mechanisms&) = default;

private:
  std::bitset<kMechanismNames.size()> m_disabled;
};

} // namespace tamarack
