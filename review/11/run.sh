#!/bin/sh
# One of eight workers leaves the start of a task unanswered and carries it out 2 s
# later. Meanwhile it has crashed and is back under its id; a moment after the start
# it is cut off. Its task may not be run by another worker at the same time. At most
# three rounds: in some the owner reaches the worker before the start does.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../standin-3/lib.sh"
late_ms=2000
# The worker is back 1 s after its crash, and so just before the start.
crash_after_ms=960
rounds=3

is_accepted()
{
	answer=$(submit 1 "$1" "$2")
	case $answer in 200*) return 0 ;; esac
	return 1
}

is_completed()
{
	last=$(state 2 "$1")
	case $last in *completed*) return 0 ;; esac
	return 1
}

# check_system ROUND: a job of 60 short tasks, so that all is known to work.
check_system()
{
	id=00000000000053c$1
	until_true 20 is_accepted $id '{"spec":"ms=100","steps":[{"count":60,"cpu":500,"mem_mb":100,"estimated_ms":100}]}' ||
	    cannot_run "the first job is not accepted: $answer"
	until_true 20 is_completed $id ||
	    cannot_run "the first job is not completed"
	note "a job of 60 short tasks is completed; $(workers GET /stats)"
}

starts_grew()
{
	[ "$(stat starts)" -gt "$starts" ]
}

# runs: notes where tasks run now, if that has changed.
seen=
runs()
{
	places=$(workers GET /workers | tr '{' '\n' | grep '"runs":[1-9]' |
	    sed 's/.*"id":"\([^"]*\)".*"runs":\([0-9]*\).*/\1 runs \2;/' | tr '\n' ' ')
	[ "$places" = "$seen" ] || note "workers: ${places:-nothing runs}"
	seen=$places
}

# watch MS: notes for so long where tasks run.
watch()
{
	until_ms=$(($(date +%s%3N) + $1))
	while [ "$(date +%s%3N)" -lt $until_ms ]; do
		sleep 0.05
		runs
	done
}

# play ROUND
play()
{
	job=00000000000053b$1
	check_system "$1"
	if [ "$trouble" != 0 ]; then
		workers POST /control "{\"worker\":0,\"late_starts\":3,\"late_ms\":$late_ms}" >/dev/null
		note "worker 0 carries out three starts $late_ms ms late, without an answer"
	fi
	until_true 10 is_accepted $job '{"spec":"ms=9000","steps":[{"count":7,"cpu":1500,"mem_mb":100,"anti_affinity":1,"estimated_ms":9000}]}' ||
	    cannot_run "not accepted: $answer"
	accepted_ms=$(date +%s%3N)
	note "POST /q/$job (7 tasks of 9 s, each on a worker of its own): $answer"
	if [ "$trouble" != 0 ]; then
		while [ "$(date +%s%3N)" -lt $((accepted_ms + crash_after_ms)) ]; do
			sleep 0.01
		done
		note "worker 0 crashes, and will be back after 1 s"
		runs
		workers POST /control '{"worker":0,"crash":true}' >/dev/null
		starts=$(stat starts)
		until_true 6 starts_grew || note "no start was carried out"
		workers POST /control '{"worker":0,"muted":true}' >/dev/null
		note "a start was carried out; worker 0 is cut off"
		runs
	fi
	watch 5200
	if [ "$trouble" != 0 ]; then
		workers POST /control '{"worker":0,"muted":false}' >/dev/null
		note "worker 0 is reached again"
	fi
	until_true 40 is_completed $job || note "not completed: $last"
	note "GET /q/$job: $last; $(workers GET /stats)"
}

start_all 8
for round in $(seq 1 $rounds); do
	note "round $round"
	play "$round"
	[ "$(stat doubles)" = 0 ] || break
	sleep 2
done
grep -h 'double:' "$tmp"/workers.log | sed 's/^/log: /' >>"$record"
doubles=$(stat doubles)
if [ "$doubles" -gt 0 ]; then
	echo "broken (TWICE): in round $round a task was started while it ran: $doubles"
	exit 1
fi
echo "held: no task was started while it ran"
exit 0
