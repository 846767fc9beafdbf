#!/bin/sh
# Guards against failures in normal operation, without injected faults: jobs are
# submitted, run and reported, and bad requests are refused.
. ./lib.subr

start_all 2
echo "submitted at both entries"
for i in $(seq 1 20); do
	[ "$(submit $((i % 2 + 1)) "$(job_id "$i")")" = 200 ] || echo "job $i refused"
done
until_true 20 completed 1 1 20 && echo "completed, seen at entry 1"
completed 2 1 20 && echo "completed, seen at entry 2"
echo "the same id again: $(submit 2 "$(job_id 3)")"
echo "unknown job: $(curl -s -o /dev/null -w '%{http_code}' -H "Host: $host" http://127.0.0.1:28511/q/00000000000000aa)"
echo "unknown queue: $(curl -s -o /dev/null -w '%{http_code}' -H "Host: $host" http://127.0.0.1:28511/nowhere/00000000000000aa)"
echo "malformed job: $(curl -s -o /dev/null -w '%{http_code}' -H "Host: $host" -X POST http://127.0.0.1:28511/q/00000000000000ab -d '{"steps":[]}')"
echo "cancel: $(curl -s -o /dev/null -w '%{http_code}' -H "Host: $host" -X DELETE http://127.0.0.1:28512/q/"$(job_id 3)")"
doubles
