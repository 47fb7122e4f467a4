#!/bin/sh
# Runs the case; see claim.txt. Exit: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the
# disruption. Needs the build of the deploy file and review/build.sh.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/hazelbank ] && [ -x "target/review/case-$(basename "$here")" ] || { echo "not built"; exit 2; }
exec "target/review/case-$(basename "$here")" "$here/record.txt"
