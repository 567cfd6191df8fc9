# Starts the programs of this project as the deploy file says, on loopback addresses. Sourced by the
# run.sh of a case.

top=$(cd "$here/../.." && pwd)
tools=$top/target/review-2
folder=$(mktemp -d)
pids=()
net=127.$((20 + RANDOM % 200)).$((RANDOM % 250))

end_all() {
    for pid in "${pids[@]}"; do
        kill -CONT "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null
    done
    wait 2>/dev/null
    rm -rf "$folder"
}
trap end_all EXIT
trap 'exit 2' INT TERM

# The command line of a role in the deploy file, with a settings file of this run.
role_command() {
    sed -n "/^\[roles\.$1\]/,/^\[/ s/^run = \"\(.*\)\"/\1/p" "$top/deploy/system.toml" |
        sed "s|/etc/trefoilrun/local.toml|$2|"
}

# write_settings ROLE NAME ZONE ADDRESS FIRST_START: fills in platform/settings.yaml as the platform does.
write_settings() {
    local file=$folder/$2.yaml
    {
        printf 'node:\n  name: "%s"\n  region: "addis"\n  domain: "%s"\n  address: "%s"\n' "$2" "$3" "$4"
        printf '  internal_port: 7340\n  seeds: [%s]\n  first_start: %s\n  dialect: platform\n' "$seeds" "$5"
        printf 'listen:\n  metrics: "%s:9180"\n' "$4"
        if [ "$1" = entry ]; then
            printf '  callers: "%s:8227"\n  readiness: "%s:8220"\n' "$4" "$4"
        else
            printf '  control: "%s:8229"\n  entry_list: "%s:8224"\ndata: "%s"\n' "$4" "$4" "$folder/$2.data"
        fi
        printf 'limits:\n  connections: 4100\n  tolerated_losses: %s\n  heartbeat: 1200ms\n' "$losses"
        printf '  stop_bound: 8s\n  entry_list_lifetime: 2s\n  retry_ratio: 0.2\n  retry_window: 10s\n'
        printf '  retry_allowance: 130\n'
    } >"$file"
}

# start_process ROLE NAME: the log goes to a file of the run. Sets `started`.
start_process() {
    (
        cd "$top" || exit 2
        exec $(role_command "$1" "$folder/$2.yaml")
    ) >>"$folder/$2.log" 2>&1 &
    started=$!
    pids+=("$started")
}

# start_system CONTROLS ENTRIES: sets `controls` and `entries`, the addresses of the interfaces, and
# `entry_pids`.
start_system() {
    local zones=(bole kazanchis piassa)
    controls=() entries=() entry_pids=() control_pids=()
    seeds=
    losses=$((($1 - 1) / 2))
    for ((i = 1; i <= $1; i++)); do
        [ "$i" -le 3 ] && seeds+="${seeds:+, }\"$net.$i:8229\""
    done
    for ((i = 1; i <= $1; i++)); do
        controls+=("$net.$i:8229")
        write_settings control "core-$i" "${zones[(i - 1) % 3]}" "$net.$i" true
        start_process control "core-$i"
        control_pids+=("$started")
    done
    for ((i = 1; i <= $2; i++)); do
        entries+=("$net.$((10 + i)):8227")
        write_settings entry "front-$i" "${zones[(i - 1) % 3]}" "$net.$((10 + i))" true
        start_process entry "front-$i"
        entry_pids+=("$started")
    done
    sleep 0.5
    for pid in "${pids[@]}"; do
        kill -0 "$pid" 2>/dev/null || { echo "a program did not start" >&2; cat "$folder"/*.log >&2; exit 2; }
    done
}
