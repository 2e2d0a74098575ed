#!/usr/bin/env bash
# Runs both regions with stand-ins for their platforms and endpoints, sends
# requests of every service and rank and checks the outcomes. The programs are
# stopped by the process that started them.
set -euo pipefail
build=${1:-build}
folder=$(mktemp -d)
status=0
"$build/testing/demo" --build="$build" --folder="$folder" || status=$?
if [ "$status" -eq 0 ]; then
  rm -rf "$folder"
else
  echo "settings and logs are in $folder" >&2
fi
exit "$status"
