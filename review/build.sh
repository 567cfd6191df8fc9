#!/usr/bin/env bash
# Builds the stand-ins and the scenarios of all cases into review/build. Needs g++ and Boost, as the
# deploy file does.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
flags=(-std=c++20 -O1 -Wall -Wextra -Isupport)
for source in support/*.cpp; do
    g++ "${flags[@]}" -c "$source" -o "build/$(basename "$source" .cpp).o" &
done
wait
support=(build/http.o build/world.o build/workers.o build/clients.o build/json.o)
for scenario in [1-5]/scenario.cpp; do
    [ -e "$scenario" ] || continue
    number=$(dirname "$scenario")
    g++ "${flags[@]}" "$scenario" "${support[@]}" -o "build/case$number" -pthread
done
