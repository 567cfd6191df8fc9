#!/usr/bin/env bash
# See claim.txt. With TROUBLE=0 no report is late.
set -u
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../common-2/system.sh"
start_system 3 1
RECORD=$here/record.txt timeout 110 "$tools/10-departed" "$net" "${entries[0]}" "${controls[@]}"
status=$?
[ "$status" = 0 ] || [ "$status" = 1 ] || status=2
exit "$status"
