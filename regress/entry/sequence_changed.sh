#!/bin/sh
# Guards against a pool that stays without an owner: a write of another hand moves
# the records' sequence, while the role's key is still the owner's.
. ./lib.subr

start_all 2
put gw/seq/p1/n "somebody else"
for i in $(seq 1 5); do
	submit_until "1 2" "$(job_id "$i")" || echo "job $i not taken"
done
until_true 20 completed 1 1 5 && echo "completed"
doubles
