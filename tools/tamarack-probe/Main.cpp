// Entry point of the probe process of a load balancer host.
#include "daemon/ConfiguredDaemon.h"
#include "daemon/ProbeDaemon.h"

int
main(int aArgc, const char** aArgv)
{
  return tamarack::daemon::runConfiguredDaemon<tamarack::daemon::ProbeDaemon>(
    "tamarack-probe", aArgc, aArgv);
}
