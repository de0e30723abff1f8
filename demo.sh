#!/usr/bin/env bash
# Builds if needed, starts the stand-ins and four daemons on loopback, sends requests to two services, holds flows and
# prints what was served. Usage: ./demo.sh [build folder]
set -euo pipefail
cd "$(dirname "$0")"
.ci/install_packages
build="${1:-build}"
[ -f "$build/build.ninja" ] || cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build" --target boragelugd platform_standin fabric_standin upstream_standin caller_standin >/dev/null

run="$(mktemp -d)"
. tests/programs/fleet.sh
finish() {
  status=$?
  end_all
  if [ "$status" -ne 0 ]; then
    tail -n 5 "$run"/*.log >&2
  fi
  rm -rf "$run"
}
trap finish EXIT

echo "starting platform, fabric, 4 upstreams of 2 services and 4 entry VMs in 2 zones"
start_fleet
for vm in 1 2 3 4; do
  echo "  VM $vm receives packets at $(json "$run/vm$vm.json" packet)"
done

echo "sending requests to 2 services and holding 40 flows"
start_callers callers --flows price-board:15 --flows scans:15 --tcp-flows price-board:5 --tcp-flows scans:5 \
  --requests confirmations:4 --requests reports:4
callers=$last_pid
wait_for "every flow to be answered 20 times" at_least "$run/callers.json" leastAnswersOfAFlow 20
wait_for "200 answered requests" at_least "$run/callers.json" answered 200
stop_process "$callers"

result="$run/callers.out"
echo "served:"
echo "  $(json "$result" packetsAnswered) of $(json "$result" packetsSent) flow packets, by $(json "$result" hosts) hosts," \
  "$(json "$result" hostChanges) flows broken, $(json "$result" foreignAnswers) answers of another service"
echo "  $(json "$result" answered) requests answered, $(json "$result" refused) refused, $(json "$result" unknown) unknown," \
  "$(json "$result" crossed) crossed, $(json "$result" repeated) executed twice"

echo "draining VM 4"
stop_process "$vm4_pid"
grep -a 'stopped' "$run/vm4.log" | tail -1
