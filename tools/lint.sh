#!/usr/bin/env bash
# Runs clang-tidy over the sources that compile_commands.json lists. Results are cached by content,
# because linting the Beast and msgpack headers takes much longer than compiling them.
# usage: [LINT_JOBS=N] tools/lint.sh [BUILD_DIR]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
cache=${XDG_CACHE_HOME:-$HOME/.cache}/briarhitch-lint
mkdir -p "$cache"
headers=$(git ls-files -co --exclude-standard '*.h' .clang-tidy CMakeLists.txt | sort | xargs sha256sum | sha256sum | cut -c1-32)
lint_one() {
    local key
    key=$(cat "$1" <(echo "$headers") | sha256sum | cut -c1-40)
    [ -e "$cache/$key" ] && return 0
    clang-tidy-14 --quiet -p "$build" "$1" 2>/dev/null && touch "$cache/$key"
}
export -f lint_one
export build cache headers
git ls-files -co --exclude-standard '*.cpp' | xargs -r -P "${LINT_JOBS:-$(nproc)}" -I{} bash -c 'lint_one {}'
