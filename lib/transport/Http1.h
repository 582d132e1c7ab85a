// HTTP/1.1 for what is not ours to choose: a client that sends one request at a time, for a store,
// and a small server for readiness and metrics. Parsing is http_parser's.
#pragma once

#include "transport/H2.h"

#include <list>

namespace tamarack::transport {

/// Answers larger than this end the connection: a page of the store holds 1 MB before base64.
inline constexpr size_t kMaxHttpBodyBytes = 4'000'000;
/// Connections that the server keeps; the one that was quiet for longest is closed for a new one.
inline constexpr size_t kMaxHttpConnections = 32;

class HttpClientConnection;

/// One connection, one request at a time. After a failure the next request opens a new connection.
class HttpClient
{
public:
  HttpClient(asio::io_context& aIo, asio::ip::tcp::endpoint aEndpoint);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends GET. The handler is called once, at the latest after the deadline; status 0 means that
  /// no answer came, and the body then says why. A request that still waits is given up silently.
  void get(const std::string& aTarget,
           std::chrono::milliseconds aDeadline,
           ResponseHandler aHandler);
  /// Gives the waiting request up without calling its handler.
  void close();

private:
  asio::io_context& m_io;
  asio::ip::tcp::endpoint m_endpoint;
  std::shared_ptr<HttpClientConnection> m_connection;
};

class HttpServerConnection;

/// Answers GET requests.
class HttpServer
{
public:
  /// Called with the target of a request, with its query.
  using Handler = std::function<Response(std::string_view)>;

  HttpServer(asio::io_context& aIo, const asio::ip::tcp::endpoint& aEndpoint, Handler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  [[nodiscard]] uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
  void accept();
  void pause();

  asio::ip::tcp::acceptor m_acceptor;
  asio::steady_timer m_pause;
  Handler m_handler;
  /// Oldest first; at most kMaxHttpConnections.
  std::list<std::weak_ptr<HttpServerConnection>> m_connections;
};

} // namespace tamarack::transport
