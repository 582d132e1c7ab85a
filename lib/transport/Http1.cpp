// Implements the connections of the HTTP/1.1 client and server.
#include "transport/Http1.h"

#include <algorithm>
#include <http_parser.h>
#include <iterator>

namespace tamarack::transport {

namespace {

/// Size of the buffer that a client reads responses into.
constexpr size_t kReadBufferBytes = 16384;
/// Maximum total size of the header names and values of a response; the client closes the
/// connection when it is exceeded.
constexpr size_t kMaxHeaderBytes = 8192;

/// Converts an ASCII letter to lower case, regardless of the locale.
char
toLowerAscii(char aLetter)
{
  return aLetter >= 'A' && aLetter <= 'Z' ? static_cast<char>(aLetter + ('a' - 'A')) : aLetter;
}

/// Returns the reason phrase of the status line.
std::string_view
reasonPhrase(int aStatus)
{
  switch (aStatus) {
    case 200:
      return "OK";
    case 404:
      return "Not Found";
    default:
      return "Service Unavailable";
  }
}

/// Returns http_parser settings whose callbacks call the `Connection` that `data` points to. A
/// callback that returns a value other than 0 stops the parser with an error.
template<typename Connection>
http_parser_settings
parserSettings()
{
  http_parser_settings settings;
  http_parser_settings_init(&settings);
  settings.on_url = [](http_parser* aParser, const char* aBytes, size_t aLength) {
    return static_cast<Connection*>(aParser->data)->onTarget({ aBytes, aLength });
  };
  settings.on_header_field = [](http_parser* aParser, const char* aBytes, size_t aLength) {
    return static_cast<Connection*>(aParser->data)->onHeaderName({ aBytes, aLength });
  };
  settings.on_header_value = [](http_parser* aParser, const char* aBytes, size_t aLength) {
    return static_cast<Connection*>(aParser->data)->onHeaderValue({ aBytes, aLength });
  };
  settings.on_body = [](http_parser* aParser, const char* aBytes, size_t aLength) {
    return static_cast<Connection*>(aParser->data)->onBody({ aBytes, aLength });
  };
  settings.on_message_complete = [](http_parser* aParser) {
    return static_cast<Connection*>(aParser->data)->onComplete();
  };
  return settings;
}

} // namespace

class Http1ClientConnection : public std::enable_shared_from_this<Http1ClientConnection>
{
public:
  explicit Http1ClientConnection(asio::io_context& aIo)
    : m_socket(aIo)
    , m_deadline(aIo)
  {
    http_parser_init(&m_parser, HTTP_RESPONSE);
    m_parser.data = this;
  }

  /// Connects and then sends the request.
  void connectAndSend(const asio::ip::tcp::endpoint& aEndpoint, std::string aRequest)
  {
    m_request = std::move(aRequest);
    m_socket.async_connect(aEndpoint, [self = shared_from_this()](const asio::error_code& aError) {
      if (aError) {
        self->fail(aError.message());
        return;
      }
      asio::error_code ignored;
      self->m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
      self->m_isConnected = true;
      self->write();
      self->read();
    });
  }

  /// Sends the request on the established connection.
  void send(std::string aRequest)
  {
    m_request = std::move(aRequest);
    write();
  }

  /// Sets the handler and starts the deadline of the next request.
  void prepareRequest(std::chrono::milliseconds aDeadline, ResponseHandler aHandler)
  {
    m_handler = std::move(aHandler);
    m_body.clear();
    m_headers.clear();
    m_headerBytes = 0;
    m_deadline.expires_after(aDeadline);
    m_deadline.async_wait([weak = weak_from_this()](const asio::error_code& aError) {
      const auto self = weak.lock();
      if (!aError && self && self->m_handler) {
        self->fail("no response before the deadline");
      }
    });
  }

  /// Closes the connection and cancels a pending request without a call of its handler.
  void close()
  {
    m_handler = nullptr;
    m_isClosed = true;
    m_deadline.cancel();
    asio::error_code ignored;
    m_socket.close(ignored);
  }

  /// Returns whether the connection is established and can be reused for another request.
  [[nodiscard]] bool isIdle() const { return m_isConnected && !m_isClosed && !m_handler; }

  int onTarget(std::string_view /*aTarget*/) { return 0; }

  int onHeaderName(std::string_view aBytes)
  {
    if (m_hasHeaderValue) {
      m_headerName.clear();
      m_hasHeaderValue = false;
    }
    std::ranges::transform(
      aBytes, std::back_inserter(m_headerName), [](char aLetter) { return toLowerAscii(aLetter); });
    return addHeaderBytes(aBytes.size());
  }

  int onHeaderValue(std::string_view aBytes)
  {
    m_hasHeaderValue = true;
    m_headers[m_headerName].append(aBytes);
    return addHeaderBytes(aBytes.size());
  }

  int onBody(std::string_view aBytes)
  {
    if (m_body.size() + aBytes.size() > kMaxHttp1BodyBytes) {
      return 1;
    }
    m_body.append(aBytes);
    return 0;
  }

  int onComplete()
  {
    m_deadline.cancel();
    if (http_should_keep_alive(&m_parser) == 0) {
      m_isClosed = true;
    }
    // The handler may send the next request, so the state of this one is cleared before the call.
    if (const ResponseHandler handler = std::exchange(m_handler, nullptr)) {
      handler({ .m_status = static_cast<int>(m_parser.status_code),
                .m_body = std::move(m_body),
                .m_headers = std::move(m_headers) });
    }
    return 0;
  }

private:
  /// Returns a value other than 0, which stops the parser, if the headers are too long.
  int addHeaderBytes(size_t aBytes)
  {
    m_headerBytes += aBytes;
    return m_headerBytes > kMaxHeaderBytes ? 1 : 0;
  }

  void write()
  {
    asio::async_write(m_socket,
                      asio::buffer(m_request),
                      [self = shared_from_this()](const asio::error_code& aError, size_t) {
                        if (aError && !self->m_isClosed) {
                          self->fail(aError.message());
                        }
                      });
  }

  void read()
  {
    m_socket.async_read_some(
      asio::buffer(m_input),
      [self = shared_from_this()](const asio::error_code& aError, size_t aCount) {
        if (self->m_isClosed) {
          return;
        }
        if (aError) {
          self->fail(aError.message());
          return;
        }
        static const http_parser_settings kSettings = parserSettings<Http1ClientConnection>();
        http_parser_execute(&self->m_parser, &kSettings, self->m_input.data(), aCount);
        if (HTTP_PARSER_ERRNO(&self->m_parser) != HPE_OK) {
          self->fail("the response is not valid HTTP/1.1 or exceeds a size limit");
          return;
        }
        if (!self->m_isClosed) {
          self->read();
        }
      });
  }

  /// Closes the connection and completes a pending request with status 0 and a reason.
  void fail(const std::string& aReason)
  {
    const ResponseHandler handler = std::exchange(m_handler, nullptr);
    close();
    if (handler) {
      handler({ .m_status = 0, .m_body = aReason });
    }
  }

  asio::ip::tcp::socket m_socket;
  asio::steady_timer m_deadline;
  http_parser m_parser{};
  std::array<char, kReadBufferBytes> m_input{};
  std::string m_request;
  std::string m_body;
  std::map<std::string, std::string> m_headers;
  std::string m_headerName;
  /// Size of the header names and values of the current response so far.
  size_t m_headerBytes{};
  /// Whether part of a header value was received after m_headerName, so that the next part of a
  /// name starts a new header. The parser may deliver names and values in several parts.
  bool m_hasHeaderValue{};
  /// Empty when no request is pending.
  ResponseHandler m_handler;
  bool m_isConnected{};
  bool m_isClosed{};
};

Http1Client::Http1Client(asio::io_context& aIo, asio::ip::tcp::endpoint aEndpoint)
  : m_io(aIo)
  , m_endpoint(std::move(aEndpoint))
{
}

Http1Client::~Http1Client()
{
  close();
}

void
Http1Client::close()
{
  if (m_connection) {
    m_connection->close();
    m_connection.reset();
  }
}

void
Http1Client::get(const std::string& aTarget,
                 std::chrono::milliseconds aDeadline,
                 ResponseHandler aHandler)
{
  std::string request = "GET " + aTarget +
                        " HTTP/1.1\r\nHost: " + m_endpoint.address().to_string() + ":" +
                        std::to_string(m_endpoint.port()) + "\r\n\r\n";
  if (m_connection && m_connection->isIdle()) {
    m_connection->prepareRequest(aDeadline, std::move(aHandler));
    m_connection->send(std::move(request));
    return;
  }
  close();
  m_connection = std::make_shared<Http1ClientConnection>(m_io);
  m_connection->prepareRequest(aDeadline, std::move(aHandler));
  m_connection->connectAndSend(m_endpoint, std::move(request));
}

class Http1ServerConnection : public std::enable_shared_from_this<Http1ServerConnection>
{
public:
  Http1ServerConnection(asio::ip::tcp::socket aSocket, const Http1Server::Handler& aHandler)
    : m_socket(std::move(aSocket))
    , m_handler(aHandler)
  {
    http_parser_init(&m_parser, HTTP_REQUEST);
    m_parser.data = this;
  }

  void read()
  {
    m_socket.async_read_some(
      asio::buffer(m_input),
      [self = shared_from_this()](const asio::error_code& aError, size_t aCount) {
        if (aError) {
          return;
        }
        static const http_parser_settings kSettings = parserSettings<Http1ServerConnection>();
        http_parser_execute(&self->m_parser, &kSettings, self->m_input.data(), aCount);
        if (HTTP_PARSER_ERRNO(&self->m_parser) == HPE_OK && self->m_socket.is_open()) {
          self->read();
        }
      });
  }

  void close()
  {
    asio::error_code ignored;
    m_socket.close(ignored);
  }

  int onTarget(std::string_view aTarget)
  {
    constexpr size_t kMaxTargetBytes = 2048;
    m_target.append(aTarget);
    return m_target.size() > kMaxTargetBytes ? 1 : 0;
  }

  int onHeaderName(std::string_view /*aBytes*/) { return 0; }
  int onHeaderValue(std::string_view /*aBytes*/) { return 0; }
  int onBody(std::string_view /*aBytes*/) { return 0; }

  int onComplete()
  {
    const std::string target = std::exchange(m_target, {});
    const Response response = m_handler(target);
    const bool isKeepAlive = http_should_keep_alive(&m_parser) != 0;
    std::string headers;
    for (const auto& [name, value] : response.m_headers) {
      headers += "\r\n" + name + ": " + value;
    }
    auto text = std::make_shared<std::string>(
      "HTTP/1.1 " + std::to_string(response.m_status) + " " +
      std::string(reasonPhrase(response.m_status)) +
      "\r\nContent-Type: text/plain\r\nContent-Length: " + std::to_string(response.m_body.size()) +
      headers + (isKeepAlive ? "" : "\r\nConnection: close") + "\r\n\r\n" + response.m_body);
    asio::async_write(
      m_socket,
      asio::buffer(*text),
      [self = shared_from_this(), text, isKeepAlive](const asio::error_code& aError, size_t) {
        if (aError || !isKeepAlive) {
          self->close();
        }
      });
    return 0;
  }

private:
  asio::ip::tcp::socket m_socket;
  const Http1Server::Handler& m_handler;
  http_parser m_parser{};
  std::array<char, 2048> m_input{};
  std::string m_target;
};

Http1Server::Http1Server(asio::io_context& aIo,
                         const asio::ip::tcp::endpoint& aEndpoint,
                         Handler aHandler)
  : m_acceptor(aIo, aEndpoint)
  , m_acceptRetryTimer(aIo)
  , m_handler(std::move(aHandler))
{
  accept();
}

Http1Server::~Http1Server()
{
  asio::error_code ignored;
  m_acceptor.close(ignored);
  for (const auto& weak : m_connections) {
    if (const auto connection = weak.lock()) {
      connection->close();
    }
  }
}

void
Http1Server::accept()
{
  m_acceptor.async_accept([this](const asio::error_code& aError, asio::ip::tcp::socket aSocket) {
    if (aError == asio::error::operation_aborted) {
      return;
    }
    if (aError) {
      scheduleAccept();
      return;
    }
    const auto connection = std::make_shared<Http1ServerConnection>(std::move(aSocket), m_handler);
    std::erase_if(m_connections, [](const auto& aWeak) { return aWeak.expired(); });
    if (m_connections.size() >= kMaxHttp1Connections) {
      if (const auto oldest = m_connections.front().lock()) {
        oldest->close();
      }
      m_connections.pop_front();
    }
    m_connections.push_back(connection);
    connection->read();
    accept();
  });
}

void
Http1Server::scheduleAccept()
{
  m_acceptRetryTimer.expires_after(kAcceptRetryDelay);
  m_acceptRetryTimer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      accept();
    }
  });
}

} // namespace tamarack::transport
