#!/bin/sh
# Guards against jobs that are lost or run twice when their owner is killed right
# after it accepted them.
. ./lib.subr

start_all 3
first=$(owner)
others=$(echo 1 2 3 | tr -d "$first")
for i in $(seq 1 15); do
	submit "$first" "$(job_id "$i")" 4 >/dev/null
done
eval "kill -9 \$pid_entry$first"
for i in $(seq 16 20); do
	submit_until "$others" "$(job_id "$i")" || echo "job $i not accepted"
done
set -- $others
until_true 30 completed "$1" 1 20 && echo "completed"
doubles
