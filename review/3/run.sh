#!/bin/sh
# Runs case 3: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
if [ ! -x target/review/case-3 ] || [ ! -x target/release/chalkwalk ]; then
    echo "not run: build by the deploy file and review/build.sh first"
    exit 2
fi
exec target/review/case-3 "$here"
