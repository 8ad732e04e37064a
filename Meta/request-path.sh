#!/usr/bin/env bash
# Prints every log line about a request and the calls that it made, from the logs of any number of processes, by time.
# Usage: Meta/request-path.sh REQUEST LOG...
set -euo pipefail
if [ $# -lt 2 ]; then
    echo "usage: $0 REQUEST LOG..." >&2
    exit 2
fi
request=$1
shift
grep -hE "request=\"?${request}(\.[0-9a-f]+)?\"?( |\$)" "$@" | awk '{
    for (field = 1; field <= NF; ++field)
        if ($field ~ /^time=/)
            print substr($field, 6) "\t" $0
}' | sort | cut -f 2-
