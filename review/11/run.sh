#!/bin/sh
# One of eight workers leaves the start of a task unanswered and carries it out 2 s
# later. Meanwhile it has crashed and is back under its id; a moment after the start
# it is cut off. Its task may not be run by another worker at the same time.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../standin-3/lib.sh"
job=00000000000053b1
late_ms=2000
# The worker is back 1 s after its crash, and so just before the start.
crash_after_ms=960

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

# A job of 60 short tasks, so that the system and all workers are known to work.
check_system()
{
	until_true 20 is_accepted 0000000000005300 '{"spec":"ms=100","steps":[{"count":60,"cpu":500,"mem_mb":100,"estimated_ms":100}]}' ||
	    cannot_run "the first job is not accepted: $answer"
	until_true 20 is_completed 0000000000005300 ||
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

start_all 8
check_system
starts=$(stat starts)
doubles=$(stat doubles)
if [ "$trouble" != 0 ]; then
	workers POST /control "{\"worker\":0,\"late_starts\":9,\"late_ms\":$late_ms}" >/dev/null
	note "worker 0 carries out starts $late_ms ms late, without an answer"
fi
target='{"spec":"ms=9000","steps":[{"count":7,"cpu":1500,"mem_mb":100,"anti_affinity":1,"estimated_ms":9000}]}'
until_true 10 is_accepted $job "$target" || cannot_run "not accepted: $answer"
accepted_ms=$(date +%s%3N)
note "POST /q/$job (7 tasks of 9 s, each on a worker of its own): $answer"
if [ "$trouble" != 0 ]; then
	while [ "$(date +%s%3N)" -lt $((accepted_ms + crash_after_ms)) ]; do
		sleep 0.01
	done
	note "worker 0 crashes, and will be back after 1 s; starts $(stat starts)"
	runs
	workers POST /control '{"worker":0,"crash":true}' >/dev/null
	starts=$(stat starts)
	until_true 4 starts_grew || cannot_run "no late start was carried out"
	workers POST /control '{"worker":0,"muted":true}' >/dev/null
	note "worker 0 has carried out a start, and is cut off"
	runs
fi
# watch MS: notes for so long where tasks run.
watch()
{
	until_ms=$(($(date +%s%3N) + $1))
	while [ "$(date +%s%3N)" -lt $until_ms ]; do
		sleep 0.05
		runs
	done
}

watch 5200
if [ "$trouble" != 0 ]; then
	workers POST /control '{"worker":0,"muted":false}' >/dev/null
	note "worker 0 is reached again"
fi
watch 6000
until_true 30 is_completed $job || note "not completed: $last"
note "GET /q/$job: $last; $(workers GET /stats)"
grep -h 'double:' "$tmp"/workers.log | sed 's/^/log: /' >>"$record"
doubles=$(($(stat doubles) - doubles))
if [ $doubles -gt 0 ]; then
	echo "broken (TWICE): a task was started $doubles times while it ran"
	exit 1
fi
echo "held: no task was started while it ran"
exit 0
