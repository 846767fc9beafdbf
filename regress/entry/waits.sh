#!/bin/sh
# Guards against a long-running task that does not run without a line on why, and
# without a trace in the metrics.
. ./lib.subr

# metric NAME: prints the value of a metric of the process.
metric()
{
	curl -s -m 1 "http://127.0.0.1:28521/metrics" |
	    awk -v "name=$1" '$1 == name { print $2 }'
}

is()
{
	[ "$(metric "$1")" = "$2" ]
}

runs()
{
	[ "$(curl -s "$workers/stats" | jq .running)" = "$1" ]
}

mute()
{
	for i in 0 1 2 3; do
		fault "{\"worker\":$i,\"muted\":$1}"
	done
}

work_ms=60000
start_all 1
curl -s -m 3 -o /dev/null -w '%{http_code}\n' -H "Host: $host" \
    -X POST "http://127.0.0.1:28511/q/$(job_id 1)" -d \
    '{"spec":"x","steps":[{"count":1,"cpu":500,"mem_mb":100,"daemon":true}]}'
until_true 10 runs 3 && echo "runs"
is gw_entry_lasting_wait_ms 0 && echo "no wait"
mute true
# Until the lease has expired, and then for an instance that responds.
until_true 20 is 'gw_entry_tasks_waiting{reason="no-instance"}' 1 &&
    echo "waits for an instance"
[ "$(metric gw_entry_lasting_wait_ms)" -ge 2000 ] && echo "for two seconds or more"
grep -o 'TASK_WAITS.*' "$tmp/entry1.out" |
    sed -n "s/.*job=\([0-9a-f]*\) .* \(state=[a-z]* reason=[a-z-]*\) .*/\1 \2/p" | uniq
mute false
until_true 20 is gw_entry_lasting_wait_ms 0 && echo "runs again"
until_true 10 is 'gw_entry_tasks_waiting{reason="no-instance"}' 0 &&
    echo "nothing waits"
curl -s "$workers/stats" | jq -c '{doubles}'
