#!/bin/sh
# Guards against jobs that wait for good in a shard whose workers are full of tasks
# that last, beside idle workers of the other shard. Both owners are killed, and later
# one of them is frozen, while jobs are about to go there.
. ./lib.subr

# Ids with one home shard of two.
lasting="3 4 5 6 7 10 11 12"
short="22 23 26 27 28 29"
more="30 31 33 37 41 42"

before_entries()
{
	put gw/layout 2
}

# submit_task ID SPEC MEMORY_MB MEMBERS
submit_task()
{
	[ "$(curl -s -m 3 -o /dev/null -w '%{http_code}' -H "Host: $host" \
	    -X POST "http://127.0.0.1:28511/q/$1" -d \
	    "{\"spec\":\"$2\",\"steps\":[{\"count\":1,\"cpu\":100,\"mem_mb\":$3,\"estimated_ms\":300$4}]}")" = 200 ]
}

running()
{
	curl -s "$workers/stats" | jq .running
}

all_run()
{
	[ "$(running)" = 8 ]
}

transferred()
{
	grep -h " JOB_TRANSFERRED " "$tmp"/entry*.out |
	    sed 's/.*job=\([^ ]*\).*/\1/' | sort -u
}

cancel()
{
	case $(curl -s -m 3 -o /dev/null -w '%{http_code}' -H "Host: $host" \
	    -X DELETE "http://127.0.0.1:28511/q/$1") in
	200|410) return 0 ;;
	esac
	return 1
}

# all_completed NUMBERS
all_completed()
{
	for i in $1; do
		completed 1 "$i" "$i" || return 1
	done
}

# submit_short NUMBERS
submit_short()
{
	for i in $1; do
		until_true 10 submit_task "$(job_id "$i")" ms=300 30000 '' ||
		    echo "job $i not accepted"
	done
}

worker_count=8
start_all 2
until_true 10 completed 1 255 255

# One of these tasks fits on a worker.
for i in $lasting; do
	until_true 10 submit_task "$(job_id "$i")" lasting 40000 \
	    ',"daemon":true' ||
	    echo "job $i not accepted"
done
until_true 12 all_run && echo "each worker runs one"
moved=$(transferred)
echo "some have gone to the other shard: $([ -n "$moved" ] && echo yes)"

# The other shard is idle; the owners are lost while these are about to go there.
for id in $moved; do
	until_true 5 cancel "$id" || echo "$id not cancelled"
done
submit_short "$short"
sleep 1.1
kill -KILL "$pid_entry1" "$pid_entry2"
start_entry 1
start_entry 2
until_true 25 all_completed "$short" && echo "all others have run"

# Longer than the lease of the frozen process.
submit_short "$more"
sleep 1.1
kill -STOP "$pid_entry2"
sleep 6
kill -CONT "$pid_entry2"
until_true 25 all_completed "$more" && echo "and with an owner frozen"
doubles
