#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into target/review-2. Needs the
# packages of deploy/system.toml only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
${CXX:-g++} -std=c++20 -O2 -Wall -Wextra -Wno-missing-field-initializers -DASIO_STANDALONE \
  -DASIO_NO_DEPRECATED -DASIO_DISABLE_STD_ALIGNED_ALLOC -o target/review-2/standin-world \
  review/standins-2/*.cpp -pthread
