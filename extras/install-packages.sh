#!/usr/bin/env bash
# Installs the Debian packages that building, checking and demonstrating need.
# Does nothing, and needs no network, when all of them are there.
set -euo pipefail
packages=(g++ cmake ninja-build ccache make clang-format clang-tidy pkg-config
  libboost-dev libwebsocketpp-dev libcxxopts-dev libeasyloggingpp-dev prometheus-cpp-dev
  doctest-dev nlohmann-json3-dev liburcu-dev librapidcheck-dev libssl-dev zlib1g-dev
  openssl curl gnuplot-nox)
missing=()
for package in "${packages[@]}"; do
  state=$(dpkg-query -W -f='${Status}' "$package" 2>/dev/null || true)
  [ "$state" = "install ok installed" ] || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
echo "installing: ${missing[*]}"
apt-get update -q
DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends "${missing[@]}"
