// Stand-in for the platform's configuration service: GET /settings and /hosts with a revision and a
// waiting watch; PUT replaces a document as operators would; POST /mode?state=up|down|stale.
#include "Options.h"
#include "transport/Http2.h"

#include <fstream>
#include <list>
#include <nlohmann/json.hpp>
#include <sstream>

namespace {

using namespace tamarack::transport;
using Clock = std::chrono::steady_clock;

struct Document
{
  /// The revision of a text is its index plus one.
  std::vector<std::string> m_texts;
};

struct Watch
{
  Document* m_document{};
  uint64_t m_after{};
  Clock::time_point m_due;
  Responder m_respond;
};

uint64_t
numberOf(const Request& aRequest, const std::string& aName, uint64_t aDefault)
{
  const auto found = aRequest.m_query.find(aName);
  return found == aRequest.m_query.end() ? aDefault
                                         : std::strtoull(found->second.c_str(), nullptr, 10);
}

std::string
readFile(const std::string& aFile)
{
  std::ifstream stream(aFile);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

class Platform
{
public:
  explicit Platform(asio::io_context& aIo)
    : m_timer(aIo)
  {
    tick();
  }

  void publish(const std::string& aPath, std::string aText)
  {
    m_documents[aPath].m_texts.push_back(std::move(aText));
    answerWatches();
  }

  void onRequest(const Request& aRequest, const Responder& aRespond)
  {
    if (aRequest.m_path == "/mode") {
      m_mode = aRequest.m_query.contains("state") ? aRequest.m_query.at("state") : "up";
      aRespond({});
      return;
    }
    if (aRequest.m_path == "/calls") {
      aRespond({ .m_body = std::to_string(m_calls) + "\n" });
      return;
    }
    const auto found = m_documents.find(aRequest.m_path);
    if (found == m_documents.end()) {
      aRespond({ .m_status = 404 });
      return;
    }
    if (aRequest.m_method == "PUT") {
      publish(aRequest.m_path, aRequest.m_body);
      aRespond({ .m_revision = found->second.m_texts.size() });
      return;
    }
    ++m_calls;
    if (m_mode == "down") {
      aRespond({ .m_status = 503 });
      return;
    }
    const auto wait = std::chrono::milliseconds(numberOf(aRequest, "wait_ms", 0));
    m_watches.push_back(
      { &found->second, numberOf(aRequest, "after", 0), Clock::now() + wait, aRespond });
    answerWatches();
  }

private:
  void tick()
  {
    answerWatches();
    m_timer.expires_after(std::chrono::milliseconds(20));
    m_timer.async_wait([this](const asio::error_code& aError) {
      if (!aError) {
        tick();
      }
    });
  }

  void answerWatches()
  {
    for (auto watch = m_watches.begin(); watch != m_watches.end();) {
      uint64_t revision = watch->m_document->m_texts.size();
      if (m_mode == "stale" && revision > 1) {
        --revision;
      }
      if (revision > watch->m_after) {
        watch->m_respond(
          { .m_body = watch->m_document->m_texts[revision - 1], .m_revision = revision });
      } else if (Clock::now() >= watch->m_due) {
        watch->m_respond({ .m_status = 304, .m_revision = revision });
      } else {
        ++watch;
        continue;
      }
      watch = m_watches.erase(watch);
    }
  }

  asio::steady_timer m_timer;
  std::map<std::string, Document> m_documents;
  std::list<Watch> m_watches;
  std::string m_mode{ "up" };
  uint64_t m_calls{};
};

} // namespace

int
main(int aCount, const char** aWords)
{
  std::map<std::string, std::string> options{ { "address", "127.9.0.1:7400" },
                                              { "settings", "" },
                                              { "hosts", "" } };
  standin::readOptions(aCount, aWords, options);
  asio::io_context io;
  Platform platform(io);
  platform.publish("/settings", readFile(options["settings"]));
  platform.publish("/hosts", readFile(options["hosts"]));
  Http2Server server(
    io, parseEndpoint(options["address"]), [&](const Request& aRequest, const Responder& aRespond) {
      platform.onRequest(aRequest, aRespond);
    });
  io.run();
}
