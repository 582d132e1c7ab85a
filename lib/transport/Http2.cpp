// Implements the HTTP/2 server and client with Http2Connection.
#include "transport/Http2.h"

#include "transport/Http2Connection.h"

#include <charconv>
#include <stdexcept>

namespace tamarack::transport {

uint64_t
queryNumber(const Request& aRequest, const std::string& aName)
{
  const auto found = aRequest.m_query.find(aName);
  uint64_t number = 0;
  if (found != aRequest.m_query.end()) {
    const std::string& text = found->second;
    std::from_chars(text.data(), text.data() + text.size(), number);
  }
  return number;
}

Http2Server::Http2Server(asio::io_context& aIo,
                         const asio::ip::tcp::endpoint& aEndpoint,
                         RequestHandler aOnRequest,
                         MessageHandler aOnMessage)
  : m_acceptor(aIo, aEndpoint)
  , m_acceptRetryTimer(aIo)
  , m_onRequest(std::move(aOnRequest))
  , m_onMessage(std::move(aOnMessage))
{
  accept();
}

Http2Server::~Http2Server()
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
Http2Server::accept()
{
  m_acceptor.async_accept([this](const asio::error_code& aError, asio::ip::tcp::socket aSocket) {
    if (aError == asio::error::operation_aborted) {
      return;
    }
    if (aError) {
      scheduleAccept();
      return;
    }
    asio::error_code ignored;
    aSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
    const auto connection =
      std::make_shared<Http2Connection>(std::move(aSocket), m_onRequest, m_onMessage);
    std::erase_if(m_connections, [](const auto& aWeak) { return aWeak.expired(); });
    m_connections.push_back(connection);
    connection->serve();
    accept();
  });
}

void
Http2Server::scheduleAccept()
{
  m_acceptRetryTimer.expires_after(kAcceptRetryDelay);
  m_acceptRetryTimer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      accept();
    }
  });
}

Http2Client::Http2Client(asio::io_context& aIo, asio::ip::tcp::endpoint aEndpoint)
  : m_io(aIo)
  , m_endpoint(std::move(aEndpoint))
{
}

Http2Client::~Http2Client()
{
  if (m_connection) {
    m_connection->closeWithoutHandlers();
  }
}

void
Http2Client::ensureConnection()
{
  if (m_connection && !m_connection->isClosed()) {
    return;
  }
  m_connection = std::make_shared<Http2Connection>(m_io);
  m_connection->connect(m_endpoint);
}

void
Http2Client::request(Request aRequest,
                     std::chrono::milliseconds aDeadline,
                     ResponseHandler aHandler)
{
  ensureConnection();
  m_connection->request(std::move(aRequest), aDeadline, std::move(aHandler));
}

void
Http2Client::sendMessage(std::span<const uint8_t> aMessage)
{
  ensureConnection();
  m_connection->sendMessage(aMessage);
}

void
Http2Client::close()
{
  if (m_connection) {
    m_connection->close();
    m_connection.reset();
  }
}

bool
Http2Client::isConnected() const
{
  return m_connection && m_connection->isConnected();
}

asio::ip::tcp::endpoint
parseEndpoint(std::string_view aText)
{
  const size_t colon = aText.rfind(':');
  asio::error_code error;
  uint16_t port = 0;
  if (colon != std::string_view::npos) {
    const std::string_view digits = aText.substr(colon + 1);
    const auto [end, result] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    const auto address = asio::ip::make_address_v4(std::string(aText.substr(0, colon)), error);
    if (result == std::errc{} && end == digits.data() + digits.size() && !error && port != 0) {
      return { address, port };
    }
  }
  throw std::invalid_argument("'" + std::string(aText) + "' is not an IPv4 address and port");
}

} // namespace tamarack::transport
