// Server and client on top of connections.
#include "transport/H2.h"

#include "transport/Connection.h"

#include <charconv>
#include <stdexcept>

namespace tamarack::transport {

uint64_t
numberOf(const Request& aRequest, const std::string& aName)
{
  const auto found = aRequest.m_query.find(aName);
  uint64_t number = 0;
  if (found != aRequest.m_query.end()) {
    const std::string& text = found->second;
    std::from_chars(text.data(), text.data() + text.size(), number);
  }
  return number;
}

Server::Server(asio::io_context& aIo,
               const asio::ip::tcp::endpoint& aEndpoint,
               RequestHandler aRequests,
               MessageHandler aMessages)
  : m_acceptor(aIo, aEndpoint)
  , m_pause(aIo)
  , m_requests(std::move(aRequests))
  , m_messages(std::move(aMessages))
{
  accept();
}

Server::~Server()
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
Server::accept()
{
  m_acceptor.async_accept([this](const asio::error_code& aError, asio::ip::tcp::socket aSocket) {
    if (aError == asio::error::operation_aborted) {
      return;
    }
    if (aError) {
      pause();
      return;
    }
    asio::error_code ignored;
    aSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
    const auto connection =
      std::make_shared<Connection>(std::move(aSocket), m_requests, m_messages);
    std::erase_if(m_connections, [](const auto& aWeak) { return aWeak.expired(); });
    m_connections.push_back(connection);
    connection->serve();
    accept();
  });
}

void
Server::pause()
{
  m_pause.expires_after(kAcceptPause);
  m_pause.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      accept();
    }
  });
}

Client::Client(asio::io_context& aIo, asio::ip::tcp::endpoint aEndpoint)
  : m_io(aIo)
  , m_endpoint(std::move(aEndpoint))
{
}

Client::~Client()
{
  if (m_connection) {
    m_connection->abandon();
  }
}

void
Client::ensureOpen()
{
  if (m_connection && !m_connection->isClosed()) {
    return;
  }
  m_connection = std::make_shared<Connection>(m_io);
  m_connection->connect(m_endpoint);
}

void
Client::request(Request aRequest, std::chrono::milliseconds aDeadline, ResponseHandler aHandler)
{
  ensureOpen();
  m_connection->request(std::move(aRequest), aDeadline, std::move(aHandler));
}

void
Client::sendMessage(std::span<const uint8_t> aMessage)
{
  ensureOpen();
  m_connection->sendMessage(aMessage);
}

void
Client::close()
{
  if (m_connection) {
    m_connection->close();
    m_connection.reset();
  }
}

bool
Client::isOpen() const
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
