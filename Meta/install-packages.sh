#!/usr/bin/env bash
# Installs every Debian package that the build, the tests and the checks need.
set -euo pipefail

packages=(
    g++ cmake ninja-build ccache pkg-config curl clang-format clang-tidy help2man
    libh2o-evloop-dev libjsonrpccpp-dev libjsoncpp-dev libcxxopts-dev liblog4cplus-dev libyaml-cpp-dev libboost-dev
    librapidcheck-dev libgtest-dev libopentracing-dev libssl-dev libxxhash-dev zlib1g-dev
)

missing=()
for package in "${packages[@]}"; do
    dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
if [ "${#missing[@]}" -eq 0 ]; then
    exit 0
fi
apt-get update -q
DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends "${missing[@]}"
