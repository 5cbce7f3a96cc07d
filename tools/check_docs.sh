#!/usr/bin/env bash
# Fails if docs/PROOFS.md names a test that ctest does not know, or a page links to a file that does not exist.
# usage: tools/check_docs.sh [BUILD_DIR]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
known=$(ctest --test-dir "$build" -N | sed -n 's/^ *Test *#[0-9]*: //p')
bad=0
while read -r name; do
    pattern=$(printf '%s' "$name" | sed 's/[.]/\\./g; s/\*/.*/g')
    if ! grep -qE "^${pattern}" <<<"$known"; then
        echo "docs/PROOFS.md names $name, which is no test"
        bad=1
    fi
done < <(grep -oE '([A-Za-z]+/)?[A-Z][A-Za-z]*Test(/[A-Za-z]+)?\.[A-Za-z*]+(/\*)?' docs/PROOFS.md | sort -u)
for page in README.md CONTRIBUTING.md docs/*.md; do
    while read -r link; do
        if [ ! -e "$(dirname "$page")/$link" ]; then
            echo "$page links to $link, which does not exist"
            bad=1
        fi
    done < <(grep -oE '\]\([^)#:]+' "$page" | sed 's/](//' | sort -u)
done
exit "$bad"
