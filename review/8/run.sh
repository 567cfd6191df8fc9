#!/usr/bin/env bash
# See claim.txt. With TROUBLE=0 no process is killed, no worker starts again and nothing is late.
set -u
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../common-2/system.sh"
start_system 3 1
program=$(role_command control - | cut -d' ' -f1)
RECORD=$here/record.txt timeout 110 "$tools/8-leaders" "$net" "${entries[0]}" "$top/$program" \
    "$folder/core-1.yaml" "${control_pids[0]}" "$folder/core-2.yaml" "${control_pids[1]}" \
    "$folder/core-3.yaml" "${control_pids[2]}"
status=$?
[ "$status" = 0 ] || [ "$status" = 1 ] || status=2
exit "$status"
