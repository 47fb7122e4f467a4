#!/bin/sh
# Runs the case in a folder of review/ with a temporary folder of its own. Usage: run-case.sh N
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/case-$1
if [ ! -x target/hazelbank ] || [ ! -x "$program" ]; then
  echo "build first: the line 'build' of deploy/service.toml, then review/build-2.sh" >&2
  exit 2
fi
LAB_DIR=$(mktemp -d) || exit 2
export LAB_DIR
trap 'rm -rf "$LAB_DIR"' EXIT
timeout -k 1 118 "$program" "review/$1/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
