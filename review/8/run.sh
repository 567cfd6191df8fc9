#!/usr/bin/env bash
# See claim.txt. With TROUBLE=0 the part crashes no worker.
set -u
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../common-2/system.sh"
start_system 3 2
RECORD=$here/record.txt timeout 110 "$tools/8-tainted" "$net" "${entries[@]}" "${controls[@]}"
status=$?
[ "$status" = 0 ] || [ "$status" = 1 ] || status=2
exit "$status"
