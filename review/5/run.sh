#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption. Needs the build of the deploy file and review/build.sh.
set -uo pipefail
cd "$(dirname "$0")/../.."
[ -x target/bin/rattan-instance ] && [ -x review/out/frozen ] || exit 2
timeout -k 2 115 review/out/frozen review/5
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
