#!/usr/bin/env bash
# Builds the program of each case, which holds the stand-ins that the case
# starts, under review/bin/. Needs only the packages of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf review/bin
mkdir -p review/bin
compile() {
  g++ -std=c++20 -O1 -Wall -Wextra -I. -c "$1" -o "$2"
}
compile libraries/boost_json.cc review/bin/json.o &
compile review/standins/store.cc review/bin/store.o &
compile review/standins/upstream.cc review/bin/upstream.o &
compile review/standins/deployment.cc review/bin/deployment.o &
wait
for source in review/*/case.cc; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -I. "$source" \
    review/bin/{json,store,upstream,deployment}.o -pthread \
    -o "review/bin/case_$number"
done
