#!/usr/bin/env bash
# Builds and runs all tests. Tests listed in KNOWN-RED.txt are run and printed, but don't decide the verdict.
# Usage: ./test.sh [build folder]
set -euo pipefail
cd "$(dirname "$0")"
.ci/install_packages
build="${1:-build}"
[ -f "$build/build.ninja" ] || cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build" >/dev/null

known_red=()
if [ -f KNOWN-RED.txt ]; then
  mapfile -t known_red < <(sed -n 's/^test: //p' KNOWN-RED.txt)
fi
jobs=$(( ($(nproc) + 1) / 2 ))
if [ "${#known_red[@]}" -gt 0 ]; then
  pattern="^($(IFS='|'; echo "${known_red[*]}"))\$"
  echo "known red tests, which don't decide the verdict:"
  ctest --test-dir "$build" -R "$pattern" --output-on-failure || true
  ctest --test-dir "$build" -E "$pattern" -j "$jobs" --output-on-failure
else
  ctest --test-dir "$build" -j "$jobs" --output-on-failure
fi
