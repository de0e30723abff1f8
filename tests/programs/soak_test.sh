#!/usr/bin/env bash
# Runs the soak with fixed seeds in CI: those that ever failed and one more. Then shows that it can fail: for a broken
# stand-in it has to find the broken promise. Usage: soak_test.sh BUILD
set -euo pipefail
build="$1"
folder="$(mktemp -d)"
trap 'rm -rf "$folder"' EXIT
# The process id spreads the loopback networks of runs at the same time. Odd networks are those of daemon_test.h.
network=$((16 + $$ % 100 * 2))

# Each run has a loopback network of its own, so that several can share the machine.
soak() {
  local offset="$1"
  shift
  "$build/soak/boragelug_soak" --program "$build/programs/boragelugd" --folder "$folder/$offset" \
    --network "$((network + 2 * offset))" "$@"
}

# 120: a packet reached a host of another service, because the soak wrote ids of hosts in decimal digits.
# 1026: a VM that was paused refused a SYN that had waited in its socket; another VM had opened the flow meanwhile.
# 1029, 1041: a VM with an older view refused a late SYN of a flow that another VM had opened at an entry just added.
offset=0
runs=()
for case in "1 8" "120 8" "1026 12" "1029 12" "1041 12"; do
  read -r seed length <<<"$case"
  mkdir "$folder/$offset"
  soak "$offset" --seed "$seed" --length "$length" >"$folder/report-$seed" 2>&1 &
  runs+=("$!:$seed")
  offset=$((offset + 1))
done
failed=0
for run in "${runs[@]}"; do
  wait "${run%%:*}" || failed=1
  cat "$folder/report-${run##*:}"
done
[ "$failed" -eq 0 ]

for case in "bytes bytes" "service service" "reset reset"; do
  read -r sabotage promise <<<"$case"
  if soak 0 --seed 1 --length 2 --sabotage "$sabotage" >"$folder/report"; then
    echo "the soak didn't find the broken promise: $sabotage" >&2
    exit 1
  fi
  grep -q "broken at .*: $promise:" "$folder/report"
done
