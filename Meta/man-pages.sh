#!/usr/bin/env bash
# Makes the man pages of both programs from their own --help, below Build/man.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p Build/man
help2man --no-info --name "steers and explains a fleet of fulmard processes" \
    --output Build/man/fulmarctl.1 Build/default/Utilities/fulmarctl/fulmarctl
help2man --no-info --section 8 --name "takes callers' requests and stands before backend servers" \
    --output Build/man/fulmard.8 Build/default/Services/fulmard/fulmard
echo "Build/man/fulmarctl.1 Build/man/fulmard.8"
