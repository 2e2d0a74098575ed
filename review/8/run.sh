#!/usr/bin/env bash
# Runs case 8. TROUBLE=0: the clients read their answers at once. Writes
# record.txt.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
program=target/programs/bluebellgw
world=build-review/slow_reader
if [ ! -x "$program" ] || [ ! -x "$world" ]; then
  echo "build deploy/system.toml's program and run review/build-2.sh first" >&2
  exit 2
fi
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
export BLUEBELLSPAN_BOOT="$folder/boot.toml"
timeout 60 "$world" "$program" "$folder" "${TROUBLE:-1}"
status=$?
cp "$folder/record.txt" "$here/record.txt"
[ "$status" -le 2 ] || status=2
exit "$status"
