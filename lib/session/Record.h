// The session's own record of what every upstream and caller received, and the figures worked out
// from it. The decision code has no part in the counting.
#pragma once

#include "base/Types.h"
#include "settings/Settings.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace tamarack::session {

/// The figures of one session, in the order in which they are printed.
struct Figures
{
  std::string m_scenario;
  uint64_t m_seed{};
  std::string m_policy;
  uint64_t m_flowsOpened{};
  uint64_t m_brokenPlanned{};
  uint64_t m_brokenCrash{};
  uint64_t m_givenUp{};
  uint64_t m_misdelivered{};
  uint64_t m_doubleRun{};
  uint64_t m_falseRefusals{};
  uint64_t m_coldExcess{};
  uint64_t m_packetsToOut{};
  uint64_t m_newWorkToLeaving{};
  double m_servedShare{ 1.0 };
  double m_imbalance{};
  double m_settingsInForce{};
  uint64_t m_settingsReverts{};
  double m_controlBytes{};
  double m_platformCalls{};
  /// Broken by a fault although opened more than a second before it and not cut off; not printed.
  uint64_t m_brokenCrashOld{};
  /// Running flows on each upstream that counts for the imbalance; not printed.
  double m_flowsEach{};
  /// The imbalance is that of a settled fleet; not printed.
  bool m_isSettled{ true };
};

/// One line of JSON.
[[nodiscard]] std::string
toJsonLine(const Figures& aFigures);

/// The bounds of the stated targets that the figures break; empty when all hold.
[[nodiscard]] std::vector<std::string>
brokenBounds(const Figures& aFigures);

/// How a flow ended for its caller.
enum class FlowEnd : uint8_t
{
  Running,
  Done,
  Broken,
  GivenUp,
  Refused,
  Unopened,
};

/// A span of time in which an unplanned fault may break flows.
struct FaultWindow
{
  TimePoint m_from;
  TimePoint m_to;
};

class Record
{
public:
  /// A new flow's first packet reached an upstream.
  void onNewFlow(TimePoint aNow, const std::string& aUpstream, bool aIsExempt);
  /// A packet reached an upstream of another service than the flow's.
  void onMisdelivery() { ++m_figures.m_misdelivered; }
  void onPacket(TimePoint aNow, const std::string& aDataCentre, bool aIsExempt);
  /// `aIsCutOff`: caller and upstream cannot reach each other, whatever the hosts do.
  void onFlowEnd(TimePoint aNow, FlowEnd aEnd, TimePoint aOpenedAt, bool aIsCutOff);
  /// Running flows were spread by a partition, and nothing moves running flows.
  void noteUnsettled() { m_figures.m_isSettled = false; }
  void onAttempt(TimePoint aNow) { m_attempts[aNow] += 1; }
  void onServed(TimePoint aAttemptedAt) { m_served[aAttemptedAt] += 1; }

  /// From `aFrom` on the upstream gets new flows only at its cold-start limit, until `aTo`.
  void setCold(const std::string& aUpstream, TimePoint aFrom, TimePoint aTo, uint32_t aLimit);
  void setLeaving(const std::string& aUpstream, TimePoint aAccepted);
  void setOut(const std::string& aDataCentre, TimePoint aAccepted);
  void setBack(const std::string& aDataCentre);
  void addFault(FaultWindow aWindow) { m_faults.push_back(aWindow); }
  void addChangeOfDataCentre(FaultWindow aWindow) { m_dcChanges.push_back(aWindow); }

  Figures& figures() { return m_figures; }
  /// Works out what follows from the whole record.
  void finish();

private:
  struct Cold
  {
    TimePoint m_from;
    TimePoint m_to;
    uint32_t m_limit{};
    /// New flows of the last second.
    std::deque<TimePoint> m_recent;
  };

  Figures m_figures;
  std::multimap<std::string, Cold> m_cold;
  std::map<std::string, TimePoint> m_leaving;
  std::map<std::string, TimePoint> m_out;
  std::vector<FaultWindow> m_faults;
  std::vector<FaultWindow> m_dcChanges;
  std::map<TimePoint, uint64_t> m_attempts;
  std::map<TimePoint, uint64_t> m_served;
};

} // namespace tamarack::session
