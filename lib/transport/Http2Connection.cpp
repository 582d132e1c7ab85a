// Implements the nghttp2 callbacks and the transfer of bytes between the socket and the session.
#include "transport/Http2Connection.h"

#include <algorithm>
#include <cstring>

namespace tamarack::transport {

namespace {

/// The number of concurrent streams that a peer may open on one connection.
constexpr uint32_t kMaxStreams = 1000;
/// The receive window for flow control, of a connection and of each stream.
constexpr int32_t kWindowBytes = 1 << 20;
/// Size of the length prefix of each message of an upload, a number in network byte order.
constexpr size_t kLengthPrefixBytes = 4;
constexpr std::string_view kUploadPath = "/frames";

nghttp2_nv
makeHeader(std::string_view aName, std::string_view aValue)
{
  // The casts are safe because nghttp2 copies names and values and does not modify them.
  auto* name = reinterpret_cast<uint8_t*>(const_cast<char*>(aName.data()));
  auto* value = reinterpret_cast<uint8_t*>(const_cast<char*>(aValue.data()));
  return { name, value, aName.size(), aValue.size(), NGHTTP2_NV_FLAG_NONE };
}

std::vector<uint8_t>
toBytes(std::string_view aText)
{
  return { aText.begin(), aText.end() };
}

/// Splits a request target into path and query parameters. Parameters without `=` are ignored, and
/// percent-encoding is not decoded.
void
parseTarget(std::string_view aTarget, Request& aRequest)
{
  const size_t queryStart = aTarget.find('?');
  aRequest.m_path = std::string(aTarget.substr(0, queryStart));
  if (queryStart == std::string_view::npos) {
    return;
  }
  std::string_view rest = aTarget.substr(queryStart + 1);
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    const size_t equals = pair.find('=');
    if (equals != std::string_view::npos) {
      aRequest.m_query[std::string(pair.substr(0, equals))] = std::string(pair.substr(equals + 1));
    }
  }
}

/// Returns the request target with path and query parameters, the inverse of parseTarget.
std::string
formatTarget(const Request& aRequest)
{
  std::string target = aRequest.m_path;
  char separator = '?';
  for (const auto& [name, value] : aRequest.m_query) {
    target += separator + name + "=" + value;
    separator = '&';
  }
  return target;
}

/// Parses an unsigned decimal number. Returns 0 if the text contains any other character.
uint64_t
parseNumber(std::string_view aText)
{
  uint64_t number = 0;
  for (const char digit : aText) {
    if (digit < '0' || digit > '9') {
      return 0;
    }
    number = number * 10 + static_cast<uint64_t>(digit - '0');
  }
  return number;
}

} // namespace

/// Callbacks of the nghttp2 session. `aUser` is the Http2Connection.
struct Http2Connection::Callbacks
{
  static int onBeginHeaders(nghttp2_session*, const nghttp2_frame* aFrame, void* aUser)
  {
    auto* self = static_cast<Http2Connection*>(aUser);
    if (aFrame->headers.cat == NGHTTP2_HCAT_REQUEST) {
      self->m_streams.emplace(aFrame->hd.stream_id, std::make_unique<Stream>());
    }
    return 0;
  }

  static int onHeader(nghttp2_session*,
                      const nghttp2_frame* aFrame,
                      const uint8_t* aName,
                      size_t aNameBytes,
                      const uint8_t* aValue,
                      size_t aValueBytes,
                      uint8_t,
                      void* aUser)
  {
    Stream* stream = static_cast<Http2Connection*>(aUser)->findStream(aFrame->hd.stream_id);
    if (stream == nullptr) {
      return 0;
    }
    const std::string_view name(reinterpret_cast<const char*>(aName), aNameBytes);
    const std::string_view value(reinterpret_cast<const char*>(aValue), aValueBytes);
    if (name == ":method") {
      stream->m_request.m_method = std::string(value);
    } else if (name == ":path") {
      parseTarget(value, stream->m_request);
      stream->m_isUpload = stream->m_request.m_path == kUploadPath;
    } else if (name == ":status") {
      stream->m_response.m_status = static_cast<int>(parseNumber(value));
    } else if (name == "x-revision") {
      stream->m_response.m_revision = parseNumber(value);
    }
    return 0;
  }

  static int onData(nghttp2_session*,
                    uint8_t,
                    int32_t aStream,
                    const uint8_t* aData,
                    size_t aBytes,
                    void* aUser)
  {
    auto* self = static_cast<Http2Connection*>(aUser);
    Stream* stream = self->findStream(aStream);
    if (stream == nullptr) {
      return 0;
    }
    const std::span<const uint8_t> bytes(aData, aBytes);
    if (stream->m_isUpload && self->m_onMessage) {
      self->onUploadData(*stream, bytes);
      return 0;
    }
    std::string& body = self->m_onRequest ? stream->m_request.m_body : stream->m_response.m_body;
    if (body.size() + aBytes > kMaxBodyBytes) {
      return NGHTTP2_ERR_CALLBACK_FAILURE;
    }
    body.append(bytes.begin(), bytes.end());
    return 0;
  }

  static int onFrame(nghttp2_session*, const nghttp2_frame* aFrame, void* aUser)
  {
    auto* self = static_cast<Http2Connection*>(aUser);
    const bool isMessage = aFrame->hd.type == NGHTTP2_HEADERS || aFrame->hd.type == NGHTTP2_DATA;
    const bool isEnd = (aFrame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    if (isMessage && isEnd && self->m_onRequest) {
      self->onRequestComplete(aFrame->hd.stream_id);
    }
    return 0;
  }

  static int onClose(nghttp2_session*, int32_t aStream, uint32_t aError, void* aUser)
  {
    auto* self = static_cast<Http2Connection*>(aUser);
    if (Stream* stream = self->findStream(aStream);
        stream != nullptr && aError != NGHTTP2_NO_ERROR) {
      stream->m_response.m_status = 0;
    }
    self->finishStream(aStream);
    return 0;
  }

  static ssize_t readOutgoing(nghttp2_session*,
                              int32_t aStream,
                              uint8_t* aBuffer,
                              size_t aLength,
                              uint32_t* aFlags,
                              nghttp2_data_source*,
                              void* aUser)
  {
    Stream* stream = static_cast<Http2Connection*>(aUser)->findStream(aStream);
    if (stream == nullptr) {
      return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    size_t written = 0;
    while (written < aLength && !stream->m_outgoing.empty()) {
      const std::vector<uint8_t>& first = stream->m_outgoing.front();
      const size_t count =
        std::min(aLength - written, first.size() - stream->m_firstChunkSentBytes);
      std::memcpy(aBuffer + written, first.data() + stream->m_firstChunkSentBytes, count);
      written += count;
      stream->m_firstChunkSentBytes += count;
      stream->m_queuedBytes -= count;
      if (stream->m_firstChunkSentBytes == first.size()) {
        stream->m_outgoing.pop_front();
        stream->m_firstChunkSentBytes = 0;
      }
    }
    if (stream->m_outgoing.empty() && stream->m_endsAfterQueue) {
      *aFlags |= NGHTTP2_DATA_FLAG_EOF;
      return static_cast<ssize_t>(written);
    }
    if (written == 0) {
      return NGHTTP2_ERR_DEFERRED;
    }
    return static_cast<ssize_t>(written);
  }
};

Http2Connection::Http2Connection(asio::ip::tcp::socket aSocket,
                                 RequestHandler aOnRequest,
                                 MessageHandler aOnMessage)
  : m_socket(std::move(aSocket))
  , m_onRequest(std::move(aOnRequest))
  , m_onMessage(std::move(aOnMessage))
{
}

Http2Connection::Http2Connection(asio::io_context& aIo)
  : m_socket(aIo)
{
}

Http2Connection::~Http2Connection()
{
  if (m_session != nullptr) {
    nghttp2_session_del(m_session);
  }
}

void
Http2Connection::startSession(bool aIsServer)
{
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, &Callbacks::onBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(callbacks, &Callbacks::onHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &Callbacks::onData);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &Callbacks::onFrame);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, &Callbacks::onClose);
  if (aIsServer) {
    nghttp2_session_server_new(&m_session, callbacks, this);
  } else {
    nghttp2_session_client_new(&m_session, callbacks, this);
  }
  nghttp2_session_callbacks_del(callbacks);
  const nghttp2_settings_entry settings[] = {
    { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaxStreams },
    { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kWindowBytes },
  };
  nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, settings, std::size(settings));
  nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0, kWindowBytes);
}

void
Http2Connection::serve()
{
  m_isConnected = true;
  startSession(true);
  read();
  scheduleWrite();
}

void
Http2Connection::connect(const asio::ip::tcp::endpoint& aEndpoint)
{
  startSession(false);
  m_socket.async_connect(aEndpoint, [self = shared_from_this()](const asio::error_code& aError) {
    if (aError || self->m_isClosed) {
      self->close();
      return;
    }
    self->m_isConnected = true;
    self->m_socket.set_option(asio::ip::tcp::no_delay(true));
    self->read();
    self->scheduleWrite();
  });
}

void
Http2Connection::read()
{
  m_socket.async_read_some(
    asio::buffer(m_input),
    [self = shared_from_this()](const asio::error_code& aError, size_t aBytes) {
      if (aError || self->m_isClosed) {
        self->close();
        return;
      }
      if (nghttp2_session_mem_recv(self->m_session, self->m_input.data(), aBytes) < 0) {
        self->close();
        return;
      }
      self->scheduleWrite();
      if (!self->m_isClosed) {
        self->read();
      }
    });
}

void
Http2Connection::scheduleWrite()
{
  if (m_isWriteScheduled) {
    return;
  }
  // The write is deferred because nghttp2_session_mem_send must not be called from within an
  // nghttp2 callback.
  m_isWriteScheduled = true;
  asio::post(m_socket.get_executor(), [self = shared_from_this()] {
    self->m_isWriteScheduled = false;
    self->writeNow();
  });
}

void
Http2Connection::writeNow()
{
  if (m_isWriting || !m_isConnected || m_isClosed) {
    return;
  }
  m_output.clear();
  while (m_output.size() < kMaxQueuedBytes) {
    const uint8_t* data = nullptr;
    const ssize_t count = nghttp2_session_mem_send(m_session, &data);
    if (count <= 0) {
      break;
    }
    m_output.insert(m_output.end(), data, data + count);
  }
  if (m_output.empty()) {
    return;
  }
  m_isWriting = true;
  asio::async_write(m_socket,
                    asio::buffer(m_output),
                    [self = shared_from_this()](const asio::error_code& aError, size_t) {
                      self->m_isWriting = false;
                      if (aError) {
                        self->close();
                        return;
                      }
                      self->scheduleWrite();
                    });
}

void
Http2Connection::close()
{
  if (m_isClosed) {
    return;
  }
  m_isClosed = true;
  asio::error_code ignored;
  m_socket.close(ignored);
  while (!m_streams.empty()) {
    const int32_t stream = m_streams.begin()->first;
    m_streams.begin()->second->m_response.m_status = 0;
    finishStream(stream);
  }
}

void
Http2Connection::closeWithoutHandlers()
{
  for (auto& [id, stream] : m_streams) {
    stream->m_onResponse = nullptr;
  }
  close();
}

Http2Connection::Stream*
Http2Connection::findStream(int32_t aStream)
{
  const auto found = m_streams.find(aStream);
  return found == m_streams.end() ? nullptr : found->second.get();
}

void
Http2Connection::finishStream(int32_t aStream)
{
  const auto found = m_streams.find(aStream);
  if (found == m_streams.end()) {
    return;
  }
  const std::unique_ptr<Stream> stream = std::move(found->second);
  m_streams.erase(found);
  if (aStream == m_uploadStream) {
    m_uploadStream = -1;
  }
  if (stream->m_onResponse) {
    stream->m_onResponse(stream->m_response);
  }
}

void
Http2Connection::onRequestComplete(int32_t aStream)
{
  Stream* stream = findStream(aStream);
  if (stream == nullptr) {
    return;
  }
  if (stream->m_isUpload) {
    submitResponse(aStream, { .m_status = 200 });
    return;
  }
  m_onRequest(stream->m_request, [weak = weak_from_this(), aStream](const Response& aResponse) {
    const auto self = weak.lock();
    if (self && !self->m_isClosed) {
      self->submitResponse(aStream, aResponse);
      self->scheduleWrite();
    }
  });
}

void
Http2Connection::submitResponse(int32_t aStream, const Response& aResponse)
{
  Stream* stream = findStream(aStream);
  if (stream == nullptr) {
    return;
  }
  const std::string status = std::to_string(aResponse.m_status);
  const std::string revision = std::to_string(aResponse.m_revision);
  std::vector<nghttp2_nv> headers{ makeHeader(":status", status) };
  if (aResponse.m_revision != 0) {
    headers.push_back(makeHeader("x-revision", revision));
  }
  queueBytes(*stream, toBytes(aResponse.m_body));
  nghttp2_data_provider provider{};
  provider.read_callback = &Callbacks::readOutgoing;
  nghttp2_submit_response(m_session, aStream, headers.data(), headers.size(), &provider);
}

void
Http2Connection::onUploadData(Stream& aStream, std::span<const uint8_t> aBytes)
{
  std::vector<uint8_t>& buffer = aStream.m_incompleteMessage;
  buffer.insert(buffer.end(), aBytes.begin(), aBytes.end());
  size_t start = 0;
  while (buffer.size() - start >= kLengthPrefixBytes) {
    uint32_t length = 0;
    std::memcpy(&length, buffer.data() + start, kLengthPrefixBytes);
    length = ntohl(length);
    if (length > kMaxBodyBytes) {
      asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->close(); });
      return;
    }
    if (buffer.size() - start - kLengthPrefixBytes < length) {
      break;
    }
    m_onMessage(std::span<const uint8_t>(buffer).subspan(start + kLengthPrefixBytes, length));
    start += kLengthPrefixBytes + length;
  }
  buffer.erase(buffer.begin(), buffer.begin() + static_cast<ptrdiff_t>(start));
}

void
Http2Connection::queueBytes(Stream& aStream, std::vector<uint8_t> aBytes)
{
  if (aBytes.empty()) {
    return;
  }
  aStream.m_queuedBytes += aBytes.size();
  aStream.m_outgoing.push_back(std::move(aBytes));
}

int32_t
Http2Connection::submitRequest(const Request& aRequest, Stream& aStream)
{
  const std::string target = formatTarget(aRequest);
  const nghttp2_nv headers[] = { makeHeader(":method", aRequest.m_method),
                                 makeHeader(":scheme", "http"),
                                 makeHeader(":authority", "tamarack"),
                                 makeHeader(":path", target) };
  nghttp2_data_provider provider{};
  provider.read_callback = &Callbacks::readOutgoing;
  const bool hasBody = !aStream.m_outgoing.empty() || !aStream.m_endsAfterQueue;
  return nghttp2_submit_request(
    m_session, nullptr, headers, std::size(headers), hasBody ? &provider : nullptr, nullptr);
}

void
Http2Connection::request(Request aRequest,
                         std::chrono::milliseconds aDeadline,
                         ResponseHandler aHandler)
{
  if (m_isClosed) {
    aHandler({ .m_status = 0 });
    return;
  }
  auto stream = std::make_unique<Stream>();
  stream->m_onResponse = std::move(aHandler);
  queueBytes(*stream, toBytes(aRequest.m_body));
  const int32_t id = submitRequest(aRequest, *stream);
  if (id < 0) {
    stream->m_onResponse({ .m_status = 0 });
    return;
  }
  stream->m_deadline = std::make_unique<asio::steady_timer>(m_socket.get_executor(), aDeadline);
  stream->m_deadline->async_wait([weak = weak_from_this(), id](const asio::error_code& aError) {
    const auto self = weak.lock();
    if (aError || !self || self->m_isClosed) {
      return;
    }
    if (Stream* pending = self->findStream(id); pending != nullptr) {
      pending->m_response.m_status = 0;
      nghttp2_submit_rst_stream(self->m_session, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
      self->finishStream(id);
      self->scheduleWrite();
    }
  });
  m_streams.emplace(id, std::move(stream));
  scheduleWrite();
}

void
Http2Connection::sendMessage(std::span<const uint8_t> aMessage)
{
  if (m_isClosed) {
    return;
  }
  if (m_uploadStream < 0) {
    auto stream = std::make_unique<Stream>();
    stream->m_endsAfterQueue = false;
    m_uploadStream =
      submitRequest({ .m_method = "POST", .m_path = std::string(kUploadPath) }, *stream);
    if (m_uploadStream < 0) {
      close();
      return;
    }
    m_streams.emplace(m_uploadStream, std::move(stream));
  }
  Stream& stream = *m_streams.at(m_uploadStream);
  if (stream.m_queuedBytes + aMessage.size() > kMaxQueuedBytes) {
    close();
    return;
  }
  std::vector<uint8_t> framed(kLengthPrefixBytes + aMessage.size());
  const uint32_t length = htonl(static_cast<uint32_t>(aMessage.size()));
  std::memcpy(framed.data(), &length, kLengthPrefixBytes);
  std::copy(aMessage.begin(), aMessage.end(), framed.begin() + kLengthPrefixBytes);
  queueBytes(stream, std::move(framed));
  nghttp2_session_resume_data(m_session, m_uploadStream);
  scheduleWrite();
}

} // namespace tamarack::transport
