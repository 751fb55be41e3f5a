#!/usr/bin/env bash
# Plots a traced run of the policy benchmark: the teams' shares of the full pools
# over time, and the hosts in maintenance during a roll-out. Needs gnuplot (Debian
# package gnuplot-nox), which neither the build nor the tests need.
# usage: scripts/plot-policy.sh [output directory [build directory [first seed]]]
set -eu
cd "$(dirname "$0")/.."
output="${1:-docs}"
build="${2:-build}"
seed="${3:-1}"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
"$build/bin/policy" --policy ours --first-seed "$seed" --seeds 1 --trace \
  >"$work/table" 2>"$work/trace"
# The trace has the runs of the two users one after the other; the time of each
# starts at 0.
awk -v work="$work" '
  BEGIN { run = 1 }
  $1 + 0 < last { ++run }
  { last = $1 + 0 }
  $2 == "share" { print $1 / 60000, $4, $5 > (work "/share-" run "-" $3) }
  $2 == "drain" { ++draining[run] }
  $2 == "reboot" { --draining[run]; ++rebooting[run] }
  $2 == "rebooted" { --rebooting[run]; ++done[run] }
  $2 ~ /^(drain|reboot|rebooted)$/ {
    print $1 / 60000, draining[run] + 0, rebooting[run] + 0, done[run] + 0 \
      > (work "/wave-" run)
  }' "$work/trace"
for run in 1 2; do
  user=$([ "$run" = 1 ] && echo zapisnik || echo directorate)
  lines=()
  color=1
  for file in "$work/share-$run-"*; do
    team=${file##*-}
    lines+=("'$file' using 1:2 with lines lw 2 lc $color title '$team has'")
    lines+=("'$file' using 1:3 with lines dt 2 lc $color title '$team is due'")
    color=$((color + 1))
  done
  gnuplot <<GNUPLOT
set terminal svg size 760,320 background 'white'
set grid
set key outside
set xlabel 'minutes'
set output '$output/policy-share-$user.svg'
set ylabel 'percent of full pools, a minute'
set yrange [0:100]
plot $(printf '%s, ' "${lines[@]}" | sed 's/, $//')
set output '$output/policy-wave-$user.svg'
set ylabel 'hosts'
set yrange [0:*]
plot '$work/wave-$run' using 1:2 with steps lw 2 title 'draining', \
  '' using 1:3 with steps lw 2 title 'rebooting', \
  '' using 1:4 with steps lw 2 title 'done'
GNUPLOT
done
