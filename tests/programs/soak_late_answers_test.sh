#!/usr/bin/env bash
# Guards open flows against upstreams that answer a SYN late while VMs are stopped and started: no other upstream may get
# or reset a flow. Usage: soak_late_answers_test.sh BUILD
set -euo pipefail
build="$1"
folder="$(mktemp -d)"
trap 'rm -rf "$folder"' EXIT
network=$((16 + $$ % 100 * 2))

runs=()
for seed in 1 2; do
  "$build/soak/boragelug_soak" --program "$build/programs/boragelugd" --folder "$folder/$seed" \
    --network "$((network + seed - 1))" --mix late-answers --seed "$seed" --length 12 --vms 8 --upstreams 24 \
    >"$folder/report-$seed" 2>&1 &
  runs+=("$!:$seed")
done
failed=0
for run in "${runs[@]}"; do
  wait "${run%%:*}" || failed=1
  cat "$folder/report-${run##*:}"
done
exit "$failed"
