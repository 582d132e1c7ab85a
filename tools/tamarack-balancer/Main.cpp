// The balancer process of one entry host.
#include "daemon/BalancerDaemon.h"
#include "daemon/Program.h"

int
main(int aCount, const char** aWords)
{
  using namespace tamarack::daemon;
  return runDaemon(
    "tamarack-balancer", aCount, aWords, [](asio::io_context& aIo, const HostConfig& aConfig) {
      const auto daemon = std::make_shared<BalancerDaemon>(aIo, aConfig);
      return Running{ .m_daemon = daemon, .m_stop = [daemon = daemon.get()] { daemon->stop(); } };
    });
}
