#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 with their stand-ins, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
    if [ -e "review/$number/case.cpp" ]; then
        "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -I review/common-2 \
            -o "target/review-2/case-$number" "review/$number/case.cpp"
    fi
done
