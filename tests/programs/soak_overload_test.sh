#!/usr/bin/env bash
# Guards open flows of upstreams that serve, but are so overloaded that they lose packets and connections. Usage:
# soak_overload_test.sh BUILD
set -euo pipefail
build="$1"
folder="$(mktemp -d)"
trap 'rm -rf "$folder"' EXIT
# Networks that no other test uses.
network=216

runs=()
for seed in 1 2 4; do
  "$build/soak/boragelug_soak" --program "$build/programs/boragelugd" --folder "$folder/$seed" \
    --network "$((network + seed))" --mix overload --seed "$seed" --length 12 --vms 8 --upstreams 24 \
    >"$folder/report-$seed" 2>&1 &
  runs+=("$!:$seed")
done
result=0
for run in "${runs[@]}"; do
  wait "${run%%:*}" || result=1
  cat "$folder/report-${run##*:}"
done
exit "$result"
