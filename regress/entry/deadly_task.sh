#!/bin/sh
# Guards against a task that crashes worker after worker while its owner is killed.
. ./lib.subr

submit_deadly()
{
	curl -s -m 3 -o /dev/null -w '%{http_code}' -H "Host: $host" \
	    -X POST "http://127.0.0.1:$((28510 + $1))/q/$2" -d \
	    '{"spec":"deadly","steps":[{"count":1,"cpu":500,"mem_mb":100,"estimated_ms":150}]}'
}

crashes()
{
	curl -s "$workers/stats" | jq .crashes
}

has_crashed()
{
	[ "$(crashes)" -ge "$1" ]
}

has_failed()
{
	[ "$(state "$1" "$(job_id "$2")")" = '{"state":"failed"}' ]
}

work_ms=400
start_all 3
first=$(owner)
others=$(echo 1 2 3 | tr -d "$first")
echo "deadly: $(submit_deadly "$first" "$(job_id 100)")"
for i in $(seq 1 10); do
	submit_until "$first" "$(job_id "$i")" || echo "job $i not accepted"
done
until_true 20 has_crashed 2
eval "kill -KILL \$pid_entry$first"
for i in $(seq 11 20); do
	submit_until "$others" "$(job_id "$i")" || echo "job $i not accepted"
done
set -- $others
until_true 60 has_failed "$1" 100 && echo "the deadly job has failed"
until_true 30 completed "$1" 1 20 && echo "the others are completed"
n=$(crashes)
[ "$n" -le 5 ] && echo "few workers crashed" || echo "$n workers crashed"
doubles
