// Tests of the load in a status: its encoding, its limits, and the rejection of malformed input.
#include "dissemination/StatusMessage.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <functional>
#include <limits>
#include <nlohmann/json.hpp>
#include <random>

using namespace tamarack;
using namespace tamarack::dissemination;
using overload::DataCentreId;
using overload::LoadReport;
using overload::RouteId;
using overload::RouteLoad;
using overload::ServiceLoad;

namespace {

constexpr uint32_t kFirstId = 0x90abcdef;
/// The data centre of the sender, which has none of the upstreams.
constexpr DataCentreId kSender{ 5 };

/// Makes the load of a service with two routes and upstreams in three data centres.
ServiceLoad
makeService(uint32_t aIndex, double aBusyRequests)
{
  const uint32_t id = kFirstId + aIndex * 16;
  return { .m_service = ServiceId{ id },
           .m_routes = { { RouteId{ id + 1 }, 410.5, 120.3, 500.2, aBusyRequests / 2 },
                         { RouteId{ id + 2 }, 390.1, 0, 360.7, aBusyRequests / 2 } },
           .m_placements = { { DataCentreId{ kFirstId }, aBusyRequests / 2 },
                             { DataCentreId{ kFirstId + 1 }, aBusyRequests / 4 },
                             { DataCentreId{ kFirstId + 2 }, aBusyRequests / 4 } } };
}

StatusLoad
makeReaderLoad(uint32_t aServices)
{
  StatusLoad load{ .m_isSum = true, .m_hosts = 30 };
  for (uint32_t index = 0; index < aServices; ++index) {
    load.m_load.m_services.push_back(makeService(index, 16 * (index + 1)));
    load.m_remoteLoad.m_services.push_back(makeService(index, 32 * (index + 1)));
  }
  return load;
}

StatusMessage
makeStatus(StatusLoad aLoad)
{
  return { .m_sender = HostId{ 3 },
           .m_dataCentre = "near",
           .m_isReader = true,
           .m_nominees = { HostId{ 3 } },
           .m_load = std::move(aLoad) };
}

/// Returns the services of an encoded and decoded load of a reader.
std::vector<ServiceId>
carriedServices(const StatusMessage& aStatus)
{
  const auto decoded = decodeStatus(encodeStatus(aStatus));
  REQUIRE(decoded.ok());
  REQUIRE(decoded->m_load);
  std::vector<ServiceId> services;
  for (const ServiceLoad& service : decoded->m_load->m_load.m_services) {
    services.push_back(service.m_service);
  }
  return services;
}

/// Encodes a load without a limit and returns whether it is decoded after `aChange`.
template<typename Change>
bool
isDecodedAfter(const Change& aChange)
{
  std::vector<uint8_t> bytes = encodeLoad(makeReaderLoad(2), kSender, kMaxStatusBytes);
  aChange(bytes);
  return decodeLoad(bytes, kSender).ok();
}

/// Positions in the encoding of makeReaderLoad().
constexpr size_t kDataCentreCountAt = 2;
constexpr size_t kServiceCountAt = kDataCentreCountAt + 1 + size_t{ 3 } * 4;
constexpr size_t kRouteCountAt = kServiceCountAt + 1 + 4;

} // namespace

TEST_CASE("a reader's load is decoded as it was encoded; otherwise hosts would see other demand")
{
  const StatusLoad load = makeReaderLoad(3);
  const auto status = decodeStatus(encodeStatus(makeStatus(load)));
  REQUIRE(status.ok());
  REQUIRE(status->m_load);
  CHECK(*status->m_load == load);
}

TEST_CASE("a host's own report is decoded as it was encoded, without a remote sum")
{
  StatusLoad load = makeReaderLoad(3);
  load.m_isSum = false;
  load.m_hosts = 1;
  load.m_remoteLoad = {};
  const auto status = decodeStatus(encodeStatus(makeStatus(load)));
  REQUIRE(status.ok());
  REQUIRE(status->m_load);
  CHECK(*status->m_load == load);
}

TEST_CASE("placements in the data centre of the sender are decoded in the order of data centres")
{
  // The encoding omits the identifier of this data centre, which may be the first, the last or any.
  const StatusLoad load = makeReaderLoad(2);
  for (uint32_t index = 0; index < 3; ++index) {
    const DataCentreId sender{ kFirstId + index };
    const auto decoded = decodeLoad(encodeLoad(load, sender, kMaxStatusBytes), sender);
    REQUIRE(decoded.ok());
    CHECK(*decoded == load);
  }
}

TEST_CASE("a load that lists the data centre of its sender is rejected, since it would occur twice")
{
  const auto bytes = encodeLoad(makeReaderLoad(2), kSender, kMaxStatusBytes);
  CHECK_FALSE(decodeLoad(bytes, DataCentreId{ kFirstId }).ok());
}

TEST_CASE("a load without services is known to be zero, which differs from an unknown load")
{
  const auto idle = decodeStatus(encodeStatus(makeStatus({ .m_isSum = true })));
  REQUIRE(idle.ok());
  CHECK(idle->m_load.has_value());
}

TEST_CASE("a status without load is encoded as by an earlier build and decodes to no load")
{
  StatusMessage status = makeStatus({});
  status.m_load.reset();
  const std::vector<uint8_t> bytes = encodeStatus(status);
  const auto fields = nlohmann::json::from_msgpack(bytes);
  CHECK(fields.size() == 13);
  const auto decoded = decodeStatus(bytes);
  REQUIRE(decoded.ok());
  CHECK_FALSE(decoded->m_load);
}

TEST_CASE("the load is one further field, which earlier builds ignore")
{
  const StatusMessage status = makeStatus(makeReaderLoad(2));
  auto fields = nlohmann::json::from_msgpack(encodeStatus(status));
  REQUIRE(fields.size() == 14);
  fields.erase(13);
  StatusMessage withoutLoad = status;
  withoutLoad.m_load.reset();
  CHECK(nlohmann::json::to_msgpack(fields) == encodeStatus(withoutLoad));
}

TEST_CASE("a status of a later build with fields after the load is decoded")
{
  auto fields = nlohmann::json::from_msgpack(encodeStatus(makeStatus(makeReaderLoad(2))));
  fields.push_back("later");
  CHECK(decodeStatus(nlohmann::json::to_msgpack(fields)).ok());
}

TEST_CASE("at most 24 services are carried, the busiest ones")
{
  StatusLoad load;
  for (uint32_t index = 0; index < 40; ++index) {
    const RouteId route{ index + 1 };
    load.m_load.m_services.push_back({ .m_service = ServiceId{ index + 1 },
                                       .m_routes = { { route, 1, 0, 1, 1.0 + index } },
                                       .m_placements = {} });
  }
  const auto services = carriedServices(makeStatus(load));
  REQUIRE(services.size() == kMaxLoadServices);
  CHECK(services.front() == ServiceId{ 17 });
}

TEST_CASE("the least busy services are omitted where a status would exceed the size of a datagram")
{
  StatusMessage status = makeStatus(makeReaderLoad(24));
  CHECK(encodeStatus(status).size() <= kMaxStatusBytes);
  const auto services = carriedServices(status);
  CHECK(services.size() >= 18);
  CHECK(services.back() == ServiceId{ kFirstId + 23 * 16 });
}

TEST_CASE("changed records take precedence over load")
{
  StatusMessage status = makeStatus(makeReaderLoad(24));
  status.m_delta.resize(1000);
  CHECK(encodeStatus(status).size() <= kMaxStatusBytes);
  const auto decoded = decodeStatus(encodeStatus(status));
  REQUIRE(decoded.ok());
  CHECK(decoded->m_delta.size() == 1000);
  CHECK(carriedServices(status).back() == ServiceId{ kFirstId + 23 * 16 });
}

TEST_CASE("a status whose other contents fill a datagram carries no load")
{
  for (const size_t size : { 1250U, 1290U, 1300U, 1305U, 1310U, 1340U, 1400U }) {
    StatusMessage status = makeStatus(makeReaderLoad(24));
    status.m_delta.resize(size);
    StatusMessage withoutLoad = status;
    withoutLoad.m_load.reset();
    CHECK(encodeStatus(status).size() <=
          std::max(kMaxStatusBytes, encodeStatus(withoutLoad).size()));
  }
}

TEST_CASE("quantities that are negative, infinite or not a number are encoded as valid ones")
{
  for (const double quantity : { -5.0,
                                 std::numeric_limits<double>::quiet_NaN(),
                                 std::numeric_limits<double>::infinity(),
                                 -std::numeric_limits<double>::infinity() }) {
    StatusLoad load = makeReaderLoad(1);
    load.m_load.m_services[0].m_routes[0].m_busyRequests = quantity;
    const auto decoded = decodeLoad(encodeLoad(load, kSender, kMaxStatusBytes), kSender);
    REQUIRE(decoded.ok());
    const double received = decoded->m_load.m_services[0].m_routes[0].m_busyRequests;
    CHECK(received >= 0);
    CHECK(received <= 1e8);
  }
}

TEST_CASE("a truncated load is rejected at every length")
{
  const std::vector<uint8_t> bytes = encodeLoad(makeReaderLoad(2), kSender, kMaxStatusBytes);
  for (size_t size = 0; size < bytes.size(); ++size) {
    CHECK_FALSE(decodeLoad(std::span(bytes).first(size), kSender).ok());
  }
}

TEST_CASE("bytes after the load are rejected")
{
  CHECK_FALSE(isDecodedAfter([](auto& aBytes) { aBytes.push_back(0); }));
}

TEST_CASE("more services than the limit are rejected")
{
  CHECK_FALSE(isDecodedAfter([](auto& aBytes) { aBytes[kServiceCountAt] = 25; }));
}

TEST_CASE("counts beyond the end of the data are rejected without a matching allocation")
{
  CHECK_FALSE(isDecodedAfter([](auto& aBytes) { aBytes[kDataCentreCountAt] = 0x7f; }));
  CHECK_FALSE(isDecodedAfter([](auto& aBytes) { aBytes[kRouteCountAt] = 0x7f; }));
}

TEST_CASE("quantities beyond the limit and integers that do not end are rejected")
{
  const auto overwriteQuantity = [](std::vector<uint8_t>& aBytes, uint8_t aLast) {
    const std::array<uint8_t, 5> quantity{ 0xff, 0xff, 0xff, 0xff, aLast };
    std::ranges::copy(quantity, aBytes.begin() + kRouteCountAt + 1 + 4);
  };
  CHECK_FALSE(isDecodedAfter([&](auto& aBytes) { overwriteQuantity(aBytes, 0x7f); }));
  CHECK_FALSE(isDecodedAfter([&](auto& aBytes) { overwriteQuantity(aBytes, 0xff); }));
}

TEST_CASE("a service, route or data centre that occurs twice is rejected, since reports are added")
{
  StatusLoad load = makeReaderLoad(1);
  const std::vector<uint8_t> bytes = encodeLoad(load, kSender, kMaxStatusBytes);
  REQUIRE(decodeLoad(bytes, kSender).ok());
  std::vector<uint8_t> changed = bytes;
  // The identifiers of the data centres differ only in their last byte.
  changed[kDataCentreCountAt + 8] = changed[kDataCentreCountAt + 4];
  CHECK_FALSE(decodeLoad(changed, kSender).ok());
  changed = bytes;
  const std::array<uint8_t, 4> secondRoute{ 0x90, 0xab, 0xcd, 0xf1 };
  const auto found =
    std::search(changed.begin(), changed.end(), secondRoute.begin(), secondRoute.end());
  REQUIRE(found != changed.end());
  *(found + 3) = 0xf0;
  CHECK_FALSE(decodeLoad(changed, kSender).ok());
}

TEST_CASE("a load that is not binary makes the status malformed")
{
  for (const nlohmann::json& load :
       { nlohmann::json(-3), nlohmann::json("x"), nlohmann::json::array({ -1, 2 }) }) {
    auto fields = nlohmann::json::from_msgpack(encodeStatus(makeStatus(makeReaderLoad(2))));
    fields[13] = load;
    CHECK_FALSE(decodeStatus(nlohmann::json::to_msgpack(fields)).ok());
  }
}

TEST_CASE("mutated loads are rejected or decoded to non-negative quantities in order")
{
  const std::vector<uint8_t> bytes = encodeLoad(makeReaderLoad(4), kSender, kMaxStatusBytes);
  std::minstd_rand random(5);
  for (int iteration = 0; iteration < 100'000; ++iteration) {
    std::vector<uint8_t> mutated = bytes;
    mutated[random() % mutated.size()] = static_cast<uint8_t>(random());
    mutated[random() % mutated.size()] = static_cast<uint8_t>(random());
    const auto decoded = decodeLoad(mutated, kSender);
    if (!decoded.ok()) {
      continue;
    }
    for (const LoadReport* report : { &decoded->m_load, &decoded->m_remoteLoad }) {
      const auto& services = report->m_services;
      REQUIRE(std::ranges::adjacent_find(services, std::greater_equal{}, &ServiceLoad::m_service) ==
              services.end());
      for (const ServiceLoad& service : services) {
        REQUIRE(std::ranges::all_of(
          service.m_routes, [](const RouteLoad& aRoute) { return aRoute.m_busyRequests >= 0; }));
      }
    }
  }
}
