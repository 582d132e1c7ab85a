// Baseline policy for comparison: rendezvous hashing over the healthy upstreams and a local flow
// table on each host, without any coordination between hosts. It has the interface of node::Node
// that the simulation uses; functions that only serve coordination do nothing.
#pragma once

#include "node/Node.h"

namespace tamarack::session {

class BaselineNode
{
public:
  BaselineNode(const node::NodeOptions& aOptions, TimePoint aNow);

  void onSettings(TimePoint aNow, settings::SettingsPtr aSettings, Millis aAge);
  void onSettingsConfirmed(TimePoint aAt) { (void)aAt; }
  void onHostList(TimePoint, std::span<const membership::ListedHost>) {}
  void onFrame(TimePoint, node::Frame) {}
  void onProbeResult(TimePoint aNow, const admission::UpstreamReport& aReport);
  void tick(TimePoint aNow);
  [[nodiscard]] node::Decision decide(TimePoint aNow, const node::PacketArrival& aArrival);
  [[nodiscard]] std::vector<node::OutgoingFrame> takeFrames(TimePoint) { return {}; }
  [[nodiscard]] std::vector<node::ProbeTarget> probeTargets(TimePoint aNow) const;
  [[nodiscard]] std::pair<HostId, settings::Revision> peerWithNewerSettings() const { return {}; }
  void startLeaving(TimePoint) { m_hasLeft = true; }
  [[nodiscard]] bool hasLeft() const { return m_hasLeft; }
  [[nodiscard]] EventLog& events() { return m_events; }
  [[nodiscard]] settings::Revision revision() const
  {
    return m_settings ? m_settings->m_revision : 0;
  }

private:
  struct FlowEntry
  {
    UpstreamId m_upstream;
    TimePoint m_lastSeen;
  };

  [[nodiscard]] const settings::Service* findService(const packet::FlowKey& aFlow) const;
  [[nodiscard]] const settings::Upstream* findUpstream(const settings::Service& aService,
                                                       UpstreamId aId) const;
  /// The healthy upstream in service that rendezvous hashing selects for a flow.
  [[nodiscard]] UpstreamId hashToUpstream(const settings::Service& aService, FlowId aFlow) const;

  EventLog m_events;
  settings::SettingsPtr m_settings;
  /// When the last probe of each unhealthy upstream failed.
  std::map<UpstreamId, TimePoint> m_failedAt;
  /// Flow table by flow ID.
  boost::unordered_flat_map<uint64_t, FlowEntry> m_flows;
  /// When idle entries were last removed from the flow table.
  TimePoint m_lastSweepAt;
  bool m_hasLeft{};
};

} // namespace tamarack::session
