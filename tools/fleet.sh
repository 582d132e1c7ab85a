# Shell functions that start and stop a fleet of this project on loopback. Sourced by tools/demo and
# by the end-to-end test. BIN is the folder of the programs, RUN a folder for configurations and logs.

fleet_pids=""

# start NAME PROGRAM ARGUMENTS...: runs a program in the background and remembers its process id.
start() {
  local name="$1"
  shift
  "$@" >"$RUN/$name.out" 2>"$RUN/$name.log" &
  echo $! >"$RUN/$name.pid"
  fleet_pids="$fleet_pids $!"
}

# stop_with SIGNAL NAME: sends a signal to a program that was started.
stop_with() {
  kill "-$1" "$(cat "$RUN/$2.pid")" 2>/dev/null || true
}

# stop_all: ends every program that was started, by its id.
stop_all() {
  local pid
  for pid in $fleet_pids; do
    kill -TERM "$pid" 2>/dev/null || true
  done
  sleep 1
  for pid in $fleet_pids; do
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
}

# list_hosts EXAMPLE: prints "address data_centre" of each host.
list_hosts() {
  tr -d ' ",{}' <"$1/hosts.json" | awk -F: '/^address/{a=$2} /^data_centre/{print a, $2}'
}

# list_upstreams EXAMPLE: prints "service vip name address" of each upstream.
list_upstreams() {
  "$BIN/standin-operator" list "$1/settings.json"
}

# start_host EXAMPLE ADDRESS DATA_CENTRE: starts the three processes of an entry host.
start_host() {
  sed -e "s/\"address\": *\"[^\"]*\"/\"address\": \"$2\"/" \
    -e "s/\"data_centre\": *\"[^\"]*\"/\"data_centre\": \"$3\"/" "$1/host.json" >"$RUN/host-$2.json"
  start "settings-$2" "$BIN/tamarack-settings" --config "$RUN/host-$2.json"
  start "balancer-$2" "$BIN/tamarack-balancer" --config "$RUN/host-$2.json"
  start "probe-$2" "$BIN/tamarack-probe" --config "$RUN/host-$2.json"
}

# start_fleet EXAMPLE: starts platform, fabric, upstreams and hosts.
start_fleet() {
  start platform "$BIN/standin-platform" --settings "$1/settings.json" --hosts "$1/hosts.json"
  start fabric "$BIN/standin-fabric" --seed "${SEED:-1}"
  local service vip name address dc
  while read -r service vip name address; do
    start "upstream-$name" "$BIN/standin-upstream" --service "$service" --vip "$vip" \
      --upstream "$name" --address "$address"
  done < <(list_upstreams "$1")
  while read -r address dc; do
    start_host "$1" "$address" "$dc"
  done < <(list_hosts "$1")
}

# wait_established SECONDS EXAMPLE: waits until every balancer holds a map.
wait_established() {
  local deadline=$((SECONDS + $1)) address dc missing
  while [ "$SECONDS" -lt "$deadline" ]; do
    missing=0
    while read -r address dc; do
      "$BIN/tamarackctl" dump "$address:7200" 2>/dev/null | grep -q '"established": true' || missing=1
    done < <(list_hosts "$2")
    [ "$missing" -eq 0 ] && return 0
    sleep 0.3
  done
  return 1
}
