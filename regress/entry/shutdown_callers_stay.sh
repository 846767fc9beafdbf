#!/bin/sh
# Guards against a process that shuts down and ends, within its grace period, while
# callers still have connections that they were not told to leave.
. ./lib.subr

callers=$(dirname "$GW_BIN")/regress/entry/callers

# call MS INTERVAL_MS: sends requests to the process while it shuts down, 300 ms
# after the first ones.
call()
{
	"$callers" 127.0.0.1:28511 "$1" "$2" >"$tmp/callers" &
	pid_callers=$!
	sleep 0.3
	kill "$pid_entry1"
	wait "$pid_entry1"
	echo "exit $?"
	wait $pid_callers
	cat "$tmp/callers" >&2
	grep -h DRAINED "$tmp/entry1.out" >&2
}

start_all 2
echo "callers that send each 3.3 s; the last request is 3 s after the signal"
call 3700 3300
jq -c '{answered, not_sent, unanswered, timed_out}' "$tmp/callers"
start_entry 1
until_true 10 ready 1
echo "callers that send each 15 ms, also after the process has ended"
call 5000 15
jq -c '{unanswered, timed_out, served: (.answered > 500)}' "$tmp/callers"
