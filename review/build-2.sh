#!/usr/bin/env bash
# Builds what the scripts of the second review start, besides the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for main in review/*/main.cpp; do
    number="$(basename "$(dirname "$main")")"
    [ "$number" -ge 6 ] || continue
    g++ -std=c++20 -O2 -I. $(pkg-config --cflags jsoncpp) "$main" -o "target/review-2/case-$number" $(pkg-config --libs jsoncpp) -pthread
done
