#!/bin/sh
# Guards against a task that runs twice when its instance cannot be reached for
# longer than the lease lasts and the owner is killed meanwhile.
. ./lib.subr

work_ms=1500
start_all 2
for i in $(seq 1 8); do
	submit 1 "$(job_id "$i")" 4 >/dev/null
done
fault '{"worker":0,"muted":true}'
first=$(owner)
other=$((3 - first))
eval "kill -9 \$pid_entry$first"
sleep 3
fault '{"worker":0,"muted":false}'
until_true 40 completed "$other" 1 8 && echo "completed"
doubles
