# Starts the project's programs with the commands of deploy/system.toml, on
# loopback addresses. Sourced by the scripts of the cases 11 to 15.
#
# Every process that is started here is ended by end_all, by its id.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
folder=
processes=()
scheduler_pid=()

end_all() {
  local pid left
  trap '' INT TERM HUP
  for pid in ${processes[@]+"${processes[@]}"}; do
    kill -KILL "$pid" 2>/dev/null || true
  done
  for _ in {1..100}; do
    left=0
    for pid in ${processes[@]+"${processes[@]}"}; do
      kill -0 "$pid" 2>/dev/null && left=1
    done
    [ "$left" -eq 0 ] && break
    sleep 0.05
  done
  if [ -n "${KEEP:-}" ]; then
    echo "logs: $folder" >&2
  elif [ -n "$folder" ]; then
    rm -rf "$folder"
  fi
}
trap end_all EXIT
trap 'exit 2' INT TERM HUP
folder=$(mktemp -d) || exit 2

# A block of loopback addresses of this run.
block=127.$((RANDOM % 100 + 100)).$((RANDOM % 200 + 10))
core_ip=("$block.11" "$block.12" "$block.13" "$block.14")
front_ip=("$block.21" "$block.22")
machines_address=$block.31:8344
control_port=8345
internal_port=7000
seeds=${core_ip[0]}:$control_port,${core_ip[1]}:$control_port,${core_ip[2]}:$control_port
fronts=${front_ip[0]}:8340,${front_ip[1]}:8340

# usage: fill COMMAND; replaces the placeholders from the array `settings`
fill() {
  local text=$1 name
  for name in "${!settings[@]}"; do
    text=${text//"{{$name}}"/${settings[$name]}}
  done
  case $text in
    *"{{"*)
      echo "placeholder without a value: $text" >&2
      return 1
      ;;
  esac
  echo "$text"
}

# usage: run_line ROLE; prints the role's run command of the deploy file
run_line() {
  awk -v role="[roles.$1]" '
    $0 == role { found = 1; next }
    /^\[/ { found = 0 }
    found && /^run = "/ { sub(/^run = "/, ""); sub(/"$/, ""); print }' \
    "$root/deploy/system.toml"
}

declare -A settings=(
  [seeds]=$seeds
  [internalPortRange.0]=$internal_port
  [cloudApi.address]=$machines_address
  [cloudApi.dutyPerS]=64.0
  [advice]=
  [faultTolerance.machines]=1
  [bounds.maxHoldMs]=10000
  [bounds.leaseMs]=3000
  [bounds.maintenanceS]=2
)

# usage: start_scheduler NUMBER BOOTSTRAP; sets scheduler_pid[NUMBER]
start_scheduler() {
  local i=$1
  settings[nodeName]=core-zone-$i
  settings[zone]=zone-$i
  settings[ip]=${core_ip[$i]}
  settings[listen.control]=${core_ip[$i]}:$control_port
  settings[dataDir]=$folder/data-$i
  settings[limits.memoryMb]=256
  settings[bootstrap]=$2
  mkdir -p "$folder/data-$i"
  local command
  command=$(fill "$(run_line scheduler)")
  # shellcheck disable=SC2086
  (cd "$root" && exec $command) >>"$folder/core-$i.log" 2>&1 &
  scheduler_pid[$i]=$!
  processes+=($!)
  disown $!
}

# usage: start_gateway NUMBER
start_gateway() {
  local i=$1
  settings[nodeName]=front-zone-$i
  settings[ip]=${front_ip[$i]}
  settings[listen.front]=${front_ip[$i]}:8340
  settings[listen.ready]=${front_ip[$i]}:8343
  settings[limits.memoryMb]=260
  local command
  command=$(fill "$(run_line gateway)")
  # shellcheck disable=SC2086
  (cd "$root" && exec $command) >>"$folder/front-$i.log" 2>&1 &
  processes+=($!)
  disown $!
}

# usage: play NAME; plays a case, writes its record and returns 0, 1 or 2
play() {
  local status
  "$root/target/review-3/scenario" "$1" "$seeds" "$fronts" \
    "$machines_address" "${TROUBLE:-1}" >"$case_folder/record.txt" &
  processes+=($!)
  # A signal ends the wait at once, so that its trap runs.
  wait $!
  status=$?
  grep -E "BROKEN|held: " "$case_folder/record.txt" ||
    tail -n 1 "$case_folder/record.txt"
  [ "$status" -le 1 ] || status=2
  return "$status"
}

if [ ! -x "$root/target/bin/boraged-scheduler" ] ||
  [ ! -x "$root/target/review-3/scenario" ]; then
  echo "run the build of deploy/system.toml and review/build-3.sh first" >&2
  exit 2
fi
