#!/usr/bin/env bash
# Endpoints that are full answer no SYN; the flows that they hold must go on (FLOW).
cd "$(dirname "$0")/../.." || exit 2
. review/run-scenario.sh
# TROUBLE=0 leaves out the disruption.
TROUBLE=${TROUBLE:-1} run_scenario full-endpoints review/5
