// The probe process of one entry host.
#include "daemon/ProbeDaemon.h"
#include "daemon/Program.h"

int
main(int aCount, const char** aWords)
{
  using namespace tamarack::daemon;
  return runDaemon(
    "tamarack-probe", aCount, aWords, [](asio::io_context& aIo, const HostConfig& aConfig) {
      const auto daemon = std::make_shared<ProbeDaemon>(aIo, aConfig);
      return Running{ .m_daemon = daemon, .m_stop = {} };
    });
}
