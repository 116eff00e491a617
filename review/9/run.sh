#!/usr/bin/env bash
# Plays the case that claim.txt describes. TROUBLE=0 leaves the disruption out. The stand-ins bound the time, and end what they
# started also when they are cut short.
set -uo pipefail
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.."
[ -x target/review-2/standins ] && [ -x target/release/laburnumtally ] || exit 2
exec target/review-2/standins ghost "$folder"
