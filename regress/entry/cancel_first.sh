#!/bin/sh
# Guards against a job that runs after its cancel was acknowledged: the owner is
# frozen, the caller leaves and cancels at another process, and the one that took
# the job repeats it until a new owner accepts it.
. ./lib.subr

jobs="1 2 3 4 5 6 7 8"

# leave_and_cancel ID: the caller leaves after 300 ms, and cancels at the process
# that neither owns the pool nor took the job.
leave_and_cancel()
{
	curl -s -m 0.3 -o /dev/null -H "Host: $host" -X POST \
	    "http://127.0.0.1:$((28510 + a))/q/$1" -d \
	    '{"spec":"x","steps":[{"count":1,"cpu":100,"mem_mb":10,"estimated_ms":3000},{"count":1,"cpu":100,"mem_mb":10,"estimated_ms":3000,"after":[0]}]}'
	until_true 12 is_cancelled "$1"
}

is_cancelled()
{
	case $(curl -s -m 3 -o /dev/null -w '%{http_code}' -H "Host: $host" \
	    -X DELETE "http://127.0.0.1:$((28510 + c))/q/$1") in
	200|410) return 0 ;;
	esac
	return 1
}

running()
{
	curl -s "$workers/stats" | jq .running
}

work_ms=3000
start_all 3
until_true 10 completed 1 255 255
owner=$(owner)
a=$((owner % 3 + 1))
c=$((a % 3 + 1))
eval "frozen=\$pid_entry$owner"
kill -STOP "$frozen"
callers=
for i in $jobs; do
	leave_and_cancel "$(job_id "$i")" &
	callers="$callers $!"
	sleep 0.1
done
sleep 2.4
kill -CONT "$frozen"
# shellcheck disable=SC2086
wait $callers
echo "all cancels were acknowledged"
sleep 1
most=0
for sample in $(seq 1 25); do
	now=$(running)
	[ "$now" -gt $most ] && most=$now
	sleep 0.2
done
echo "most tasks that ran later than 1 s after that: $most"
for i in $jobs; do
	submit_until "$a $c" "$(job_id "$i")" || echo "job $i not accepted"
	state "$c" "$(job_id "$i")"
	echo
done | sort | uniq -c | sed 's/^ *//'
doubles
