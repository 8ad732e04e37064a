#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review. Needs a C++ compiler and jsoncpp, as the deploy file's
# build does.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -I. $(pkg-config --cflags jsoncpp))
for source in review/[1-5]/*.cpp; do
    name="case-$(basename "$(dirname "$source")")"
    "${CXX:-g++}" "${flags[@]}" "$source" -o "target/review/$name" $(pkg-config --libs jsoncpp)
done
