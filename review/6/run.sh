#!/usr/bin/env bash
# Runs case 6. TROUBLE=0: the coordinator is stopped in order, and nothing else
# happens. SEED varies the work of the endpoints. Writes record.txt.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
program=target/programs/bluebellgw
world=build-review/two_leaders
if [ ! -x "$program" ] || [ ! -x "$world" ]; then
  echo "build deploy/system.toml's program and run review/build-2.sh first" >&2
  exit 2
fi
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
status=2
# Another program may use a port of the block.
for _ in 1 2 3; do
  port=$((20000 + RANDOM % 60 * 200))
  timeout 118 "$world" "$program" "$folder" "$port" "${SEED:-1}" \
    "${TROUBLE:-1}"
  status=$?
  [ -s "$folder/record.txt" ] && break
done
cp "$folder/record.txt" "$here/record.txt"
[ "$status" -le 2 ] || status=2
exit "$status"
