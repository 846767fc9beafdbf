#!/bin/sh
# Guards against tasks that last and wait for ever in a shard whose workers are full,
# beside idle workers of the other shard. Workers crash and leave; then both owners
# are killed, and one is frozen, while tasks go there; then the job is cancelled.
. ./lib.subr

# Of 20 workers, the shard of this job has 11.
id=$(printf '%016x' 3)

before_entries()
{
	put gw/layout 2
}

# submit_lasting COUNT: one of these tasks fits on a worker.
submit_lasting()
{
	[ "$(curl -s -m 3 -o /dev/null -w '%{http_code}' -H "Host: $host" \
	    -X POST "http://127.0.0.1:28511/q/$id" -d \
	    "{\"spec\":\"lasting\",\"steps\":[{\"count\":$1,\"cpu\":100,\"mem_mb\":40000,\"estimated_ms\":300,\"daemon\":true,\"anti_affinity\":1}]}")" = 200 ]
}

runs()
{
	[ "$(curl -s -m 1 "$workers/stats" | jq .running)" = "$1" ]
}

# first COUNT: prints the workers of the job's first tasks.
first()
{
	curl -s "$workers/lasting" |
	    jq -r "[.tasks[] | select(.running > 0)] | sort_by(.worker)[:$1][].worker" |
	    sed 's/w-//'
}

# lose COUNT FAULT: so many of the workers that run the job have the fault.
lose()
{
	for n in $(first "$1"); do
		fault "{\"worker\":$n,$2}"
	done
}

handed()
{
	cat "$tmp"/entry*.out | grep -c ' TASKS_HANDED '
}

cancelled()
{
	case $(curl -s -m 3 -o /dev/null -w '%{http_code}' -H "Host: $host" \
	    -X DELETE "http://127.0.0.1:28511/q/$id") in
	200|410) return 0 ;;
	esac
	return 1
}

worker_count=20
start_all 2
until_true 10 completed 1 255 255
until_true 10 submit_lasting 11
until_true 10 runs 11 && echo "all run, in one shard: $(handed) hand-overs"

lose 2 '"crash":true,"cut":true'
sleep 1
until_true 8 runs 11 && echo "all run 9 s after two workers crashed"
lose 2 '"leave_ms":2300'
sleep 1
until_true 8 runs 11 && echo "all run 9 s after two workers began to leave"
[ "$(state 1 "$id")" = '{"state":"running"}' ] && echo "one job for callers"

lose 1 '"crash":true,"cut":true'
sleep 5.2
kill -KILL "$pid_entry1" "$pid_entry2"
start_entry 1
start_entry 2
until_true 25 runs 11 && echo "all run after both owners were killed"

# Longer than the lease of the frozen process.
lose 1 '"crash":true,"cut":true'
sleep 5.2
kill -STOP "$pid_entry2"
sleep 6
kill -CONT "$pid_entry2"
until_true 25 runs 11 && echo "all run after one was frozen"
echo "some were handed over: $([ "$(handed)" -ge 2 ] && echo yes)"

# What still runs 4.4 s after that breaks the bounds.
until_true 10 cancelled && echo cancelled
kill -KILL "$pid_entry2"
start_entry 2
sleep 4.4
doubles
sleep 8
doubles
