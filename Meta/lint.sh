#!/usr/bin/env bash
# Runs clang-tidy over every source file, or over those given. Needs no build.
#
# Without arguments, several files of a target share one translation unit, so that their headers are parsed once. Where
# names of two files clash, the files of that unit are checked one by one.
set -euo pipefail
cd "$(dirname "$0")/.."

tidy() { clang-tidy --quiet -p "$1" "$2" 2>/dev/null; }

lint_unit() {
    local output
    if output=$(tidy Build/lint "$1"); then
        return
    fi
    if ! grep -q clang-diagnostic-error <<<"$output"; then
        printf '%s\n' "$output"
        return 1
    fi
    local file
    for file in $(sed -n 's/^#include "\(.*\)"$/\1/p' "$1"); do
        tidy Build/default "$file"
    done
}
export -f tidy lint_unit

cmake --preset default >/dev/null
if [ "$#" -gt 0 ]; then
    printf '%s\0' "$@" | xargs -0 -n 1 -P "$(nproc)" clang-tidy --quiet -p Build/default 2>/dev/null
    echo "lint: $# files are clean"
    exit 0
fi
cmake --preset lint >/dev/null
sed -n 's/^ *"file": "\(.*\)".*/\1/p' Build/lint/compile_commands.json | xargs -d '\n' -n 1 -P "$(nproc)" bash -c 'lint_unit "$0"'
echo "lint: $(sed -n 's/^#include "\(.*\)"$/\1/p' $(sed -n 's/^ *"file": "\(.*\)".*/\1/p' Build/lint/compile_commands.json) | sort -u | wc -l) files are clean"
