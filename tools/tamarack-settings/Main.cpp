// Entry point of the settings process of a load balancer host.
#include "daemon/ConfiguredDaemon.h"
#include "daemon/SettingsDaemon.h"

int
main(int aArgc, const char** aArgv)
{
  return tamarack::daemon::runConfiguredDaemon<tamarack::daemon::SettingsDaemon>(
    "tamarack-settings", aArgc, aArgv);
}
