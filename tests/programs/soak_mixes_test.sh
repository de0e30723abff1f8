#!/usr/bin/env bash
# Guards open flows while VMs are stopped and started: against upstreams that answer a SYN late, and against upstreams that
# start again under their ids, records of other writers and listings in pages. Usage: soak_mixes_test.sh BUILD
set -euo pipefail
build="$1"
folder="$(mktemp -d)"
trap 'rm -rf "$folder"' EXIT
# Even networks that soak_test.sh doesn't use.
network=$((224 + $$ % 2 * 8))

offset=0
runs=()
for case in "late-answers 1" "late-answers 2" "records 1" "records 2"; do
  read -r mix seed <<<"$case"
  "$build/soak/boragelug_soak" --program "$build/programs/boragelugd" --folder "$folder/$offset" \
    --network "$((network + 2 * offset))" --mix "$mix" --seed "$seed" --length 12 --vms 8 --upstreams 24 \
    >"$folder/report-$offset" 2>&1 &
  runs+=("$!:$offset")
  offset=$((offset + 1))
done
failed=0
for run in "${runs[@]}"; do
  wait "${run%%:*}" || failed=1
  cat "$folder/report-${run##*:}"
done
exit "$failed"
