#!/bin/sh
# Guards against callers whose bodies end a process, which runs out of memory:
# bodies that stop short of their end, come in chunks or a byte a second, or are
# over the limit, announced or just sent. Each kind has a process of its own.
. ./lib.subr

start_all 5
attack 1 whole "$(front 1)" 160
attack 2 chunks "$(front 2)" 160
attack 3 slow "$(front 3)" 300
attack 4 announced "$(front 4)" 160
attack 5 sent "$(front 5)" 160
echo "a body of the largest size in calm: $(submit 1 262000)"
