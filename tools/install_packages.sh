#!/usr/bin/env bash
# Installs the Debian packages that the build, the linter and the tests need.
set -euo pipefail
packages=(g++ cmake ninja-build ccache clang-format clang-tidy curl python3
  libboost1.81-dev libcereal-dev libdocopt-dev liblog4cplus-dev catch2
  libxxhash-dev librapidcheck-dev libssl-dev)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
sudo=""
[ "$(id -u)" -eq 0 ] || sudo="sudo"
$sudo apt-get update -qq
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq "${missing[@]}" >/dev/null
