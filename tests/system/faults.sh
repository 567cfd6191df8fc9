#!/usr/bin/env bash
# Whole-system faults with real processes on loopback: three entries with seats, one without, four
# engines, one plain service. Each case checks from the outside, by the stand-ins' own ledgers, and
# prints what it saw. Ends with "N passed, N failed".
set -uo pipefail
cd "$(dirname "$0")/../.."
build=${1:-build}
work=$(mktemp -d)
declare -A pid
passed=0
failed=0

finish() {
    for p in "${pid[@]}"; do kill -9 "$p" 2>/dev/null; done
    wait 2>/dev/null
    rm -rf "$work"
}
trap finish EXIT

ctl() { "$build/src/trefoilctl/trefoilctl" -e 127.0.0.1:7304 -e 127.0.0.1:7301 -e 127.0.0.1:7302 -e 127.0.0.1:7303 -o tester "$@"; }

settings() {
    local number=$1 name=$2
    {
        echo "entry: $name"
        echo "domain: domain-$number"
        echo "listen: {callers: '127.0.0.1:710$number', peers: '127.0.0.1:720$number', operators: '127.0.0.1:730$number'}"
        echo "peers: ['127.0.0.1:7201', '127.0.0.1:7202', '127.0.0.1:7203']"
        [ "$number" = 4 ] || echo "control: {data: $work/$name.data, seats: [alpha, beta, gamma]}"
        echo "requests: {entry_list_lifetime: 2s}"
        echo "log_folder: $work"
    } > "$work/$name.yaml"
}

names=(none alpha beta gamma delta)
start_entry() {
    "$build/src/trefoilrund/trefoilrund" --settings "$work/${names[$1]}.yaml" &
    pid[entry$1]=$!
}

start_engine() {
    "$build/examples/standin" --vm "engine-$1" --listen "127.0.0.1:740$1" --domain domain-1 \
        --fabric "fabric-$((($1 + 1) / 2))" --entry 127.0.0.1:7104 --entry 127.0.0.1:7101 \
        --entry 127.0.0.1:7102 --entry 127.0.0.1:7103 --token-ms 10 &
    pid[engine$1]=$!
}

await() {
    local seconds=$1
    shift
    local end=$((SECONDS + seconds))
    while [ $SECONDS -lt $end ]; do
        if "$@" >/dev/null 2>&1; then return 0; fi
        sleep 0.1
    done
    return 1
}

ready() { curl -fsS -m 2 "http://127.0.0.1:710$1/readyz"; }
open_groups() { ctl --json show groups where state = open 2>/dev/null | jq -e '.rows | length == 2'; }
leader_entry() { ctl --json show seats | jq -r '.rows[] | select(.role == "leader") | .entry'; }
number_of() { for i in 1 2 3 4; do [ "${names[$i]}" = "$1" ] && echo "$i"; done; }
dispatcher() { ctl --json show groups | jq -r '.rows[0].dispatcher'; }
head_port() { ctl --json show groups where state = open | jq -r '.rows[0].vms' | cut -d' ' -f1 | cut -d- -f2 | sed 's/^/740/'; }
runs() { curl -fsS http://127.0.0.1:7409/standin/ledger | jq ".runs | with_entries(select(.key | contains(\"$1\"))) | add // 0"; }

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

stream() { # port tokens file
    curl -sS -N -m 60 "http://127.0.0.1:$1/v1/chat/completions" -H 'Trefoil-Workspace: haldar' \
        -d "{\"model\":\"desk\",\"stream\":true,\"max_tokens\":$2,\"messages\":[{\"role\":\"user\",\"content\":\"Draft.\"}]}" > "$3" 2>&1
}

# Every token once, in order, and the end mark.
whole() { # file tokens
    grep -o '"w[0-9]* "' "$1" | tr -d '"w ' > "$1.seen"
    seq 0 $(($2 - 1)) | cmp -s - "$1.seen" && grep -q '^data: \[DONE\]' "$1"
}

book() { # port key
    curl -sS -m 8 -D - "http://127.0.0.1:$1/v1/services/ledger/book" -H 'Trefoil-Workspace: haldar' \
        -H "Idempotency-Key: $2" -d "$2" 2>/dev/null | tr -d '\r'
}

for number in 1 2 3 4; do settings $number ${names[$number]}; done
for number in 1 2 3; do
    "$build/src/trefoilrund/trefoilrund" --settings "$work/${names[$number]}.yaml" --init-seat 2>/dev/null
done
for number in 1 2 3 4; do start_entry $number; done
check "four entries become ready" await 20 ready 4
for number in 1 2 3 4; do start_engine $number; done
"$build/examples/standin" --vm ledger-1 --listen 127.0.0.1:7409 --domain domain-2 --service ledger \
    --slots 64 --call-ms 300 --entry 127.0.0.1:7104 --entry 127.0.0.1:7102 &
pid[ledger]=$!
ctl --wait 5000 set workspace haldar weight 1 >/dev/null
ctl --wait 5000 set deployment desk model m version v1 vms-per-group 2 groups 2 >/dev/null
check "two groups open" await 30 open_groups

echo "-- an engine cuts a stream"
curl -fsS "http://127.0.0.1:$(head_port)/standin/control" -d '{"drop_after":30}' >/dev/null
for n in 1 2 3; do stream 7104 100 "$work/cut$n" & done
wait $! ; sleep 1.5
for n in 1 2 3; do check "stream $n is whole" whole "$work/cut$n" 100; done

echo "-- the dispatcher is killed while streams run through another entry"
victim=$(number_of "$(dispatcher)")
other=$((victim % 4 + 1))
stream "710$other" 400 "$work/killed" &
streaming=$!
sleep 1
kill -9 "${pid[entry$victim]}"
began=$SECONDS
wait $streaming
check "the stream resumed and is whole" whole "$work/killed" 400
check "two groups open again" await 30 open_groups
echo "      service restored after $((SECONDS - began)) s at most, stream of 4 s included"
start_entry "$victim"
check "the killed entry is ready again" await 20 ready "$victim"

echo "-- the leader is paused past its lease"
leader=$(number_of "$(leader_entry)")
kill -STOP "${pid[entry$leader]}"
sleep 4
check "a change is accepted meanwhile" ctl set workspace paused weight 2
kill -CONT "${pid[entry$leader]}"
check "the paused entry serves again" await 20 ready "$leader"
check "it holds the change" await 10 bash -c "'$build/src/trefoilctl/trefoilctl' -e 127.0.0.1:730$leader --json show workspaces | grep -q paused"

echo "-- bookings while the entry that took them is killed"
for n in 1 2 3 4 5 6; do book 7103 "vessel-$n" > "$work/book$n" & done
sleep 0.2
kill -9 "${pid[entry3]}"
sleep 5
for n in 1 2 3 4 5 6; do
    for port in 7101 7102 7104; do
        for _ in 1 2 3 4 5 6 7 8; do
            book $port "vessel-$n" > "$work/again$n"
            grep -q 'key-running' "$work/again$n" || break
            sleep 1
        done
    done
    check "vessel-$n ran at most once ($(runs "vessel-$n") run, $(grep -i '^Trefoil-Outcome' "$work/again$n" | cut -d' ' -f2))" \
        [ "$(runs "vessel-$n")" -le 1 ]
done
start_entry 3
check "the killed entry is ready again" await 20 ready 3

echo "-- a seat loses its data folder"
seat=$(ctl --json show seats | jq -r '.rows[] | select(.entry == "beta") | .seat')
kill -9 "${pid[entry2]}"
rm -rf "$work/beta.data"
start_entry 2
await 20 ready 2
check "the old seat is removed" ctl remove seat "$seat"
check "the new seat is added" ctl add seat beta
check "it becomes a voter" await 20 bash -c "'$build/src/trefoilctl/trefoilctl' -e 127.0.0.1:7304 --json show seats | jq -e '.rows[] | select(.entry == \"beta\" and .voter == \"yes\")'"

echo "-- a restart after 500 changes"
kill -9 "${pid[entry4]}"
for n in $(seq 500); do echo "set workspace bulk-$((n % 50)) weight $((n % 9 + 1))"; done > "$work/script"
"$build/src/trefoilctl/trefoilctl" -e 127.0.0.1:7301 -e 127.0.0.1:7302 -o tester -f "$work/script" > "$work/script.out" 2>&1
check "500 changes accepted ($(grep -c accepted "$work/script.out"))" [ "$(grep -c accepted "$work/script.out")" = 500 ]
start_entry 4
check "the entry serves" await 20 ready 4
version=$(tail -n 1 "$work/script.out" | grep -o '[0-9]*')
check "it is at version $version or later" bash -c "[ \$('$build/src/trefoilctl/trefoilctl' -e 127.0.0.1:7304 --json show versions | jq '.rows[] | select(.entry == \"delta\") | .version') -ge $version ]"

echo "-- an engine leaves, and a planned stop of an entry with a stream"
stream 7104 300 "$work/leave" &
streaming=$!
sleep 0.5
kill -TERM "${pid[entry1]}"
wait "${pid[entry1]}"
check "the entry ended with code 0" [ $? = 0 ]
wait $streaming
check "the stream is whole" whole "$work/leave" 300

echo "$passed passed, $failed failed"
[ $failed = 0 ]
