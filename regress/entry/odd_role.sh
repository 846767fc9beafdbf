#!/bin/sh
# Guards against a pool or a planner that stays without an owner, since the key of
# its role does not name a process.
. ./lib.subr

machines=$with_machines
deep=$(awk 'BEGIN { for (i = 0; i < 30000; i++) printf "[" }')

before_entries()
{
	put gw/role/p1 ''
	put gw/role/@planner nobody
}

start_all 2
first=1
for odd in nobody '' "$deep" 'one two three four'; do
	put gw/role/p1 "$odd"
	submit_until "1 2" "$(job_id $first)" || echo "job $first not accepted"
	until_true 10 completed 1 $first $first && echo "completed"
	first=$((first + 1))
done
put op/wave/90 '{"wave":90,"machines":["w-0"],"duration_s":5,"max_count":1}'
until_true 15 wave_is 90 completed && echo "wave completed"
kill -0 "$pid_entry1" "$pid_entry2" && echo "both processes run"
doubles
