#!/usr/bin/env bash
# Draws docs/data/goodput.svg from the figures that tools/bench.sh measured.
# usage: tools/plot.sh [BUILD_DIR]
set -euo pipefail
cd "$(dirname "$0")/.."
"${1:-build}/bin/briarhitch-bench" --plot=docs/data/cases.jsonl > docs/data/goodput.svg
