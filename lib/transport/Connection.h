// One HTTP/2 connection, for either side: moves bytes between the socket and nghttp2 and keeps the
// state of the streams.
#pragma once

#include "transport/H2.h"

#include <deque>
#include <nghttp2/nghttp2.h>

namespace tamarack::transport {

class Connection : public std::enable_shared_from_this<Connection>
{
public:
  /// A connection of a server; the socket is connected.
  Connection(asio::ip::tcp::socket aSocket, RequestHandler aRequests, MessageHandler aMessages);
  /// A connection of a client; `connect` opens it.
  explicit Connection(asio::io_context& aIo);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void serve();
  void connect(const asio::ip::tcp::endpoint& aEndpoint);
  void request(Request aRequest, std::chrono::milliseconds aDeadline, ResponseHandler aHandler);
  void sendMessage(std::span<const uint8_t> aMessage);
  /// Ends the connection; waiting requests are answered with status 0.
  void close();
  /// Ends the connection without calling any handler, for what they refer to is being destroyed.
  void abandon();
  [[nodiscard]] bool isClosed() const { return m_closed; }
  [[nodiscard]] bool isConnected() const { return m_connected && !m_closed; }

private:
  struct Stream
  {
    Request m_request;
    Response m_response;
    ResponseHandler m_onResponse;
    std::unique_ptr<asio::steady_timer> m_deadline;
    /// Bytes to send, and how many of the first chunk were sent.
    std::deque<std::vector<uint8_t>> m_outgoing;
    size_t m_sentOfFirst{};
    size_t m_queued{};
    bool m_endsAfterQueue{ true };
    /// Bytes of an upload that do not make a whole message yet.
    std::vector<uint8_t> m_partial;
    bool m_isUpload{};
  };

  struct Callbacks;
  friend struct Callbacks;

  void startSession(bool aIsServer);
  void read();
  /// Sends what is due, soon.
  void write();
  void writeNow();
  void onRequestComplete(int32_t aStream);
  void respond(int32_t aStream, const Response& aResponse);
  void onUploadData(Stream& aStream, std::span<const uint8_t> aBytes);
  void finishStream(int32_t aStream);
  void queue(Stream& aStream, std::vector<uint8_t> aBytes);
  int32_t submit(const Request& aRequest, Stream& aStream);
  Stream* find(int32_t aStream);

  asio::ip::tcp::socket m_socket;
  RequestHandler m_requests;
  MessageHandler m_messages;
  nghttp2_session* m_session{};
  std::map<int32_t, std::unique_ptr<Stream>> m_streams;
  std::array<uint8_t, 65536> m_input{};
  std::vector<uint8_t> m_output;
  bool m_writing{};
  bool m_writePosted{};
  bool m_connected{};
  bool m_closed{};
  /// The stream of the client's upload; negative when there is none.
  int32_t m_upload{ -1 };
};

} // namespace tamarack::transport
