#!/usr/bin/env bash
# Installs the build dependencies on Debian 12. Does nothing when all are installed.
set -euo pipefail
PACKAGES=(libboost1.81-dev libboost-json1.81-dev libthrift-dev libdocopt-dev
          libeasyloggingpp-dev librapidcheck-dev libssl-dev zlib1g-dev libgtest-dev
          libgmock-dev libbenchmark-dev g++ cmake ninja-build clang clang-format clang-tidy curl python3)
MISSING=()
for Package in "${PACKAGES[@]}"; do
  dpkg-query -W -f='${Status}' "$Package" 2>/dev/null | grep -q 'install ok installed' || MISSING+=("$Package")
done
[ ${#MISSING[@]} -eq 0 ] && exit 0
apt-get update
apt-get install -y "${MISSING[@]}"
