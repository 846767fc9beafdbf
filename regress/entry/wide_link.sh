#!/bin/sh
# Guards against a pool whose owner has a narrow link while a process with a wide one
# is there, and against a pool without an owner once that process is gone.
. ./lib.subr

link_mbps()
{
	[ "$1" = 3 ] && echo 200 || echo 10
}

start_all 3
echo "owner: $(owner)"
kill -9 "$pid_entry3"
until_true 10 is_accepted 1 "$(job_id 1)" || echo "job not accepted"
until_true 10 completed 1 1 1 && echo "completed"
[ "$(owner)" != 3 ] && echo "a process with a narrow link has taken over"
start_entry 3
until_true 10 ready 3
sleep 1
kill -9 "$(eval echo "\$pid_entry$(owner)")"
until_true 10 is_accepted 3 "$(job_id 2)" || echo "job not accepted"
echo "owner: $(owner)"
until_true 10 completed 3 1 2 && echo "completed"
doubles
