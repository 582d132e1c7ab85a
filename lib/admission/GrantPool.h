// A bucket owner's unused grants for one upstream, and the demand from which the owner computes its
// next grant request to the coordinator.
#pragma once

#include "admission/Admission.h"

#include <algorithm>
#include <deque>
#include <optional>

namespace tamarack::admission {

class GrantPool
{
public:
  /// Uses one grant for a new flow. Returns false if none is left. The flow counts as demand in
  /// both cases.
  bool tryConsume(TimePoint aNow)
  {
    ++m_demand;
    dropExpired(aNow);
    if (m_grants.empty()) {
      return false;
    }
    if (--m_grants.front().m_count == 0) {
      m_grants.pop_front();
    }
    return true;
  }

  void add(const Grant& aGrant)
  {
    if (aGrant.m_count > 0) {
      m_grants.push_back(aGrant);
    }
  }

  /// Returns the number of grants to request, which is the demand since the previous call minus the
  /// unused grants, and resets the demand.
  [[nodiscard]] uint32_t takeDemand(TimePoint aNow)
  {
    dropExpired(aNow);
    uint32_t left = 0;
    for (const Grant& grant : m_grants) {
      left += grant.m_count;
    }
    const uint32_t wanted = m_demand > left ? m_demand - left : 0;
    m_demand = 0;
    return wanted;
  }

private:
  void dropExpired(TimePoint aNow)
  {
    while (!m_grants.empty() && aNow - m_grants.front().m_requestedAt >= kGrantLifetime) {
      m_grants.pop_front();
    }
  }

  /// The number of calls of tryConsume() since the last takeDemand().
  uint32_t m_demand{};
  /// In the order of their expiry; each with a count above zero.
  std::deque<Grant> m_grants;
};

} // namespace tamarack::admission
