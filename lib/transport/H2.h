// HTTP/2 without TLS on Asio sockets, by nghttp2: a server whose answers may come later, and a
// client with plain requests and with long uploads that carry frames.
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

/// After a connection could not be accepted, as without free descriptors, the next one waits.
inline constexpr std::chrono::milliseconds kAcceptPause{ 100 };
/// Bodies of plain requests and answers that are larger than this end the connection.
inline constexpr size_t kMaxBodyBytes = 8'000'000;
/// Bytes that may wait on an upload before it counts as stuck.
inline constexpr size_t kMaxQueuedBytes = 4'000'000;

struct Request
{
  std::string m_method;
  /// Without the query.
  std::string m_path;
  std::map<std::string, std::string> m_query;
  std::string m_body;
};

/// A number of the query; 0 when it is missing or not a number.
[[nodiscard]] uint64_t
numberOf(const Request& aRequest, const std::string& aName);

struct Response
{
  int m_status{ 200 };
  std::string m_body;
  /// Sent as the header `x-revision`; zero for none.
  uint64_t m_revision{};
  /// Other headers of answers over HTTP/1.1, with names in lower case.
  std::map<std::string, std::string> m_headers{};
};

/// Sends the answer to one request. It may be called later; it does nothing when the peer is gone.
using Responder = std::function<void(Response)>;
using RequestHandler = std::function<void(const Request&, Responder)>;
/// Called with each whole message of an upload.
using MessageHandler = std::function<void(std::span<const uint8_t>)>;
/// Called once with the answer, or with status 0 when there is none.
using ResponseHandler = std::function<void(const Response&)>;

class Connection;

/// Accepts connections on one address.
class Server
{
public:
  /// `aMessages` takes the messages of uploads to `/frames`; it may be empty.
  Server(asio::io_context& aIo,
         const asio::ip::tcp::endpoint& aEndpoint,
         RequestHandler aRequests,
         MessageHandler aMessages = {});
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

private:
  void accept();
  void pause();

  asio::ip::tcp::acceptor m_acceptor;
  asio::steady_timer m_pause;
  RequestHandler m_requests;
  MessageHandler m_messages;
  std::vector<std::weak_ptr<Connection>> m_connections;
};

/// One connection to a server. It connects on first use and reconnects after a failure.
class Client
{
public:
  Client(asio::io_context& aIo, asio::ip::tcp::endpoint aEndpoint);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Sends a request. The handler is called at the latest after `aDeadline`.
  void request(Request aRequest, std::chrono::milliseconds aDeadline, ResponseHandler aHandler);
  /// Appends one message to the upload to `/frames`, which is opened when there is none.
  void sendMessage(std::span<const uint8_t> aMessage);
  /// Ends the connection; the next use opens a new one.
  void close();
  [[nodiscard]] bool isOpen() const;

private:
  void ensureOpen();

  asio::io_context& m_io;
  asio::ip::tcp::endpoint m_endpoint;
  std::shared_ptr<Connection> m_connection;
};

/// Splits `host:port`; the host is an IPv4 address.
[[nodiscard]] asio::ip::tcp::endpoint
parseEndpoint(std::string_view aText);

} // namespace tamarack::transport
