#!/usr/bin/env bash
# Installs the build tools and libraries on a Debian machine. Does nothing if
# all of them are installed, so that a build without network access works.
set -euo pipefail
packages=(g++ cmake ninja-build ccache clang-format clang-tidy git curl jq
  libboost-dev libboost-test-dev liblog4cxx-dev libmsgpack-cxx-dev
  nlohmann-json3-dev libmimalloc-dev librapidcheck-dev libssl-dev libxxhash-dev)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'ok installed' || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}"
