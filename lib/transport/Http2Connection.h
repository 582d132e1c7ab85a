// One HTTP/2 connection, used by both server and client. Transfers bytes between the socket and the
// nghttp2 session and holds the state of the streams.
#pragma once

#include "transport/Http2.h"

#include <deque>
#include <nghttp2/nghttp2.h>

namespace tamarack::transport {

/// Keeps itself alive through the handlers of pending socket operations.
class Http2Connection : public std::enable_shared_from_this<Http2Connection>
{
public:
  /// Creates the server side of a connection on a connected socket.
  Http2Connection(asio::ip::tcp::socket aSocket,
                  RequestHandler aOnRequest,
                  MessageHandler aOnMessage);
  /// Creates the client side of a connection; `connect` opens it.
  explicit Http2Connection(asio::io_context& aIo);
  ~Http2Connection();
  Http2Connection(const Http2Connection&) = delete;
  Http2Connection& operator=(const Http2Connection&) = delete;

  /// Starts the server side.
  void serve();
  /// Starts the client side. Requests may be submitted before the connection is established.
  void connect(const asio::ip::tcp::endpoint& aEndpoint);
  /// Sends a request. The handler is called once, at the latest after `aDeadline`.
  void request(Request aRequest, std::chrono::milliseconds aDeadline, ResponseHandler aHandler);
  /// Appends a message to the upload stream, which is opened if there is none. Closes the
  /// connection when the stream has too many unsent bytes.
  void sendMessage(std::span<const uint8_t> aMessage);
  /// Closes the connection. The handlers of pending requests are called with status 0.
  void close();
  /// Closes the connection without calling any response handler, for use when the objects that the
  /// handlers refer to are being destroyed.
  void closeWithoutHandlers();
  [[nodiscard]] bool isClosed() const { return m_isClosed; }
  [[nodiscard]] bool isConnected() const { return m_isConnected && !m_isClosed; }

private:
  struct Stream
  {
    Request m_request;
    Response m_response;
    ResponseHandler m_onResponse;
    /// Null for streams of a server and for uploads, which have no deadline.
    std::unique_ptr<asio::steady_timer> m_deadline;
    /// Chunks of the body that are not yet sent in full.
    std::deque<std::vector<uint8_t>> m_outgoing;
    /// The number of bytes of the first chunk that were sent.
    size_t m_firstChunkSentBytes{};
    /// The number of unsent bytes in m_outgoing.
    size_t m_queuedBytes{};
    /// False for an upload, which stays open when m_outgoing is empty.
    bool m_endsAfterQueue{ true };
    /// Received bytes of an upload that do not form a complete message yet.
    std::vector<uint8_t> m_incompleteMessage;
    bool m_isUpload{};
  };

  struct Callbacks;
  friend struct Callbacks;

  void startSession(bool aIsServer);
  void read();
  /// Schedules writeNow on the event loop.
  void scheduleWrite();
  /// Writes the pending output of the session unless a write is in progress.
  void writeNow();
  void onRequestComplete(int32_t aStream);
  void submitResponse(int32_t aStream, const Response& aResponse);
  void onUploadData(Stream& aStream, std::span<const uint8_t> aBytes);
  /// Removes a stream and calls its response handler, if it has one.
  void finishStream(int32_t aStream);
  void queueBytes(Stream& aStream, std::vector<uint8_t> aBytes);
  /// Submits a request to nghttp2 and returns its stream identifier, or a negative error code.
  int32_t submitRequest(const Request& aRequest, Stream& aStream);
  /// Returns null if there is no stream with this identifier.
  Stream* findStream(int32_t aStream);

  asio::ip::tcp::socket m_socket;
  /// Empty on the client side.
  RequestHandler m_onRequest;
  /// Empty if uploads are not accepted.
  MessageHandler m_onMessage;
  nghttp2_session* m_session{};
  /// Open streams by stream identifier.
  std::map<int32_t, std::unique_ptr<Stream>> m_streams;
  std::array<uint8_t, 65536> m_input{};
  /// The bytes of the write in progress.
  std::vector<uint8_t> m_output;
  bool m_isWriting{};
  bool m_isWriteScheduled{};
  bool m_isConnected{};
  bool m_isClosed{};
  /// The stream identifier of the client's upload; negative if there is none.
  int32_t m_uploadStream{ -1 };
};

} // namespace tamarack::transport
