#!/usr/bin/env bash
# Runs the benchmarks and prints their tables.
set -euo pipefail
build=${1:-build}
for benchmark in capacity fairshare control; do
    printf '\n### bench_%s\n\n' "$benchmark"
    "$build/benchmarks/bench_$benchmark"
done
