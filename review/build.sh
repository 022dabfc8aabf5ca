#!/usr/bin/env bash
# Builds the stand-ins of the cases, after the build of deploy/system.toml. Needs g++ and nlohmann-json, which that
# file lists as packages.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cpp; do
    name=$(basename "$(dirname "$source")")
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review/case-$name" "$source"
done
