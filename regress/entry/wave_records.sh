#!/bin/sh
# Guards against a wave whose state is lost with a refused write, and against
# records of former waves that are read in part only.
. ./lib.subr

machines=$with_machines

# More records than the store lists at a time; that of wave 9999 is the last.
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
