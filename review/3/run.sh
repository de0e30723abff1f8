#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
program="review/bin/case-$(basename "$folder")"
if [ ! -x "$program" ] || [ ! -x target/programs/boragelugd ]; then
  echo "build the deploy file and review/build.sh first" >&2
  exit 2
fi
timeout --kill-after=2 112 "$program" "$folder/record.txt"
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
