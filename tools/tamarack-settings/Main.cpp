// The settings process of one entry host.
#include "daemon/Program.h"
#include "daemon/SettingsDaemon.h"

int
main(int aCount, const char** aWords)
{
  using namespace tamarack::daemon;
  return runDaemon(
    "tamarack-settings", aCount, aWords, [](asio::io_context& aIo, const HostConfig& aConfig) {
      const auto daemon = std::make_shared<SettingsDaemon>(aIo, aConfig);
      return Running{ .m_daemon = daemon, .m_stop = {} };
    });
}
