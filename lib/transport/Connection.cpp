// nghttp2 callbacks and the pump between socket and session.
#include "transport/Connection.h"

#include <algorithm>
#include <cstring>

namespace tamarack::transport {

namespace {

constexpr uint32_t kMaxStreams = 1000;
constexpr int32_t kWindowBytes = 1 << 20;
constexpr size_t kLengthBytes = 4;
constexpr std::string_view kUploadPath = "/frames";

nghttp2_nv
makeHeader(std::string_view aName, std::string_view aValue)
{
  // nghttp2 copies names and values; its structure just is not const.
  auto* name = reinterpret_cast<uint8_t*>(const_cast<char*>(aName.data()));
  auto* value = reinterpret_cast<uint8_t*>(const_cast<char*>(aValue.data()));
  return { name, value, aName.size(), aValue.size(), NGHTTP2_NV_FLAG_NONE };
}

std::vector<uint8_t>
toBytes(std::string_view aText)
{
  return { aText.begin(), aText.end() };
}

void
splitTarget(std::string_view aTarget, Request& aRequest)
{
  const size_t mark = aTarget.find('?');
  aRequest.m_path = std::string(aTarget.substr(0, mark));
  if (mark == std::string_view::npos) {
    return;
  }
  std::string_view rest = aTarget.substr(mark + 1);
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    const size_t equals = pair.find('=');
    if (equals != std::string_view::npos) {
      aRequest.m_query[std::string(pair.substr(0, equals))] = std::string(pair.substr(equals + 1));
    }
  }
}

std::string
joinTarget(const Request& aRequest)
{
  std::string target = aRequest.m_path;
  char separator = '?';
  for (const auto& [name, value] : aRequest.m_query) {
    target += separator + name + "=" + value;
    separator = '&';
  }
  return target;
}

uint64_t
toNumber(std::string_view aText)
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

/// The functions that nghttp2 calls; `aUser` is the connection.
struct Connection::Callbacks
{
  static int onBeginHeaders(nghttp2_session*, const nghttp2_frame* aFrame, void* aUser)
  {
    auto* self = static_cast<Connection*>(aUser);
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
    Stream* stream = static_cast<Connection*>(aUser)->find(aFrame->hd.stream_id);
    if (stream == nullptr) {
      return 0;
    }
    const std::string_view name(reinterpret_cast<const char*>(aName), aNameBytes);
    const std::string_view value(reinterpret_cast<const char*>(aValue), aValueBytes);
    if (name == ":method") {
      stream->m_request.m_method = std::string(value);
    } else if (name == ":path") {
      splitTarget(value, stream->m_request);
      stream->m_isUpload = stream->m_request.m_path == kUploadPath;
    } else if (name == ":status") {
      stream->m_response.m_status = static_cast<int>(toNumber(value));
    } else if (name == "x-revision") {
      stream->m_response.m_revision = toNumber(value);
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
    auto* self = static_cast<Connection*>(aUser);
    Stream* stream = self->find(aStream);
    if (stream == nullptr) {
      return 0;
    }
    const std::span<const uint8_t> bytes(aData, aBytes);
    if (stream->m_isUpload && self->m_messages) {
      self->onUploadData(*stream, bytes);
      return 0;
    }
    std::string& body = self->m_requests ? stream->m_request.m_body : stream->m_response.m_body;
    if (body.size() + aBytes > kMaxBodyBytes) {
      return NGHTTP2_ERR_CALLBACK_FAILURE;
    }
    body.append(bytes.begin(), bytes.end());
    return 0;
  }

  static int onFrame(nghttp2_session*, const nghttp2_frame* aFrame, void* aUser)
  {
    auto* self = static_cast<Connection*>(aUser);
    const bool isMessage = aFrame->hd.type == NGHTTP2_HEADERS || aFrame->hd.type == NGHTTP2_DATA;
    const bool isEnd = (aFrame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    if (isMessage && isEnd && self->m_requests) {
      self->onRequestComplete(aFrame->hd.stream_id);
    }
    return 0;
  }

  static int onClose(nghttp2_session*, int32_t aStream, uint32_t aError, void* aUser)
  {
    auto* self = static_cast<Connection*>(aUser);
    if (Stream* stream = self->find(aStream); stream != nullptr && aError != NGHTTP2_NO_ERROR) {
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
    Stream* stream = static_cast<Connection*>(aUser)->find(aStream);
    if (stream == nullptr) {
      return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    size_t written = 0;
    while (written < aLength && !stream->m_outgoing.empty()) {
      const std::vector<uint8_t>& first = stream->m_outgoing.front();
      const size_t count = std::min(aLength - written, first.size() - stream->m_sentOfFirst);
      std::memcpy(aBuffer + written, first.data() + stream->m_sentOfFirst, count);
      written += count;
      stream->m_sentOfFirst += count;
      stream->m_queued -= count;
      if (stream->m_sentOfFirst == first.size()) {
        stream->m_outgoing.pop_front();
        stream->m_sentOfFirst = 0;
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

Connection::Connection(asio::ip::tcp::socket aSocket,
                       RequestHandler aRequests,
                       MessageHandler aMessages)
  : m_socket(std::move(aSocket))
  , m_requests(std::move(aRequests))
  , m_messages(std::move(aMessages))
{
}

Connection::Connection(asio::io_context& aIo)
  : m_socket(aIo)
{
}

Connection::~Connection()
{
  if (m_session != nullptr) {
    nghttp2_session_del(m_session);
  }
}

void
Connection::startSession(bool aIsServer)
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
Connection::serve()
{
  m_connected = true;
  startSession(true);
  read();
  write();
}

void
Connection::connect(const asio::ip::tcp::endpoint& aEndpoint)
{
  startSession(false);
  m_socket.async_connect(aEndpoint, [self = shared_from_this()](const asio::error_code& aError) {
    if (aError || self->m_closed) {
      self->close();
      return;
    }
    self->m_connected = true;
    self->m_socket.set_option(asio::ip::tcp::no_delay(true));
    self->read();
    self->write();
  });
}

void
Connection::read()
{
  m_socket.async_read_some(
    asio::buffer(m_input),
    [self = shared_from_this()](const asio::error_code& aError, size_t aBytes) {
      if (aError || self->m_closed) {
        self->close();
        return;
      }
      if (nghttp2_session_mem_recv(self->m_session, self->m_input.data(), aBytes) < 0) {
        self->close();
        return;
      }
      self->write();
      if (!self->m_closed) {
        self->read();
      }
    });
}

void
Connection::write()
{
  if (m_writePosted) {
    return;
  }
  // nghttp2 must not be asked for output from within its own callbacks.
  m_writePosted = true;
  asio::post(m_socket.get_executor(), [self = shared_from_this()] {
    self->m_writePosted = false;
    self->writeNow();
  });
}

void
Connection::writeNow()
{
  if (m_writing || !m_connected || m_closed) {
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
  m_writing = true;
  asio::async_write(m_socket,
                    asio::buffer(m_output),
                    [self = shared_from_this()](const asio::error_code& aError, size_t) {
                      self->m_writing = false;
                      if (aError) {
                        self->close();
                        return;
                      }
                      self->write();
                    });
}

void
Connection::close()
{
  if (m_closed) {
    return;
  }
  m_closed = true;
  asio::error_code ignored;
  m_socket.close(ignored);
  while (!m_streams.empty()) {
    const int32_t stream = m_streams.begin()->first;
    m_streams.begin()->second->m_response.m_status = 0;
    finishStream(stream);
  }
}

void
Connection::abandon()
{
  for (auto& [id, stream] : m_streams) {
    stream->m_onResponse = nullptr;
  }
  close();
}

Connection::Stream*
Connection::find(int32_t aStream)
{
  const auto found = m_streams.find(aStream);
  return found == m_streams.end() ? nullptr : found->second.get();
}

void
Connection::finishStream(int32_t aStream)
{
  const auto found = m_streams.find(aStream);
  if (found == m_streams.end()) {
    return;
  }
  const std::unique_ptr<Stream> stream = std::move(found->second);
  m_streams.erase(found);
  if (aStream == m_upload) {
    m_upload = -1;
  }
  if (stream->m_onResponse) {
    stream->m_onResponse(stream->m_response);
  }
}

void
Connection::onRequestComplete(int32_t aStream)
{
  Stream* stream = find(aStream);
  if (stream == nullptr) {
    return;
  }
  if (stream->m_isUpload) {
    respond(aStream, { .m_status = 200 });
    return;
  }
  m_requests(stream->m_request, [weak = weak_from_this(), aStream](const Response& aResponse) {
    const auto self = weak.lock();
    if (self && !self->m_closed) {
      self->respond(aStream, aResponse);
      self->write();
    }
  });
}

void
Connection::respond(int32_t aStream, const Response& aResponse)
{
  Stream* stream = find(aStream);
  if (stream == nullptr) {
    return;
  }
  const std::string status = std::to_string(aResponse.m_status);
  const std::string revision = std::to_string(aResponse.m_revision);
  std::vector<nghttp2_nv> headers{ makeHeader(":status", status) };
  if (aResponse.m_revision != 0) {
    headers.push_back(makeHeader("x-revision", revision));
  }
  queue(*stream, toBytes(aResponse.m_body));
  nghttp2_data_provider provider{};
  provider.read_callback = &Callbacks::readOutgoing;
  nghttp2_submit_response(m_session, aStream, headers.data(), headers.size(), &provider);
}

void
Connection::onUploadData(Stream& aStream, std::span<const uint8_t> aBytes)
{
  std::vector<uint8_t>& partial = aStream.m_partial;
  partial.insert(partial.end(), aBytes.begin(), aBytes.end());
  size_t start = 0;
  while (partial.size() - start >= kLengthBytes) {
    uint32_t length = 0;
    std::memcpy(&length, partial.data() + start, kLengthBytes);
    length = ntohl(length);
    if (length > kMaxBodyBytes) {
      asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->close(); });
      return;
    }
    if (partial.size() - start - kLengthBytes < length) {
      break;
    }
    m_messages(std::span<const uint8_t>(partial).subspan(start + kLengthBytes, length));
    start += kLengthBytes + length;
  }
  partial.erase(partial.begin(), partial.begin() + static_cast<ptrdiff_t>(start));
}

void
Connection::queue(Stream& aStream, std::vector<uint8_t> aBytes)
{
  if (aBytes.empty()) {
    return;
  }
  aStream.m_queued += aBytes.size();
  aStream.m_outgoing.push_back(std::move(aBytes));
}

int32_t
Connection::submit(const Request& aRequest, Stream& aStream)
{
  const std::string target = joinTarget(aRequest);
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
Connection::request(Request aRequest, std::chrono::milliseconds aDeadline, ResponseHandler aHandler)
{
  if (m_closed) {
    aHandler({ .m_status = 0 });
    return;
  }
  auto stream = std::make_unique<Stream>();
  stream->m_onResponse = std::move(aHandler);
  queue(*stream, toBytes(aRequest.m_body));
  const int32_t id = submit(aRequest, *stream);
  if (id < 0) {
    stream->m_onResponse({ .m_status = 0 });
    return;
  }
  stream->m_deadline = std::make_unique<asio::steady_timer>(m_socket.get_executor(), aDeadline);
  stream->m_deadline->async_wait([weak = weak_from_this(), id](const asio::error_code& aError) {
    const auto self = weak.lock();
    if (aError || !self || self->m_closed) {
      return;
    }
    if (Stream* late = self->find(id); late != nullptr) {
      late->m_response.m_status = 0;
      nghttp2_submit_rst_stream(self->m_session, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
      self->finishStream(id);
      self->write();
    }
  });
  m_streams.emplace(id, std::move(stream));
  write();
}

void
Connection::sendMessage(std::span<const uint8_t> aMessage)
{
  if (m_closed) {
    return;
  }
  if (m_upload < 0) {
    auto stream = std::make_unique<Stream>();
    stream->m_endsAfterQueue = false;
    m_upload = submit({ .m_method = "POST", .m_path = std::string(kUploadPath) }, *stream);
    if (m_upload < 0) {
      close();
      return;
    }
    m_streams.emplace(m_upload, std::move(stream));
  }
  Stream& stream = *m_streams.at(m_upload);
  if (stream.m_queued + aMessage.size() > kMaxQueuedBytes) {
    close();
    return;
  }
  std::vector<uint8_t> framed(kLengthBytes + aMessage.size());
  const uint32_t length = htonl(static_cast<uint32_t>(aMessage.size()));
  std::memcpy(framed.data(), &length, kLengthBytes);
  std::copy(aMessage.begin(), aMessage.end(), framed.begin() + kLengthBytes);
  queue(stream, std::move(framed));
  nghttp2_session_resume_data(m_session, m_upload);
  write();
}

} // namespace tamarack::transport
