// The probe process of one entry host.
#include "daemon/HostDaemon.h"
#include "daemon/ProbeDaemon.h"

int
main(int aCount, const char** aWords)
{
  return tamarack::daemon::runHostDaemon<tamarack::daemon::ProbeDaemon>(
    "tamarack-probe", aCount, aWords);
}
