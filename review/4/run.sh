#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 2 116 java -Xmx256m -cp target/review-2 Case4 "$PWD" "$PWD/review/4/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
