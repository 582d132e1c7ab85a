#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/review, beside the deployed program.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
c++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -o target/review/review-scenario review/standins/*.cpp
