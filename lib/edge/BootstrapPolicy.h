// Decides where a starting host gets its initial records: from a host of its data centre, which
// puts no load on the store, or from the store. This keeps the load on the store low when many
// hosts start at once: during scale-out, in rolling restarts, and when half of a data centre comes
// back after a power failure.
#pragma once

#include "base/Types.h"

#include <string_view>

namespace tamarack::edge {

/// How long to wait for the first status of another host before the store is read. A running host
/// answers within a few milliseconds, even on a twentieth of a core. When no host answers, all of
/// them may have lost power, and callers are waiting.
inline constexpr Millis kFirstStatusTimeout{ 50 };
/// How long to look for a host to transfer records from, once any host has reported that it holds
/// records.
inline constexpr Millis kNeighbourSearchTimeout{ 300 };
/// Duration of a transfer after which the store is read in parallel to it.
inline constexpr Millis kSlowTransferThreshold{ 600 };
/// Tick interval of the process until the initial records are loaded.
inline constexpr Millis kBootstrapTickInterval{ 25 };

class BootstrapPolicy
{
public:
  /// The process has begun to contact other hosts, if its settings name any seeds. Repeated calls
  /// keep the time of the first one.
  void start(TimePoint aNow, bool aHasSeeds)
  {
    m_startedAt = m_startedAt == TimePoint{} ? aNow : m_startedAt;
    m_hasSeeds = aHasSeeds;
  }
  /// A status of another host arrived; `aHasRecords` says whether that host holds records.
  void onHostHeard(bool aHasRecords)
  {
    m_hasHeardLoadedHost = m_hasHeardLoadedHost || aHasRecords;
    m_hasHeardEmptyHost = m_hasHeardEmptyHost || !aHasRecords;
  }
  void onTransferStarted(TimePoint aNow) { m_transferStartedAt = aNow; }
  void onTransferFailed()
  {
    m_transferStartedAt = {};
    m_hasTransferFailed = true;
  }

  /// The reason to read the store now; empty while records may still come from another host.
  [[nodiscard]] std::string_view storeReadReason(TimePoint aNow) const
  {
    if (m_transferStartedAt != TimePoint{}) {
      return aNow - m_transferStartedAt >= kSlowTransferThreshold ? "transfer-slow" : "";
    }
    if (m_hasTransferFailed) {
      return "transfer-failed";
    }
    if (!m_hasSeeds) {
      return "no-seeds";
    }
    const Millis waited = aNow - m_startedAt;
    if (m_hasHeardLoadedHost) {
      return waited >= kNeighbourSearchTimeout ? "no-neighbour" : "";
    }
    if (m_hasHeardEmptyHost) {
      // Every host that answered has just started as well and has no records to hand over.
      return "neighbours-empty";
    }
    return waited >= kFirstStatusTimeout ? "no-answer" : "";
  }

  /// Whether the host has waited long enough to accept records of a host of another data centre, or
  /// records that were not confirmed recently.
  [[nodiscard]] bool acceptsAnySource(TimePoint aNow) const
  {
    return aNow - m_startedAt >= kSlowTransferThreshold;
  }

private:
  /// The epoch before start() was called.
  TimePoint m_startedAt;
  /// The epoch while no transfer is in progress.
  TimePoint m_transferStartedAt;
  bool m_hasSeeds{};
  bool m_hasTransferFailed{};
  bool m_hasHeardLoadedHost{};
  bool m_hasHeardEmptyHost{};
};

} // namespace tamarack::edge
