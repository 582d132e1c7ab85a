// The settings process of one entry host.
#include "daemon/HostDaemon.h"
#include "daemon/SettingsDaemon.h"

int
main(int aCount, const char** aWords)
{
  return tamarack::daemon::runHostDaemon<tamarack::daemon::SettingsDaemon>(
    "tamarack-settings", aCount, aWords);
}
