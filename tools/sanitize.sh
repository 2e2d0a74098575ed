#!/usr/bin/env bash
# Runs tests under AddressSanitizer and UBSan, then under ThreadSanitizer. Names
# of folders of bluebell/ limit the run to their tests; without one, all tests
# run under the first two and those with threads under the third.
#
#   tools/sanitize.sh JOBS [FOLDER...]
set -euo pipefail
jobs=$1
shift
run() {
  local sanitizers=$1 build=$2
  shift 2
  cmake -S . -B "$build" -G Ninja -DBLUEBELL_SANITIZE="$sanitizers" >/dev/null
  if [ $# -eq 0 ]; then
    cmake --build "$build" -j "$jobs"
    ctest --test-dir "$build" --output-on-failure -j "$jobs"
  else
    cmake --build "$build" -j "$jobs" --target "${@/%/_test}"
    ctest --test-dir "$build" --output-on-failure -j "$jobs" \
      -R "^($(IFS='|'; echo "${*#bluebell_}"))\$"
  fi
}
threaded=(telemetry net proxy admin daemon)
run address,undefined build-address "${@/#/bluebell_}"
[ $# -gt 0 ] || set -- "${threaded[@]}"
run thread build-thread "${@/#/bluebell_}"
