#!/usr/bin/env bash
# Runs the program of a case: run.sh FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run.
folder=$(cd "$1" && pwd) || exit 2
cd "$folder/../.." || exit 2
program=target/review-2/case-$(basename "$folder")
if [ ! -x target/bin/baobabswitch-mesh ] || [ ! -x "$program" ]; then
    echo "build the deploy file, then run review/build-2.sh" >&2
    exit 2
fi
work=$(mktemp -d) || exit 2
RECORD="$folder/record.txt" WORK="$work" timeout -k 2 115 "$program"
code=$?
rm -rf "$work"
case $code in
0 | 1) exit "$code" ;;
*) exit 2 ;;
esac
