// A randomized soak: real edge processes on loopback, with faults from outside them. A seed names
// the faults and their times. Ends with status 1 when a promise is broken, and prints each one.
#include "Proxy.h"
#include "World.h"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <popt.h>
#include <sys/wait.h>
#include <unistd.h>

namespace {

using namespace soak;

/// Proxies stand beside the store.
constexpr uint32_t kFirstProxy = 0x100;
constexpr std::chrono::milliseconds kTick{ 20 };
/// After the last fault, every caller must have been served again within this time.
constexpr std::chrono::seconds kRecovery{ 12 };
/// Upstreams that start during a run are cold for this long.
constexpr std::chrono::milliseconds kColdStart{ 2000 };
/// Kinds of faults. Seeds below these were recorded when there were two kinds, or one, less.
constexpr int kKinds = 11;
constexpr int kFirstSeedWithLimits = 1000;
constexpr int kFirstSeedWithCopies = 2000;
/// A store that comes back from a copy is away for so long; upstreams and operators write again
/// within this time, and entries that nobody renews go after three heartbeats.
constexpr int kAwayForCopyMs = 500;
constexpr int kWrittenAgainMs = 1200;
constexpr int kEntryLifeMs = 3600;
/// When nothing harms anybody any more, an upstream of each service leaves.
constexpr std::chrono::seconds kLastDrain{ 6 };

struct Options
{
  int m_seed{ 1 };
  int m_seconds{ 20 };
  int m_hosts{ 6 };
  int m_callers{ 60 };
  int m_lane{};
  std::string m_program;
  std::string m_logs;
  std::string m_report;
};

std::string
text(uint32_t aAddress, int aPort)
{
  return asio::ip::address_v4(aAddress).to_string() + ":" + std::to_string(aPort);
}

const char*
nameOf(Harm aHarm)
{
  switch (aHarm) {
    case Harm::None:
      return "as usual";
    case Harm::Delay:
      return "150 ms late";
    case Harm::Reset:
      return "connections reset";
    case Harm::OneWay:
      return "answers lost";
    case Harm::Silent:
      return "silent";
  }
  return "?";
}

/// One edge process and what stands between it and the store.
class Host
{
public:
  Host(asio::io_context& aIo, const Options& aOptions, int aIndex)
    : m_options(aOptions)
    , m_index(aIndex)
    , m_address(net(Net::Host) + 0x100 * (aIndex % 3) + 1 + aIndex / 3)
    , m_proxy(aIo,
              { asio::ip::address_v4(net(Net::Store) + kFirstProxy + aIndex), kStorePort },
              { asio::ip::address_v4(net(Net::Store) + 1), kStorePort })
  {
    start();
  }
  ~Host() { end(SIGKILL); }
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  void start()
  {
    const std::string file = m_options.m_logs + "/host-" + std::to_string(m_index);
    std::ofstream(file + ".json") << "{\"host\":\"h" << m_index << "\",\"data_centre\":\"dc"
                                  << m_index % 3 << "\",\"packets\":\""
                                  << text(m_address, kPacketPort) << "\",\"readiness\":\""
                                  << text(m_address, 18167)
                                  << "\",\"readiness_path\":\"/ready\",\"control\":\""
                                  << text(m_address, 18166) << "\",\"metrics\":\""
                                  << text(m_address, 19464) << "\",\"peer_port\":17720,\"store\":\""
                                  << text(net(Net::Store) + kFirstProxy + m_index, kStorePort)
                                  << "\",\"seeds\":[\"" << text(net(Net::Host) + 1, 18166)
                                  << "\",\"" << text(net(Net::Host) + 0x101, 18166)
                                  << "\"],\"cpu_share\":\"0.2\",\"cold_factor\":\"" << kColdFactor
                                  << "\",\"cold_slack\":\"" << kColdSlack << "\"}\n";
    m_startedAt = Clock::now();
    m_process = ::fork();
    if (m_process == 0) {
      const int log = ::open((file + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(log, STDOUT_FILENO);
      ::dup2(log, STDERR_FILENO);
      const std::string config = file + ".json";
      ::execl(m_options.m_program.c_str(),
              m_options.m_program.c_str(),
              "--config",
              config.c_str(),
              static_cast<char*>(nullptr));
      ::_exit(127);
    }
  }

  /// Collects a process that ended. Returns how it failed, or nothing where it was told to end.
  std::string collect()
  {
    int status = 0;
    if (m_process <= 0 || ::waitpid(m_process, &status, WNOHANG) != m_process) {
      return {};
    }
    m_process = -1;
    const auto age =
      std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_startedAt).count();
    const std::string after = " after " + std::to_string(age) + " ms";
    if (WIFEXITED(status) && WEXITSTATUS(status) != 0) {
      return "status " + std::to_string(WEXITSTATUS(status)) + after;
    }
    if (WIFSIGNALED(status) && WTERMSIG(status) != SIGKILL) {
      return "signal " + std::to_string(WTERMSIG(status)) + after;
    }
    return {};
  }

  void signal(int aSignal) const
  {
    if (m_process > 0) {
      ::kill(m_process, aSignal);
    }
  }

  void end(int aSignal)
  {
    if (m_process > 0) {
      signal(SIGCONT);
      signal(aSignal);
      ::waitpid(m_process, nullptr, 0);
      m_process = -1;
    }
  }

  [[nodiscard]] bool isRunning() const { return m_process > 0; }
  [[nodiscard]] uint32_t address() const { return m_address; }
  Proxy& proxy() { return m_proxy; }

private:
  [[nodiscard]] uint32_t net(Net aNet) const
  {
    return netOf(aNet, static_cast<uint32_t>(m_options.m_lane));
  }

  const Options& m_options;
  int m_index;
  uint32_t m_address;
  Proxy m_proxy;
  pid_t m_process{ -1 };
  Clock::time_point m_startedAt{};
};

class Soak
{
public:
  explicit Soak(const Options& aOptions)
    : m_options(aOptions)
    , m_world(m_io, static_cast<uint32_t>(aOptions.m_seed), static_cast<uint32_t>(aOptions.m_lane))
    , m_timer(m_io)
  {
    for (int index = 0; index < 12; ++index) {
      m_world.addUpstream(index % 2, "dc" + std::to_string(index % 3));
    }
    m_world.publishConfiguration();
    for (int index = 0; index < aOptions.m_hosts; ++index) {
      m_hosts.push_back(std::make_unique<Host>(m_io, m_options, index));
      m_world.m_hosts.push_back(m_hosts.back()->address());
    }
    for (int index = 0; index < aOptions.m_callers; ++index) {
      m_world.m_callers.push_back(std::make_unique<Caller>(
        m_world, netOf(Net::Caller, m_world.m_lane) + 1 + static_cast<uint32_t>(index), index % 2));
    }
    m_world.m_lastFault = Clock::now();
  }

  int run()
  {
    m_end = Clock::now() + std::chrono::seconds(m_options.m_seconds);
    tick();
    m_io.run();
    uint64_t served = 0;
    for (const auto& caller : m_world.m_callers) {
      served += caller->served();
    }
    for (const std::string& complaint : m_world.m_complaints) {
      std::cout << "broken: " << complaint << "\n";
    }
    if (!m_options.m_report.empty()) {
      std::ofstream file(m_options.m_report);
      file << m_world.m_timeline.draw("seed " + std::to_string(m_options.m_seed)) << std::flush;
      if (!file) {
        std::cerr << "tamarack-soak: " << m_options.m_report << " cannot be written\n";
        return 2;
      }
    }
    std::cout << "seed " << m_options.m_seed << ": " << served << " requests, " << m_faults
              << " faults, " << m_world.m_complaints.size() << " broken promises\n";
    return m_world.m_complaints.empty() ? 0 : 1;
  }

private:
  /// Does something later. What harms hosts, the store or a running upstream counts as a fault.
  void after(int aMilliseconds, std::function<void()> aDo, bool aIsFault = true)
  {
    auto timer = std::make_shared<asio::steady_timer>(m_io);
    timer->expires_after(std::chrono::milliseconds(aMilliseconds));
    timer->async_wait([this, timer, aDo, aIsFault](const asio::error_code& aError) {
      if (!aError) {
        m_world.m_lastFault = aIsFault ? Clock::now() : m_world.m_lastFault;
        aDo();
      }
    });
  }

  /// Injects one fault; its end is planned at once, so faults overlap.
  void fault()
  {
    ++m_faults;
    m_world.m_lastFault = Clock::now();
    auto& random = m_world.m_random;
    const size_t index = random() % m_hosts.size();
    Host& host = *m_hosts[index];
    const std::string name = " host " + std::to_string(index);
    const int length = 300 + static_cast<int>(random() % 4000);
    const auto show = [this](const std::string& aWhat, int aLength = 0) {
      m_world.m_timeline.onFault(aWhat, std::chrono::milliseconds(aLength));
    };
    const int service = static_cast<int>(random() % 2);
    const int missing = (m_options.m_seed < kFirstSeedWithLimits ? 1 : 0) +
                        (m_options.m_seed < kFirstSeedWithCopies ? 1 : 0);
    switch (random() % (kKinds - missing)) {
      case 0:
        show("kill" + name);
        host.signal(SIGKILL);
        return;
      case 1:
        show("stop" + name);
        host.signal(SIGTERM);
        return;
      case 2:
        show("pause" + name, length);
        host.signal(SIGSTOP);
        after(length, [&host] { host.signal(SIGCONT); });
        return;
      case 3:
        show("reload" + name);
        host.signal(SIGHUP);
        return;
      case 4: {
        const auto harm = static_cast<Harm>(1 + random() % 4);
        const bool isForAll = random() % 3 == 0;
        show(std::string("store ") + nameOf(harm) + " for" + (isForAll ? " all hosts" : name),
             length);
        for (const auto& each : m_hosts) {
          if (isForAll || each.get() == &host) {
            each->proxy().harm(harm);
            after(length, [&each = *each] { each.proxy().harm(Harm::None); });
          }
        }
        return;
      }
      case 5:
        show("store forgets its history");
        m_world.m_store.forgetHistory();
        return;
      case 6:
        show("new configuration");
        m_world.publishConfiguration();
        return;
      case 7:
        show("an upstream of service " + std::to_string(service) + " crashes");
        crashUpstream(service);
        return;
      case 8:
        show("an upstream of service " + std::to_string(service) + " leaves");
        drainUpstream(service);
        return;
      case 9:
        show("all upstreams of service " + std::to_string(kLimitedService) + " start anew", 1200);
        restartService();
        return;
      default:
        show("store comes back from a copy", length + kAwayForCopyMs);
        restoreStore(length);
        return;
    }
  }

  /// The store loses what is written in the next `aLost` ms. What lives writes it again.
  void restoreStore(int aLost)
  {
    m_world.m_store.copy();
    after(aLost, [this] {
      for (const auto& host : m_hosts) {
        host->proxy().harm(Harm::Silent);
      }
    });
    after(aLost + kAwayForCopyMs, [this] {
      m_world.m_store.restore();
      for (const auto& host : m_hosts) {
        host->proxy().harm(Harm::None);
      }
      for (const auto& upstream : m_world.m_upstreams) {
        const int wait = static_cast<int>(m_world.m_random() % kWrittenAgainMs);
        after(upstream->isAlive() ? wait : kEntryLifeMs, [this, upstream = upstream.get()] {
          if (upstream->isAlive()) {
            upstream->publishAgain();
          } else {
            m_world.m_store.remove(upstream->key());
          }
        });
      }
      after(kWrittenAgainMs, [this] { m_world.publishConfiguration(false); });
    });
  }

  void crashUpstream(int aService)
  {
    Upstream* upstream = m_world.living(aService) > 2 ? m_world.randomUpstream(aService) : nullptr;
    if (upstream == nullptr) {
      return;
    }
    upstream->crash();
    after(kEntryLifeMs, [this, upstream] { m_world.m_store.remove(upstream->key()); });
    after(1500, [this, aService] { m_world.addUpstream(aService, "dc0", kColdStart); });
  }

  /// All upstreams of the limited service end, which the store knows, and others start cold.
  void restartService()
  {
    for (const auto& upstream : m_world.m_upstreams) {
      if (upstream->isAlive() && upstream->service() == kLimitedService) {
        upstream->crash();
        m_world.m_store.remove(upstream->key());
      }
    }
    after(1200, [this] {
      for (int index = 0; index < 6; ++index) {
        m_world.addUpstream(kLimitedService, "dc" + std::to_string(index % 3), kColdStart);
      }
    });
  }

  /// A planned change: the upstream leaves with its flows, another one takes its place.
  void drainUpstream(int aService)
  {
    Upstream* upstream = m_world.living(aService) > 2 ? m_world.randomUpstream(aService) : nullptr;
    if (upstream == nullptr) {
      return;
    }
    m_world.addUpstream(aService, "dc1", kColdStart);
    upstream->publish(true);
    after(
      8000,
      [this, upstream] {
        upstream->crash();
        m_world.m_store.remove(upstream->key());
      },
      false);
  }

  void tick()
  {
    const auto now = Clock::now();
    for (size_t index = 0; index < m_hosts.size(); ++index) {
      Host& host = *m_hosts[index];
      if (const std::string failure = host.collect(); !failure.empty()) {
        m_world.complain("host " + std::to_string(index) + " ended by itself: " + failure);
      }
      if (!host.isRunning() && now < m_end) {
        m_world.m_lastFault = now;
        host.start();
      }
    }
    for (const auto& caller : m_world.m_callers) {
      caller->tick();
    }
    const auto lastFault = m_end - kRecovery;
    if (now < lastFault && now >= m_nextFault) {
      m_nextFault = now + std::chrono::milliseconds(100 + m_world.m_random() % 1400);
      fault();
    }
    if (!m_isDrained && now >= m_end - kLastDrain) {
      m_isDrained = true;
      drainUpstream(0);
      drainUpstream(1);
    }
    if (now >= m_end) {
      judgeRecovery(now);
      m_hosts.clear();
      m_io.stop();
      return;
    }
    m_timer.expires_after(kTick);
    m_timer.async_wait([this](const asio::error_code&) { tick(); });
  }

  void judgeRecovery(Clock::time_point aNow)
  {
    for (const auto& caller : m_world.m_callers) {
      if (aNow - caller->lastServed() > kRecovery) {
        m_world.complain("a caller was not served again after the last fault");
      }
    }
  }

  const Options& m_options;
  asio::io_context m_io;
  World m_world;
  std::vector<std::unique_ptr<Host>> m_hosts;
  asio::steady_timer m_timer;
  Clock::time_point m_end{};
  Clock::time_point m_nextFault{ Clock::now() + std::chrono::seconds(2) };
  int m_faults{};
  bool m_isDrained{};
};

} // namespace

int
main(int aCount, const char** aWords)
{
  Options options;
  char* program = nullptr;
  char* logs = nullptr;
  char* report = nullptr;
  const poptOption table[] = {
    { "seed", 's', POPT_ARG_INT, &options.m_seed, 0, "names the faults", "N" },
    { "seconds", 't', POPT_ARG_INT, &options.m_seconds, 0, "length; faults end 12 s before", "N" },
    { "hosts", 0, POPT_ARG_INT, &options.m_hosts, 0, "edge processes", "N" },
    { "callers", 0, POPT_ARG_INT, &options.m_callers, 0, "callers", "N" },
    { "lane", 0, POPT_ARG_INT, &options.m_lane, 0, "loopback networks, 0 to 19", "N" },
    { "program", 'p', POPT_ARG_STRING, &program, 0, "the edge program", "FILE" },
    { "logs", 'l', POPT_ARG_STRING, &logs, 0, "an existing folder for logs", "FOLDER" },
    { "report", 'r', POPT_ARG_STRING, &report, 0, "writes a picture of the run, in SVG", "FILE" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
    poptGetContext("tamarack-soak", aCount, aWords, table, 0), &poptFreeContext);
  if (poptGetNextOpt(context.get()) < -1 || program == nullptr || logs == nullptr ||
      options.m_hosts < 1 || options.m_hosts > 200 || options.m_lane < 0 ||
      options.m_lane >= static_cast<int>(kLanes) || !std::filesystem::is_directory(logs)) {
    std::cerr << "tamarack-soak: --program FILE and --logs FOLDER are needed; 1 to 200 hosts\n";
    return 2;
  }
  options.m_program = program;
  options.m_logs = logs;
  options.m_report = report == nullptr ? "" : report;
  std::free(program);
  std::free(logs);
  std::free(report);
  return Soak(options).run();
}
