#!/usr/bin/env bash
# Runs all benchmarks and prints their result tables.
set -euo pipefail
build=${1:-build}
for benchmark in capacity fairshare control; do
    printf '\n### bench_%s\n\n' "$benchmark"
    "$build/benchmarks/bench_$benchmark"
done
