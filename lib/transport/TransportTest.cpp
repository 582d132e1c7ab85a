// Requests, late answers, uploads and datagrams over loopback sockets. Nothing depends on timing:
// each test ends when the awaited call has come.
#include "transport/Datagrams.h"
#include "transport/H2.h"
#include "transport/Http1.h"

#include <doctest/doctest.h>
#include <unistd.h>
#include <utility>

using namespace tamarack;
using namespace tamarack::transport;

namespace {

constexpr std::chrono::milliseconds kGenerous{ 30'000 };

asio::ip::tcp::endpoint
freeEndpoint(asio::io_context& aIo)
{
  asio::ip::tcp::acceptor probe(aIo, { asio::ip::make_address_v4("127.0.0.1"), 0 });
  return probe.local_endpoint();
}

} // namespace

TEST_CASE("a request reaches the server with its query, and the answer may come later")
{
  asio::io_context io;
  const auto endpoint = freeEndpoint(io);
  Responder later;
  Server server(io, endpoint, [&](const Request& aRequest, const Responder& aRespond) {
    CHECK(aRequest.m_path == "/state");
    CHECK(aRequest.m_query.at("after") == "12");
    CHECK(aRequest.m_body == "body");
    later = aRespond;
    asio::post(io, [&] {
      later({ .m_status = 200, .m_body = std::string(300'000, 'x'), .m_revision = 13 });
    });
  });
  Client client(io, endpoint);
  Response response;
  client.request(
    { .m_method = "PUT", .m_path = "/state", .m_query = { { "after", "12" } }, .m_body = "body" },
    kGenerous,
    [&](const Response& aResponse) {
      response = aResponse;
      io.stop();
    });
  io.run();
  CHECK(response.m_status == 200);
  CHECK(response.m_revision == 13);
  CHECK(response.m_body.size() == 300'000);
}

TEST_CASE("messages of an upload arrive whole and in order")
{
  asio::io_context io;
  const auto endpoint = freeEndpoint(io);
  std::vector<size_t> sizes;
  Server server(
    io,
    endpoint,
    [](const Request&, const Responder& aRespond) { aRespond({ .m_status = 404 }); },
    [&](std::span<const uint8_t> aMessage) {
      sizes.push_back(aMessage.size());
      if (sizes.size() == 50) {
        io.stop();
      }
    });
  Client client(io, endpoint);
  for (size_t count = 0; count < 50; ++count) {
    client.sendMessage(std::vector<uint8_t>(count * 1000, uint8_t{ 7 }));
  }
  io.run();
  REQUIRE(sizes.size() == 50);
  for (size_t count = 0; count < 50; ++count) {
    CHECK(sizes[count] == count * 1000);
  }
}

TEST_CASE("a request to nobody is answered with status 0")
{
  asio::io_context io;
  Client client(io, freeEndpoint(io));
  Response response{ .m_status = 99 };
  client.request({ .m_method = "GET", .m_path = "/" }, kGenerous, [&](const Response& aResponse) {
    response = aResponse;
    io.stop();
  });
  io.run();
  CHECK(response.m_status == 0);
}

TEST_CASE("an answer that is late counts as none")
{
  asio::io_context io;
  const auto endpoint = freeEndpoint(io);
  std::vector<Responder> never;
  Server server(
    io, endpoint, [&](const Request&, const Responder& aRespond) { never.push_back(aRespond); });
  Client client(io, endpoint);
  Response response{ .m_status = 99 };
  client.request({ .m_method = "GET", .m_path = "/" },
                 std::chrono::milliseconds(50),
                 [&](const Response& aResponse) {
                   response = aResponse;
                   io.stop();
                 });
  io.run();
  CHECK(response.m_status == 0);
}

TEST_CASE("datagrams arrive with head and body in one piece")
{
  asio::io_context io;
  DatagramSocket receiver(io, { asio::ip::make_address_v4("127.0.0.1"), 0 });
  DatagramSocket sender(io, { asio::ip::make_address_v4("127.0.0.1"), 0 });
  std::vector<uint8_t> received;
  receiver.receive([&](auto aBytes) { received.assign(aBytes.begin(), aBytes.end()); },
                   [&](bool) { io.stop(); });
  const std::vector<uint8_t> head{ 1, 2 };
  const std::vector<uint8_t> body{ 3, 4, 5 };
  sender.send(Ipv4{ 0x7f000001 }, receiver.port(), head, body);
  sender.flush();
  io.run();
  CHECK(received == std::vector<uint8_t>{ 1, 2, 3, 4, 5 });
  sender.send(Ipv4{ 0x7f000001 }, receiver.port(), head, std::vector<uint8_t>(kMaxDatagramBytes));
  CHECK(sender.dropped() == 1);
}

TEST_CASE("addresses are read whole or refused")
{
  CHECK(parseEndpoint("127.0.0.1:80").port() == 80);
  CHECK_THROWS((void)parseEndpoint("127.0.0.1"));
  CHECK_THROWS((void)parseEndpoint("localhost:80"));
  CHECK_THROWS((void)parseEndpoint("127.0.0.1:80x"));
}

namespace {

/// Runs until a call has its answer.
Response
getHttp(asio::io_context& aIo, HttpClient& aClient, const std::string& aTarget)
{
  Response answer{ .m_status = -1 };
  aClient.get(aTarget, std::chrono::milliseconds(500), [&answer](const Response& aResponse) {
    answer = aResponse;
  });
  while (answer.m_status == -1) {
    aIo.run_one();
  }
  return answer;
}

} // namespace

TEST_CASE("HTTP/1.1: answers, statuses and one connection for many requests")
{
  asio::io_context io;
  std::vector<std::string> targets;
  HttpServer server(
    io, { asio::ip::address_v4::loopback(), 0 }, [&targets](std::string_view aTarget) {
      targets.emplace_back(aTarget);
      return Response{ .m_status = aTarget == "/down" ? 503 : 200,
                       .m_body = std::string(20'000, 'b') };
    });
  HttpClient client(io, { asio::ip::address_v4::loopback(), server.port() });
  CHECK(getHttp(io, client, "/a?x=1").m_body.size() == 20'000);
  CHECK(getHttp(io, client, "/down").m_status == 503);
  CHECK(targets == std::vector<std::string>{ "/a?x=1", "/down" });
}

TEST_CASE("HTTP/1.1: a server that is silent, broken or absent gives status 0 and a reason")
{
  asio::io_context io;
  asio::ip::tcp::acceptor silent(io, { asio::ip::address_v4::loopback(), 0 });
  HttpClient client(io, silent.local_endpoint());
  const Response late = getHttp(io, client, "/");
  CHECK(late.m_status == 0);
  CHECK_FALSE(late.m_body.empty());

  asio::ip::tcp::socket broken(io);
  silent.async_accept([](const asio::error_code&, asio::ip::tcp::socket) {});
  silent.async_accept([&broken](const asio::error_code&, asio::ip::tcp::socket aSocket) {
    broken = std::move(aSocket);
    asio::error_code ignored;
    asio::write(broken, asio::buffer("nonsense\r\n\r\n", 12), ignored);
  });
  CHECK(getHttp(io, client, "/").m_status == 0);

  const auto endpoint = silent.local_endpoint();
  silent.close();
  HttpClient refused(io, endpoint);
  CHECK(getHttp(io, refused, "/").m_status == 0);
}

namespace {

/// Holds all descriptors that the process may still open.
class AllDescriptors
{
public:
  AllDescriptors()
  {
    for (int copy = ::dup(0); copy >= 0; copy = ::dup(0)) {
      m_copies.push_back(copy);
    }
  }
  ~AllDescriptors() { release(); }
  AllDescriptors(const AllDescriptors&) = delete;
  AllDescriptors& operator=(const AllDescriptors&) = delete;

  void release()
  {
    for (const int copy : std::exchange(m_copies, {})) {
      ::close(copy);
    }
  }

private:
  std::vector<int> m_copies;
};

} // namespace

TEST_CASE("a server without free descriptors waits for some, and then serves those who waited")
{
  asio::io_context io;
  HttpServer server(
    io, { asio::ip::address_v4::loopback(), 0 }, [](std::string_view) { return Response{}; });
  const auto endpoint = freeEndpoint(io);
  Server h2(io, endpoint, [](const Request&, const Responder& aRespond) {
    aRespond({ .m_body = "here" });
  });
  HttpClient client(io, { asio::ip::address_v4::loopback(), server.port() });
  Client h2Client(io, endpoint);
  Response answer{ .m_status = -1 };
  Response h2Answer{ .m_status = -1 };
  client.get("/", kGenerous, [&](const Response& aResponse) { answer = aResponse; });
  h2Client.request({ .m_method = "GET", .m_path = "/" }, kGenerous, [&](const Response& aResponse) {
    h2Answer = aResponse;
  });
  AllDescriptors all;
  // Two failures to accept, and what the clients do; without a pause it would be thousands.
  size_t handlers = 0;
  for (int round = 0; round < 1000; ++round) {
    handlers += io.poll_one();
  }
  CHECK(handlers < 50);
  all.release();
  while (answer.m_status == -1 || h2Answer.m_status == -1) {
    io.run_one();
  }
  CHECK(answer.m_status == 200);
  CHECK(h2Answer.m_body == "here");
}
