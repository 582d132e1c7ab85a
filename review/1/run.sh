#!/usr/bin/env bash
# An entry of another writer lists the address of a living endpoint; its open flows must go on (FLOW).
cd "$(dirname "$0")/../.." || exit 2
. review/run-scenario.sh
# TROUBLE=0 leaves out the disruption.
TROUBLE=${TROUBLE:-1} run_scenario foreign-entry review/1
