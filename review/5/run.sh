#!/usr/bin/env bash
# A host that restarts at the end of an evacuation must spare cold endpoints (FAILBACK).
cd "$(dirname "$0")/../.." || exit 2
. review/run-scenario.sh
run_scenario cold-after-evacuation review/5
