// HTTP/1.1 for interfaces that other systems define: a client for the HTTP interface of the store,
// which sends one request at a time, and a server for readiness checks and metrics. Messages are
// parsed with http_parser.
#pragma once

#include "transport/Http2.h"

#include <list>

namespace tamarack::transport {

/// Maximum size of a response body; the client closes the connection when a body exceeds it. A page
/// of the store has up to 1 MB before base64 encoding.
inline constexpr size_t kMaxHttp1BodyBytes = 4'000'000;
/// Maximum number of connections of a server. When it is reached, the connection that was accepted
/// first is closed in favour of a new one.
inline constexpr size_t kMaxHttp1Connections = 32;

class Http1ClientConnection;

/// Sends one request at a time over a persistent connection. After a failure, the next request
/// opens a new connection.
class Http1Client
{
public:
  Http1Client(asio::io_context& aIo, asio::ip::tcp::endpoint aEndpoint);
  ~Http1Client();
  Http1Client(const Http1Client&) = delete;
  Http1Client& operator=(const Http1Client&) = delete;

  /// Sends a GET request for `aTarget`. The handler is called at most once and at the latest after
  /// the deadline. Status 0 means that no response was received; the body then holds the reason. If
  /// a request is still pending, it is cancelled without a call of its handler.
  void get(const std::string& aTarget,
           std::chrono::milliseconds aDeadline,
           ResponseHandler aHandler);
  /// Closes the connection and cancels a pending request without a call of its handler.
  void close();

private:
  asio::io_context& m_io;
  asio::ip::tcp::endpoint m_endpoint;
  std::shared_ptr<Http1ClientConnection> m_connection;
};

class Http1ServerConnection;

/// Serves requests on one address. The method and the body of a request are ignored.
class Http1Server
{
public:
  /// Returns the response for a request target, which includes the query.
  using Handler = std::function<Response(std::string_view)>;

  Http1Server(asio::io_context& aIo, const asio::ip::tcp::endpoint& aEndpoint, Handler aHandler);
  ~Http1Server();
  Http1Server(const Http1Server&) = delete;
  Http1Server& operator=(const Http1Server&) = delete;

  [[nodiscard]] uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
  void accept();
  void scheduleAccept();

  asio::ip::tcp::acceptor m_acceptor;
  asio::steady_timer m_acceptRetryTimer;
  Handler m_handler;
  /// Accepted connections, oldest first; at most kMaxHttp1Connections. Entries of closed ones are
  /// removed at the next accept.
  std::list<std::weak_ptr<Http1ServerConnection>> m_connections;
};

} // namespace tamarack::transport
