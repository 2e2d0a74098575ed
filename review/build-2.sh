#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into build-review/. Run it at the
# root of the repository after the build of deploy/system.toml, whose libraries
# under target/ are used.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build-review
mkdir -p "$out"
flags=(-std=c++20 -O1 -DBOOST_ASIO_NO_DEPRECATED -DBOOST_ERROR_CODE_HEADER_ONLY -I.)
compile() {
  g++ "${flags[@]}" -c "$1" -o "$out/$(basename "$1" .cc).o"
}
# The project's own stand-ins of the platform, endpoints and callers.
shared=(testing/child_process testing/fault_proxy testing/http_server
  testing/load_connection testing/proxy_fault testing/proxy_link
  testing/run_after testing/gateway/gateway_world testing/gateway/key_holders
  testing/gateway/kv_standin testing/gateway/soak_caller
  testing/gateway/soak_endpoint)
cases=(slow_reader two_leaders)
pids=()
for each in "${shared[@]}"; do
  compile "$each.cc" & pids+=($!)
done
for each in "${cases[@]}"; do
  compile "review/standins/${each}_main.cc" & pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
objects=()
for each in "${shared[@]}"; do
  objects+=("$out/$(basename "$each").o")
done
mapfile -t libraries < <(find target -maxdepth 1 -name 'lib*.a' | sort)
for each in "${cases[@]}"; do
  g++ "$out/${each}_main.o" "${objects[@]}" -Wl,--start-group \
    "${libraries[@]}" -Wl,--end-group -lxxhash -llog4cplus -lpthread \
    -o "$out/$each"
done
