#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[0-9]*/*.cpp; do
    case $source in review/[1-5]/*) continue ;; esac
    name=$(basename "$(dirname "$source")")-$(basename "$source" .cpp)
    g++ -std=c++20 -O1 -Wall -Wextra -Ireview/common-2 "$source" -o "target/review-2/$name" \
        -lboost_json -pthread
done
