#!/bin/sh
# Builds the stand-ins that the scripts start, beside the program that the build
# of deploy/system.toml puts under target/. The others are Python scripts of the
# standard library; python3 comes with libglib2.0-dev, which that file lists.
set -eu
cd "$(dirname "$0")/.."
make -j8 BUILD_ROOT=target tools/gwstored
test -x target/release/bin/gwentryd || make -j8 BUILD_ROOT=target entry
python3 -c 'import ast, sys
for name in sys.argv[1:]:
    ast.parse(open(name).read(), name)' review/standin/*.py review/*/*.py
