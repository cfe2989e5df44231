#!/usr/bin/env bash
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/buckthornd ] && [ -x target/review/casekit ] || exit 2
exec target/review/casekit replaced-wiped review/1/record.txt
