#!/usr/bin/env bash
# A SYN copy from a port that is in use again must follow the newest configuration (CONFIG).
cd "$(dirname "$0")/../.." || exit 2
. review/run-scenario.sh
# TROUBLE=0 leaves out the disruption.
TROUBLE=${TROUBLE:-1} run_scenario reused-port review/4
