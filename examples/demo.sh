#!/usr/bin/env bash
# Starts three entries, four engines and one plain service on loopback, serves requests through
# them and ends by itself.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
work=$(mktemp -d)
pids=()

finish() {
    for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap finish EXIT

say() { printf '\n== %s\n' "$*"; }
ctl() { "$build/src/trefoilctl/trefoilctl" -e 127.0.0.1:7301 -e 127.0.0.1:7302 -o demo "$@"; }

settings() {
    local number=$1 name=$2
    cat > "$work/$name.yaml" <<YAML
entry: $name
domain: domain-$number
listen:
  callers: 127.0.0.1:710$number
  peers: 127.0.0.1:720$number
  operators: 127.0.0.1:730$number
peers: [127.0.0.1:7201, 127.0.0.1:7202, 127.0.0.1:7203]
control:
  data: $work/$name.data
  seats: [alpha, beta, gamma]
requests:
  entry_list_lifetime: 2s
log_folder: $work
YAML
}

await() {
    local what=$1
    shift
    for _ in $(seq 150); do
        if "$@" >/dev/null 2>&1; then return 0; fi
        sleep 0.2
    done
    echo "demo: gave up waiting for $what" >&2
    exit 1
}

ready() { curl -fsS "http://127.0.0.1:710$1/readyz"; }
open_groups() { [ "$(ctl --json show groups where state = open | grep -o '"group":' | wc -l)" -ge 2 ]; }

say "three entries, each with a control seat"
number=0
for name in alpha beta gamma; do
    number=$((number + 1))
    settings $number $name
    "$build/src/trefoilrund/trefoilrund" --settings "$work/$name.yaml" --check
    "$build/src/trefoilrund/trefoilrund" --settings "$work/$name.yaml" --init-seat
    "$build/src/trefoilrund/trefoilrund" --settings "$work/$name.yaml" &
    pids+=($!)
done
for number in 1 2 3; do await "entry $number" ready $number; done

say "four engines and a plain service announce themselves"
for number in 1 2 3 4; do
    "$build/examples/standin" --vm engine-$number --listen 127.0.0.1:740$number \
        --domain domain-1 --fabric fabric-$(((number + 1) / 2)) \
        --entry 127.0.0.1:7101 --entry 127.0.0.1:7102 --entry 127.0.0.1:7103 &
    pids+=($!)
done
"$build/examples/standin" --vm scale-1 --listen 127.0.0.1:7409 --domain domain-2 \
    --service tray-api --slots 64 --entry 127.0.0.1:7102 --entry 127.0.0.1:7103 &
pids+=($!)

say "an operator creates two workspaces and a deployment of two groups with two VMs each"
ctl --wait 5000 set workspace haldar weight 3
ctl --wait 5000 set workspace gursha weight 1
ctl --wait 5000 set deployment desk-model model contract-7b version v1 vms-per-group 2 groups 2
await "two open groups" open_groups
ctl show groups
ctl show vms by vm, role, state, group

say "the entry list of entry alpha"
curl -fsS http://127.0.0.1:7101/v1/entries
echo

say "a draft streamed through entry beta"
curl -fsS -N http://127.0.0.1:7102/v1/chat/completions -H 'Trefoil-Workspace: haldar' \
    -d '{"model":"desk-model","stream":true,"max_tokens":6,"messages":[{"role":"user","content":"Draft the clause."}]}'

say "a tray weight looked up through entry gamma"
await "the service" curl -fsS http://127.0.0.1:7103/v1/services/tray-api/weight/12 -H 'Trefoil-Workspace: gursha'
curl -fsS http://127.0.0.1:7103/v1/services/tray-api/weight/12 -H 'Trefoil-Workspace: gursha'
echo

say "a pickup booked once, and sent again through another entry"
for port in 7101 7103; do
    curl -sS -D - "http://127.0.0.1:$port/v1/services/tray-api/pickups" -H 'Trefoil-Workspace: gursha' \
        -H 'Idempotency-Key: pickup-77' -d '{"kitchen":4}' | tr -d '\r' | grep -E 'Trefoil|run'
done

say "entry beta stops gracefully while a stream runs through it"
curl -fsS -N http://127.0.0.1:7102/v1/chat/completions -H 'Trefoil-Workspace: haldar' \
    -d '{"model":"desk-model","stream":true,"max_tokens":400,"messages":[{"role":"user","content":"A long draft."}]}' \
    > "$work/stream.txt" &
stream=$!
sleep 0.3
kill -TERM "${pids[1]}"
wait "${pids[1]}" && echo "beta ended with code 0"
wait $stream && tail -n 3 "$work/stream.txt"
[ "$(grep -c '^data: {' "$work/stream.txt")" = 400 ] && echo "all 400 tokens arrived"

say "what the operator sees"
await "two open groups" open_groups
ctl show groups
ctl show workspaces
ctl show entries

runs=$(curl -fsS http://127.0.0.1:7409/standin/ledger | jq '.runs | with_entries(select(.key | startswith("POST"))) | add')
say "account: the pickup ran $runs time(s); the stream through the stopping entry was whole"
[ "$runs" = 1 ]
