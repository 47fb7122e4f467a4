#!/bin/sh
# Builds the stand-ins and the drivers of the cases into target/review. Needs the packages of the deploy file only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for folder in review/[0-9]; do
  number=$(basename "$folder")
  gcc -std=gnu17 -O2 -Wall -Wextra -Wno-unused-parameter -Wno-deprecated-declarations -Ireview \
    "$folder/case.c" review/*.c -o "target/review/case-$number" \
    $(pkg-config --cflags --libs libsoup-2.4 gio-2.0 glib-2.0 libcjson) -lm
done
