#!/usr/bin/env bash
# Endpoints that are full answer no SYN; the flows that they hold must go on (FLOW).
cd "$(dirname "$0")/../.." || exit 2
. review/run-scenario.sh
run_scenario full-endpoints review/5
