#!/usr/bin/env bash
# Runs clang-tidy on every source file. A file whose preprocessed text, flags
# and configuration passed before is skipped, so that a second run is short.
set -euo pipefail
build=$1
jobs=$2
cache=${BLUEBELL_LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/bluebell-lint}
mkdir -p "$cache"
export build cache
lint_one() {
  local file=$1 key
  key=$( (cat .clang-tidy; g++ -std=c++20 -I. -E -P "$file") | sha256sum | cut -d' ' -f1)
  [ -e "$cache/$key" ] && return 0
  # The build's flags hold warning options that only g++ knows.
  clang-tidy --quiet --extra-arg=-Wno-unknown-warning-option -p "$build" "$file" 2>/dev/null && touch "$cache/$key"
}
export -f lint_one
git ls-files -co --exclude-standard '*.cc' | grep -v '^libraries/' |
  xargs -P "$jobs" -I{} bash -c 'lint_one "$@"' _ {}
echo "lint: clean"
