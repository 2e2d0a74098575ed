#!/usr/bin/env bash
# Builds what the scripts of review/11 and later start beside the daemon, which
# the build line of deploy/system.toml makes. The stand-ins are Python programs
# that need the standard library only; this compiles them, so that a fault in
# one shows here.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONPYCACHEPREFIX=$(mktemp -d)
export PYTHONPYCACHEPREFIX
for file in standins-3/*.py 1[1-5]/case.py; do
  if [ -e "$file" ]; then
    python3 -m py_compile "$file"
  fi
done
rm -rf "$PYTHONPYCACHEPREFIX"
echo "review: the stand-ins compile"
