# Sourced by the scripts of the cases: run_scenario NAME FOLDER runs one scenario of the stand-ins
# with the deployed program, and writes FOLDER/record.txt. TROUBLE=0 leaves out the disruption.
# Returns 0 if the rule held, 1 if it was broken, 2 if the scenario did not run.
run_scenario() {
  local scenario=target/review/review-scenario program=target/bin/tamarack-edge status
  if [ ! -x "$scenario" ] || [ ! -x "$program" ]; then
    echo "run the build of deploy/system.toml and review/build.sh first" >&2
    return 2
  fi
  folder=$(mktemp -d) || return 2
  trap 'rm -rf "$folder"' EXIT
  # The hosts end with the scenario.
  timeout -k 2 115 "$scenario" "$1" "$program" "$folder" "$2/record.txt"
  status=$?
  case $status in 0 | 1) return $status ;; *) return 2 ;; esac
}
