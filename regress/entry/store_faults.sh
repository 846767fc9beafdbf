#!/bin/sh
# Guards against a job that is accepted twice or lost when a write takes effect
# but the store's response is lost, and against a submission that waits for its
# timeout instead of being refused at once while the store takes no writes.
. ./lib.subr

start_all 2
store_fault '{"lose_answers":2}'
for i in $(seq 1 10); do
	submit_until "1 2" "$(job_id "$i")" || echo "job $i not accepted"
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

# The owner's lease lasts 2 s and it keeps its role for 2 s more. So the first
# submission, after 1 s, is refused because writes fail, and the second, after
# 5 s, because nobody owns the pool.
store_fault '{"down":"refuse"}'
submit 1 "$(job_id 11)" >/dev/null &
sleep 1
refusal "$(job_id 12)"
sleep 4
refusal "$(job_id 13)"
store_fault '{"down":"no"}'
submit_until "1 2" "$(job_id 11)" && echo "accepted again"
until_true 30 completed 1 11 11 && echo "completed"
doubles
