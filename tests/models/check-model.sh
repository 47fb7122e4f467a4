#!/bin/sh
# Checks a model exhaustively with Spin, and that each guard is needed: without it a check has to fail.
# usage: check-model.sh MODEL GUARD...
set -eu
model=$(realpath "$1")
shift
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"

# Prints the number of errors that an exhaustive search finds.
errors_of() {
  spin -a "$@" "$model" > spin.log || { cat spin.log >&2; exit 1; }
  cc -O2 -w -DSAFETY -o pan pan.c
  ./pan -m200000 > pan.log
  if grep -q "max search depth too small\|search not completed" pan.log && ! grep -q "assertion violated" pan.log; then
    echo "the search was not exhaustive" >&2
    exit 1
  fi
  sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log
}

errors=$(errors_of)
sed -n '/states, stored/p' pan.log
if [ "$errors" != 0 ]; then
  cat pan.log
  echo "the model is wrong: $errors errors"
  exit 1
fi
for guard in "$@"; do
  errors=$(errors_of "-DNO_$guard")
  if [ "$errors" = 0 ]; then
    echo "without $guard no check fails"
    exit 1
  fi
  echo "without $guard: $(grep -m1 'assertion violated' pan.log)"
done
