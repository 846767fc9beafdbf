#!/bin/sh
# Guards against a job that waits for ever in a shard that has no instance for it,
# beside an idle one of the other shard; with changes of the owners meanwhile, and
# a cancel. Runs two shards and an instance of 16 cores in one of them.
. ./lib.subr

big=http://127.0.0.1:28598

before_entries()
{
	put gw/layout 2
	start big gwworkerd --store=127.0.0.1:28501 --workers=1 --id-prefix=big \
	    --listen=127.0.0.1:28590 --control=127.0.0.1:28598 \
	    --cpu-millis=16000 --work-ms=1500
}

# submit_big ENTRY ID: a job that only the large instance can run.
submit_big()
{
	[ "$(curl -s -m 3 -o /dev/null -w '%{http_code}' -H "Host: $host" \
	    -X POST "http://127.0.0.1:$((28510 + $1))/q/$2" -d \
	    '{"spec":"x","steps":[{"count":1,"cpu":10000,"mem_mb":100,"estimated_ms":300}]}')" = 200 ]
}

accept_big()
{
	until_true 10 submit_big "$1" "$2" || echo "job $2 not accepted"
}

cancelled()
{
	case $(curl -s -m 3 -o /dev/null -w '%{http_code}' -H "Host: $host" \
	    -X DELETE "http://127.0.0.1:28511/q/$1") in
	200|410) return 0 ;;
	esac
	return 1
}

stats()
{
	curl -s "$big/stats" | jq -c '{starts, doubles}'
}

transfers()
{
	grep -h " JOB_TRANSFERRED " "$tmp"/entry*.out | sed 's/.*job=\([^ ]*\).*/\1/' |
	    sort | uniq -c | awk '{print $1}' | sort -u | tr '\n' ' '
}

start_all 2
until_true 10 completed 1 255 255
for i in 1 2 3 4 5 6; do
	accept_big $((i % 2 + 1)) "$(job_id "$i")"
done
until_true 20 completed 1 1 6 && echo "all have run, as the first process says"
completed 2 1 6 && echo "and the second one"
stats
echo "times that a job was transferred:" $(transfers)

# Both processes are killed while jobs change their shard.
for i in 11 12 13 14 15 16; do
	accept_big $((i % 2 + 1)) "$(job_id "$i")"
done
sleep 1.1
kill -KILL "$pid_entry1" "$pid_entry2"
start_entry 1
start_entry 2
until_true 20 completed 1 11 16 && echo "all have run after the owners were killed"
completed 2 11 16 && echo "as the second process says too"

# Jobs are cancelled as they are about to change their shard, or have done so.
for i in 21 22 23 24 25 26; do
	accept_big $((i % 2 + 1)) "$(job_id "$i")"
done
sleep 0.9
for i in 21 22 23 24 25 26; do
	until_true 5 cancelled "$(job_id "$i")" || echo "job $i not cancelled"
done
sleep 4
for i in 21 22 23 24 25 26; do
	state 2 "$(job_id "$i")"
	echo
done | sort | uniq -c | sed 's/^ *//'
curl -s "$big/stats" | jq -c '{doubles, running}'
doubles
