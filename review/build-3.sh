#!/bin/sh
# Checks the stand-ins of the cases 11 to 15. They are Python with its standard library only, which
# comes with the packages of the deploy file, so nothing is compiled.
cd "$(dirname "$0")" || exit 1
for file in common-3/*.py 1[1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
