#!/bin/sh
# Guards against a wave whose status is lost because the store refuses the write,
# and against a planner that reads only the first page of the records of earlier
# waves and so maintains a machine twice.
. ./lib.subr

machines=$with_machines

# Writes more records than the store returns in one page; the record of wave 9999
# is the last.
before_entries()
{
	done=$(printf 'done w-0\n' | base64 -w0)
	for from in $(seq 1000 30 1510); do
		writes=$(for i in $(seq "$from" $((from + 29))); do
			printf '{"key":"gw/planner/wave/%d","value":""},' "$i"
		done)
		curl -s -o /dev/null -X POST "$store/kv-txn" -d \
		    "{\"precondition\":[],\"writes\":[${writes%,}],\"remove\":[]}"
	done
	curl -s -o /dev/null -X POST "$store/kv-txn" -d \
	    "{\"precondition\":[],\"writes\":[{\"key\":\"gw/planner/wave/9999\",\"value\":\"$done\"}],\"remove\":[]}"
}

start_all 1
store_fault '{"refuse_prefix":"status/wave/","refuse_writes":2}'
put op/wave/1 '{"wave":1,"machines":["m-gone"],"duration_s":5,"max_count":1}'
until_true 10 wave_is 1 completed && echo "completed after refused writes"
put op/wave/9999 '{"wave":9999,"machines":["w-0"],"duration_s":5,"max_count":1}'
until_true 10 wave_is 9999 completed && echo "completed by the record"
curl -s "$workers/stats" | jq -c '{upkeeps}'
