// Connects the parts of overload control in one host: the load that the host measures, the load of
// the fleet from the statuses of other hosts, the decision on new flows, and the placement by load.
// It is active only while the directory has services whose routes differ in priority and the
// mechanism is enabled. Otherwise it adds nothing to statuses and keeps no load.
#pragma once

#include "dissemination/PeerTracker.h"
#include "overload/AdmissionController.h"
#include "overload/FleetLoad.h"
#include "overload/LoadMeter.h"
#include "steering/TokenSteering.h"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace tamarack::edge {

/// Followers report more often while a service has more busy requests per slot than this, which is
/// before requests queue.
inline constexpr double kUrgentBusyPerSlot = 0.7;
/// Number of ticks that cover the age of the load of the fleet: up to 1.5 s.
inline constexpr size_t kDeclineTicks = 16;

/// A reader sends the load of its followers with every regular status, or with every second one if
/// the number of followers times that of services is higher. Its control traffic would exceed the
/// limit otherwise. At 1 s, one status may still be lost before the load is too old.
inline constexpr size_t kMaxServiceReportsPerRound = 40;

/// How much is known about the load of the fleet.
struct LoadKnowledge
{
  /// Otherwise, every flow is admitted.
  bool m_isKnown{};
  /// Time since the oldest report in the load arrived at this host; -1 ms if there is none.
  Millis m_age{ -1 };
  /// Number of hosts of the own data centre whose reports the load contains; 0 if unknown.
  size_t m_hosts{};
  /// Number of other data centres whose sums the load contains. Only readers know it; otherwise 0.
  size_t m_remoteDataCentres{};
};

class OverloadControl
{
public:
  OverloadControl(HostId aSelf, std::string aDataCentre, overload::AdmissionOptions aAdmission);

  /// Returns the parts that handle packets. They are valid as long as this object.
  [[nodiscard]] steering::OverloadControl packetInterface()
  {
    return { .m_meter = &m_meter, .m_controller = &m_controller };
  }

  /// Takes the load from a status of another host, which may have waited for `aDelay` in the socket
  /// buffer.
  void onStatus(TimePoint aNow, Millis aDelay, const dissemination::StatusMessage& aStatus);
  /// Updates the load and the decisions that follow from it. Call it at each tick.
  void tick(TimePoint aNow,
            steering::ServiceDirectory& aDirectory,
            dissemination::PeerTracker& aPeers);
  /// Returns the load for a status of this host; empty if overload control is not active.
  [[nodiscard]] std::optional<dissemination::StatusLoad> makeStatusLoad(TimePoint aNow,
                                                                        bool aIsReader) const;
  /// As makeStatusLoad(), for a regular status: empty where a reader omits the load to limit its
  /// traffic. Counts the statuses.
  [[nodiscard]] std::optional<dissemination::StatusLoad> makeRegularStatusLoad(TimePoint aNow,
                                                                               bool aIsReader);
  /// Returns the events since the last call, each with its fields for the log.
  [[nodiscard]] std::vector<steering::DirectoryEvent> takeEvents()
  {
    return std::exchange(m_events, {});
  }

  /// Whether overload control applies to any service.
  [[nodiscard]] bool isActive() const { return m_isActive; }
  [[nodiscard]] LoadKnowledge knowledge(TimePoint aNow) const;
  /// The load of the fleet at the last tick; empty if it was unknown.
  [[nodiscard]] const overload::LoadReport& totalLoad() const { return m_totalLoad; }
  [[nodiscard]] const overload::AdmissionController& controller() const { return m_controller; }

private:
  /// Returns the number of hosts of the data centre times the number of services in the load.
  [[nodiscard]] size_t serviceReports(TimePoint aNow) const
  {
    return knowledge(aNow).m_hosts * m_totalLoad.m_services.size();
  }
  void deactivate(dissemination::PeerTracker& aPeers);
  /// Scales the demand in the load of the fleet down if that of this host has fallen since the load
  /// was measured. Otherwise callers are refused for a second after the end of a crowd.
  void applyOwnDecline();
  /// Sets the load of each data centre for the placement of new flows.
  void updatePlacement(TimePoint aNow, const steering::ServiceDirectory& aDirectory);
  /// Whether followers are to report more often.
  [[nodiscard]] bool isUrgent(std::span<const overload::ServiceRoom> aRooms) const;
  /// Records the services whose overload has started or ended since the last tick.
  void recordChanges(TimePoint aNow, const steering::ServiceDirectory& aDirectory);
  [[nodiscard]] std::string formatAdmission(TimePoint aNow,
                                            const steering::ServiceDirectory& aDirectory,
                                            const overload::ServiceAdmission& aAdmission) const;

  HostId m_self;
  std::string m_dataCentre;
  overload::AdmissionOptions m_admissionOptions;
  overload::LoadMeter m_meter;
  overload::FleetLoad m_fleetLoad;
  overload::AdmissionController m_controller;
  /// The measured load, and the load of the fleet, at the last tick.
  overload::LoadReport m_ownReport;
  overload::LoadReport m_totalLoad;
  /// New flows per second of this host at the last ticks, by service, the latest first.
  std::map<ServiceId, std::array<double, kDeclineTicks>> m_ownDemand;
  bool m_isActive{};
  /// This host adds up the reports of its data centre.
  bool m_isReader{};
  /// The last regular status of this host as a reader had no load.
  bool m_wasLoadOmitted{};
  /// When the last report of each sender arrived. Reports that FleetLoad has discarded are removed
  /// at each tick.
  std::map<HostId, TimePoint> m_hostReportsAt;
  std::map<std::string, TimePoint> m_remoteReportsAt;
  /// When the last sum of the reader arrived, and the number of hosts in it; the epoch if none did.
  TimePoint m_readerSumAt;
  size_t m_hostsInReaderSum{};
  /// Names of the services that are overloaded, as last logged.
  std::map<ServiceId, std::string> m_overloaded;
  std::vector<steering::DirectoryEvent> m_events;
};

/// Returns the load of a service in a report, or null if the report does not contain it.
[[nodiscard]] const overload::ServiceLoad*
findServiceLoad(const overload::LoadReport& aReport, ServiceId aService);

} // namespace tamarack::edge
