#!/bin/sh
# Guards against a task that runs twice or never: instances leave starts unanswered
# or carry them out late, and the owner is killed meanwhile.
. ./lib.subr

start_all 2
fault '{"worker":0,"lose_starts":3,"late_starts":2}'
fault '{"worker":1,"lose_starts":2,"late_starts":3}'
for i in $(seq 1 10); do
	submit 1 "$(job_id "$i")" 4 >/dev/null
done
until_true 30 completed 1 1 10 && echo "completed"
fault '{"worker":0,"late_starts":4}'
first=$(owner)
other=$((3 - first))
for i in $(seq 11 20); do
	submit "$first" "$(job_id "$i")" 4 >/dev/null
done
eval "kill -9 \$pid_entry$first"
until_true 30 completed "$other" 11 20 && echo "completed by another owner"
doubles
