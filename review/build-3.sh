#!/bin/sh
# Builds the stand-ins that the scripts of this review start, without a network:
# the project's store (gwstored) and workers (gwworkerd), and a small HTTP client.
# Run it after the build of the deploy file. Results: target/release/bin/gwstored,
# target/release/bin/gwworkerd, target/review-3/call.
set -eu
cd "$(dirname "$0")/.."
make -s -j8 BUILD_ROOT=target libs
make -s -j8 BUILD_ROOT=target -C tools/gwstored
make -s -j8 BUILD_ROOT=target -C tools/gwworkerd
mkdir -p target/review-3
gcc -O2 -Wall -Wextra -Werror -D_GNU_SOURCE -o target/review-3/call review/standin-3/call.c
