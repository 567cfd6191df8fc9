#!/usr/bin/env bash
# System test of faults with real processes on the loopback interface: three entries with a control
# seat (Raft replica), one without, four engines and one plain service. Each case checks the responses
# and the ledgers in which the stub endpoints count their runs. Ends with "N passed, N failed".
set -uo pipefail
cd "$(dirname "$0")/../.."
build_dir=${1:-build}
work_dir=$(mktemp -d)
declare -A pid
passed=0
failed=0

cleanup() {
    for p in "${pid[@]}"; do kill -9 "$p" 2>/dev/null; done
    wait 2>/dev/null
    rm -rf "$work_dir"
}
trap cleanup EXIT

ctl() { "$build_dir/src/trefoilctl/trefoilctl" -e 127.0.0.1:7304 -e 127.0.0.1:7301 -e 127.0.0.1:7302 -e 127.0.0.1:7303 -o tester "$@"; }

write_settings() {
    local number=$1 name=$2
    {
        echo "entry: $name"
        echo "domain: domain-$number"
        echo "listen: {callers: '127.0.0.1:710$number', peers: '127.0.0.1:720$number', operators: '127.0.0.1:730$number'}"
        echo "peers: ['127.0.0.1:7201', '127.0.0.1:7202', '127.0.0.1:7203']"
        [ "$number" = 4 ] || echo "control: {data: $work_dir/$name.data, seats: [alpha, beta, gamma]}"
        echo "requests: {entry_list_lifetime: 2s}"
        echo "log_folder: $work_dir"
    } > "$work_dir/$name.yaml"
}

names=(none alpha beta gamma delta)
start_entry() {
    "$build_dir/src/trefoilrund/trefoilrund" --settings "$work_dir/${names[$1]}.yaml" &
    pid[entry$1]=$!
}

start_engine() {
    "$build_dir/examples/standin" --vm "engine-$1" --listen "127.0.0.1:740$1" --domain domain-1 \
        --fabric "fabric-$((($1 + 1) / 2))" --entry 127.0.0.1:7104 --entry 127.0.0.1:7101 \
        --entry 127.0.0.1:7102 --entry 127.0.0.1:7103 --token-ms 10 &
    pid[engine$1]=$!
}

# Repeats a command until it succeeds. Fails after the given seconds.
wait_for() {
    local seconds=$1
    shift
    local end=$((SECONDS + seconds))
    while [ $SECONDS -lt $end ]; do
        if "$@" >/dev/null 2>&1; then return 0; fi
        sleep 0.1
    done
    return 1
}

is_ready() { curl -fsS -m 2 "http://127.0.0.1:710$1/readyz"; }
has_two_open_groups() { ctl --json show groups where state = open 2>/dev/null | jq -e '.rows | length == 2'; }
find_leader_entry() { ctl --json show seats | jq -r '.rows[] | select(.role == "leader") | .entry'; }
find_entry_number() { for i in 1 2 3 4; do [ "${names[$i]}" = "$1" ] && echo "$i"; done; }
find_dispatcher() { ctl --json show groups | jq -r '.rows[0].dispatcher'; }
find_head_port() { ctl --json show groups where state = open | jq -r '.rows[0].vms' | cut -d' ' -f1 | cut -d- -f2 | sed 's/^/740/'; }
count_runs() { curl -fsS http://127.0.0.1:7409/standin/ledger | jq ".runs | with_entries(select(.key | contains(\"$1\"))) | add // 0"; }

# Runs a command and counts the case as passed when it succeeds.
check() {
    local what=$1
    shift
    if "$@" >/dev/null 2>&1; then
        passed=$((passed + 1))
        echo "ok    $what"
    else
        failed=$((failed + 1))
        echo "FAIL  $what"
    fi
}

# Arguments: port, tokens, file.
send_stream() {
    curl -sS -N -m 60 "http://127.0.0.1:$1/v1/chat/completions" -H 'Trefoil-Workspace: haldar' \
        -d "{\"model\":\"desk\",\"stream\":true,\"max_tokens\":$2,\"messages\":[{\"role\":\"user\",\"content\":\"Draft.\"}]}" > "$3" 2>&1
}

# Succeeds when the file has every token once and in order, and the end marker. Arguments: file, tokens.
is_complete_stream() {
    grep -o '"w[0-9]* "' "$1" | tr -d '"w ' > "$1.seen"
    seq 0 $(($2 - 1)) | cmp -s - "$1.seen" && grep -q '^data: \[DONE\]' "$1"
}

# Prints the response with its header. Arguments: port, key.
send_booking() {
    curl -sS -m 8 -D - "http://127.0.0.1:$1/v1/services/ledger/book" -H 'Trefoil-Workspace: haldar' \
        -H "Idempotency-Key: $2" -d "$2" 2>/dev/null | tr -d '\r'
}

for number in 1 2 3 4; do write_settings $number ${names[$number]}; done
for number in 1 2 3; do
    "$build_dir/src/trefoilrund/trefoilrund" --settings "$work_dir/${names[$number]}.yaml" --init-seat 2>/dev/null
done
for number in 1 2 3 4; do start_entry $number; done
check "four entries become ready" wait_for 20 is_ready 4
for number in 1 2 3 4; do start_engine $number; done
"$build_dir/examples/standin" --vm ledger-1 --listen 127.0.0.1:7409 --domain domain-2 --service ledger \
    --slots 64 --call-ms 300 --entry 127.0.0.1:7104 --entry 127.0.0.1:7102 &
pid[ledger]=$!
ctl --wait 5000 set workspace haldar weight 1 >/dev/null
ctl --wait 5000 set deployment desk model m version v1 vms-per-group 2 groups 2 >/dev/null
check "two groups open" wait_for 30 has_two_open_groups

echo "-- an engine cuts a stream"
curl -fsS "http://127.0.0.1:$(find_head_port)/standin/control" -d '{"drop_after":30}' >/dev/null
for n in 1 2 3; do send_stream 7104 100 "$work_dir/cut$n" & done
wait $! ; sleep 1.5
for n in 1 2 3; do check "stream $n is complete" is_complete_stream "$work_dir/cut$n" 100; done

echo "-- the dispatcher is killed while streams run through another entry"
victim=$(find_entry_number "$(find_dispatcher)")
other=$((victim % 4 + 1))
send_stream "710$other" 400 "$work_dir/killed" &
streaming=$!
sleep 1
kill -9 "${pid[entry$victim]}"
began=$SECONDS
wait $streaming
check "the stream resumed and is complete" is_complete_stream "$work_dir/killed" 400
check "two groups open again" wait_for 30 has_two_open_groups
echo "      service restored after $((SECONDS - began)) s at most, stream of 4 s included"
start_entry "$victim"
check "the killed entry is ready again" wait_for 20 is_ready "$victim"

echo "-- the leader is paused past its lease"
leader=$(find_entry_number "$(find_leader_entry)")
kill -STOP "${pid[entry$leader]}"
sleep 4
check "a change is accepted meanwhile" ctl set workspace paused weight 2
kill -CONT "${pid[entry$leader]}"
check "the paused entry serves again" wait_for 20 is_ready "$leader"
check "the resumed entry applied the change" wait_for 10 bash -c "'$build_dir/src/trefoilctl/trefoilctl' -e 127.0.0.1:730$leader --json show workspaces | grep -q paused"

echo "-- bookings while the entry that took them is killed"
for n in 1 2 3 4 5 6; do send_booking 7103 "vessel-$n" > "$work_dir/book$n" & done
sleep 0.2
kill -9 "${pid[entry3]}"
sleep 5
for n in 1 2 3 4 5 6; do
    for port in 7101 7102 7104; do
        for _ in 1 2 3 4 5 6 7 8; do
            send_booking $port "vessel-$n" > "$work_dir/again$n"
            grep -q 'key-running' "$work_dir/again$n" || break
            sleep 1
        done
    done
    check "vessel-$n ran at most once ($(count_runs "vessel-$n") run, $(grep -i '^Trefoil-Outcome' "$work_dir/again$n" | cut -d' ' -f2))" \
        [ "$(count_runs "vessel-$n")" -le 1 ]
done
start_entry 3
check "the killed entry is ready again" wait_for 20 is_ready 3

echo "-- a seat loses its data folder"
seat=$(ctl --json show seats | jq -r '.rows[] | select(.entry == "beta") | .seat')
kill -9 "${pid[entry2]}"
rm -rf "$work_dir/beta.data"
start_entry 2
wait_for 20 is_ready 2
check "the old seat is removed" ctl remove seat "$seat"
check "the new seat is added" ctl add seat beta
check "the new seat becomes a voter" wait_for 20 bash -c "'$build_dir/src/trefoilctl/trefoilctl' -e 127.0.0.1:7304 --json show seats | jq -e '.rows[] | select(.entry == \"beta\" and .voter == \"yes\")'"

echo "-- a restart after 500 changes"
kill -9 "${pid[entry4]}"
for n in $(seq 500); do echo "set workspace bulk-$((n % 50)) weight $((n % 9 + 1))"; done > "$work_dir/script"
"$build_dir/src/trefoilctl/trefoilctl" -e 127.0.0.1:7301 -e 127.0.0.1:7302 -o tester -f "$work_dir/script" > "$work_dir/script.out" 2>&1
check "500 changes accepted ($(grep -c accepted "$work_dir/script.out"))" [ "$(grep -c accepted "$work_dir/script.out")" = 500 ]
start_entry 4
check "the entry serves" wait_for 20 is_ready 4
version=$(tail -n 1 "$work_dir/script.out" | grep -o '[0-9]*')
check "the restarted entry is at version $version or later" bash -c "[ \$('$build_dir/src/trefoilctl/trefoilctl' -e 127.0.0.1:7304 --json show versions | jq '.rows[] | select(.entry == \"delta\") | .version') -ge $version ]"

echo "-- an engine leaves, and a planned stop of an entry with a stream"
send_stream 7104 300 "$work_dir/leave" &
streaming=$!
sleep 0.5
kill -TERM "${pid[entry1]}"
wait "${pid[entry1]}"
check "the entry ended with code 0" [ $? = 0 ]
wait $streaming
check "the stream is complete" is_complete_stream "$work_dir/leave" 300

echo "$passed passed, $failed failed"
[ $failed = 0 ]
