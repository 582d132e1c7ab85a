// The balancer process of one entry host.
#include "daemon/BalancerDaemon.h"
#include "daemon/HostDaemon.h"

int
main(int aCount, const char** aWords)
{
  return tamarack::daemon::runHostDaemon<tamarack::daemon::BalancerDaemon>(
    "tamarack-balancer", aCount, aWords);
}
