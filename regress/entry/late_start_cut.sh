#!/bin/sh
# Guards against a task that runs twice: a worker carries a start out late, in its
# next life, which is cut off before its owner hears of it. The run goes on for the
# longest lease from then. The same after a change of the owner between the lives.
. ./lib.subr

cut_off="0 1 2 3"
others="4 5"

# each WORKERS FAULT
each()
{
	for w in $1; do
		fault "{\"worker\":$w,$2}"
	done
}

stat()
{
	curl -s "$workers/stats" | jq ".$1"
}

# submit_job ID: a job of four tasks of 12 s, of which a worker has room for one.
submit_job()
{
	[ "$(curl -s -m 3 -o /dev/null -w '%{http_code}' -H "Host: $host" \
	    -X POST "http://127.0.0.1:2851$(owner)/q/$1" -d \
	    '{"spec":"ms=12000 cpu=2500","steps":[{"count":4,"cpu":2500,"mem_mb":10,"estimated_ms":9000}]}')" = 200 ]
}

started()
{
	[ $(($(stat starts) - starts)) -ge 2 ]
}

is_idle()
{
	[ "$(stat running)" = 0 ]
}

kill_owner()
{
	number=$(owner)
	eval "kill -KILL \$pid_entry$number"
	start_entry "$number"
}

# play ID [kill]: the workers crash with the starts on their way, and are cut off
# before they are back, 1 s after the crash. Two others come.
play()
{
	each "$others" '"muted":true'
	sleep 5
	each "$cut_off" '"late_starts":9,"late_ms":1500'
	until_true 10 submit_job "$1" || echo "not accepted"
	sleep 0.1
	each "$cut_off" '"crash":true'
	sleep 0.2
	each "$cut_off" '"cut":true'
	[ -z "${2:-}" ] || kill_owner
	sleep 2
	starts=$(stat starts)
	[ "$(stat running)" -ge 3 ] && echo "carried out late"
	each "$others" '"muted":false'
	sleep 4.5
	echo "started elsewhere while they run: $(($(stat starts) - starts))"
	until_true 14 started && echo "started elsewhere"
	echo "doubles: $(stat doubles)"
	each "$cut_off" '"cut":false'
	curl -s -m 3 -o /dev/null -H "Host: $host" -X DELETE \
	    "http://127.0.0.1:28511/q/$1"
	until_true 15 is_idle
}

worker_count=6
start_all 2
until_true 10 completed 1 255 255
play 00000000000000d1
play 00000000000000d2 kill
