#!/bin/sh
# Builds the stand-ins of the review cases 11 to 15 into target/review-3. Needs only what deploy/system.toml lists.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags="-std=c++20 -O2 -Wall -Wextra -pthread -Ireview/common-3"
# shellcheck disable=SC2086 # the flags are split into words intentionally
g++ $flags -c review/common-3/standin.cpp -o "$out/standin.o"
for source in review/1[1-5]/case.cpp; do
    [ -e "$source" ] || continue
    name=case-$(basename "$(dirname "$source")")
    # shellcheck disable=SC2086
    g++ $flags "$source" "$out/standin.o" -o "$out/$name"
done
