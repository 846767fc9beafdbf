#!/bin/sh
# Guards against an owner that acts after it was replaced: the process is stopped
# (SIGSTOP), another one takes over, and the first one continues.
. ./lib.subr

work_ms=400
start_all 3
first=$(owner)
others=$(echo 1 2 3 | tr -d "$first")
for i in $(seq 1 15); do
	submit "$first" "$(job_id "$i")" 4 >/dev/null
done
eval "kill -STOP \$pid_entry$first"
set -- $others
for i in $(seq 16 20); do
	submit_until "$others" "$(job_id "$i")" || echo "job $i not accepted"
done
eval "kill -CONT \$pid_entry$first"
until_true 30 completed "$1" 1 20 && echo "completed"
until_true 10 completed "$first" 1 20 && echo "the previous owner agrees"
doubles
