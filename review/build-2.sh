#!/bin/sh
# Builds the cases of the second review into target/review-2/. Needs a clean checkout, the build of the deploy file and
# the packages that it names.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags=$(pkg-config --cflags --libs libsoup-2.4 libcjson glib-2.0 gio-2.0)
for n in 4 5 6 7 8; do
  [ -f "review/$n/case.c" ] || continue
  # shellcheck disable=SC2086
  cc -std=gnu11 -O1 -g -Wall -Ireview "review/$n/case.c" \
    -o "target/review-2/case-$n" $flags -lm
done
