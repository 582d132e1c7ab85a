// The edge process: a host that steers packets by token, with the packet format and the store
// client of the platform.
#include "edge/EdgeDaemon.h"
#include "platform/PacketHeader.h"
#include "platform/StoreClient.h"
#include "program/Program.h"

int
main(int aCount, const char** aWords)
{
  using namespace tamarack;
  using Daemon = edge::EdgeDaemon<platform::PacketHeader, platform::StoreClient>;
  return program::runDaemonProgram(
    "tamarack-edge",
    aCount,
    aWords,
    [](asio::io_context& aIo, const std::string& aFile) -> absl::StatusOr<program::DaemonHandle> {
      edge::SettingsFile file(aFile);
      auto settings = file.read();
      if (!settings.ok()) {
        return settings.status();
      }
      const auto daemon = std::make_shared<Daemon>(aIo, *std::move(settings), std::move(file));
      return program::DaemonHandle{ .m_daemon = daemon,
                                    .m_stop = [daemon] { daemon->stop(); },
                                    .m_reload = [daemon] { daemon->reload(); } };
    });
}
