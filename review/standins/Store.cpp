// Implements the store.
#include "Store.h"

#include <array>
#include <cerrno>
#include <cstdlib>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int64_t kAnswerMs = 4;
constexpr int64_t kTickMs = 5;
constexpr size_t kPageItems = 500;
constexpr size_t kPageBytes = 1'000'000;
constexpr int64_t kHistoryMs = 20'000;
/// A client that reads nothing for this long loses its connection.
constexpr int kWriteTimeoutMs = 500;

std::string
decodeQuery(std::string_view aText)
{
  std::string decoded;
  for (size_t index = 0; index < aText.size(); ++index) {
    if (aText[index] == '%' && index + 2 < aText.size()) {
      const std::string digits(aText.substr(index + 1, 2));
      decoded += static_cast<char>(std::strtol(digits.c_str(), nullptr, 16));
      index += 2;
    } else {
      decoded += aText[index];
    }
  }
  return decoded;
}

/// Returns a parameter of the query; empty if there is none.
std::string
parameter(const std::string& aTarget, const std::string& aName)
{
  std::string_view rest(aTarget);
  const size_t query = rest.find('?');
  rest = query == std::string_view::npos ? std::string_view() : rest.substr(query + 1);
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    if (pair.starts_with(aName + "=")) {
      return decodeQuery(pair.substr(aName.size() + 1));
    }
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
  }
  return {};
}

std::string
encodeBase64(std::string_view aBytes)
{
  constexpr std::string_view digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t index = 0; index < aBytes.size(); index += 3) {
    uint32_t group = 0;
    for (size_t offset = 0; offset < 3; ++offset) {
      const bool isInside = index + offset < aBytes.size();
      group = group << 8 | (isInside ? static_cast<uint8_t>(aBytes[index + offset]) : 0);
    }
    for (size_t digit = 0; digit < 4; ++digit) {
      const bool isPadding = index + digit > aBytes.size();
      text += isPadding ? '=' : digits[group >> (18 - 6 * digit) & 0x3f];
    }
  }
  return text;
}

/// Sends bytes to a client that reads. Returns whether all were sent.
bool
sendAll(int aDescriptor, std::string_view aBytes)
{
  while (!aBytes.empty()) {
    const ssize_t sent = ::send(aDescriptor, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (sent > 0) {
      aBytes.remove_prefix(static_cast<size_t>(sent));
      continue;
    }
    pollfd writable{ aDescriptor, POLLOUT, 0 };
    if (errno != EAGAIN || ::poll(&writable, 1, kWriteTimeoutMs) <= 0) {
      return false;
    }
  }
  return true;
}

} // namespace

Store::Store(Loop& aLoop, const SocketAddress& aListen)
  : m_loop(aLoop)
  , m_listener(listenOn(aListen))
{
  m_loop.watch(m_listener, [this] { accept(); });
  tick();
}

void
Store::tick()
{
  while (!m_events.empty() && steadyMs() - m_events.front().m_at >= kHistoryMs) {
    m_forgotten = m_events.front().m_revision;
    m_events.pop_front();
  }
  answerWatches();
  m_loop.after(kTickMs, [this] { tick(); });
}

void
Store::put(const std::string& aKey, const std::string& aValue)
{
  write({ .m_key = aKey, .m_value = aValue });
}

void
Store::remove(const std::string& aKey)
{
  if (m_items.contains(aKey)) {
    write({ .m_key = aKey, .m_isRemoval = true });
  }
}

void
Store::write(Event aEvent)
{
  aEvent.m_revision = ++m_revision;
  aEvent.m_at = steadyMs();
  if (aEvent.m_isRemoval) {
    m_items.erase(aEvent.m_key);
  } else {
    m_items[aEvent.m_key] = aEvent;
  }
  m_events.push_back(std::move(aEvent));
}

void
Store::accept()
{
  const int descriptor = ::accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (descriptor < 0) {
    return;
  }
  const auto connection = std::make_shared<Connection>();
  connection->m_descriptor = descriptor;
  m_loop.watch(descriptor, [this, connection] { onReadable(connection); });
}

void
Store::close(Loop& aLoop, Connection& aConnection)
{
  if (!aConnection.m_isClosed) {
    aConnection.m_isClosed = true;
    aLoop.forget(aConnection.m_descriptor);
    ::close(aConnection.m_descriptor);
  }
}

void
Store::onReadable(const ConnectionPtr& aConnection)
{
  std::array<char, 4096> bytes{};
  const ssize_t size = ::recv(aConnection->m_descriptor, bytes.data(), bytes.size(), 0);
  if (size <= 0) {
    close(m_loop, *aConnection);
    return;
  }
  aConnection->m_input.append(bytes.data(), static_cast<size_t>(size));
  const size_t end = aConnection->m_input.find("\r\n\r\n");
  if (end == std::string::npos) {
    return;
  }
  const size_t target = aConnection->m_input.find(' ') + 1;
  const std::string text =
    aConnection->m_input.substr(target, aConnection->m_input.find(' ', target) - target);
  aConnection->m_input.erase(0, end + 4);
  onRequest(aConnection, text);
}

void
Store::onRequest(const ConnectionPtr& aConnection, const std::string& aTarget)
{
  if (aTarget.starts_with("/-/kv-range")) {
    onRange(aConnection, aTarget);
  } else if (aTarget.starts_with("/-/kv-watch")) {
    const int64_t wait = std::strtoll(parameter(aTarget, "wait_ms").c_str(), nullptr, 10);
    const Watch watch{ aConnection,
                       parameter(aTarget, "prefix"),
                       std::strtoull(parameter(aTarget, "after").c_str(), nullptr, 10),
                       steadyMs() + wait };
    if (!answerWatch(watch)) {
      m_watches.push_back(watch);
    }
  } else {
    respond(aConnection, 404, "{}");
  }
}

void
Store::onRange(const ConnectionPtr& aConnection, const std::string& aTarget)
{
  const std::string prefix = parameter(aTarget, "prefix");
  const std::string after = parameter(aTarget, "after");
  std::string items;
  size_t count = 0;
  bool hasMore = false;
  for (const auto& [key, item] : m_items) {
    if (!key.starts_with(prefix) || key <= after) {
      continue;
    }
    if (count == kPageItems || items.size() >= kPageBytes) {
      hasMore = true;
      break;
    }
    items += (count++ == 0 ? "" : ",") + std::string(R"({"key":")") + key + R"(","value":")" +
             encodeBase64(item.m_value) + R"(","rev":)" + std::to_string(item.m_revision) +
             R"(,"created_rev":)" + std::to_string(item.m_revision) + R"(,"lease":0})";
  }
  respond(aConnection,
          200,
          R"({"items":[)" + items + R"(],"has_more":)" + (hasMore ? "true" : "false") +
            R"(,"current_rev":)" + std::to_string(m_revision) + "}");
}

bool
Store::answerWatch(const Watch& aWatch)
{
  if (aWatch.m_after < m_forgotten) {
    respond(aWatch.m_connection, 410, "{}");
    return true;
  }
  std::string events;
  for (const Event& event : m_events) {
    if (event.m_revision <= aWatch.m_after || !event.m_key.starts_with(aWatch.m_prefix)) {
      continue;
    }
    events += (events.empty() ? "" : ",") + std::string(R"({"key":")") + event.m_key +
              R"(","rev":)" + std::to_string(event.m_revision) +
              (event.m_isRemoval ? R"(,"tombstone":true})"
                                 : R"(,"value":")" + encodeBase64(event.m_value) + R"("})");
  }
  if (events.empty() && steadyMs() < aWatch.m_dueAt) {
    return false;
  }
  respond(aWatch.m_connection,
          200,
          R"({"events":[)" + events + R"(],"current_rev":)" + std::to_string(m_revision) + "}");
  return true;
}

void
Store::answerWatches()
{
  for (auto watch = m_watches.begin(); watch != m_watches.end();) {
    watch = watch->m_connection->m_isClosed || answerWatch(*watch) ? m_watches.erase(watch)
                                                                   : std::next(watch);
  }
}

void
Store::respond(const ConnectionPtr& aConnection, int aStatus, const std::string& aBody)
{
  const std::string text = "HTTP/1.1 " + std::to_string(aStatus) + " Status" +
                           "\r\nContent-Type: application/json\r\nStore-Era: 1" +
                           "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
                           aBody;
  m_loop.after(kAnswerMs, [this, aConnection, text] {
    if (!aConnection->m_isClosed && !sendAll(aConnection->m_descriptor, text)) {
      close(m_loop, *aConnection);
    }
  });
}

} // namespace review
