#!/usr/bin/env bash
# Measures the slopes behind docs/CAPACITY.md in one run and prints one JSON line; under ten minutes.
# usage: tools/capacity.sh [BUILD_DIR]   (keep the line as docs/data/capacity.json)
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
"$build/bin/briarhitch-capacity" --programs="$build/bin" --folder="$folder/run"
