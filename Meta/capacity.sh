#!/usr/bin/env bash
# Prints the measured slopes that docs/CAPACITY.md is worked out from. Takes some minutes.
set -euo pipefail
cd "$(dirname "$0")/.."

build="Build/default/Tests"
for nodes in ${FULMAR_NODES:-100 400}; do
    echo "== membership, gossip and configuration at $nodes nodes"
    "$build/LibDecision/Membership/BenchMembership" "$nodes"
done
echo "== registry, health and routing at 14,000 backend servers"
"$build/Bench/bench-decisions" --capacity
echo "== admission, calls and 75,000 accounts"
"$build/LibDecision/Admission/BenchAdmission"
echo "== claims"
"$build/LibDecision/Claims/BenchClaims"
echo "== one HTTP hop"
"$build/LibTransport/bench-hop"
