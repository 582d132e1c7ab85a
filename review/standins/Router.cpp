// Implements the routers. Each readiness check uses a connection of its own.
#include "Router.h"

#include <array>
#include <memory>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int64_t kCheckIntervalMs = 500;
constexpr int64_t kCheckTimeoutMs = 400;
constexpr int kMissesOutOfRotation = 2;
constexpr std::string_view kRequest =
  "GET /-/ready HTTP/1.1\r\nHost: host\r\nConnection: close\r\n\r\n";

/// One readiness check.
struct Check
{
  int m_descriptor{ -1 };
  std::string m_answer;
  bool m_isDone{};
};

} // namespace

Router::Router(Loop& aLoop, Record& aRecord, uint16_t aReadinessPort)
  : m_loop(aLoop)
  , m_record(aRecord)
  , m_readinessPort(aReadinessPort)
{
}

void
Router::addHost(const std::string& aZone, uint32_t aHost)
{
  check(m_hosts[aHost] = { .m_zone = aZone, .m_address = aHost });
}

bool
Router::isInRotation(uint32_t aHost) const
{
  const auto found = m_hosts.find(aHost);
  return found != m_hosts.end() && found->second.m_isInRotation;
}

void
Router::check(Host& aHost)
{
  const auto state = std::make_shared<Check>();
  state->m_descriptor = connectTo({ aHost.m_address, m_readinessPort });
  const auto finish = [this, state, &aHost] {
    if (!state->m_isDone) {
      state->m_isDone = true;
      m_loop.forget(state->m_descriptor);
      ::close(state->m_descriptor);
      onResult(aHost, state->m_answer.starts_with("HTTP/1.1 200"));
    }
  };
  if (state->m_descriptor < 0 ||
      ::send(state->m_descriptor, kRequest.data(), kRequest.size(), MSG_NOSIGNAL) <= 0) {
    finish();
  } else {
    m_loop.watch(state->m_descriptor, [state, finish] {
      std::array<char, 1024> bytes{};
      const ssize_t size = ::recv(state->m_descriptor, bytes.data(), bytes.size(), 0);
      if (size > 0) {
        state->m_answer.append(bytes.data(), static_cast<size_t>(size));
      }
      if (size <= 0 || state->m_answer.size() >= 12) {
        finish();
      }
    });
    m_loop.after(kCheckTimeoutMs, finish);
  }
  m_loop.after(kCheckIntervalMs, [this, &aHost] { check(aHost); });
}

void
Router::onResult(Host& aHost, bool aIsReady)
{
  aHost.m_misses = aIsReady ? 0 : aHost.m_misses + 1;
  const bool wasInRotation = aHost.m_isInRotation;
  if (aIsReady) {
    aHost.m_isInRotation = true;
  } else if (aHost.m_misses >= kMissesOutOfRotation) {
    aHost.m_isInRotation = false;
  }
  if (wasInRotation != aHost.m_isInRotation) {
    m_record.add("router: host " + formatAddress(aHost.m_address) +
                 (aHost.m_isInRotation ? " in rotation" : " out of rotation"));
  }
}

uint32_t
Router::select(const std::string& aZone, const FlowKey& aFlow) const
{
  size_t known = 0;
  size_t inRotation = 0;
  for (const auto& [address, host] : m_hosts) {
    known += host.m_zone == aZone ? 1 : 0;
    inRotation += host.m_zone == aZone && host.m_isInRotation ? 1 : 0;
  }
  const bool usesAll = 2 * inRotation < known;
  const uint64_t flow =
    mix(mix(aFlow.m_client, aFlow.m_clientPort), mix(aFlow.m_route, aFlow.m_routePort));
  uint32_t best = 0;
  uint64_t bestWeight = 0;
  for (const auto& [address, host] : m_hosts) {
    const uint64_t weight = mix(flow, address);
    if (host.m_zone == aZone && (usesAll || host.m_isInRotation) && weight >= bestWeight) {
      best = address;
      bestWeight = weight;
    }
  }
  return best;
}

} // namespace review
