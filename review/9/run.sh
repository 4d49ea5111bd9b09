#!/usr/bin/env bash
# Plays the case "stop-while-pipelining" with gateways as processes on loopback addresses.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 there is no
# disruption.
set -uo pipefail
case=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$case/../.." && pwd)
gateway=$root/target/acaciaslip
cases=$root/target/review_cases
if [ ! -x "$gateway" ] || [ ! -x "$cases" ]; then
    echo "cannot run: build the deploy file and run review/build-2.sh first" | tee "$case/record.txt"
    exit 2
fi
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$root" || exit 2
# The gateways end with the program that starts them.
timeout --kill-after=2 115 "$cases" stop-while-pipelining "$gateway" "$work" "$case/record.txt" "${TROUBLE:-1}"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
