#!/usr/bin/env bash
# Plays this case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program=$root/target/acaciaslip
standins=$root/build-review-3/standins
if [ ! -x "$program" ] || [ ! -x "$standins" ]; then
    echo "build the deploy file and run review/build-3.sh first" >&2
    exit 2
fi
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
timeout --kill-after=5 110 "$standins" added-route "$program" "$here" "$temporary"
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
