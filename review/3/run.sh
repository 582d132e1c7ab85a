#!/usr/bin/env bash
# A host must not reset an open flow for what it saw during a cut that healed more than 4 s ago (FLOW).
cd "$(dirname "$0")/../.." || exit 2
. review/run-scenario.sh
# TROUBLE=0 leaves out the disruption.
TROUBLE=${TROUBLE:-1} run_scenario stale-verdict review/3
