#!/bin/sh
# A job of one task is accepted. Three workers crash, one after the other, each
# while it runs the task; none of its runs ends as failed. The job has to be run
# to its end, and may not be shown as failed.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../standin-3/lib.sh"
crashes=3
work_ms=6000
job=00000000000053a1

# host_of_task: sets worker to the number of the worker that runs a task.
host_of_task()
{
	for n in $(seq 1 $worker_count); do
		case $(worker_get $n /running) in
		*53a1*) worker=$n; return 0 ;;
		esac
	done
	return 1
}

has_ended()
{
	last=$(state 1 $job)
	case $last in *completed* | *failed* | *cancelled*) return 0 ;; esac
	return 1
}

is_accepted()
{
	answer=$(submit 1 $job '{"spec":"x","steps":[{"count":1,"cpu":500,"mem_mb":100,"estimated_ms":6000}]}')
	case $answer in 200*) return 0 ;; esac
	return 1
}

start_all 8
until_true 20 is_accepted || cannot_run "the job is not accepted: $answer"
note "POST /q/$job (one task of 6 s, max_attempts 3): $answer"
for i in $(seq 1 $crashes); do
	[ "$trouble" = 0 ] && break
	until_true 15 host_of_task || break
	sleep 0.1
	note "worker $worker runs the task: $(worker_get $worker /stats)"
	eval "kill -KILL \$pid_worker$worker"
	note "worker $worker crashes (SIGKILL), crash $i of $crashes; GET: $(state 1 $job)"
	(
		sleep 3
		exec "$bin/gwworkerd" --workers=1 --id-prefix="w$worker" \
		    --store=127.0.0.1:$store_port \
		    --listen=127.0.0.1:$((base + 40 + worker)) \
		    --control=127.0.0.1:$((base + 60 + worker)) --work-ms=$work_ms
	) >>"$tmp/again$i.out" 2>>"$tmp/again$i.log" &
	eval "pid_worker$worker=$!"
	pids="$pids $!"
done
until_true 60 has_ended || note "the job does not end"
note "GET /q/$job: $last"
sleep 3.2
failed_ends=0
for n in $(seq 1 $worker_count); do
	ends=$(worker_get $n /ends)
	note "worker $n: ends $ends, stats $(worker_get $n /stats)"
done
grep -h -E 'TASK_SUSPECTED|TASK_GIVEN_UP' "$tmp"/entry*.log | sed 's/^/entry log: /' >>"$record"
case $last in
200*completed*)
	echo "held: $last"
	exit 0
	;;
200*failed* | 200*cancelled* | 410*)
	echo "broken (LOST): $last after $crashes crashes, no run has ended as failed"
	exit 1
	;;
esac
echo "broken (LOST): the job is not finished: $last"
exit 1
