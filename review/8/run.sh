#!/usr/bin/env bash
# Plays the case "older-peer": exit code 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# Without the disruption: TROUBLE=0.
cd "$(dirname "$0")/../.." || exit 2
program=target/bin/rattan-instance
cases=review/standin-2/out/review-cases
[ -x "$program" ] && [ -x "$cases" ] || exit 2
directory=$(mktemp -d) || exit 2
TROUBLE=${TROUBLE:-1} timeout -k 5 112 "$cases" older-peer "$program" "$directory" "review/8/record.txt"
code=$?
rm -rf "$directory"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
