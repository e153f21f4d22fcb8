#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
if [ ! -x target/release/loomlb ] || [ ! -x target/review/release/loomlb-review ]; then
    echo "not built: run the build command of deploy/balancer.toml and review/build.sh"
    exit 2
fi
exec target/review/release/loomlb-review memory "$here/record.txt"
