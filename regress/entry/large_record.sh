#!/bin/sh
# Guards against a record that the store refuses, which stops all jobs of a pool.
. ./lib.subr

before_entries()
{
	store_fault "{\"value_max_bytes\":$store_max}"
}

# submit_body ENTRY ID BODY: prints the status of the response.
submit_body()
{
	curl -s -m 3 -o /dev/null -w '%{http_code}' -H "Host: $host" \
	    -X POST "http://127.0.0.1:$((28510 + $1))/q/$2" -d "$3"
}

# submit_backlog ENTRY ID: a job of 64 tasks every 10 s for a day, of which 23
# hours have passed.
submit_backlog()
{
	submit_body "$1" "$2" "{\"spec\":\"x\",\"repeats\":8640,\"interval_ms\":10000,\"start_time_ms\":$(($(date +%s%3N) - 82800000)),\"steps\":[{\"count\":64,\"cpu\":100,\"mem_mb\":10,\"estimated_ms\":150}]}"
}

# stop_all: ends all processes.
stop_all()
{
	kill -KILL $pids 2>/dev/null
	wait
	pids=
}

is_started()
{
	[ "$(curl -s "$workers/stats" | jq .starts)" -gt "$1" ]
}

echo "== many occurrences are due at once"
store_max=1048576
start_all 2
echo "backlog: $(submit_backlog 1 "$(job_id 100)") $(submit_backlog 2 "$(job_id 100)")"
for i in 1 2 3 4 5; do
	submit_until "1 2" "$(job_id "$i")" || echo "job $i not accepted"
done
until_true 30 completed 1 1 5 && echo "the others are completed"
until_true 10 is_started 300 && echo "the backlog runs"
first=$(owner)
eval "kill -KILL \$pid_entry$first"
before=$(curl -s "$workers/stats" | jq .starts)
until_true 20 is_started $((before + 300)) && echo "and with the next owner"
doubles | jq -c '{doubles}'
stop_all

echo "== the platform takes smaller values"
store_max=2000 value_bytes=2000
start_all 1
echo "15 tasks: $(submit 1 "$(job_id 1)" 15), 21 tasks: $(submit 1 "$(job_id 2)" 21)"
echo "long: $(submit_body 1 "$(job_id 3)" "{\"spec\":\"$(printf %02000d 0)\",\"steps\":[{\"count\":1,\"cpu\":500,\"mem_mb\":100,\"estimated_ms\":150}]}")"
until_true 20 completed 1 1 1 && echo "completed"
stop_all

echo "== the store takes less than the platform says"
store_max=700 value_bytes=1048576
start_all 2
echo "small: $(submit 1 "$(job_id 1)" 4), large: $(submit 1 "$(job_id 2)" 300)"
submit_until "1 2" "$(job_id 3)" && echo "accepted"
until_true 20 completed 2 1 1 && echo "completed"
until_true 20 completed 2 3 3 && echo "completed"
doubles
