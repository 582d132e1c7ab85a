// The store of the soak, and what stands around the hosts.
#include "World.h"

#include <absl/strings/escaping.h>

namespace soak {

namespace {

using namespace tamarack;
using Json = nlohmann::json;

uint64_t
numberAfter(std::string_view aTarget, std::string_view aName)
{
  const size_t at = aTarget.find(aName);
  return at == std::string_view::npos
           ? 0
           : std::strtoull(std::string(aTarget.substr(at + aName.size())).c_str(), nullptr, 10);
}

} // namespace

Store::Store(asio::io_context& aIo, const asio::ip::tcp::endpoint& aListen)
  : m_server(aIo, aListen, [this](std::string_view aTarget) { return answer(aTarget); })
{
}

void
Store::put(const std::string& aKey, const std::string& aValue)
{
  m_items[aKey] = { aValue, ++m_revision, false };
}

void
Store::remove(const std::string& aKey)
{
  m_items[aKey] = { {}, ++m_revision, true };
}

void
Store::restore()
{
  m_items = m_copy;
  m_revision = m_copiedRevision;
  m_floor = m_revision;
  ++m_history;
}

transport::Response
Store::answer(std::string_view aTarget) const
{
  const bool isWatch = aTarget.find("watch") != std::string_view::npos;
  const uint64_t after = isWatch ? numberAfter(aTarget, "&after=") : 0;
  const std::map<std::string, std::string> headers{ { "Store-Era", std::to_string(m_history) } };
  if (isWatch && (after < m_floor || after > m_revision)) {
    return { .m_status = 410, .m_headers = headers };
  }
  Json listed = Json::array();
  for (const auto& [key, item] : m_items) {
    const bool isOperators = aTarget.find("prefix=op") != std::string_view::npos;
    if (isWatch ? item.m_revision <= after
                : (item.m_isRemoved || key.starts_with("op/") != isOperators)) {
      continue;
    }
    Json entry = { { "key", key }, { "rev", item.m_revision } };
    if (item.m_isRemoved) {
      entry["tombstone"] = true;
    } else {
      entry["value"] = absl::Base64Escape(item.m_value);
    }
    listed.push_back(std::move(entry));
  }
  return { .m_status = 200,
           .m_body =
             Json{ { isWatch ? "events" : "items", listed }, { "current_rev", m_revision } }.dump(),
           .m_headers = headers };
}

World::World(asio::io_context& aIo, uint32_t aSeed, uint32_t aLane)
  : m_io(aIo)
  , m_lane(aLane)
  , m_random(aSeed)
  , m_store(aIo, { asio::ip::address_v4(netOf(Net::Store, aLane) + 1), kStorePort })
{
}

void
World::publishConfiguration(bool aIsNew)
{
  Json routes = Json::array();
  for (size_t index = 0; index < kRoutePorts.size(); ++index) {
    routes.push_back({ { "name", index == 0 ? "feed" : "report" },
                       { "host", formatIpv4(Ipv4{ kRouteAddress }) },
                       { "prefix", "/" + std::to_string(kRoutePorts[index]) + "/" },
                       { "type", index == 0 ? "safe" : "unsafe" },
                       { "service", index == 0 ? "feed" : "report" } });
  }
  m_configuration += aIsNew ? 1 + m_random() % 5 : 0;
  m_store.put(
    "op/config",
    Json{ { "version", m_configuration },
          { "routes", routes },
          { "services",
            { { { "name", "report" }, { "warmup_s", 2.0 }, { "warmup_per_s", kColdPerSecond } } } },
          { "limits", Json::object() } }
      .dump());
}

Upstream&
World::addUpstream(int aService, const std::string& aDataCentre, std::chrono::milliseconds aColdFor)
{
  const auto number = static_cast<uint32_t>(m_upstreams.size()) + 1;
  m_upstreams.push_back(std::make_unique<Upstream>(*this,
                                                   aService,
                                                   aDataCentre,
                                                   netOf(Net::Upstream, m_lane) + number,
                                                   0x10000000 + number * 4096,
                                                   aColdFor));
  m_upstreams.back()->publish(false);
  return *m_upstreams.back();
}

size_t
World::living(int aService) const
{
  return static_cast<size_t>(
    std::count_if(m_upstreams.begin(), m_upstreams.end(), [aService](const auto& aUpstream) {
      return aUpstream->isAlive() && aUpstream->service() == aService;
    }));
}

Upstream*
World::randomUpstream(int aService)
{
  std::vector<Upstream*> living;
  for (const auto& upstream : m_upstreams) {
    if (upstream->isAlive() && upstream->service() == aService) {
      living.push_back(upstream.get());
    }
  }
  return living.empty() ? nullptr : living[m_random() % living.size()];
}

void
World::complain(std::string aText)
{
  m_complaints.push_back(std::move(aText));
}

} // namespace soak
