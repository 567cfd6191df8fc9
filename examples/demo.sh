#!/usr/bin/env bash
# Demonstration: starts three entries, four engines and one plain service on the loopback interface,
# sends requests through them and stops everything.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${1:-build}
work_dir=$(mktemp -d)
pids=()

cleanup() {
    for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$work_dir"
}
trap cleanup EXIT

print_step() { printf '\n== %s\n' "$*"; }
ctl() { "$build_dir/src/trefoilctl/trefoilctl" -e 127.0.0.1:7301 -e 127.0.0.1:7302 -o demo "$@"; }

write_settings() {
    local number=$1 name=$2
    cat > "$work_dir/$name.yaml" <<YAML
entry: $name
domain: domain-$number
listen:
  callers: 127.0.0.1:710$number
  peers: 127.0.0.1:720$number
  operators: 127.0.0.1:730$number
peers: [127.0.0.1:7201, 127.0.0.1:7202, 127.0.0.1:7203]
control:
  data: $work_dir/$name.data
  seats: [alpha, beta, gamma]
requests:
  entry_list_lifetime: 2s
log_folder: $work_dir
YAML
}

# Repeats a command until it succeeds. Ends the demonstration after about 30 s.
wait_for() {
    local what=$1
    shift
    for _ in $(seq 150); do
        if "$@" >/dev/null 2>&1; then return 0; fi
        sleep 0.2
    done
    echo "demo: timed out while waiting for $what" >&2
    exit 1
}

is_ready() { curl -fsS "http://127.0.0.1:710$1/readyz"; }
has_open_groups() { [ "$(ctl --json show groups where state = open | grep -o '"group":' | wc -l)" -ge 2 ]; }

print_step "three entries, each with a control seat"
number=0
for name in alpha beta gamma; do
    number=$((number + 1))
    write_settings $number $name
    "$build_dir/src/trefoilrund/trefoilrund" --settings "$work_dir/$name.yaml" --check
    "$build_dir/src/trefoilrund/trefoilrund" --settings "$work_dir/$name.yaml" --init-seat
    "$build_dir/src/trefoilrund/trefoilrund" --settings "$work_dir/$name.yaml" &
    pids+=($!)
done
for number in 1 2 3; do wait_for "entry $number" is_ready $number; done

print_step "four engines and a plain service announce themselves"
for number in 1 2 3 4; do
    "$build_dir/examples/standin" --vm engine-$number --listen 127.0.0.1:740$number \
        --domain domain-1 --fabric fabric-$(((number + 1) / 2)) \
        --entry 127.0.0.1:7101 --entry 127.0.0.1:7102 --entry 127.0.0.1:7103 &
    pids+=($!)
done
"$build_dir/examples/standin" --vm scale-1 --listen 127.0.0.1:7409 --domain domain-2 \
    --service tray-api --slots 64 --entry 127.0.0.1:7102 --entry 127.0.0.1:7103 &
pids+=($!)

print_step "an operator creates two workspaces and a deployment of two groups with two VMs each"
ctl --wait 5000 set workspace haldar weight 3
ctl --wait 5000 set workspace gursha weight 1
ctl --wait 5000 set deployment desk-model model contract-7b version v1 vms-per-group 2 groups 2
wait_for "two open groups" has_open_groups
ctl show groups
ctl show vms by vm, role, state, group

print_step "the entry list of entry alpha"
curl -fsS http://127.0.0.1:7101/v1/entries
echo

print_step "a draft streamed through entry beta"
curl -fsS -N http://127.0.0.1:7102/v1/chat/completions -H 'Trefoil-Workspace: haldar' \
    -d '{"model":"desk-model","stream":true,"max_tokens":6,"messages":[{"role":"user","content":"Draft the clause."}]}'

print_step "a tray weight looked up through entry gamma"
wait_for "the service" curl -fsS http://127.0.0.1:7103/v1/services/tray-api/weight/12 -H 'Trefoil-Workspace: gursha'
curl -fsS http://127.0.0.1:7103/v1/services/tray-api/weight/12 -H 'Trefoil-Workspace: gursha'
echo

print_step "a pickup is booked, and the same request is sent again through another entry"
for port in 7101 7103; do
    curl -sS -D - "http://127.0.0.1:$port/v1/services/tray-api/pickups" -H 'Trefoil-Workspace: gursha' \
        -H 'Idempotency-Key: pickup-77' -d '{"kitchen":4}' | tr -d '\r' | grep -E 'Trefoil|run'
done

print_step "entry beta stops gracefully while a stream runs through it"
curl -fsS -N http://127.0.0.1:7102/v1/chat/completions -H 'Trefoil-Workspace: haldar' \
    -d '{"model":"desk-model","stream":true,"max_tokens":400,"messages":[{"role":"user","content":"A long draft."}]}' \
    > "$work_dir/stream.txt" &
stream=$!
sleep 0.3
kill -TERM "${pids[1]}"
wait "${pids[1]}" && echo "beta ended with code 0"
wait $stream && tail -n 3 "$work_dir/stream.txt"
[ "$(grep -c '^data: {' "$work_dir/stream.txt")" = 400 ] && echo "all 400 tokens arrived"

print_step "what the operator sees"
wait_for "two open groups" has_open_groups
ctl show groups
ctl show workspaces
ctl show entries

runs=$(curl -fsS http://127.0.0.1:7409/standin/ledger | jq '.runs | with_entries(select(.key | startswith("POST"))) | add')
print_step "result: the pickup ran $runs time(s); the stream through the stopping entry was complete"
[ "$runs" = 1 ]
