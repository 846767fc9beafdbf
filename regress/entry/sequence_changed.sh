#!/bin/sh
# Guards against a pool that stays without an owner: the sequence key of its records
# is overwritten while the role key still names the owner, so that every commit of
# the owner fails.
. ./lib.subr

start_all 2
put gw/seq/p1/n "somebody else"
for i in $(seq 1 5); do
	submit_until "1 2" "$(job_id "$i")" || echo "job $i not accepted"
done
until_true 20 completed 1 1 5 && echo "completed"
doubles
