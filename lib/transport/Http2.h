// HTTP/2 without TLS on Asio sockets, based on nghttp2: a server that may respond asynchronously,
// and a client for requests with a single response and for long-lived uploads of messages.
#pragma once

#include <asio.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack::transport {

/// Delay after a failed accept, for instance for lack of file descriptors. An immediate retry would
/// fail again and keep the event loop busy.
inline constexpr std::chrono::milliseconds kAcceptRetryDelay{ 100 };
/// Maximum size of the body of a request or response and of one message of an upload. The
/// connection is closed when a body or message exceeds it.
inline constexpr size_t kMaxBodyBytes = 8'000'000;
/// Maximum number of unsent bytes of an upload; beyond it, the peer is assumed to be stalled and
/// the connection is closed. A connection also stops collecting output for one socket write at this
/// size.
inline constexpr size_t kMaxQueuedBytes = 4'000'000;

struct Request
{
  std::string m_method;
  /// The path of the target without the query.
  std::string m_path;
  std::map<std::string, std::string> m_query;
  std::string m_body;
};

/// Returns a query parameter as a number, or 0 if it is missing or does not start with a number.
[[nodiscard]] uint64_t
queryNumber(const Request& aRequest, const std::string& aName);

struct Response
{
  /// HTTP status code. In the response handler of a client, 0 means that no response was received.
  int m_status{ 200 };
  std::string m_body;
  /// Value of the header `x-revision`, or 0 if the response does not have this header.
  uint64_t m_revision{};
  /// Other headers, with names in lower case. Only HTTP/1.1 sends and receives them.
  std::map<std::string, std::string> m_headers{};
};

/// Sends the response to one request. It may be called after the request handler has returned, and
/// has no effect if the connection is closed by then.
using Responder = std::function<void(Response)>;
using RequestHandler = std::function<void(const Request&, Responder)>;
/// Called with each complete message of an upload. The bytes are valid only during the call.
using MessageHandler = std::function<void(std::span<const uint8_t>)>;
/// Called once, with the response or with status 0 if no response was received.
using ResponseHandler = std::function<void(const Response&)>;

class Http2Connection;

/// Accepts HTTP/2 connections on one address.
class Http2Server
{
public:
  /// `aOnMessage` receives the messages of uploads to `/frames`. If it is empty, an upload is
  /// received like the body of any other request, and its content is ignored.
  Http2Server(asio::io_context& aIo,
              const asio::ip::tcp::endpoint& aEndpoint,
              RequestHandler aOnRequest,
              MessageHandler aOnMessage = {});
  ~Http2Server();
  Http2Server(const Http2Server&) = delete;
  Http2Server& operator=(const Http2Server&) = delete;

private:
  void accept();
  void scheduleAccept();

  asio::ip::tcp::acceptor m_acceptor;
  asio::steady_timer m_acceptRetryTimer;
  RequestHandler m_onRequest;
  MessageHandler m_onMessage;
  /// Accepted connections; entries of closed ones are removed at the next accept.
  std::vector<std::weak_ptr<Http2Connection>> m_connections;
};

/// Holds one connection to a server, which is established on first use and re-established on the
/// next use after a failure.
class Http2Client
{
public:
  Http2Client(asio::io_context& aIo, asio::ip::tcp::endpoint aEndpoint);
  ~Http2Client();
  Http2Client(const Http2Client&) = delete;
  Http2Client& operator=(const Http2Client&) = delete;

  /// Sends a request. The handler is called once, at the latest after `aDeadline`, unless the
  /// client is destroyed before.
  void request(Request aRequest, std::chrono::milliseconds aDeadline, ResponseHandler aHandler);
  /// Appends a message to the upload to `/frames`, which is opened if there is none. Delivery is
  /// not acknowledged; messages are lost when the connection fails.
  void sendMessage(std::span<const uint8_t> aMessage);
  /// Closes the connection. The handlers of pending requests are called with status 0, and the next
  /// use opens a new connection.
  void close();
  /// Returns whether the connection is established.
  [[nodiscard]] bool isConnected() const;

private:
  void ensureConnection();

  asio::io_context& m_io;
  asio::ip::tcp::endpoint m_endpoint;
  std::shared_ptr<Http2Connection> m_connection;
};

/// Parses `address:port` with an IPv4 address and a port other than 0. Throws std::invalid_argument
/// for any other text.
[[nodiscard]] asio::ip::tcp::endpoint
parseEndpoint(std::string_view aText);

} // namespace tamarack::transport
