#!/usr/bin/env bash
# Formats all C++ sources in place; with --check it only reports files that differ.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
[ "${1:-}" = "--check" ] && mode=(--dry-run -Werror)
git ls-files -co --exclude-standard '*.cpp' '*.h' | xargs -r clang-format-14 "${mode[@]}"
