// Tests HTTP/2, HTTP/1.1 and datagram sockets over the loopback interface. The tests do not depend
// on timing, since each runs the event loop until the expected handler has been called.
#include "transport/Datagrams.h"
#include "transport/Http1.h"
#include "transport/Http2.h"

#include <doctest/doctest.h>
#include <unistd.h>
#include <utility>

using namespace tamarack;
using namespace tamarack::transport;

namespace {

/// A deadline that no request of a passing test reaches.
constexpr std::chrono::milliseconds kDeadline{ 30'000 };

/// Returns a loopback endpoint on which nothing listens.
asio::ip::tcp::endpoint
unusedEndpoint(asio::io_context& aIo)
{
  asio::ip::tcp::acceptor probe(aIo, { asio::ip::make_address_v4("127.0.0.1"), 0 });
  return probe.local_endpoint();
}

} // namespace

TEST_CASE("HTTP/2: the server receives query and body of a request and may respond after the "
          "handler returns")
{
  asio::io_context io;
  const auto endpoint = unusedEndpoint(io);
  Responder responder;
  Http2Server server(io, endpoint, [&](const Request& aRequest, const Responder& aRespond) {
    CHECK(aRequest.m_path == "/state");
    CHECK(aRequest.m_query.at("after") == "12");
    CHECK(aRequest.m_body == "body");
    responder = aRespond;
    asio::post(io, [&] {
      responder({ .m_status = 200, .m_body = std::string(300'000, 'x'), .m_revision = 13 });
    });
  });
  Http2Client client(io, endpoint);
  Response response;
  client.request(
    { .m_method = "PUT", .m_path = "/state", .m_query = { { "after", "12" } }, .m_body = "body" },
    kDeadline,
    [&](const Response& aResponse) {
      response = aResponse;
      io.stop();
    });
  io.run();
  CHECK(response.m_status == 200);
  CHECK(response.m_revision == 13);
  CHECK(response.m_body.size() == 300'000);
}

TEST_CASE("HTTP/2: messages of an upload arrive complete and in order")
{
  asio::io_context io;
  const auto endpoint = unusedEndpoint(io);
  std::vector<size_t> sizes;
  Http2Server server(
    io,
    endpoint,
    [](const Request&, const Responder& aRespond) { aRespond({ .m_status = 404 }); },
    [&](std::span<const uint8_t> aMessage) {
      sizes.push_back(aMessage.size());
      if (sizes.size() == 50) {
        io.stop();
      }
    });
  Http2Client client(io, endpoint);
  for (size_t count = 0; count < 50; ++count) {
    client.sendMessage(std::vector<uint8_t>(count * 1000, uint8_t{ 7 }));
  }
  io.run();
  REQUIRE(sizes.size() == 50);
  for (size_t count = 0; count < 50; ++count) {
    CHECK(sizes[count] == count * 1000);
  }
}

TEST_CASE("HTTP/2: a request to an endpoint without a listener completes with status 0")
{
  asio::io_context io;
  Http2Client client(io, unusedEndpoint(io));
  Response response{ .m_status = 99 };
  client.request({ .m_method = "GET", .m_path = "/" }, kDeadline, [&](const Response& aResponse) {
    response = aResponse;
    io.stop();
  });
  io.run();
  CHECK(response.m_status == 0);
}

TEST_CASE(
  "HTTP/2: a request completes with status 0 when the server does not respond by the deadline")
{
  asio::io_context io;
  const auto endpoint = unusedEndpoint(io);
  std::vector<Responder> responders;
  Http2Server server(io, endpoint, [&](const Request&, const Responder& aRespond) {
    responders.push_back(aRespond);
  });
  Http2Client client(io, endpoint);
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

TEST_CASE(
  "DatagramSocket sends head and body as one datagram and drops datagrams that are too long")
{
  asio::io_context io;
  DatagramSocket receiver(io, { asio::ip::make_address_v4("127.0.0.1"), 0 });
  DatagramSocket sender(io, { asio::ip::make_address_v4("127.0.0.1"), 0 });
  std::vector<uint8_t> received;
  receiver.startReceiving([&](auto aBytes) { received.assign(aBytes.begin(), aBytes.end()); },
                          [&](bool) { io.stop(); });
  const std::vector<uint8_t> head{ 1, 2 };
  const std::vector<uint8_t> body{ 3, 4, 5 };
  sender.send(Ipv4{ 0x7f000001 }, receiver.port(), head, body);
  sender.flush();
  io.run();
  CHECK(received == std::vector<uint8_t>{ 1, 2, 3, 4, 5 });
  sender.send(Ipv4{ 0x7f000001 }, receiver.port(), head, std::vector<uint8_t>(kMaxDatagramBytes));
  CHECK(sender.droppedDatagrams() == 1);
}

TEST_CASE("parseEndpoint accepts an IPv4 address with a port and rejects other texts")
{
  CHECK(parseEndpoint("127.0.0.1:80").port() == 80);
  CHECK_THROWS((void)parseEndpoint("127.0.0.1"));
  CHECK_THROWS((void)parseEndpoint("localhost:80"));
  CHECK_THROWS((void)parseEndpoint("127.0.0.1:80x"));
}

namespace {

/// Sends a GET request and runs the event loop until the response or an error arrives.
Response
getHttp1(asio::io_context& aIo, Http1Client& aClient, const std::string& aTarget)
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

TEST_CASE("HTTP/1.1: a client sends consecutive requests and receives status and body")
{
  asio::io_context io;
  std::vector<std::string> targets;
  Http1Server server(
    io, { asio::ip::address_v4::loopback(), 0 }, [&targets](std::string_view aTarget) {
      targets.emplace_back(aTarget);
      return Response{ .m_status = aTarget == "/down" ? 503 : 200,
                       .m_body = std::string(20'000, 'b') };
    });
  Http1Client client(io, { asio::ip::address_v4::loopback(), server.port() });
  CHECK(getHttp1(io, client, "/a?x=1").m_body.size() == 20'000);
  CHECK(getHttp1(io, client, "/down").m_status == 503);
  CHECK(targets == std::vector<std::string>{ "/a?x=1", "/down" });
}

TEST_CASE(
  "HTTP/1.1: a request to an unresponsive, malformed or absent server completes with status 0")
{
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(io, { asio::ip::address_v4::loopback(), 0 });
  Http1Client client(io, acceptor.local_endpoint());
  const Response timedOut = getHttp1(io, client, "/");
  CHECK(timedOut.m_status == 0);
  CHECK_FALSE(timedOut.m_body.empty());

  asio::ip::tcp::socket malformed(io);
  acceptor.async_accept([](const asio::error_code&, asio::ip::tcp::socket) {});
  acceptor.async_accept([&malformed](const asio::error_code&, asio::ip::tcp::socket aSocket) {
    malformed = std::move(aSocket);
    asio::error_code ignored;
    asio::write(malformed, asio::buffer("nonsense\r\n\r\n", 12), ignored);
  });
  CHECK(getHttp1(io, client, "/").m_status == 0);

  const auto endpoint = acceptor.local_endpoint();
  acceptor.close();
  Http1Client refused(io, endpoint);
  CHECK(getHttp1(io, refused, "/").m_status == 0);
}

namespace {

/// Opens as many file descriptors as the process limit allows, until released.
class DescriptorExhaustion
{
public:
  DescriptorExhaustion()
  {
    for (int copy = ::dup(0); copy >= 0; copy = ::dup(0)) {
      m_copies.push_back(copy);
    }
  }
  ~DescriptorExhaustion() { release(); }
  DescriptorExhaustion(const DescriptorExhaustion&) = delete;
  DescriptorExhaustion& operator=(const DescriptorExhaustion&) = delete;

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

TEST_CASE(
  "servers retry accept at intervals without free descriptors, then serve the pending connections")
{
  asio::io_context io;
  Http1Server server(
    io, { asio::ip::address_v4::loopback(), 0 }, [](std::string_view) { return Response{}; });
  const auto endpoint = unusedEndpoint(io);
  Http2Server h2(io, endpoint, [](const Request&, const Responder& aRespond) {
    aRespond({ .m_body = "here" });
  });
  Http1Client client(io, { asio::ip::address_v4::loopback(), server.port() });
  Http2Client h2Client(io, endpoint);
  Response answer{ .m_status = -1 };
  Response h2Answer{ .m_status = -1 };
  client.get("/", kDeadline, [&](const Response& aResponse) { answer = aResponse; });
  h2Client.request({ .m_method = "GET", .m_path = "/" }, kDeadline, [&](const Response& aResponse) {
    h2Answer = aResponse;
  });
  DescriptorExhaustion exhaustion;
  // Expected are one failed accept of each server and a few handlers of the clients. Without the
  // delay between retries, nearly all of the 1000 polls would run a handler.
  size_t handlers = 0;
  for (int round = 0; round < 1000; ++round) {
    handlers += io.poll_one();
  }
  CHECK(handlers < 50);
  exhaustion.release();
  while (answer.m_status == -1 || h2Answer.m_status == -1) {
    io.run_one();
  }
  CHECK(answer.m_status == 200);
  CHECK(h2Answer.m_body == "here");
}
