// Entry point of the balancer process of a load balancer host.
#include "daemon/BalancerDaemon.h"
#include "daemon/ConfiguredDaemon.h"

int
main(int aArgc, const char** aArgv)
{
  return tamarack::daemon::runConfiguredDaemon<tamarack::daemon::BalancerDaemon>(
    "tamarack-balancer", aArgc, aArgv);
}
