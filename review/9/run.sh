#!/usr/bin/env bash
# Plays the case that claim.txt describes. TROUBLE=0 leaves the disruption out.
set -uo pipefail
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.."
dir="$(mktemp -d)"
trap 'rm -rf "$dir"' EXIT
# Ends the whole group of processes if the case hangs.
timeout -k 3 110 target/review-2/standins ghost "$folder" "$dir"
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
