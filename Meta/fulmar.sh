#!/usr/bin/env bash
# The project's entry point for people: `run` shows a small fleet at work, `test` runs every test.
set -euo pipefail
cd "$(dirname "$0")/.."

usage() {
    echo "usage: Meta/fulmar.sh run|test|build" >&2
    exit 2
}

# Objects of one checkout serve others too: paths are taken relative to the checkout.
export CCACHE_BASEDIR="$PWD"
export CCACHE_NOHASHDIR=1

build() {
    Meta/install-packages.sh
    cmake --preset "$1" >/dev/null
    cmake --build --preset "$1"
}

case "${1:-}" in
run)
    build default
    Meta/run-fleet.sh
    ;;
build)
    build default
    ;;
test)
    build default
    ctest --preset default -j "$(nproc)"
    build sanitizers
    ctest --preset sanitizers -j "$(nproc)"
    ;;
*)
    usage
    ;;
esac
