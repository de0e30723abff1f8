#!/usr/bin/env bash
# Runs the soak with fixed seeds in CI: those that ever failed and one more. Then shows that it can fail: for a broken
# stand-in it has to find the broken promise. Usage: soak_test.sh BUILD
set -euo pipefail
build="$1"
folder="$(mktemp -d)"
trap 'rm -rf "$folder"' EXIT
# The process id spreads the loopback networks of runs at the same time.
network=$((16 + $$ % 110 * 2))

soak() {
  "$build/soak/boragelug_soak" --program "$build/programs/boragelugd" --folder "$folder" --network "$network" "$@"
}

# 120: a packet reached a host of another service, because the soak wrote ids of hosts in decimal digits.
for seed in 1 120; do
  soak --seed "$seed" --length 8
done

for case in "bytes bytes" "service service" "reset reset"; do
  read -r sabotage promise <<<"$case"
  if soak --seed 1 --length 2 --sabotage "$sabotage" >"$folder/report"; then
    echo "the soak didn't find the broken promise: $sabotage" >&2
    exit 1
  fi
  grep -q "broken at .*: $promise:" "$folder/report"
done
