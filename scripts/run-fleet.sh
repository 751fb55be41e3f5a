#!/usr/bin/env bash
# Starts the processes of one example user on loopback, imports its sheet,
# submits jobs, shows their outcomes and where they ran, and stops everything.
# usage: scripts/run-fleet.sh zapisnik|rila [jobs]
set -eu
cd "$(dirname "$0")/.."
user="$1"
jobs="${2:-300}"
bin="${BUILD_DIR:-build}/bin"
port="${DEMO_PORT:-21000}"
work=$(mktemp -d)
pids=()
export BORAGEWINCH_CLUSTER_SECRET=demo-cluster
export BORAGEWINCH_OPERATOR_SECRET=demo-operator

# Ends only the processes that this script started, in the opposite order.
finish() {
  local i
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
    kill -TERM "${pids[i]}" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  if [ -n "${DEMO_KEEP:-}" ]; then
    echo "data directories and logs: $work"
  else
    rm -rf "$work"
  fi
}
trap finish EXIT
trap 'exit 1' INT TERM

start() { # name, program, arguments
  local name="$1"
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
}

memory=32768
[ "$user" = rila ] && memory=65536
peers="" control=""
for i in 1 2 3; do
  address="127.0.0.1:$((port + i))"
  peers="$peers${peers:+,}c$i=$address"
  control="$control${control:+,}$address"
done
platform="127.0.0.1:$((port + 9))"
start platform "$bin/fake-platform" --listen="$platform" --reboot-ms=500
for i in 1 2 3; do
  mkdir "$work/c$i"
  start "c$i" "$bin/boraged-control" --name="c$i" --data="$work/c$i" \
    --listen="127.0.0.1:$((port + i))" --peers="$peers" --platform="$platform"
done

all="" zones=""
n=0
for zone in za zb zc; do
  entries=""
  for i in 1 2 3; do
    n=$((n + 1))
    address="127.0.0.1:$((port + 10 + n))"
    start "$zone-e$i" "$bin/boraged-entry" --name="$zone-e$i" --zone="$zone" \
      --listen="$address" --peer-listen="127.0.0.1:$((port + 30 + n))" \
      --control="$control"
    entries="$entries${entries:+,}$address"
    zones="$zones${zones:+,}$zone=$address"
  done
  all="$all${all:+,}$entries"
  hosts=$(awk -F, -v z="$zone" '$1 == "host" && $5 == z { print $2 }' \
    "examples/$user.csv" | paste -sd, -)
  start "$zone-workers" "$bin/fake-worker" --zone="$zone" --hosts="$hosts" \
    --entries="$entries" --platform="$platform" --memory-mb="$memory" \
    --run-log="$work/runs.log"
done

ctl() { "$bin/boragectl" --control="$control" --entries="$zones" "$@"; }

echo "== $user: sheet"
# Waits until every entry host has a confirmation of the control leader ("yes"
# in the column "fresh" of the status).
wait_for_entries() {
  local _
  for _ in $(seq 150); do
    [ "$(ctl status 2>/dev/null | grep -c ' yes *$')" -ge "$n" ] && return 0
    sleep 0.1
  done
  echo "the entry hosts did not become ready" >&2
  return 1
}
wait_for_entries
ctl sheet check "examples/$user.csv"
ctl sheet apply "examples/$user.csv"
ctl pool list

# A key for each team; an open queue needs none.
queues=""
declare -A keys
for team in $(awk -F, '$1 == "team" { print $2 }' "examples/$user.csv"); do
  keys[$team]=$(ctl --json key create "$team" |
    sed -n 's/.*"key" *: *"\([^"]*\)".*/\1/p')
done
while IFS=, read -r _ queue _ team _ _ _ _ _ _ _ open; do
  if [ "$open" = yes ] || [ "$open" = true ] || [ "$open" = 1 ]; then
    queues="$queues${queues:+,}$queue"
  else
    queues="$queues${queues:+,}$queue=${keys[$team]}"
  fi
done < <(grep '^queue,' "examples/$user.csv")

echo "== $user: $jobs jobs over all entry hosts"
"$bin/boragewinch-load" --entries="$all" --queues="$queues" --jobs="$jobs" \
  --run-ms=40
echo "== $user: where they ran"
awk '{ print $2 }' "$work/runs.log" | sort | uniq -c | sort -rn | head -8
echo "executions: $(wc -l <"$work/runs.log"), distinct:" \
  "$(awk '{ print $1 }' "$work/runs.log" | sort -u | wc -l)"
ctl status
ctl host list | head -8
echo "== $user: planned stop"
