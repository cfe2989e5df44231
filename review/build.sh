#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. The project's programs come from the build line of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/casekit ./review/_kit
