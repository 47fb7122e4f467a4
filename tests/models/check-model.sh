#!/bin/sh
# Verifies a model exhaustively with Spin, and checks that each guard is necessary: an assertion must fail without it.
# usage: check-model.sh MODEL GUARD...
set -eu
model=$(realpath "$1")
shift
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"

# Prints the number of errors that an exhaustive search finds. The arguments are options of spin.
count_errors() {
  spin -a "$@" "$model" > spin.log || { cat spin.log >&2; exit 1; }
  cc -O2 -w -DSAFETY -o pan pan.c
  ./pan -m200000 > pan.log
  if grep -q "max search depth too small\|search not completed" pan.log && ! grep -q "assertion violated" pan.log; then
    echo "the search of the model is not exhaustive" >&2
    exit 1
  fi
  sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log
}

errors=$(count_errors)
sed -n '/states, stored/p' pan.log
if [ "$errors" != 0 ]; then
  cat pan.log
  echo "the model violates its assertions: $errors errors"
  exit 1
fi
for guard in "$@"; do
  errors=$(count_errors "-DNO_$guard")
  if [ "$errors" = 0 ]; then
    echo "no assertion fails without the guard $guard"
    exit 1
  fi
  echo "without the guard $guard: $(grep -m1 'assertion violated' pan.log)"
done
