// Judges the evidence that an upstream has failed, for the decision to give up its open flows.
//
// While the entry of the upstream stands, its open flows are given up for evidence of established
// flows only, and for reports of other hosts only if one nearby agrees. The removal of the entry
// is evidence in itself, since it takes three heartbeats of silence, unless the upstream has
// answered callers too recently for that silence to be its own.
#include "steering/ServiceDirectory.h"

namespace tamarack::steering {

double
ServiceDirectory::flowEvidence(TimePoint aNow, const Upstream& aUpstream) const
{
  const PassiveHealth& health = aUpstream.m_health;
  const bool isGone = aUpstream.isGone(aNow);
  const auto isValid = [&](TimePoint aLastAt) {
    return aNow - aLastAt <= kEvidenceLifetime ||
           (isGone && aLastAt >= aUpstream.m_lastSignOfLifeAt);
  };
  return (isValid(health.lastEvidenceAt()) ? health.evidence() : 0) +
         (isGone && isValid(health.lastSynEvidenceAt()) ? health.synEvidence() : 0);
}

bool
ServiceDirectory::hasFailed(TimePoint aNow, const Upstream& aUpstream) const
{
  const PassiveHealth& health = aUpstream.m_health;
  if (health.evidence() + health.synEvidence() < kFailureEvidence) {
    return false;
  }
  const bool isLasting = aNow - health.firstEvidenceAt() >= kMinFailureSpan;
  if (!isLasting || flowEvidence(aNow, aUpstream) < kFailureEvidence) {
    return false;
  }
  // Hosts elsewhere may be cut off from an upstream that this host reaches.
  return health.isCorroborated() || aUpstream.isGone(aNow);
}

} // namespace tamarack::steering
