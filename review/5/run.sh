#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2

program=target/review/case-5
if [ ! -x "$program" ] || [ ! -x target/Services/fulmard/fulmard ]; then
    echo "run the build of deploy/system.toml and review/build.sh first" >&2
    exit 2
fi
timeout 110 "$program" review/5/record.txt
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
