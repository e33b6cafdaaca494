#!/bin/sh
# Plays this case: 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0 leaves the disruption out.
# What was sent, answered and run is in record.txt. Needs the build of deploy/balancer.toml and review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
if [ ! -x target/release/chalkwalk ] || [ ! -x target/review-2/cases ]; then
    echo "build first: deploy/balancer.toml, then review/build-2.sh" >&2
    exit 2
fi
exec target/review-2/cases memory "$here/record.txt"
