#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need; runs as root.
set -euo pipefail
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y --no-install-recommends \
    g++ cmake ninja-build pkg-config ccache clang-format clang-tidy clang-tidy-16 curl \
    python3 libcapnp-dev libtomlplusplus-dev libspdlog-dev libgflags-dev \
    libboost1.81-dev libexpected-dev libcpp-httplib-dev nlohmann-json3-dev \
    libxxhash-dev libssl-dev catch2 librapidcheck-dev
