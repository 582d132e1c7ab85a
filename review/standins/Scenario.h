// What every scenario gets: the deployment, the record, and whether the disruption is left out.
#pragma once

#include "Fleet.h"

namespace review {

/// Results of a script, as its exit status.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

struct Scene
{
  Loop& m_loop;
  Record& m_record;
  Fleet& m_fleet;
  /// False for the run without the disruption.
  bool m_hasTrouble{};
};

/// A foreign entry in the store names the address of a living endpoint.
int
runForeignEntry(Scene& aScene);
/// Entries of another writer make the answer to a watch larger than hosts accept.
int
runLargeEntries(Scene& aScene);
/// A host keeps its verdict on an endpoint after a cut has healed.
int
runStaleVerdict(Scene& aScene);
/// A crowd of users fills the endpoints of a service.
int
runFullEndpoints(Scene& aScene);
/// A client uses a port again, and the first copies of the SYN are lost with a host.
int
runReusedPort(Scene& aScene);
/// A host restarts while the evacuation of its zone is taken back.
int
runColdAfterEvacuation(Scene& aScene);

} // namespace review
