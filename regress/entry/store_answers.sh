#!/bin/sh
# Guards against a job that is taken twice, or lost, when the store's answers to
# writes are lost after they took effect, and against one that waits in vain
# while the store takes none.
. ./lib.subr

start_all 2
store_fault '{"lose_answers":2}'
for i in $(seq 1 10); do
	submit_until "1 2" "$(job_id "$i")" || echo "job $i not taken"
done
until_true 30 completed 1 1 10 && echo "completed"

# refusal ID: the status and Retry-After of a submission that is refused at once.
refusal()
{
	began=$(date +%s)
	curl -s -D - -o /dev/null -m 3 -H "Host: $host" -X POST \
	    http://127.0.0.1:28511/q/"$1" \
	    -d '{"spec":"x","steps":[{"count":1,"cpu":500}]}' |
	    tr -d '\r' | grep -iE '^(HTTP|retry-after)'
	[ $(($(date +%s) - began)) -le 1 ] && echo "refused at once"
}

# The owner has its lease for 2 s and holds on for 2 s more: for the first second
# the cause is a write that fails, after five seconds that nobody owns the pool.
store_fault '{"down":"refuse"}'
submit 1 "$(job_id 11)" >/dev/null &
sleep 1
refusal "$(job_id 12)"
sleep 4
refusal "$(job_id 13)"
store_fault '{"down":"no"}'
submit_until "1 2" "$(job_id 11)" && echo "taken again"
until_true 30 completed 1 11 11 && echo "completed"
doubles
