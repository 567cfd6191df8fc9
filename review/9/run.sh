#!/usr/bin/env bash
# See claim.txt. With TROUBLE=0 no worker preempts a stream.
set -u
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../common-2/system.sh"
start_system 3 2
RECORD=$here/record.txt timeout 110 "$tools/9-moved" "$net" "${entries[0]}" "${entry_pids[0]}" "${controls[@]}"
status=$?
[ "$status" = 0 ] || [ "$status" = 1 ] || status=2
exit "$status"
