// Stand-in for an operator at the platform, and the judge of the demo: edits the published
// documents and compares what callers and upstreams say at the end.
//   list SETTINGS_FILE
//   drain UPSTREAM | out DATA_CENTRE | in DATA_CENTRE | remove-host ADDRESS
//   judge OUT_DATA_CENTRE DRAINED_UPSTREAM KILLED_HOST_BUDGET CALLER_FILE...
#include "base/Address.h"
#include "transport/Http2.h"

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <set>

namespace {

using Json = nlohmann::json;
using namespace tamarack;

constexpr std::chrono::milliseconds kDeadline{ 3000 };
constexpr const char* kPlatform = "127.9.0.1:7400";
constexpr double kMaxImbalance = 1.10;

Json
ask(const std::string& aAddress, const transport::Request& aRequest)
{
  asio::io_context io;
  transport::Response answer{ .m_status = 0 };
  transport::Http2Client client(io, transport::parseEndpoint(aAddress));
  client.request(aRequest, kDeadline, [&](const transport::Response& aResponse) {
    answer = aResponse;
    io.stop();
  });
  io.run();
  return answer.m_status == 200 ? Json::parse(answer.m_body, nullptr, false) : Json();
}

Json
readDocument(const std::string& aPath)
{
  return ask(kPlatform, { .m_method = "GET", .m_path = aPath });
}

void
publish(const std::string& aPath, const Json& aDocument)
{
  ask(kPlatform, { .m_method = "PUT", .m_path = aPath, .m_body = aDocument.dump(2) });
}

/// Calls `aVisit(service, name, upstream)` for each upstream of the settings.
template<typename Visit>
void
forEachUpstream(Json& aSettings, Visit aVisit)
{
  for (auto& [team, subtree] : aSettings["teams"].items()) {
    for (auto& [service, entry] : subtree["services"].items()) {
      for (auto& [name, upstream] : subtree["pools"][entry["pool"]]["upstreams"].items()) {
        aVisit(service, name, upstream);
      }
    }
  }
}

int
edit(const std::string& aVerb, const std::string& aName)
{
  if (aVerb == "remove-host") {
    Json hosts = readDocument("/hosts");
    auto& list = hosts["hosts"];
    list.erase(std::remove_if(list.begin(),
                              list.end(),
                              [&](const Json& aHost) { return aHost["address"] == aName; }),
               list.end());
    publish("/hosts", hosts);
    return 0;
  }
  Json settings = readDocument("/settings");
  if (aVerb == "drain") {
    forEachUpstream(settings, [&](const auto&, const std::string& aUpstream, Json& aEntry) {
      if (aUpstream == aName) {
        aEntry["state"] = "draining";
      }
    });
  } else {
    settings["data_centres"][aName]["state"] = aVerb;
  }
  publish("/settings", settings);
  return 0;
}

/// Prints service, address of the service, name and address of each upstream of a settings file.
int
list(const std::string& aFile)
{
  std::ifstream file(aFile);
  Json settings = Json::parse(file);
  forEachUpstream(
    settings, [&](const std::string& aService, const std::string& aName, Json& aEntry) {
      for (const auto& [team, subtree] : settings["teams"].items()) {
        if (subtree["services"].contains(aService)) {
          std::cout << aService << " "
                    << subtree["services"][aService]["address"].get<std::string>() << " " << aName
                    << " " << aEntry["address"].get<std::string>() << "\n";
        }
      }
    });
  return 0;
}

struct Judgement
{
  uint64_t m_givenUp{};
  uint64_t m_broken{};
  uint64_t m_misdelivered{};
  uint64_t m_lost{};
  uint64_t m_doubled{};
  double m_imbalance{};
};

void
judgeUpstreams(Json& aSettings,
               const std::string& aOut,
               const std::string& aDrained,
               std::map<std::string, uint64_t>& aRuns,
               Judgement& aJudgement)
{
  uint64_t total = 0;
  uint64_t busiest = 0;
  uint64_t counted = 0;
  std::string service = aSettings["teams"].begin().value()["services"].begin().key();
  forEachUpstream(aSettings,
                  [&](const std::string& aService, const std::string& aName, Json& aEntry) {
                    const Json stats = ask(aEntry["address"].get<std::string>() + ":8080",
                                           { .m_method = "GET", .m_path = "/stats" });
                    if (!stats.is_object()) {
                      std::cerr << "no stats from " << aName << "\n";
                      return;
                    }
                    aJudgement.m_misdelivered += stats["misdelivered"].get<uint64_t>();
                    for (const auto& [report, count] : stats["reports"].items()) {
                      aRuns[report] += count.get<uint64_t>();
                    }
                    const bool isSettled = aEntry["data_centre"] != aOut && aName != aDrained;
                    if (aService == service && isSettled) {
                      total += stats["running"].get<uint64_t>();
                      busiest = std::max(busiest, stats["running"].get<uint64_t>());
                      ++counted;
                    }
                  });
  if (total > 0) {
    aJudgement.m_imbalance =
      static_cast<double>(busiest) * static_cast<double>(counted) / static_cast<double>(total);
  }
}

int
judge(const std::vector<std::string>& aWords)
{
  const std::string& out = aWords[1];
  const uint64_t budget = std::stoull(aWords[3]);
  Json settings = readDocument("/settings");
  std::set<std::string> outUpstreams;
  forEachUpstream(settings, [&](const auto&, const std::string& aName, const Json& aEntry) {
    if (aEntry["data_centre"] == out) {
      outUpstreams.insert(aName);
    }
  });
  Judgement judgement;
  std::map<std::string, uint64_t> runs;
  judgeUpstreams(settings, out, aWords[2], runs, judgement);
  std::cout << std::left << std::setw(10) << "caller" << std::right;
  for (const char* title : { "opened",
                             "kept",
                             "given up",
                             "reset",
                             "silent",
                             "refused",
                             "unopened",
                             "reports",
                             "acked",
                             "unknown" }) {
    std::cout << std::setw(10) << title;
  }
  std::cout << "\n";
  for (size_t index = 4; index < aWords.size(); ++index) {
    std::ifstream file(aWords[index]);
    const Json caller = Json::parse(file);
    uint64_t givenUp = 0;
    uint64_t reset = 0;
    uint64_t silent = 0;
    for (const char* kind : { "reset", "silent" }) {
      for (const auto& [upstream, count] : caller[kind].items()) {
        uint64_t& target = outUpstreams.contains(upstream)     ? givenUp
                           : std::string_view(kind) == "reset" ? reset
                                                               : silent;
        target += count.get<uint64_t>();
      }
    }
    for (const auto& report : caller["reports_acknowledged"]) {
      judgement.m_lost += runs.contains(report.get<std::string>()) ? 0 : 1;
    }
    judgement.m_givenUp += givenUp;
    judgement.m_broken += reset + silent + caller["not_opened"].get<uint64_t>();
    std::cout << std::left << std::setw(10) << caller["name"].get<std::string>() << std::right
              << std::setw(10) << caller["opened"].get<uint64_t>() << std::setw(10)
              << caller["running_feeds"].get<uint64_t>() << std::setw(10) << givenUp
              << std::setw(10) << reset << std::setw(10) << silent << std::setw(10)
              << caller["refused"].get<uint64_t>() << std::setw(10)
              << caller["not_opened"].get<uint64_t>() << std::setw(10)
              << caller["reports_sent"].get<uint64_t>() << std::setw(10)
              << caller["reports_acknowledged"].size() << std::setw(10)
              << caller["reports_unknown"].size() << "\n";
  }
  for (const auto& [report, count] : runs) {
    judgement.m_doubled += count > 1 ? 1 : 0;
  }
  std::cout << "misdelivered " << judgement.m_misdelivered << ", reports lost " << judgement.m_lost
            << ", doubled " << judgement.m_doubled << ", imbalance " << std::setprecision(3)
            << judgement.m_imbalance << " (bound " << kMaxImbalance << " at 2,000 flows each)\n";
  const bool holds = judgement.m_misdelivered == 0 && judgement.m_lost == 0 &&
                     judgement.m_doubled == 0 && judgement.m_broken <= budget;
  std::cout << (holds ? "all promises held\n" : "a promise was broken\n");
  return holds ? 0 : 1;
}

} // namespace

int
main(int aCount, char** aWords)
{
  const std::vector<std::string> words(aWords + 1, aWords + aCount);
  if (words.size() == 2 && words[0] == "list") {
    return list(words[1]);
  }
  if (words.size() == 2) {
    return edit(words[0], words[1]);
  }
  if (words.size() >= 5 && words[0] == "judge") {
    return judge(words);
  }
  std::cerr << "usage: standin-operator list FILE\n"
               "       standin-operator drain|out|in|remove-host NAME\n"
               "       standin-operator judge OUT_DC DRAINED BROKEN_BUDGET CALLER_FILE...\n";
  return 2;
}
