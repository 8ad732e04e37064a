#!/usr/bin/env bash
# Formats every source file; with --check only reports those that differ.
set -euo pipefail
cd "$(dirname "$0")/.."

mode=(-i)
if [ "${1:-}" = "--check" ]; then
    mode=(--dry-run --Werror)
fi
git ls-files --cached --others --exclude-standard '*.h' '*.cpp' | xargs clang-format "${mode[@]}"
