#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the checks need.
set -euo pipefail
packages=(
    g++ cmake ninja-build ccache clang-format-14 clang-tidy-14
    libboost-dev libboost-fiber-dev libboost-context-dev libmsgpack-cxx-dev
    libabsl-dev liblog4cplus-dev libexpected-dev nlohmann-json3-dev
    libssl-dev libxxhash-dev libgtest-dev libgmock-dev librapidcheck-dev
    curl jq
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -gt 0 ]; then
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}"
fi
