#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/6 to review/10 start, into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.cpp; do
  g++ -std=c++20 -O2 -Wall -Wextra -o "target/review-2/$(basename "$source" .cpp)" "$source"
done
