#!/bin/sh
# Builds the stand-ins of review/6 to review/10 into target/review-2: those of this
# folder, and the project's own store and instances. Needs the packages of the
# deploy file and its build, no network.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
for name in hc relay cloud; do
	gcc -std=gnu11 -D_GNU_SOURCE -O1 -g -Wall -Wextra -Werror -o "$out/$name" "review/standin-2/$name.c" -lpthread
done
make --no-print-directory -j4 BUILD_ROOT=target libs >/dev/null
for name in gwstored gwworkerd; do
	make --no-print-directory BUILD_ROOT=target -C "tools/$name" >/dev/null
	cp "target/release/bin/$name" "$out/$name"
done
echo "built in $out"
